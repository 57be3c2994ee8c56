//! The operators' settings of this part.

use std::{collections::BTreeMap, sync::Arc};

use garde::Validate;
use stonewheel_settings::{FieldError, PartSections, Section, at_least, whole_number};
use tokio::time::Duration;

use crate::names::{MAX_NAME_BYTES, TeamName};

/// How the sections of this part are called.
const SECTIONS: PartSections =
    PartSections { general: "lending", prefix: "lending-team ", table: "teams" };

/// A worker's lease holds at least so many probes: fewer say nothing of a machine.
const MIN_PROBES_PER_LEASE: f64 = 3.0;

/// Times and sizes; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Times {
    /// Seconds between two probes of the machines.
    #[garde(range(min = 0.001, max = 1e4))]
    pub look_s: f64,
    /// How long an order to a machine may take.
    #[garde(range(min = 0.001, max = 1e4))]
    pub order_s: f64,
    /// How long stopped work may save. Work that takes longer is lent no machine of another team.
    #[garde(range(max = 1e5), custom(at_least("look_s", self.look_s)))]
    pub grace_s: f64,
    /// How long a machine may be silent before it is returned.
    #[garde(range(max = 1e5), custom(at_least("three times look_s", self.look_s * MIN_PROBES_PER_LEASE)))]
    pub worker_lease_s: f64,
    /// How long a halt may wait for others in its zone.
    #[garde(range(min = 0.0, max = 1e5))]
    pub spread_s: f64,
    /// Runs of one zone that save at the same time.
    #[garde(range(min = 1.0, max = 1e6), custom(whole_number))]
    pub halts_a_zone: f64,
    /// How long machines that serving gave back are kept for it.
    #[garde(range(max = 1e6), custom(at_least("grace_s", self.grace_s)))]
    pub settle_s: f64,
    /// How long the largest rise of the load is remembered.
    #[garde(range(max = 1e7), custom(at_least("settle_s", self.settle_s)))]
    pub memory_s: f64,
    /// GPUs of a machine.
    #[garde(range(min = 0.0, max = 1e6))]
    pub machine_gpus: f64,
    /// Machines that the ledger is laid out for.
    #[garde(range(min = 1.0, max = 1e7), custom(whole_number))]
    pub expected_machines: f64,
}

/// A team's guarantee and limit, in machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Machines that it gets within the bound, whenever it claims them.
    pub guarantee: u32,
    /// Machines that its work uses at the most.
    pub ceiling: u32,
}

/// The teams, by name.
pub type Teams = BTreeMap<TeamName, Team>;

/// All settings of this part.
#[derive(Clone, Debug, PartialEq)]
pub struct LendingSettings {
    /// Times and sizes.
    pub times: Times,
    /// The teams.
    pub teams: Teams,
}

/// Whether a section belongs to this part.
pub fn is_section(name: &str) -> bool {
    SECTIONS.contains(name)
}

/// Reads the sections of this part out of an INI file's. None if there is no section
/// `lending`. Sections of other parts are passed over.
pub fn parse_sections<'a>(
    sections: impl Iterator<Item = (&'a str, Vec<(&'a str, &'a str)>)>,
) -> Result<Option<LendingSettings>, FieldError> {
    let Some(part) = SECTIONS.read(sections, general, team_settings)? else { return Ok(None) };
    let teams = part.named.into_iter().map(|(name, team)| (Arc::from(name), team)).collect();
    Ok(Some(LendingSettings { times: part.general, teams }))
}

fn general(mut section: Section<'_>) -> Result<Times, FieldError> {
    /// Machines that a ledger is laid out for by default.
    const USUAL_MACHINES: f64 = 4000.0;
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
        expected_machines: section.number("expected_machines", Some(USUAL_MACHINES))?,
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
    const MOST: f64 = 1e6;
    let number = section.number(key, None)?;
    if !(0.0..=MOST).contains(&number) || number.fract() != 0.0 {
        return Err(section.error(key, "must be a whole number of at least 0"));
    }
    Ok(number as u32)
}

impl Times {
    /// Seconds between two probes of the machines.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_secs_f64(self.look_s)
    }

    /// How long an order may take.
    pub fn order_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.order_s)
    }

    /// How long stopped work may save.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// How long a machine may be silent.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.worker_lease_s)
    }

    /// How long a halt may wait for others.
    pub fn spread(&self) -> Duration {
        Duration::from_secs_f64(self.spread_s)
    }

    /// How long machines that serving gave back are kept for it.
    pub fn settle(&self) -> Duration {
        Duration::from_secs_f64(self.settle_s)
    }

    /// How long the largest rise is remembered.
    pub fn memory(&self) -> Duration {
        Duration::from_secs_f64(self.memory_s)
    }
}

impl LendingSettings {
    /// The sum of all guarantees.
    pub fn guaranteed(&self) -> u32 {
        self.teams.values().map(|team| team.guarantee).sum()
    }
}

#[cfg(test)]
mod tests;
