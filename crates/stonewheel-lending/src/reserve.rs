//! How many free machines are kept for each team: what it gave back a short while ago,
//! and what its load rose by within one reclaim's time.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::{claim::TeamName, settings::Teams};

/// The largest value within a sliding window.
#[derive(Clone, Debug, Default)]
struct WindowMaximum {
    /// Values that fall, each with the time at which it was last true.
    values: VecDeque<TimedValue>,
}

#[derive(Clone, Copy, Debug)]
struct TimedValue {
    at: Instant,
    value: u32,
}

impl WindowMaximum {
    fn record(&mut self, now: Instant, value: u32, window: Duration) {
        while self.values.back().is_some_and(|last| last.value <= value) {
            self.values.pop_back();
        }
        self.values.push_back(TimedValue { at: now, value });
        while self.values.front().is_some_and(|first| first.at + window < now) {
            self.values.pop_front();
        }
    }

    fn get(&self) -> u32 {
        self.values.front().map_or(0, |first| first.value)
    }
}

/// The recent demand of one team inside its guarantee.
#[derive(Clone, Debug, Default)]
struct Demand {
    now: u32,
    peak: WindowMaximum,
    /// The least demand within a reclaim's time, as the largest of `u32::MAX - demand`.
    least: WindowMaximum,
    rise: WindowMaximum,
}

/// Estimates how many machines each team may soon claim.
#[derive(Clone, Debug)]
pub(crate) struct Reserve {
    settle: Duration,
    memory: Duration,
    reclaim: Duration,
    teams: BTreeMap<TeamName, Demand>,
}

impl Reserve {
    /// `settle`: how long what was given back is kept. `memory`: how long a rise is
    /// remembered. `reclaim`: the time of a reclaim, within which a rise counts.
    pub fn new(settle: Duration, memory: Duration, reclaim: Duration) -> Self {
        Self { settle, memory, reclaim, teams: BTreeMap::new() }
    }

    /// Records what each team's claims inside its guarantee ask for now.
    pub fn record(&mut self, now: Instant, entitlements: &BTreeMap<TeamName, u32>) {
        for (team, asked) in entitlements {
            let demand = self.teams.entry(team.clone()).or_default();
            demand.now = *asked;
            demand.peak.record(now, *asked, self.settle);
            demand.least.record(now, u32::MAX - asked, self.reclaim);
            let least = u32::MAX - demand.least.get();
            demand.rise.record(now, asked.saturating_sub(least), self.memory);
        }
    }

    /// Machines to keep free for each team.
    pub fn machines(&self, teams: &Teams) -> BTreeMap<TeamName, u32> {
        let kept = |(name, demand): (&TeamName, &Demand)| {
            let lacking = teams.get(name)?.guarantee.saturating_sub(demand.now);
            let fell = demand.peak.get().saturating_sub(demand.now);
            Some((name.clone(), fell.max(demand.rise.get()).min(lacking)))
        };
        self.teams.iter().filter_map(kept).collect()
    }
}

#[cfg(test)]
mod tests;
