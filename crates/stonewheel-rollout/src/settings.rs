//! The operators' settings of this part: a section `rollout`, and one `service NAME` for
//! each service.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::condition::PromotionCondition;
use garde::Validate;
use stonewheel_settings::{
    FieldError, MAX_TIME_S, MIN_TIME_S, PartSections, Section, known_priority, path, whole,
};

/// How the sections of this part are called.
const SECTIONS: PartSections =
    PartSections { general: "rollout", prefix: "service ", table: "services" };

/// Of the time between two probes, a promotion condition may take one in so many parts.
/// Its operations are limited too, and mostly end it far earlier; a process that
/// stands still for a moment must not turn a rollout back.
const CONDITION_TIMEOUT_DIVISOR: u32 = 4;

/// The times of a rollout, and what its health gate allows.
#[derive(Clone, Copy, Debug, PartialEq, Validate)]
pub struct RolloutSettings {
    /// How often replicas are probed.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub look_s: f64,
    /// A replica that has a place and doesn't answer for so long has failed.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(spans_several_probes(self.look_s)))]
    pub start_s: f64,
    /// How long a step is watched before the next one.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(spans_several_probes(self.look_s)))]
    pub soak_s: f64,
    /// How long a replica drains: longer than balancers and clients may lag, and than
    /// the longest request.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub drain_s: f64,
    /// Probes of new replicas that may go unanswered, as a share of all within a step.
    #[garde(range(min = 0.0, max = 1.0))]
    pub most_failures: f64,
}

/// A wait that is shorter than a few probes says nothing.
fn spans_several_probes(look_s: f64) -> impl FnOnce(&f64, &()) -> garde::Result {
    const MIN_PROBES: f64 = 3.0;
    move |value, &()| {
        if *value >= look_s * MIN_PROBES {
            return Ok(());
        }
        Err(garde::Error::new(format!("must be at least {MIN_PROBES} times look_s")))
    }
}

/// One service: its replicas as the scheduler is to place them.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ServiceSettings {
    /// The team that pays for it.
    #[garde(length(bytes, min = 1, max = 200))]
    pub team: String,
    /// Its class of jobs.
    #[garde(length(bytes, min = 1, max = 200))]
    pub class: String,
    /// How urgent its replicas are, in the submission's terms.
    #[garde(custom(known_priority))]
    pub priority: String,
    /// The size of an image of any version.
    #[garde(range(min = 0.0, max = 1e6))]
    pub image_gb: f64,
    /// What each replica takes.
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// What each replica takes.
    #[garde(range(min = 0.0, max = 1e6))]
    pub gpus: f64,
    /// What each replica takes.
    #[garde(range(min = 0.0, max = 1e9))]
    pub memory_gb: f64,
    /// The port at which a replica answers on its machine.
    #[garde(range(min = 1.0, max = 65535.0), custom(whole))]
    pub port: f64,
    /// The path that a replica answers with 200 once it can take requests.
    #[garde(custom(path))]
    pub health: String,
    /// What must hold of a step that the health gate takes for healthy, before the
    /// next one.
    #[garde(skip)]
    pub promote_when: Option<PromotionCondition>,
}

/// All settings of this part.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct Rollouts {
    /// Where commands are taken.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// The times of rollouts.
    #[garde(dive)]
    pub times: RolloutSettings,
    /// The services, by name.
    #[garde(dive)]
    pub services: BTreeMap<String, ServiceSettings>,
}

/// Whether a section belongs to this part.
pub fn is_section(name: &str) -> bool {
    SECTIONS.contain(name)
}

/// Reads the sections of this part out of an INI file's. None if there is no section
/// `rollout`. Sections of other parts are passed over.
pub fn parse_sections<'a>(
    sections: impl Iterator<Item = (&'a str, Vec<(&'a str, &'a str)>)>,
) -> Result<Option<Rollouts>, FieldError> {
    let part = SECTIONS.read(sections, general_settings, |_, section| service_settings(section))?;
    let Some(part) = part else { return Ok(None) };
    let (listen, times) = part.general;
    let rollouts = Rollouts { listen, times, services: part.named };
    rollouts.validate().map_err(|report| SECTIONS.validation_error(report.iter().next()))?;
    Ok(Some(rollouts))
}

fn general_settings(mut section: Section<'_>) -> Result<(SocketAddr, RolloutSettings), FieldError> {
    let listen = section.text("listen", Some("127.0.0.1:8091"))?;
    let listen = listen.parse().map_err(|_| section.error("listen", "must be address:port"))?;
    let look_s = section.number("look_s", Some(1.0))?;
    let times = RolloutSettings {
        look_s,
        start_s: section.number("start_s", None)?,
        soak_s: section.number("soak_s", Some(look_s * 60.0))?,
        drain_s: section.number("drain_s", None)?,
        most_failures: section.number("most_failures", Some(0.05))?,
    };
    section.end()?;
    Ok((listen, times))
}

fn service_settings(mut section: Section<'_>) -> Result<ServiceSettings, FieldError> {
    let settings = ServiceSettings {
        team: section.text("team", None)?,
        class: section.text("class", None)?,
        priority: section.text("priority", Some("production"))?,
        image_gb: section.number("image_gb", None)?,
        cpus: section.number("cpus", None)?,
        gpus: section.number("gpus", None)?,
        memory_gb: section.number("memory_gb", None)?,
        port: section.number("port", None)?,
        health: section.text("health", Some("/health"))?,
        promote_when: promote_when(&mut section)?,
    };
    section.end()?;
    Ok(settings)
}

fn promote_when(section: &mut Section<'_>) -> Result<Option<PromotionCondition>, FieldError> {
    let text = section.text("promote_when", Some(""))?;
    if text.is_empty() {
        return Ok(None);
    }
    let condition = PromotionCondition::parse(&text);
    condition.map(Some).map_err(|error| section.error("promote_when", &error.to_string()))
}

impl RolloutSettings {
    /// How long an evaluation of a promotion condition may take.
    pub fn condition_timeout(&self) -> Duration {
        self.probe_interval() / CONDITION_TIMEOUT_DIVISOR
    }

    /// How often replicas are probed.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_secs_f64(self.look_s)
    }

    /// How long a start may take from a place to an answer.
    pub fn start_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.start_s)
    }

    /// How long a step is watched.
    pub fn soak_time(&self) -> Duration {
        Duration::from_secs_f64(self.soak_s)
    }

    /// How long a replica drains.
    pub fn drain_time(&self) -> Duration {
        Duration::from_secs_f64(self.drain_s)
    }
}

#[cfg(test)]
mod tests;
