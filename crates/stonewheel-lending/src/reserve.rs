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
    recorded_at: Instant,
    value: u32,
}

impl WindowMaximum {
    fn record(&mut self, now: Instant, value: u32, window: Duration) {
        while self.values.back().is_some_and(|last| last.value <= value) {
            self.values.pop_back();
        }
        self.values.push_back(TimedValue { recorded_at: now, value });
        while self.values.front().is_some_and(|first| first.recorded_at + window < now) {
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
    current: u32,
    peak: WindowMaximum,
    /// The least demand within a reclaim's time, as the largest of `u32::MAX - demand`.
    lowest: WindowMaximum,
    rise: WindowMaximum,
}

/// Estimates how many machines each team may soon claim.
#[derive(Clone, Debug)]
pub(crate) struct Reserve {
    release_retention: Duration,
    rise_retention: Duration,
    reclaim_time: Duration,
    teams: BTreeMap<TeamName, Demand>,
}

impl Reserve {
    /// `settle`: how long what was given back is kept. `memory`: how long a rise is
    /// remembered. `reclaim`: the time of a reclaim, within which a rise counts.
    pub fn new(
        release_retention: Duration,
        rise_retention: Duration,
        reclaim_time: Duration,
    ) -> Self {
        Self { release_retention, rise_retention, reclaim_time, teams: BTreeMap::new() }
    }

    /// Records what each team's claims inside its guarantee ask for now.
    pub fn record(&mut self, now: Instant, entitlements: &BTreeMap<TeamName, u32>) {
        for (team, machines) in entitlements {
            let demand = self.teams.entry(team.clone()).or_default();
            demand.current = *machines;
            demand.peak.record(now, *machines, self.release_retention);
            demand.lowest.record(now, u32::MAX - machines, self.reclaim_time);
            let lowest = u32::MAX - demand.lowest.get();
            demand.rise.record(now, machines.saturating_sub(lowest), self.rise_retention);
        }
    }

    /// Machines to keep free for each team.
    pub fn machines(&self, teams: &Teams) -> BTreeMap<TeamName, u32> {
        let reserved = |(name, demand): (&TeamName, &Demand)| {
            let below_guarantee = teams.get(name)?.guarantee.saturating_sub(demand.current);
            let fell = demand.peak.get().saturating_sub(demand.current);
            Some((name.clone(), fell.max(demand.rise.get()).min(below_guarantee)))
        };
        self.teams.iter().filter_map(reserved).collect()
    }
}

#[cfg(test)]
mod tests;
