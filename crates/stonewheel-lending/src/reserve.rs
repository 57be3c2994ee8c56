//! The reserve of free machines for each team: as many as the team released recently, or as many as
//! its demand recently rose by within the time of one reclaim, whichever is more.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::{claim::TeamName, settings::Teams};

/// The maximum value within a sliding window.
#[derive(Clone, Debug, Default)]
struct WindowMaximum {
    /// Decreasing values, each with the latest time at which it was recorded.
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

/// The recent demand of one team's claims inside its guarantee.
#[derive(Clone, Debug, Default)]
struct Demand {
    current: u32,
    peak: WindowMaximum,
    /// The lowest demand within the time of a reclaim, as the maximum of `u32::MAX - demand`.
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
    /// `release_retention`: how long released machines stay reserved. `rise_retention`: how long a
    /// rise of demand is taken into account. `reclaim_time`: the time of a reclaim; demand that
    /// rises faster can't be served by reclaims in time.
    pub fn new(
        release_retention: Duration,
        rise_retention: Duration,
        reclaim_time: Duration,
    ) -> Self {
        Self { release_retention, rise_retention, reclaim_time, teams: BTreeMap::new() }
    }

    /// Records the number of machines that each team's claims inside its guarantee request now.
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

    /// Returns the number of free machines to reserve for each team, at most what its demand is
    /// below its guarantee.
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
