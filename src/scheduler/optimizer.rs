//! The dynamic program: P(j, K) = max over k of P(j-1, K - k) + T(j, k).
//!
//! A row is kept for each admitted job, so trying one job more costs one row
//! and a failed trial costs nothing that was there before.

/// How a job's throughput scales with its width, and what a width costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve {
    pub min: u32,
    pub max: u32,
    /// Units of room that one task takes.
    pub cost: usize,
    /// 0 for an array (its factor is its width); a gang's factor at width k
    /// is k / (1 + slope (k - 1)).
    pub slope: f64,
}

impl Curve {
    pub fn factor(&self, width: u32) -> f64 {
        let k = f64::from(width);
        if width == 0 { 0.0 } else { k / (1.0 + self.slope * (k - 1.0)) }
    }
}

struct Row {
    best: Vec<f64>,
    choice: Vec<u32>,
    cost: usize,
}

/// The table of all admitted jobs over `room` units.
pub struct Program {
    room: usize,
    rows: Vec<Row>,
}

impl Program {
    pub fn new(room: usize) -> Self {
        Self { room, rows: Vec::new() }
    }

    /// Admits a job if all jobs so far still get at least their least width.
    pub fn admit(&mut self, curve: &Curve) -> bool {
        let cost = curve.cost.max(1);
        let mut row = Row {
            best: vec![f64::NEG_INFINITY; self.room + 1],
            choice: vec![0; self.room + 1],
            cost,
        };
        for room in 0..=self.room {
            for width in curve.min.max(1)..=curve.max {
                let taken = width as usize * cost;
                if taken > room {
                    break;
                }
                let before = self.rows.last().map_or(0.0, |r| r.best[room - taken]);
                let total = before + curve.factor(width);
                if total > row.best[room] {
                    row.best[room] = total;
                    row.choice[room] = width;
                }
            }
        }
        let feasible = row.best[self.room] > 0.0;
        if feasible {
            self.rows.push(row);
        }
        feasible
    }

    pub fn total(&self) -> f64 {
        self.rows.last().map_or(0.0, |r| r.best[self.room])
    }

    /// The best widths, in order of admission.
    pub fn widths(&self) -> Vec<u32> {
        let mut room = self.room;
        let mut widths: Vec<u32> = self
            .rows
            .iter()
            .rev()
            .map(|row| {
                let width = row.choice[room];
                room -= width as usize * row.cost;
                width
            })
            .collect();
        widths.reverse();
        widths
    }
}

#[cfg(test)]
mod tests {
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
}
