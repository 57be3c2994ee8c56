//! The platform's file (TOML): its tables as structs, and its parsing.
//!
//! Field names are the keys of the file. Keys that end in `_s` are in seconds, `_kb` in KiB,
//! `_mb` in MiB, and `rps` in calls a second.

use std::{net::SocketAddr, path::Path, sync::Arc};

use serde::Deserialize;
use stonewheel_settings::FieldError;

use super::{error::SettingsError, limits::StateLimits, operator::OperatorSettings};

/// The tolerance in comparisons of amounts with limits: amounts are sums of decimal fractions,
/// which floating point rounds.
const AMOUNT_TOLERANCE: f64 = 1e-6;

/// All settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub member: String,
    /// The zone that this controller runs in.
    pub zone: String,
    /// The address on which this controller listens for users and workers.
    pub public_addr: SocketAddr,
    /// The address on which this controller listens for the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The services that this controller depends on.
    pub services: Services,
    /// The settings of the whole deployment.
    pub cluster: Cluster,
    /// The operators' settings, from a separate file.
    #[serde(skip)]
    pub operator: OperatorSettings,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// The controller's name.
    pub member: String,
    /// The controller's internal address.
    pub endpoint: SocketAddr,
}

/// Addresses of the services that a controller depends on.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The address of the cloud's API.
    pub cloud: SocketAddr,
    /// The address of the state service.
    pub state: SocketAddr,
}

/// The settings of the whole deployment, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    /// The number of controllers.
    pub size: u32,
    /// All zones. Records refer to a zone by its index in this list.
    pub zones: Vec<Arc<str>>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and time-outs that workers and controllers have in common.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// The resources that a controller process may use.
    pub quota: Quota,
}

/// A team's guarantee and limit. 0 means no guarantee or no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// The team's name.
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
    /// Whether a use of this many CPU cores and GPUs is within the team's guarantee. Always
    /// false for a team that has neither a CPU nor a GPU guarantee.
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
    /// The kind of the objective. The scheduler acts on `wait` only, the time until a job's tasks
    /// start; other kinds are accepted and ignored.
    pub kind: String,
    /// The class of jobs that the objective applies to; all classes if absent.
    #[serde(default)]
    pub class: Option<Arc<str>>,
    /// The maximum wait, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Intervals and time-outs that workers and controllers have in common, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// The time between two heartbeats of a worker.
    pub report_s: f64,
    /// The duration of a worker's lease.
    pub lease_s: f64,
    /// A time that the platform's workers apply to gangs. This service validates the value and
    /// doesn't use it.
    pub gang_wait_s: f64,
    /// Another time for gangs, validated and not used like `gang_wait_s`.
    pub gang_peer_s: f64,
    /// The maximum time from the response to a cancellation until none of the job's tasks runs.
    pub cancel_s: f64,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// The maximum age of the state that a machine list shows, in seconds.
    pub list_lag_s: f64,
}

/// The resources of its machine that a controller process may use.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// The share of a CPU core.
    pub core_share: f64,
    /// Memory in MiB.
    pub mem_mb: f64,
    /// Open file descriptors.
    pub fd_limit: u32,
}

impl Settings {
    /// Reads and validates the platform's file and, if given, the operators' file.
    pub fn load(path: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        let mut settings = Self::parse(&path.display().to_string(), &read_file(path)?)?;
        if let Some(path) = operator {
            let file = path.display().to_string();
            settings.operator = OperatorSettings::parse(&file, &read_file(path)?)?;
            settings.check_parts(&file)?;
        }
        Ok(settings)
    }

    /// Parses and validates the platform's settings. Errors name `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let deserializer = toml::Deserializer::parse(text)
            .map_err(|error| toml_error(file, "syntax", error.message()))?;
        let settings: Self = serde_path_to_error::deserialize(deserializer).map_err(|error| {
            toml_error(file, &error.path().to_string(), error.inner().message())
        })?;
        settings.check().map_err(|error| SettingsError::new(file, error))?;
        Ok(settings)
    }

    /// Returns the team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|team| &*team.name == name)
    }

    /// Returns the index by which records refer to a zone.
    pub fn zone_index(&self, zone: &str) -> Option<u8> {
        let index = self.cluster.zones.iter().position(|known| &**known == zone)?;
        u8::try_from(index).ok()
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| {
        let file = path.display().to_string();
        SettingsError::new(&file, FieldError::new("file", error.to_string()))
    })
}

/// Converts a message of the TOML library, which can have several lines, into a settings error,
/// which has one.
fn toml_error(file: &str, field: &str, message: &str) -> SettingsError {
    let reason = message.split_whitespace().collect::<Vec<_>>().join(" ");
    SettingsError::new(file, FieldError::new(field, reason))
}
