//! The platform's settings (TOML), the operators' own (INI), and the figures
//! derived from both.
//!
//! Everything is checked at the start: a controller that starts has settings
//! it can work with.

mod limits;
mod operator;
mod warnings;

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;
use stonewheel_lending::LendingSettings;
use thiserror::Error;

use limits::{BYTES_PER_KB, LEAST_TRANSACTION_WRITES};
pub use limits::{EffectiveLimits, NextStateLimits, StateLimits};
pub use operator::Operator;

/// Idle connections kept to the state service and to the cloud, twice: those
/// that a cut left half open take theirs until they time out.
const STATE_SOCKETS: usize = 16;
const CLOUD_SOCKETS: usize = 8;
/// Listeners, the runtime's own, standard streams.
const BASE_SOCKETS: usize = 12;
/// The longest name of a member that fits a key with another name.
const LONGEST_KEY_PART: usize = 64;
/// What listeners have where nothing else is asked for.
const LEAST_BACKLOG: u32 = 1024;

/// What a heartbeat can tell at least, however slow the state service is:
/// versions from before this was a ratio to the settings tell no more.
pub const MIN_NOTICED_CANCELLATIONS: usize = 1024;
/// A leader that is refused alone misses what others confirm until its lease
/// ends, and that as long again while the heartbeats catch up.
const NOTICED_LEASES: f64 = 2.0;

/// A page whose size follows today's limit must fit the coming one as long as
/// few of its tasks are bound: what is kept of completed ones takes a tenth.
const MOST_SHRINKING: f64 = 8.0;

/// One line that names the file, the field and the reason.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    pub file: String,
    pub field: String,
    pub reason: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub member: String,
    pub zone: String,
    pub public_addr: SocketAddr,
    pub internal_addr: SocketAddr,
    #[serde(default)]
    pub members: Vec<Member>,
    pub services: Services,
    pub cluster: Cluster,
    #[serde(skip)]
    pub operator: Operator,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub member: String,
    pub endpoint: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    pub size: u32,
    pub zones: Vec<Arc<str>>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub quota: Quota,
}

/// A team's guarantee and limit. 0 means none: no guarantee, no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: Arc<str>,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether so much in use lies within the team's guarantee. A team
    /// without any guarantee has nothing within it.
    pub fn guarantees(&self, cpus: f64, gpus: f64) -> bool {
        (self.cpus > 0.0 || self.gpus > 0.0) && within(cpus, self.cpus) && within(gpus, self.gpus)
    }
}

/// Amounts are sums of decimal numbers, so equality needs a little slack.
fn within(amount: f64, limit: f64) -> bool {
    limit <= 0.0 || amount <= limit + 1e-6
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<Arc<str>>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    pub core_share: f64,
    pub mem_mb: f64,
    pub fd_limit: u32,
}

impl Settings {
    pub fn load(path: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        let read = |path: &Path| {
            std::fs::read_to_string(path).map_err(|e| SettingsError {
                file: path.display().to_string(),
                field: "file".into(),
                reason: e.to_string(),
            })
        };
        let mut settings = Self::parse(&path.display().to_string(), &read(path)?)?;
        if let Some(path) = operator {
            let file = path.display().to_string();
            settings.operator = Operator::parse(&file, &read(path)?)?;
            settings.check_parts(&file)?;
        }
        Ok(settings)
    }

    /// What the parts that operators switched on need of the deployment.
    pub fn check_parts(&self, file: &str) -> Result<(), SettingsError> {
        let error =
            |field: String, reason: String| SettingsError { file: file.into(), field, reason };
        let operator = &self.operator;
        let models = operator.activation.iter().flat_map(|part| &part.models);
        let models = models.map(|(name, model)| (format!("model {name}"), &model.team));
        let services = operator.rollout.iter().flat_map(|part| &part.services);
        let services = services.map(|(name, service)| (format!("service {name}"), &service.team));
        for (section, team) in models.chain(services) {
            if self.team(team).is_none() {
                let reason = format!("cluster.teams has no {team}");
                return Err(error(format!("{section}.team"), reason));
            }
        }
        if let Some(lending) = &operator.lending {
            self.check_lending(lending).map_err(|(field, reason)| error(field, reason))?;
        }
        let conditions = self.state_limits().transaction_conditions();
        let parts = [
            ("activation", operator.activation.is_some()),
            ("rollout", operator.rollout.is_some()),
            ("lending", operator.lending.is_some()),
        ];
        let Some((part, _)) = parts.into_iter().find(|(_, on)| *on) else { return Ok(()) };
        if !stonewheel_activation::members_fit(self.members.len() + 1, conditions) {
            let reason = format!("a transaction of {conditions} conditions can't name all members");
            return Err(error(part.into(), reason));
        }
        let names = self.members.iter().map(|m| &m.member).chain([&self.member]);
        for name in names {
            let fits = name.len() <= LONGEST_KEY_PART && name.bytes().all(|b| b.is_ascii_graphic());
            if !fits || name.contains('/') {
                return Err(error(part.into(), format!("{name:?} can't be part of a key")));
            }
        }
        Ok(())
    }

    /// Lending promises no team more than the platform's file does.
    fn check_lending(&self, lending: &LendingSettings) -> Result<(), (String, String)> {
        for (name, team) in &lending.teams {
            let field = format!("lending-team {name}");
            let Some(promised) = self.team(name) else {
                return Err((field, format!("cluster.teams has no {name}")));
            };
            let gpus = f64::from(team.guarantee) * lending.times.machine_gpus;
            if promised.gpus > 0.0 && gpus > promised.gpus {
                let reason = format!("{gpus} GPUs are more than cluster.teams guarantees");
                return Err((format!("{field}.guarantee"), reason));
            }
        }
        Ok(())
    }

    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let error = |field: &str, reason: &str| SettingsError {
            file: file.into(),
            field: field.into(),
            // One line, whatever the library says.
            reason: reason.split_whitespace().collect::<Vec<_>>().join(" "),
        };
        let deserializer =
            toml::Deserializer::parse(text).map_err(|e| error("syntax", e.message()))?;
        let settings: Self = serde_path_to_error::deserialize(deserializer)
            .map_err(|e| error(&e.path().to_string(), e.inner().message()))?;
        settings.check().map_err(|(field, reason)| error(field, reason))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let c = &self.cluster;
        let positive = [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.gang_wait_s", c.workers.gang_wait_s),
            ("cluster.workers.gang_peer_s", c.workers.gang_peer_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", c.state.rps),
            ("cluster.state.write_rps", c.state.write_rps),
            ("cluster.state.value_kb", c.state.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
            ("cluster.quota.core_share", c.quota.core_share),
            ("cluster.quota.mem_mb", c.quota.mem_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err((field, "must be more than 0"));
            }
        }
        if !c.cloud.list_lag_s.is_finite() || c.cloud.list_lag_s < 0.0 {
            return Err(("cluster.cloud.list_lag_s", "must be at least 0"));
        }
        if self.member.is_empty() {
            return Err(("member", "must not be empty"));
        }
        if self.members.iter().any(|m| m.member == self.member) {
            return Err(("members", "must list the other controllers only"));
        }
        if c.size == 0 {
            return Err(("cluster.size", "must be at least 1"));
        }
        if c.zones.is_empty() || c.zones.len() > usize::from(u8::MAX) {
            return Err(("cluster.zones", "must name 1 to 255 zones"));
        }
        if c.state.txn_ops < LEAST_TRANSACTION_WRITES {
            return Err(("cluster.state.txn_ops", "must be at least 4"));
        }
        c.state.next.check()?;
        if c.state.next.value_kb.is_some_and(|kb| kb < c.state.value_kb / MOST_SHRINKING) {
            let reason = "must be at least an eighth of value_kb, or stored pages would not fit";
            return Err(("cluster.state.next.value_kb", reason));
        }
        if c.quota.fd_limit < 32 {
            return Err(("cluster.quota.fd_limit", "must be at least 32"));
        }
        for team in &c.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return Err(("cluster.teams", "amounts must be at least 0"));
            }
        }
        Ok(())
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| &*t.name == name)
    }

    pub fn zone_index(&self, zone: &str) -> Option<u8> {
        let at = self.cluster.zones.iter().position(|z| &**z == zone)?;
        u8::try_from(at).ok()
    }

    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.report_s)
    }

    /// A worker's lease, as long as it can last by this node's clock: steady
    /// clocks drift apart, so a safe wait is a little longer than the lease.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.lease_s * 1.005)
    }

    /// Takeover (the rest of this lease, an election, a first report) must
    /// fit well inside a worker's lease, so this is a third of it.
    pub fn leader_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.lease_s / 3.0)
    }

    /// How long a heartbeat of a leader keeps another controller from answering
    /// workers. Heartbeats leave four times per leader lease, so one may be
    /// lost; and all of it, with a restart, must fit into a worker's lease.
    pub fn renewal_abstention(&self) -> Duration {
        self.leader_lease() * 3 / 4
    }

    /// For how long workers may be answered after the last moment up to which
    /// all cancellations are known: a job cancelled just then must be gone, by
    /// its worker's own lease, within `cancel_s`.
    pub fn renewal_limit(&self) -> Duration {
        let workers = &self.cluster.workers;
        Duration::from_secs_f64((workers.cancel_s - workers.lease_s).max(0.0) * 0.9)
    }

    /// How long one call to the state service may take: three tries fit into
    /// the leader's lease.
    pub fn state_timeout(&self) -> Duration {
        self.leader_lease() / 3
    }

    /// Direct calls to workers under way at once. Each takes a socket, and to
    /// machines that hang for as long as a call may last.
    pub fn direct_calls(&self) -> usize {
        (self.cluster.quota.fd_limit as usize / 16).max(2)
    }

    /// Sockets that incoming connections of users and workers may take: all
    /// but those of the node's own calls. The state service, the cloud and the
    /// other controllers must always find one.
    pub fn public_sockets(&self) -> usize {
        let links = self.members.len() * 3;
        let own = self.direct_calls() + STATE_SOCKETS + CLOUD_SOCKETS + links + BASE_SOCKETS;
        (self.cluster.quota.fd_limit as usize).saturating_sub(own).max(8)
    }

    /// A leader's share of a limit that all controllers keep together: half of it, since the
    /// leader does most of the work.
    pub fn leader_share(&self, limit: f64) -> f64 {
        if self.cluster.size == 1 { limit } else { limit / 2.0 }
    }

    /// A follower's share of such a limit: an equal part of the other half.
    pub fn follower_share(&self, limit: f64) -> f64 {
        if self.cluster.size == 1 { limit } else { limit / 2.0 / f64::from(self.cluster.size - 1) }
    }

    /// What may be asked of the state service, now and after its limits fall.
    pub fn state_limits(&self) -> EffectiveLimits {
        self.cluster.state.effective()
    }

    /// Cancellations that one heartbeat can tell. Each takes a change of the
    /// state service, so its rate bounds what a leader can miss.
    pub fn noticed_cancellations(&self) -> usize {
        let state = &self.cluster.state;
        // Which of both limits is in force isn't known.
        let rate = state.write_rps.max(state.next.write_rps.unwrap_or(0.0));
        let missed = rate * self.leader_lease().as_secs_f64() * NOTICED_LEASES;
        (missed.round() as usize).max(MIN_NOTICED_CANCELLATIONS)
    }

    /// The longest frame that another controller may send to this one.
    pub fn frame_limit(&self) -> usize {
        crate::peers::frame_limit_for(self.noticed_cancellations())
    }

    /// Connections that may wait to be accepted. After a change of leader all
    /// workers may come within one heartbeat interval, and a connection that finds
    /// no room tries again only a second later.
    pub fn listen_backlog(&self) -> u32 {
        let sockets = u32::try_from(self.public_sockets()).unwrap_or(u32::MAX);
        sockets.max(LEAST_BACKLOG)
    }

    /// Tasks per durable page, such that a page full of bindings fits a value
    /// of today's limit. It must not follow `state.next`: versions that don't
    /// know that setting share the pages, and which tasks a page holds follows
    /// from its number alone. `controller/pages.rs` keeps the content within
    /// the smaller limit.
    pub fn page_tasks(&self) -> u32 {
        tasks_per_page((self.cluster.state.value_kb * BYTES_PER_KB) as usize)
    }

    /// Tasks of a page that fits a value also after the limits fall, even when
    /// all its tasks are bound.
    pub fn small_page_tasks(&self) -> u32 {
        tasks_per_page(self.state_limits().value_bytes)
    }
}

/// A page's record needs no more than this for each task that is bound.
pub const LARGEST_BINDING_BYTES: usize = 64;

fn tasks_per_page(value_bytes: usize) -> u32 {
    const MOST_TASKS: u32 = 1024;
    u32::try_from(value_bytes / LARGEST_BINDING_BYTES).unwrap_or(MOST_TASKS).clamp(1, MOST_TASKS)
}

#[cfg(test)]
mod tests;
