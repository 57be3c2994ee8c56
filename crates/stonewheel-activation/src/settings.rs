//! The operators' settings for scale to zero: a section `activation`, and a section
//! `model NAME` for each model.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use garde::Validate;
use stonewheel_settings::{
    FieldError, MAX_TIME_S, MIN_TIME_S, PartSections, Section, at_least, at_most, known_priority,
    url_path, whole_number,
};

/// Names of this crate's sections in the settings file.
const SECTIONS: PartSections =
    PartSections { general: "activation", prefix: "model ", table: "models" };
/// The key of the load time. Other times of a model default to ratios of the load time.
const LOAD_TIME_KEY: &str = "load_s";
const BYTES_PER_KB: f64 = 1024.0;

/// Address at which the gateway listens for requests to models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listen {
    /// This port of the controller's public address. All controllers can share a settings
    /// file that gives only the port.
    Port(u16),
    /// This address and port.
    Address(SocketAddr),
}

impl Listen {
    fn parse(text: &str) -> Option<Self> {
        let port = text.parse().map(Self::Port).ok();
        port.or_else(|| text.parse().map(Self::Address).ok())
    }

    /// Returns the address to listen at, for a controller whose public address is `public`.
    pub fn address(self, public: IpAddr) -> SocketAddr {
        match self {
            Self::Port(port) => SocketAddr::new(public, port),
            Self::Address(address) => address,
        }
    }
}

/// Settings that apply to all models, and the settings of each.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ActivationSettings {
    /// Address at which the gateway listens for requests to models.
    #[garde(skip)]
    pub listen: Listen,
    /// Maximum number of requests that one controller holds at the same time.
    #[garde(range(min = 1.0, max = 1e6))]
    pub hold_requests: f64,
    /// Maximum total size of the bodies of held requests at one controller, in KiB.
    #[garde(range(min = 1.0, max = 1e9))]
    pub hold_kb: f64,
    /// Maximum size of the body of one request, in KiB.
    #[garde(range(min = 1.0, max = self.hold_kb))]
    pub request_kb: f64,
    /// Timeout of a forwarded request.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub request_s: f64,
    /// How long a controller continues to forward requests to ready models after its
    /// session has ended because it could not be renewed. A model drains for this time
    /// plus `request_s`.
    #[garde(range(min = 0.0, max = MAX_TIME_S))]
    pub outage_s: f64,
    /// The models, by name.
    #[garde(dive)]
    pub models: BTreeMap<String, ModelSettings>,
}

/// Settings of one model: its replicas as the scheduler is to place them, and when it is
/// started and scaled to zero.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ModelSettings {
    /// Team that the replicas are charged to.
    #[garde(length(bytes, min = 1, max = 200))]
    pub team: String,
    /// Job class of the replicas' job.
    #[garde(length(bytes, min = 1, max = 200))]
    pub class: String,
    /// Image that a machine needs to run a replica.
    #[garde(length(bytes, min = 1, max = 200))]
    pub image: String,
    /// Size of the image in GB.
    #[garde(range(min = 0.0, max = 1e6))]
    pub image_gb: f64,
    /// Priority of the replicas' job, by the name that job submissions use.
    #[garde(custom(known_priority))]
    pub priority: String,
    /// Number of replicas.
    #[garde(range(min = 1.0, max = 1e5), custom(whole_number))]
    pub replicas: f64,
    /// CPUs of each replica.
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// GPUs of each replica.
    #[garde(range(min = 0.0, max = 1e6))]
    pub gpus: f64,
    /// Memory of each replica in GB.
    #[garde(range(min = 0.0, max = 1e9))]
    pub memory_gb: f64,
    /// Port at which a replica answers on its machine.
    #[garde(range(min = 1.0, max = 65535.0), custom(whole_number))]
    pub port: f64,
    /// Path of the health check: a replica answers it with status 200 once it can serve
    /// requests.
    #[garde(custom(url_path))]
    pub health: String,
    /// Usual time from the request for a replica until the replica first answers.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub load_s: f64,
    /// Timeout of a start attempt, counted from the record of the attempt and so including
    /// the back-off: the attempt has failed if no replica answers by then.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(at_least("load_s", self.load_s)))]
    pub start_s: f64,
    /// Maximum time for which a request is held.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub hold_s: f64,
    /// The model is scaled to zero after this time without a request at any controller.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub idle_s: f64,
    /// Minimum time that the model stays ready before it may be scaled to zero.
    #[garde(range(min = 0.0, max = MAX_TIME_S))]
    pub awake_s: f64,
    /// Maximum number of start attempts in one cold start.
    #[garde(range(min = 1.0, max = 100.0), custom(whole_number))]
    pub attempts: f64,
    /// Back-off before the second attempt; doubles with each further attempt.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub backoff_s: f64,
    /// How long requests are refused after a cold start was given up.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub retry_s: f64,
    /// Interval between the owner's probes of the replicas.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(at_most("start_s", self.start_s)))]
    pub look_s: f64,
}

impl ActivationSettings {
    /// Returns `hold_kb` in bytes.
    pub fn max_held_bytes(&self) -> usize {
        (self.hold_kb * BYTES_PER_KB) as usize
    }

    /// Returns `request_kb` in bytes.
    pub fn max_request_bytes(&self) -> usize {
        (self.request_kb * BYTES_PER_KB) as usize
    }

    /// Returns the timeout of a forwarded request.
    pub fn request_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.request_s)
    }

    /// Returns how long requests are still forwarded after the session has ended.
    pub fn outage_tolerance(&self) -> Duration {
        Duration::from_secs_f64(self.outage_s)
    }

    /// Returns how long a model drains: a controller that lost its session forwards
    /// requests for another `outage_s`, and the last of them ends within `request_s`.
    pub fn drain_time(&self) -> Duration {
        self.outage_tolerance() + self.request_timeout()
    }
}

impl ModelSettings {
    /// Returns the back-off before an attempt, without jitter.
    pub fn backoff(&self, attempt: u32) -> Duration {
        if attempt <= 1 {
            return Duration::ZERO;
        }
        let doublings = i32::try_from(attempt - 2).unwrap_or(i32::MAX);
        Duration::from_secs_f64((self.backoff_s * 2f64.powi(doublings)).min(MAX_TIME_S))
    }
}

/// Reads this crate's settings from the sections of an INI file. None if there is no
/// section `activation`. Sections of other parts are ignored.
pub fn parse_sections<'a>(
    sections: impl Iterator<Item = (&'a str, Vec<(&'a str, &'a str)>)>,
) -> Result<Option<ActivationSettings>, FieldError> {
    let part = SECTIONS.read(sections, general_settings, |_, section| model_settings(section))?;
    let Some(part) = part else { return Ok(None) };
    let settings = ActivationSettings { models: part.named, ..part.general };
    settings.validate().map_err(|report| first_error(&report))?;
    Ok(Some(settings))
}

/// Whether a section of the settings file belongs to this crate.
pub fn is_section(name: &str) -> bool {
    SECTIONS.contains(name)
}

/// Returns the first error of a report, by the names that the file uses.
fn first_error(report: &garde::Report) -> FieldError {
    // Times that are not set derive from the load time, so an invalid load time makes them
    // invalid, too: an error of the load time itself comes first.
    let is_other_key = |path: &garde::Path| !path.to_string().ends_with(LOAD_TIME_KEY);
    SECTIONS.validation_error(report.iter().min_by_key(|(path, _)| is_other_key(path)))
}

fn general_settings(mut section: Section<'_>) -> Result<ActivationSettings, FieldError> {
    let listen = section.text("listen", None)?;
    let listen = Listen::parse(&listen)
        .ok_or_else(|| section.error("listen", "must be a port or address:port"))?;
    let settings = ActivationSettings {
        listen,
        hold_requests: section.number("hold_requests", Some(1000.0))?,
        hold_kb: section.number("hold_kb", Some(4096.0))?,
        request_kb: section.number("request_kb", Some(64.0))?,
        request_s: section.number("request_s", Some(60.0))?,
        outage_s: section.number("outage_s", Some(30.0))?,
        models: BTreeMap::new(),
    };
    section.reject_unknown_keys()?;
    Ok(settings)
}

fn model_settings(mut section: Section<'_>) -> Result<ModelSettings, FieldError> {
    let load_s = section.number(LOAD_TIME_KEY, None)?;
    let settings = ModelSettings {
        team: section.text("team", None)?,
        class: section.text("class", None)?,
        image: section.text("image", None)?,
        image_gb: section.number("image_gb", None)?,
        priority: section.text("priority", Some("high"))?,
        replicas: section.number("replicas", Some(1.0))?,
        cpus: section.number("cpus", None)?,
        gpus: section.number("gpus", None)?,
        memory_gb: section.number("memory_gb", None)?,
        port: section.number("port", None)?,
        health: section.text("health", Some("/health"))?,
        load_s,
        // An attempt may take three usual load times; requests are held for four.
        start_s: section.number("start_s", Some(load_s * 3.0))?,
        hold_s: section.number("hold_s", Some(load_s * 4.0))?,
        idle_s: section.number("idle_s", Some(load_s * 5.0))?,
        awake_s: section.number("awake_s", Some(load_s * 2.0))?,
        attempts: section.number("attempts", Some(3.0))?,
        backoff_s: section.number("backoff_s", Some(load_s / 8.0))?,
        retry_s: section.number("retry_s", Some(load_s))?,
        look_s: section.number("look_s", Some(load_s / 30.0))?,
    };
    section.reject_unknown_keys()?;
    Ok(settings)
}

#[cfg(test)]
mod tests;
