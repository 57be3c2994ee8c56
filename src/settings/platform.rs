//! The platform's file (TOML): its tables as structs, and how it is read.
//!
//! Field names are the keys of the file. Keys that end in `_s` are seconds, `_kb` KiB,
//! `_mb` MiB, and `rps` calls a second.

use std::{net::SocketAddr, path::Path, sync::Arc};

use serde::Deserialize;
use stonewheel_settings::FieldError;

use super::{error::SettingsError, limits::StateLimits, operator::OperatorSettings};

/// Amounts are sums of decimal numbers, so equality needs a little slack.
const AMOUNT_TOLERANCE: f64 = 1e-6;

/// All settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's own name.
    pub member: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Where users and workers reach it.
    pub public_addr: SocketAddr,
    /// Where the other controllers reach it.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The services that it depends on.
    pub services: Services,
    /// What holds for the whole deployment.
    pub cluster: Cluster,
    /// The operators' own settings, from a file of theirs.
    #[serde(skip)]
    pub operator: OperatorSettings,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its name.
    pub member: String,
    /// Its internal address.
    pub endpoint: SocketAddr,
}

/// Addresses of the services that a controller depends on.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's interface.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What holds for the whole deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    /// How many controllers there are.
    pub size: u32,
    /// All zones, in the order by which records number them.
    pub zones: Vec<Arc<str>>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times that workers and controllers agree on.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What a controller itself may use.
    pub quota: Quota,
}

/// A team's guarantee and limit. 0 means none: no guarantee, no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Guaranteed CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// The limit on CPU cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The limit on GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether so much in use lies within the team's guarantee. A team
    /// without any guarantee has nothing within it.
    pub fn guarantees(&self, cpus: f64, gpus: f64) -> bool {
        let has_guarantee = self.cpus > 0.0 || self.gpus > 0.0;
        has_guarantee && is_within(cpus, self.cpus) && is_within(gpus, self.gpus)
    }
}

fn is_within(amount: f64, limit: f64) -> bool {
    limit <= 0.0 || amount <= limit + AMOUNT_TOLERANCE
}

/// A service-level objective of the operators.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What it is about.
    pub kind: String,
    /// The class of jobs that it holds for; all if absent.
    #[serde(default)]
    pub class: Option<Arc<str>>,
    /// The longest wait, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Times that workers and controllers agree on, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Between two heartbeats of a worker.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// Times of the platform's workers for gangs, which this service checks but doesn't use.
    pub gang_wait_s: f64,
    /// See `gang_wait_s`.
    pub gang_peer_s: f64,
    /// From the answer to a cancellation until none of the job's tasks may run.
    pub cancel_s: f64,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// How far a list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// What a controller itself may use of its machine.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// Share of a core.
    pub core_share: f64,
    /// Memory in MiB.
    pub mem_mb: f64,
    /// Open file descriptors.
    pub fd_limit: u32,
}

impl Settings {
    /// Reads and checks the platform's file and, if there is one, the operators'.
    pub fn load(path: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        let mut settings = Self::parse(&path.display().to_string(), &read_file(path)?)?;
        if let Some(path) = operator {
            let file = path.display().to_string();
            settings.operator = OperatorSettings::parse(&file, &read_file(path)?)?;
            settings.check_parts(&file)?;
        }
        Ok(settings)
    }

    /// Reads and checks the platform's settings; `file` is their name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let deserializer = toml::Deserializer::parse(text)
            .map_err(|error| toml_error(file, "syntax", error.message()))?;
        let settings: Self = serde_path_to_error::deserialize(deserializer).map_err(|error| {
            toml_error(file, &error.path().to_string(), error.inner().message())
        })?;
        settings.check().map_err(|error| SettingsError::new(file, error))?;
        Ok(settings)
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|team| &*team.name == name)
    }

    /// A zone's number in the records.
    pub fn zone_index(&self, zone: &str) -> Option<u8> {
        let at = self.cluster.zones.iter().position(|known| &**known == zone)?;
        u8::try_from(at).ok()
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| {
        let file = path.display().to_string();
        SettingsError::new(&file, FieldError::new("file", error.to_string()))
    })
}

/// The library's messages can have several lines, a settings error has one.
fn toml_error(file: &str, field: &str, message: &str) -> SettingsError {
    let reason = message.split_whitespace().collect::<Vec<_>>().join(" ");
    SettingsError::new(file, FieldError::new(field, reason))
}
