//! The operators' settings of lending.

use std::{collections::BTreeMap, sync::Arc};

use garde::Validate;
use stonewheel_settings::{FieldError, PartSections, Section, at_least, whole_number};
use tokio::time::Duration;

use crate::names::{MAX_NAME_BYTES, TeamName};

/// The names of the settings sections of lending.
const SECTIONS: PartSections =
    PartSections { general: "lending", prefix: "lending-team ", table: "teams" };

/// The minimum number of probes within a worker lease. With fewer, missing heartbeats don't
/// show reliably that a machine is lost.
const MIN_PROBES_PER_LEASE: f64 = 3.0;

/// Times and sizes; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Times {
    /// Seconds between two probes of the machines.
    #[garde(range(min = 0.001, max = 1e4))]
    pub look_s: f64,
    /// How long a call to a machine may take.
    #[garde(range(min = 0.001, max = 1e4))]
    pub order_s: f64,
    /// How long work may save a checkpoint when it is stopped. Work that takes longer is
    /// irrevocable and is lent no machine that covers a guarantee.
    #[garde(range(max = 1e5), custom(at_least("look_s", self.look_s)))]
    pub grace_s: f64,
    /// How long a machine may go without a heartbeat before it is returned.
    #[garde(range(max = 1e5), custom(at_least("three times look_s", self.look_s * MIN_PROBES_PER_LEASE)))]
    pub worker_lease_s: f64,
    /// How long a halt may be delayed while other runs in its zone save.
    #[garde(range(min = 0.0, max = 1e5))]
    pub spread_s: f64,
    /// The maximum number of runs of one zone that are halted to save at the same time.
    #[garde(range(min = 1.0, max = 1e6), custom(whole_number))]
    pub halts_a_zone: f64,
    /// How long machines that a team's claims inside its guarantee released stay reserved for the
    /// team.
    #[garde(range(max = 1e6), custom(at_least("grace_s", self.grace_s)))]
    pub settle_s: f64,
    /// How long the largest rise of a team's demand is taken into account for its reserve.
    #[garde(range(max = 1e7), custom(at_least("settle_s", self.settle_s)))]
    pub memory_s: f64,
    /// GPUs of a machine.
    #[garde(range(min = 0.0, max = 1e6))]
    pub machine_gpus: f64,
    /// The number of machines that the ledger's shards are sized for.
    #[garde(range(min = 1.0, max = 1e7), custom(whole_number))]
    pub expected_machines: f64,
}

/// A team's guarantee and limit, in machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// The number of machines that the team gets within the bound whenever it claims them.
    pub guarantee: u32,
    /// The maximum number of machines that the team's work uses.
    pub ceiling: u32,
}

/// The teams, by name.
pub type Teams = BTreeMap<TeamName, Team>;

/// All settings of lending.
#[derive(Clone, Debug, PartialEq)]
pub struct LendingSettings {
    /// Times and sizes.
    pub times: Times,
    /// The teams.
    pub teams: Teams,
}

/// Whether a settings section belongs to lending.
pub fn is_section(name: &str) -> bool {
    SECTIONS.contains(name)
}

/// Reads the sections of lending from the sections of an INI file, and ignores others. Returns none
/// if there is no section `lending`.
pub fn parse_sections<'a>(
    sections: impl Iterator<Item = (&'a str, Vec<(&'a str, &'a str)>)>,
) -> Result<Option<LendingSettings>, FieldError> {
    let Some(part) = SECTIONS.read(sections, general, team_settings)? else { return Ok(None) };
    let teams = part.named.into_iter().map(|(name, team)| (Arc::from(name), team)).collect();
    Ok(Some(LendingSettings { times: part.general, teams }))
}

fn general(mut section: Section<'_>) -> Result<Times, FieldError> {
    /// The default number of machines that the ledger's shards are sized for.
    const DEFAULT_EXPECTED_MACHINES: f64 = 4000.0;
    let look_s = section.number("look_s", Some(1.0))?;
    let grace_s = section.number("grace_s", None)?;
    let settle_s = section.number("settle_s", Some(grace_s * 4.0))?;
    let times = Times {
        look_s,
        order_s: section.number("order_s", Some(look_s * 2.0))?,
        grace_s,
        worker_lease_s: section.number("worker_lease_s", None)?,
        spread_s: section.number("spread_s", Some(grace_s / 2.0))?,
        halts_a_zone: section.number("halts_a_zone", Some(8.0))?,
        settle_s,
        memory_s: section.number("memory_s", Some(settle_s * 10.0))?,
        machine_gpus: section.number("machine_gpus", None)?,
        expected_machines: section.number("expected_machines", Some(DEFAULT_EXPECTED_MACHINES))?,
    };
    section.reject_unknown_keys()?;
    times.validate().map_err(|report| SECTIONS.validation_error(report.iter().next()))?;
    Ok(times)
}

fn team_settings(name: &str, mut section: Section<'_>) -> Result<Team, FieldError> {
    let guarantee = machines(&mut section, "guarantee")?;
    let ceiling = machines(&mut section, "ceiling")?;
    if guarantee > ceiling {
        let reason = format!("{guarantee} is above the ceiling of {ceiling}");
        return Err(section.error("guarantee", &reason));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(section.error("name", &format!("has more than {MAX_NAME_BYTES} bytes")));
    }
    section.reject_unknown_keys()?;
    Ok(Team { guarantee, ceiling })
}

fn machines(section: &mut Section<'_>, key: &str) -> Result<u32, FieldError> {
    const MAX_MACHINES: f64 = 1e6;
    let number = section.number(key, None)?;
    if !(0.0..=MAX_MACHINES).contains(&number) || number.fract() != 0.0 {
        return Err(section.error(key, "must be a whole number of at least 0"));
    }
    Ok(number as u32)
}

impl Times {
    /// Returns the time between two probes of the machines.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_secs_f64(self.look_s)
    }

    /// Returns how long a call to a machine may take.
    pub fn command_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.order_s)
    }

    /// Returns how long work may save a checkpoint when it is stopped.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns how long a machine may go without a heartbeat before it is returned.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.worker_lease_s)
    }

    /// Returns how long a halt may be delayed while other runs in its zone save.
    pub fn halt_spread(&self) -> Duration {
        Duration::from_secs_f64(self.spread_s)
    }

    /// Returns how long released machines stay reserved for their team.
    pub fn release_retention(&self) -> Duration {
        Duration::from_secs_f64(self.settle_s)
    }

    /// Returns how long the largest rise of a team's demand is taken into account.
    pub fn rise_retention(&self) -> Duration {
        Duration::from_secs_f64(self.memory_s)
    }
}

impl LendingSettings {
    /// Returns the sum of all guarantees, in machines.
    pub fn guaranteed(&self) -> u32 {
        self.teams.values().map(|team| team.guarantee).sum()
    }
}

#[cfg(test)]
mod tests;
