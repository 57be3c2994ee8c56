//! The platform's settings (TOML), the operators' own (INI), and the figures
//! derived from both.
//!
//! Everything is checked at the start: a controller that starts has settings
//! it can work with.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;
use thiserror::Error;

/// Idle connections kept to the state service and to the cloud, twice: those
/// that a cut left half open take theirs until they time out.
const STATE_SOCKETS: usize = 16;
const CLOUD_SOCKETS: usize = 8;
/// Listeners, the runtime's own, standard streams.
const BASE_SOCKETS: usize = 12;

/// The state service takes so many conditions for each write that a
/// transaction may have.
const CONDITIONS_PER_WRITE: usize = 4;
/// A job's end and the removal of its records must fit one transaction.
const LEAST_TRANSACTION_WRITES: usize = 4;
/// A submission with names of usual length must fit one value.
const LEAST_VALUE_KB: f64 = 0.5;
const BYTES_PER_KB: f64 = 1024.0;
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

/// The limits of the state service, and those that it may have later on.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that come into force at an unannounced moment.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Limits that the state service will have later; absent ones stay as they are.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

/// What may be asked of the state service now and later: of each limit the
/// smaller of the present and the coming one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveLimits {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Puts and deletes a second.
    pub writes_per_s: f64,
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Puts and deletes of one transaction.
    pub transaction_writes: usize,
}

impl EffectiveLimits {
    /// The most conditions that one transaction may have.
    pub fn transaction_conditions(&self) -> usize {
        self.transaction_writes * CONDITIONS_PER_WRITE
    }
}

impl NextStateLimits {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let rates = [
            ("cluster.state.next.rps", self.rps),
            ("cluster.state.next.write_rps", self.write_rps),
        ];
        for (field, rate) in rates {
            if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
                return Err((field, "must be more than 0"));
            }
        }
        if self.value_kb.is_some_and(|kb| !kb.is_finite() || kb < LEAST_VALUE_KB) {
            return Err(("cluster.state.next.value_kb", "must be at least 0.5"));
        }
        if self.txn_ops.is_some_and(|writes| writes < LEAST_TRANSACTION_WRITES) {
            return Err(("cluster.state.next.txn_ops", "must be at least 4"));
        }
        Ok(())
    }
}

impl StateLimits {
    /// The limits that hold at any time, whenever the coming ones begin.
    pub fn effective(&self) -> EffectiveLimits {
        let next = &self.next;
        let value_kb = self.value_kb.min(next.value_kb.unwrap_or(f64::INFINITY));
        EffectiveLimits {
            requests_per_s: self.rps.min(next.rps.unwrap_or(f64::INFINITY)),
            writes_per_s: self.write_rps.min(next.write_rps.unwrap_or(f64::INFINITY)),
            value_bytes: (value_kb * BYTES_PER_KB) as usize,
            transaction_writes: self.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX)),
        }
    }
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

/// What operators may set for themselves, with the project's defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Seconds between two rounds of the autoscaler (the design's Δ).
    pub round_s: f64,
    /// A running width changes only for at least this share more in total.
    pub resize_gain: f64,
    /// A gang's factor at width k is k / (1 + slope (k - 1)).
    pub gang_slope: f64,
    /// Idle machines are returned after this share of their type's boot time.
    pub idle_boots: f64,
    /// Empty machines kept ready, as a share of the root of the load of
    /// classes with an aim on waiting.
    pub headroom: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Self { round_s: 4.0, resize_gain: 0.05, gang_slope: 0.1, idle_boots: 0.25, headroom: 0.4 }
    }
}

impl Operator {
    /// Reads the INI file; unknown sections and keys are mistakes here, since
    /// an operator who mistypes a key would otherwise never learn of it.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let error = |field: &str, reason: &str| SettingsError {
            file: file.into(),
            field: field.into(),
            reason: reason.into(),
        };
        let ini = ini::Ini::load_from_str(text).map_err(|e| error("syntax", &e.to_string()))?;
        let mut operator = Self::default();
        for (section, keys) in ini.iter() {
            for (key, value) in keys.iter() {
                let field = format!("{}.{key}", section.unwrap_or(""));
                let slot = match field.as_str() {
                    "scheduler.round_s" => &mut operator.round_s,
                    "scheduler.resize_gain" => &mut operator.resize_gain,
                    "scheduler.gang_slope" => &mut operator.gang_slope,
                    "fleet.idle_boots" => &mut operator.idle_boots,
                    "fleet.headroom" => &mut operator.headroom,
                    _ => return Err(error(&field, "unknown key")),
                };
                *slot = value
                    .parse::<f64>()
                    .ok()
                    .filter(|v| v.is_finite() && *v >= 0.0)
                    .ok_or_else(|| error(&field, "must be a number of at least 0"))?;
            }
        }
        if operator.round_s <= 0.0 {
            return Err(error("scheduler.round_s", "must be more than 0"));
        }
        Ok(operator)
    }
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
            settings.operator = Operator::parse(&path.display().to_string(), &read(path)?)?;
        }
        Ok(settings)
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

    /// What will work, but badly: one line each, for the operator.
    pub fn warnings(&self) -> Vec<String> {
        let limits = self.state_limits();
        let mut found = Vec::new();
        // Each controller asks by itself, without any user: renewals or reads
        // several times per leader lease, and a watch.
        let quiet = 8.0 / self.leader_lease().as_secs_f64();
        let share = self.share(limits.requests_per_s, false);
        if share < quiet {
            found.push(format!(
                "cluster.state.rps: {:.1} requests a second are left for each of {} controllers, \
                 and {quiet:.1} go to watches and reads alone: answers will be late",
                share, self.cluster.size
            ));
        }
        let writes = self.share(limits.writes_per_s, false);
        if writes < 1.0 {
            found.push(format!(
                "cluster.state.write_rps: {writes:.1} changes a second are left for each of {} \
                 controllers: submissions will be late",
                self.cluster.size
            ));
        }
        // A list page, the types and a deletion, now and then, and rentals.
        if self.cluster.cloud.rps < 1.0 {
            found.push(format!(
                "cluster.cloud.rps: with {} calls a second machines are rented late",
                self.cluster.cloud.rps
            ));
        }
        let (own, all) = (self.public_sockets(), self.cluster.quota.fd_limit as usize);
        if own * 2 < all {
            found.push(format!(
                "cluster.quota.fd_limit: of {all} sockets {own} are left for users and workers, \
                 and each machine takes one of its leader"
            ));
        }
        let workers = &self.cluster.workers;
        if self.renewal_limit() < self.leader_lease() {
            found.push(format!(
                "cluster.workers.cancel_s: with a lease of {} s, {} s leave a leader that is cut off \
                 no time to learn of cancellations: some may be stopped late",
                workers.lease_s, workers.cancel_s
            ));
        }
        if self.members.len() + 1 != self.cluster.size as usize {
            found.push(format!(
                "members: {} others are listed for {} controllers",
                self.members.len(),
                self.cluster.size
            ));
        }
        if !self.cluster.zones.contains(&Arc::from(self.zone.as_str())) {
            found.push("zone: not among cluster.zones".into());
        }
        found
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| &*t.name == name)
    }

    pub fn zone_index(&self, zone: &str) -> Option<u8> {
        let at = self.cluster.zones.iter().position(|z| &**z == zone)?;
        u8::try_from(at).ok()
    }

    pub fn report(&self) -> Duration {
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
    pub fn renewal_promise(&self) -> Duration {
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

    /// This node's fair share of a budget that all controllers live on. The
    /// leader does most of the work, so it gets half.
    pub fn share(&self, budget: f64, leads: bool) -> f64 {
        if self.cluster.size == 1 {
            budget
        } else if leads {
            budget / 2.0
        } else {
            budget / 2.0 / f64::from(self.cluster.size - 1)
        }
    }

    /// What may be asked of the state service, now and after its limits fall.
    pub fn state_limits(&self) -> EffectiveLimits {
        self.cluster.state.effective()
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
