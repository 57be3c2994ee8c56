use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn exhaustive_optimum(curves: &[Curve], capacity: usize) -> Option<f64> {
    let Some((first, rest)) = curves.split_first() else { return Some(0.0) };
    (first.min_width..=first.max_width)
        .filter(|k| *k as usize * first.cost <= capacity)
        .filter_map(|k| {
            exhaustive_optimum(rest, capacity - k as usize * first.cost)
                .map(|t| t + first.scaling_factor(k))
        })
        .max_by(f64::total_cmp)
}

#[test]
fn optimum_equals_exhaustive_search() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..300 {
        let capacity = rng.random_range(1..12);
        let curves: Vec<Curve> = (0..rng.random_range(1..5))
            .map(|_| {
                let min = rng.random_range(1..4);
                Curve {
                    min_width: min,
                    max_width: min + rng.random_range(0..4),
                    cost: rng.random_range(1..4),
                    slope: if rng.random_bool(0.5) { 0.1 } else { 0.0 },
                }
            })
            .collect();
        let mut program = Program::new(capacity);
        let feasible = curves.iter().all(|c| program.admit(c));
        match exhaustive_optimum(&curves, capacity) {
            Some(best) => {
                assert!(feasible);
                assert!((program.total() - best).abs() < 1e-9);
                let widths = program.widths();
                let used: usize =
                    widths.iter().zip(&curves).map(|(k, c)| *k as usize * c.cost).sum();
                assert!(used <= capacity);
                let sum: f64 = widths.iter().zip(&curves).map(|(k, c)| c.scaling_factor(*k)).sum();
                assert!((sum - best).abs() < 1e-9);
            }
            None => assert!(!feasible),
        }
    }
}

#[test]
fn rejected_admission_leaves_the_program_unchanged() {
    let curve = |min| Curve { min_width: min, max_width: min, cost: 1, slope: 0.0 };
    let mut program = Program::new(3);
    assert!(program.admit(&curve(2)));
    assert!(!program.admit(&curve(2)));
    assert!(program.admit(&curve(1)));
    assert_eq!(program.widths(), [2, 1]);
}

#[test]
fn linear_rows_equal_general_rows() {
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..300 {
        let mut previous = vec![0.0];
        for _ in 0..rng.random_range(1..6) {
            let min = rng.random_range(1..4);
            let max = min + rng.random_range(0..12);
            let cost = rng.random_range(1..5);
            let curve = Curve { min_width: min, max_width: max, cost, slope: 0.0 };
            let size = rng.random_range(1..60);
            let linear = linear_row(&previous, &curve, cost, size);
            assert_eq!(linear, general_row(&previous, &curve, cost, size));
            previous = linear.0;
        }
    }
}
