//! The operators' settings of this part: a section `activation`, and one
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

/// How the sections of this part are called.
const SECTIONS: PartSections =
    PartSections { general: "activation", prefix: "model ", table: "models" };
/// The key that other times of a model are ratios to.
const LOAD_TIME: &str = "load_s";
const BYTES_PER_KB: f64 = 1024.0;

/// Where requests to models are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listen {
    /// At this port of the address that users reach the controller by: the same file
    /// serves all controllers.
    Port(u16),
    /// At this very address.
    Address(SocketAddr),
}

impl Listen {
    fn parse(text: &str) -> Option<Self> {
        let port = text.parse().map(Self::Port).ok();
        port.or_else(|| text.parse().map(Self::Address).ok())
    }

    /// The address, for a controller that users reach at `public`.
    pub fn address(self, public: IpAddr) -> SocketAddr {
        match self {
            Self::Port(port) => SocketAddr::new(public, port),
            Self::Address(address) => address,
        }
    }
}

/// What holds for all models.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ActivationSettings {
    /// Where requests to models are taken.
    #[garde(skip)]
    pub listen: Listen,
    /// Requests that one controller holds at once.
    #[garde(range(min = 1.0, max = 1e6))]
    pub hold_requests: f64,
    /// Bytes of their bodies.
    #[garde(range(min = 1.0, max = 1e9))]
    pub hold_kb: f64,
    /// The longest body of one request.
    #[garde(range(min = 1.0, max = self.hold_kb))]
    pub request_kb: f64,
    /// How long a request may take once it is forwarded.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub request_s: f64,
    /// How long a controller that can't renew its session goes on forwarding to
    /// models that were ready. A model drains for as long, and for one request.
    #[garde(range(min = 0.0, max = MAX_TIME_S))]
    pub outage_s: f64,
    /// The models, by name.
    #[garde(dive)]
    pub models: BTreeMap<String, ModelSettings>,
}

/// One model: its replicas as the scheduler is to place them, and when it sleeps.
#[derive(Clone, Debug, PartialEq, Validate)]
pub struct ModelSettings {
    /// The team that pays for it.
    #[garde(length(bytes, min = 1, max = 200))]
    pub team: String,
    /// Its class of jobs.
    #[garde(length(bytes, min = 1, max = 200))]
    pub class: String,
    /// The image that a machine needs.
    #[garde(length(bytes, min = 1, max = 200))]
    pub image: String,
    /// Its size.
    #[garde(range(min = 0.0, max = 1e6))]
    pub image_gb: f64,
    /// How urgent its replicas are, in the submission's terms.
    #[garde(custom(known_priority))]
    pub priority: String,
    /// How many replicas it has.
    #[garde(range(min = 1.0, max = 1e5), custom(whole_number))]
    pub replicas: f64,
    /// What each takes.
    #[garde(range(min = 0.0, max = 1e6))]
    pub cpus: f64,
    /// What each takes.
    #[garde(range(min = 0.0, max = 1e6))]
    pub gpus: f64,
    /// What each takes.
    #[garde(range(min = 0.0, max = 1e9))]
    pub memory_gb: f64,
    /// The port at which a replica answers on its machine.
    #[garde(range(min = 1.0, max = 65535.0), custom(whole_number))]
    pub port: f64,
    /// The path that a replica answers with 200 once it can take requests.
    #[garde(custom(url_path))]
    pub health: String,
    /// How long a replica usually takes from the request for it to its first answer.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub load_s: f64,
    /// When a start is given up that has not brought an answer.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(at_least("load_s", self.load_s)))]
    pub start_s: f64,
    /// How long a request is held for a start.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub hold_s: f64,
    /// The model sleeps after so long without a request at any controller.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub idle_s: f64,
    /// But not sooner after a start.
    #[garde(range(min = 0.0, max = MAX_TIME_S))]
    pub awake_s: f64,
    /// How often one cold start tries to start it.
    #[garde(range(min = 1.0, max = 100.0), custom(whole_number))]
    pub attempts: f64,
    /// The pause before the second attempt; it doubles with each further one.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub backoff_s: f64,
    /// How long requests are refused after the last attempt.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S))]
    pub retry_s: f64,
    /// How often the owner probes the replicas.
    #[garde(range(min = MIN_TIME_S, max = MAX_TIME_S), custom(at_most("start_s", self.start_s)))]
    pub look_s: f64,
}

impl ActivationSettings {
    /// Bytes of bodies that may be held at once.
    pub fn hold_bytes(&self) -> usize {
        (self.hold_kb * BYTES_PER_KB) as usize
    }

    /// Bytes of the longest body.
    pub fn request_bytes(&self) -> usize {
        (self.request_kb * BYTES_PER_KB) as usize
    }

    /// How long a forwarded request may take.
    pub fn request_limit(&self) -> Duration {
        Duration::from_secs_f64(self.request_s)
    }

    /// How long requests are forwarded beyond the session.
    pub fn outage(&self) -> Duration {
        Duration::from_secs_f64(self.outage_s)
    }

    /// How long a model drains: a controller that lost its session forwards for
    /// `outage_s` more, and its last request ends `request_s` later.
    pub fn drain(&self) -> Duration {
        self.outage() + self.request_limit()
    }
}

impl ModelSettings {
    /// The pause before an attempt, without jitter.
    pub fn backoff(&self, attempt: u32) -> Duration {
        if attempt <= 1 {
            return Duration::ZERO;
        }
        let doublings = i32::try_from(attempt - 2).unwrap_or(i32::MAX);
        Duration::from_secs_f64((self.backoff_s * 2f64.powi(doublings)).min(MAX_TIME_S))
    }
}

/// Reads the sections of this part out of an INI file's. None if there is no section
/// `activation`. Sections of other parts are passed over.
pub fn parse_sections<'a>(
    sections: impl Iterator<Item = (&'a str, Vec<(&'a str, &'a str)>)>,
) -> Result<Option<ActivationSettings>, FieldError> {
    let part = SECTIONS.read(sections, general, |_, section| model_settings(section))?;
    let Some(part) = part else { return Ok(None) };
    let settings = ActivationSettings { models: part.named, ..part.general };
    settings.validate().map_err(|report| first_error(&report))?;
    Ok(Some(settings))
}

/// Whether a section belongs to this part.
pub fn is_section(name: &str) -> bool {
    SECTIONS.contains(name)
}

/// The first mistake of a report, in the file's terms.
fn first_error(report: &garde::Report) -> FieldError {
    // Other times follow from the load time where they are not set, and so do their
    // mistakes.
    let follows = |path: &garde::Path| !path.to_string().ends_with(LOAD_TIME);
    SECTIONS.validation_error(report.iter().min_by_key(|(path, _)| follows(path)))
}

fn general(mut section: Section<'_>) -> Result<ActivationSettings, FieldError> {
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
    let load_s = section.number(LOAD_TIME, None)?;
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
        // Three usual starts, and four usual ones with their requests.
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
