//! The dynamic program: P(j, K) = max over k of P(j-1, K - k) + T(j, k).
//!
//! A row is kept for each admitted job, so trying one job more costs one row
//! and a failed trial costs nothing that was there before.

use std::collections::VecDeque;

/// How a job's throughput scales with its width, and what a width costs.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve {
    /// The least width that the job may have.
    pub min: u32,
    /// The greatest width that it may have.
    pub max: u32,
    /// Units of room that one task takes.
    pub cost: usize,
    /// 0 for an array (its factor is its width); a gang's factor at width k
    /// is k / (1 + slope (k - 1)).
    pub slope: f64,
}

impl Curve {
    /// The throughput at a width, as a multiple of that at width 1.
    pub fn factor(&self, width: u32) -> f64 {
        let k = f64::from(width);
        if width == 0 { 0.0 } else { k / (1.0 + self.slope * (k - 1.0)) }
    }
}

/// What the program keeps of an admitted job.
struct Row {
    widths: Widths,
    cost: usize,
}

enum Widths {
    /// The job has one width. Each of many one-task jobs has a row, and a
    /// table for each of those would not fit a small machine.
    Only(u32),
    /// The job's width for each room up to the last one; more room than that
    /// changes nothing.
    ByRoom(Vec<u32>),
}

/// The table of all admitted jobs over `room` units.
///
/// What the jobs so far could take at most bounds a row: beyond it every room
/// has the same optimum. Totals are only needed of the last row.
pub struct Program {
    room: usize,
    rows: Vec<Row>,
    best: Vec<f64>,
}

impl Program {
    /// A program without jobs over `room` units.
    pub fn new(room: usize) -> Self {
        Self { room, rows: Vec::new(), best: vec![0.0] }
    }

    /// Admits a job if all jobs so far still get at least their least width.
    pub fn admit(&mut self, curve: &Curve) -> bool {
        let cost = curve.cost.max(1);
        let asked = (self.best.len() - 1).saturating_add(curve.max as usize * cost);
        let size = self.room.min(asked) + 1;
        let (best, widths) = if curve.min == curve.max {
            (fixed_row(&self.best, curve, cost, size), Widths::Only(curve.min))
        } else {
            let row = if curve.slope == 0.0 { linear_row } else { plain_row };
            let (best, widths) = row(&self.best, curve, cost, size);
            (best, Widths::ByRoom(widths))
        };
        let feasible = best[size - 1] > 0.0;
        if feasible {
            self.best = best;
            self.rows.push(Row { widths, cost });
        }
        feasible
    }

    /// The greatest sum of throughput factors of the admitted jobs.
    pub fn total(&self) -> f64 {
        self.best[self.best.len() - 1]
    }

    /// The best widths, in order of admission.
    pub fn widths(&self) -> Vec<u32> {
        let mut room = self.room;
        let mut widths: Vec<u32> = self
            .rows
            .iter()
            .rev()
            .map(|row| {
                let width = match &row.widths {
                    Widths::Only(width) => *width,
                    Widths::ByRoom(widths) => {
                        room = room.min(widths.len() - 1);
                        widths[room]
                    }
                };
                room -= width as usize * row.cost;
                width
            })
            .collect();
        widths.reverse();
        widths
    }
}

/// The optima with one more job that has a single width.
fn fixed_row(before: &[f64], curve: &Curve, cost: usize, size: usize) -> Vec<f64> {
    let taken = curve.min as usize * cost;
    let gain = curve.factor(curve.min);
    let with_job = |room: usize| {
        let left = room.checked_sub(taken).map(|left| left.min(before.len() - 1));
        left.map_or(f64::NEG_INFINITY, |left| before[left] + gain)
    };
    (0..size).map(with_job).collect()
}

/// One row for any curve: room times width steps.
fn plain_row(before: &[f64], curve: &Curve, cost: usize, size: usize) -> (Vec<f64>, Vec<u32>) {
    let (mut best, mut choice) = (vec![f64::NEG_INFINITY; size], vec![0; size]);
    for room in 0..size {
        for width in curve.min.max(1)..=curve.max {
            let taken = width as usize * cost;
            if taken > room {
                break;
            }
            let total = before[(room - taken).min(before.len() - 1)] + curve.factor(width);
            if total > best[room] {
                best[room] = total;
                choice[room] = width;
            }
        }
    }
    (best, choice)
}

/// The same row for a curve whose factor is its width, in steps of the room
/// alone. With `q` steps of `cost` in a room, the best of
/// `before(q - k) + k` over k is `q` plus the greatest `before(i) - i` over a
/// window of `i` that slides along with `q`.
fn linear_row(before: &[f64], curve: &Curve, cost: usize, size: usize) -> (Vec<f64>, Vec<u32>) {
    let (mut best, mut choice) = (vec![f64::NEG_INFINITY; size], vec![0; size]);
    let (min, max) = (curve.min.max(1) as usize, curve.max as usize);
    let mut window: VecDeque<(usize, f64)> = VecDeque::new();
    for rest in 0..cost.min(size) {
        window.clear();
        for q in 0..=(size - 1 - rest) / cost {
            if min > max || q < min {
                continue;
            }
            let enters = q - min;
            let value = before[(enters * cost + rest).min(before.len() - 1)] - enters as f64;
            // Of equal ones the newest stays: it means the least width.
            while window.back().is_some_and(|(_, v)| *v <= value) {
                window.pop_back();
            }
            window.push_back((enters, value));
            while window.front().is_some_and(|(i, _)| *i + max < q) {
                window.pop_front();
            }
            if let Some((i, value)) = window.front().filter(|(_, v)| v.is_finite()) {
                best[q * cost + rest] = value + q as f64;
                choice[q * cost + rest] = (q - i) as u32;
            }
        }
    }
    (best, choice)
}

#[cfg(test)]
mod tests;
