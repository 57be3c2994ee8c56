//! The operators' settings of rollouts: a section `rollout`, and a section `service NAME`
//! for each service.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::condition::PromotionCondition;
use garde::Validate;
use stonewheel_settings::{
    FieldError, MAX_TIME_S, MIN_TIME_S, PartSections, Section, known_priority, url_path,
    whole_number,
};

/// The names of the sections of rollouts.
const SECTIONS: PartSections =
    PartSections { general: "rollout", prefix: "service ", table: "services" };

/// The evaluation of a promotion condition may take the probe interval divided by this. The
/// limit on a script's operations mostly stops it far earlier. The time limit is generous
/// because a short stall of the process must not roll a rollout back.
const CONDITION_TIMEOUT_DIVISOR: u32 = 4;

/// The times of rollouts, and the failures that the health gate tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Validate)]
pub struct RolloutSettings {
    /// The interval between two probes of a replica.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub look_s: f64,
    /// A replica that is placed on a machine and doesn't answer for this long has failed.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(spans_several_probes(self.look_s)))]
    pub start_s: f64,
    /// The soak time: how long the replicas are probed at the end of a step before the next
    /// one begins.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(spans_several_probes(self.look_s)))]
    pub soak_s: f64,
    /// How long a replica drains: longer than load balancers and clients take to notice that it
    /// drains, and longer than the longest request.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub drain_s: f64,
    /// The share of probes that may go unanswered: of all new replicas within a soak time,
    /// and of each replica since it first answered.
    #[garde(range(min = 0.0, max = 1.0))]
    pub most_failures: f64,
}

/// Checks that a time spans several probes: fewer would be too few to decide on.
fn spans_several_probes(look_s: f64) -> impl FnOnce(&f64, &()) -> garde::Result {
    const MIN_PROBES: f64 = 3.0;
    move |value, &()| {
        if *value >= look_s * MIN_PROBES {
            return Ok(());
        }
        Err(garde::Error::new(format!("must be at least {MIN_PROBES} times look_s")))
    }
}

/// One service, and what the scheduler needs to know to place its replicas.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ServiceSettings {
    /// The team that the replicas are accounted to.
    #[garde(length(bytes, min = 1, max = 200))]
    pub team: String,
    /// The class of the replicas' jobs.
    #[garde(length(bytes, min = 1, max = 200))]
    pub class: String,
    /// The priority of the replicas' jobs, by the name that job submissions use.
    #[garde(custom(known_priority))]
    pub priority: String,
    /// The size of the image of each version, in GB.
    #[garde(range(min = 0.0, max = 1e6))]
    pub image_gb: f64,
    /// CPU cores of each replica.
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// GPUs of each replica.
    #[garde(range(min = 0.0, max = 1e6))]
    pub gpus: f64,
    /// Memory of each replica, in GB.
    #[garde(range(min = 0.0, max = 1e9))]
    pub memory_gb: f64,
    /// The port at which a replica answers on its machine.
    #[garde(range(min = 1.0, max = 65535.0), custom(whole_number))]
    pub port: f64,
    /// The path of the health check: a replica answers it with 200 once it can take requests.
    #[garde(custom(url_path))]
    pub health: String,
    /// The condition that must also hold, once the health gate finds a step healthy, before
    /// the next step begins.
    #[garde(skip)]
    pub promote_when: Option<PromotionCondition>,
}

/// All settings of rollouts.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct Rollouts {
    /// The address at which operators' commands are taken over HTTP.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// The times and tolerances of all rollouts.
    #[garde(dive)]
    pub times: RolloutSettings,
    /// The services, by name.
    #[garde(dive)]
    pub services: BTreeMap<String, ServiceSettings>,
}

/// Whether a section belongs to the settings of rollouts.
pub fn is_section(name: &str) -> bool {
    SECTIONS.contains(name)
}

/// Reads the sections of rollouts among those of an INI file. Returns `None` if there are
/// none. Other sections are ignored.
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
    section.reject_unknown_keys()?;
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
    section.reject_unknown_keys()?;
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
    /// Returns how long the evaluation of a promotion condition may take.
    pub fn condition_timeout(&self) -> Duration {
        self.probe_interval() / CONDITION_TIMEOUT_DIVISOR
    }

    /// Returns the interval between two probes of a replica.
    pub fn probe_interval(&self) -> Duration {
        Duration::from_secs_f64(self.look_s)
    }

    /// Returns how long a replica may take from its placement on a machine to its first
    /// answer.
    pub fn start_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.start_s)
    }

    /// Returns how long the replicas are probed at the end of a step.
    pub fn soak_time(&self) -> Duration {
        Duration::from_secs_f64(self.soak_s)
    }

    /// Returns how long a replica drains.
    pub fn drain_time(&self) -> Duration {
        Duration::from_secs_f64(self.drain_s)
    }
}

#[cfg(test)]
mod tests;
