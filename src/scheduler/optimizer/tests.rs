use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn exhaustive(curves: &[Curve], room: usize) -> Option<f64> {
    let Some((first, rest)) = curves.split_first() else { return Some(0.0) };
    (first.min..=first.max)
        .filter(|k| *k as usize * first.cost <= room)
        .filter_map(|k| {
            exhaustive(rest, room - k as usize * first.cost).map(|t| t + first.factor(k))
        })
        .max_by(f64::total_cmp)
}

#[test]
fn agrees_with_exhaustive_search() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..300 {
        let room = rng.random_range(1..12);
        let curves: Vec<Curve> = (0..rng.random_range(1..5))
            .map(|_| {
                let min = rng.random_range(1..4);
                Curve {
                    min,
                    max: min + rng.random_range(0..4),
                    cost: rng.random_range(1..4),
                    slope: if rng.random_bool(0.5) { 0.1 } else { 0.0 },
                }
            })
            .collect();
        let mut program = Program::new(room);
        let feasible = curves.iter().all(|c| program.admit(c));
        match exhaustive(&curves, room) {
            Some(best) => {
                assert!(feasible);
                assert!((program.total() - best).abs() < 1e-9);
                let widths = program.widths();
                let used: usize =
                    widths.iter().zip(&curves).map(|(k, c)| *k as usize * c.cost).sum();
                assert!(used <= room);
                let sum: f64 = widths.iter().zip(&curves).map(|(k, c)| c.factor(*k)).sum();
                assert!((sum - best).abs() < 1e-9);
            }
            None => assert!(!feasible),
        }
    }
}

#[test]
fn a_failed_trial_leaves_the_table_as_it_was() {
    let curve = |min| Curve { min, max: min, cost: 1, slope: 0.0 };
    let mut program = Program::new(3);
    assert!(program.admit(&curve(2)));
    assert!(!program.admit(&curve(2)));
    assert!(program.admit(&curve(1)));
    assert_eq!(program.widths(), [2, 1]);
}

#[test]
fn quick_rows_equal_plain_ones() {
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..300 {
        let mut before = vec![0.0];
        for _ in 0..rng.random_range(1..6) {
            let min = rng.random_range(1..4);
            let max = min + rng.random_range(0..12);
            let cost = rng.random_range(1..5);
            let curve = Curve { min, max, cost, slope: 0.0 };
            let size = rng.random_range(1..60);
            let quick = linear_row(&before, &curve, cost, size);
            assert_eq!(quick, plain_row(&before, &curve, cost, size));
            before = quick.0;
        }
    }
}
