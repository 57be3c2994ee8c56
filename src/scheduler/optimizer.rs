//! The dynamic program that sets widths: P(j, K) = max over k of P(j-1, K - k) + T(j, k), where
//! P(j, K) is the greatest total throughput of the first j jobs on K capacity units, and T(j, k)
//! the throughput scaling factor of job j on k units.
//!
//! Each admitted job has one row. To try one more job computes one row, and a rejected job leaves
//! the earlier rows as they were.

use std::collections::VecDeque;

/// How a job's throughput scales with its width, and how much capacity a width takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve {
    /// The minimum width of the job.
    pub min_width: u32,
    /// The maximum width of the job.
    pub max_width: u32,
    /// Capacity units that each unit of width takes.
    pub cost: usize,
    /// How far the throughput falls short of linear scaling: the scaling factor at width k is
    /// k / (1 + slope (k - 1)). It is 0 for an array, whose scaling factor is its width.
    pub slope: f64,
}

impl Curve {
    /// The throughput at a width, as a multiple of the throughput at width 1.
    pub fn scaling_factor(&self, width: u32) -> f64 {
        let k = f64::from(width);
        if width == 0 { 0.0 } else { k / (1.0 + self.slope * (k - 1.0)) }
    }
}

/// The row of an admitted job.
struct Row {
    widths: Widths,
    cost: usize,
}

/// The best width of a job for each capacity.
enum Widths {
    /// The job's only width. There may be many one-task jobs with a row each, and a table for
    /// each of them would not fit into the memory of a small machine.
    Fixed(u32),
    /// The job's best width, indexed by capacity. Any greater capacity has the same best width as
    /// the last entry.
    ByCapacity(Vec<u32>),
}

/// The table of all admitted jobs for up to `capacity` units.
///
/// A row is no longer than the maximum demand of the jobs up to it: beyond that every capacity
/// has the same optimum. Totals are kept for the last row only.
pub struct Program {
    capacity: usize,
    rows: Vec<Row>,
    best_totals: Vec<f64>,
}

impl Program {
    /// Creates a program without jobs for `capacity` units.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, rows: Vec::new(), best_totals: vec![0.0] }
    }

    /// Admits a job if it and all jobs admitted so far get at least their minimum widths. Returns
    /// whether it was admitted.
    pub fn admit(&mut self, curve: &Curve) -> bool {
        let cost = curve.cost.max(1);
        let max_demand =
            (self.best_totals.len() - 1).saturating_add(curve.max_width as usize * cost);
        let size = self.capacity.min(max_demand) + 1;
        let (best, widths) = if curve.min_width == curve.max_width {
            (fixed_row(&self.best_totals, curve, cost, size), Widths::Fixed(curve.min_width))
        } else {
            let row = if curve.slope == 0.0 { linear_row } else { general_row };
            let (best, widths) = row(&self.best_totals, curve, cost, size);
            (best, Widths::ByCapacity(widths))
        };
        let feasible = best[size - 1] > 0.0;
        if feasible {
            self.best_totals = best;
            self.rows.push(Row { widths, cost });
        }
        feasible
    }

    /// The greatest sum of throughput scaling factors of the admitted jobs.
    pub fn total(&self) -> f64 {
        self.best_totals[self.best_totals.len() - 1]
    }

    /// The widths of the admitted jobs that give this total, in order of admission.
    pub fn widths(&self) -> Vec<u32> {
        let mut capacity = self.capacity;
        let mut widths: Vec<u32> = self
            .rows
            .iter()
            .rev()
            .map(|row| {
                let width = match &row.widths {
                    Widths::Fixed(width) => *width,
                    Widths::ByCapacity(widths) => {
                        capacity = capacity.min(widths.len() - 1);
                        widths[capacity]
                    }
                };
                capacity -= width as usize * row.cost;
                width
            })
            .collect();
        widths.reverse();
        widths
    }
}

/// Computes the best total for each capacity with one more job that has a single width.
fn fixed_row(previous: &[f64], curve: &Curve, cost: usize, size: usize) -> Vec<f64> {
    let needed = curve.min_width as usize * cost;
    let gain = curve.scaling_factor(curve.min_width);
    let with_job = |capacity: usize| {
        let left = capacity.checked_sub(needed).map(|left| left.min(previous.len() - 1));
        left.map_or(f64::NEG_INFINITY, |left| previous[left] + gain)
    };
    (0..size).map(with_job).collect()
}

/// Computes the best total and the job's width for each capacity, for any curve, in time
/// proportional to the capacity times the maximum width.
fn general_row(previous: &[f64], curve: &Curve, cost: usize, size: usize) -> (Vec<f64>, Vec<u32>) {
    let (mut best, mut choice) = (vec![f64::NEG_INFINITY; size], vec![0; size]);
    for capacity in 0..size {
        for width in curve.min_width.max(1)..=curve.max_width {
            let needed = width as usize * cost;
            if needed > capacity {
                break;
            }
            let total =
                previous[(capacity - needed).min(previous.len() - 1)] + curve.scaling_factor(width);
            if total > best[capacity] {
                best[capacity] = total;
                choice[capacity] = width;
            }
        }
    }
    (best, choice)
}

/// Computes the same row as `general_row` for a curve whose scaling factor is its width, in time
/// proportional to the capacity alone. A capacity of `quotient * cost + remainder` units holds
/// widths up to `quotient`. The maximum over k of `previous(quotient - k) + k` equals `quotient`
/// plus the maximum of `previous(i) - i` over a window of `i` that slides along with `quotient`.
fn linear_row(previous: &[f64], curve: &Curve, cost: usize, size: usize) -> (Vec<f64>, Vec<u32>) {
    let (mut best, mut choice) = (vec![f64::NEG_INFINITY; size], vec![0; size]);
    let (min, max) = (curve.min_width.max(1) as usize, curve.max_width as usize);
    let mut window: VecDeque<(usize, f64)> = VecDeque::new();
    for remainder in 0..cost.min(size) {
        window.clear();
        for quotient in 0..=(size - 1 - remainder) / cost {
            if min > max || quotient < min {
                continue;
            }
            let entering = quotient - min;
            let value =
                previous[(entering * cost + remainder).min(previous.len() - 1)] - entering as f64;
            // Of equal values the newest stays: it gives the smallest width.
            while window.back().is_some_and(|(_, v)| *v <= value) {
                window.pop_back();
            }
            window.push_back((entering, value));
            while window.front().is_some_and(|(i, _)| *i + max < quotient) {
                window.pop_front();
            }
            if let Some((i, value)) = window.front().filter(|(_, v)| v.is_finite()) {
                best[quotient * cost + remainder] = value + quotient as f64;
                choice[quotient * cost + remainder] = (quotient - i) as u32;
            }
        }
    }
    (best, choice)
}

#[cfg(test)]
mod tests;
