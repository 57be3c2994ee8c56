//! Machines as the leader knows them: incarnations, reports, silence, faults.
//!
//! The hard question here is when a task is certainly gone from a machine.
//! Only these count as proof: a heartbeat of a newer (incarnation, sequence) at the
//! leader's own token that lacks the task; a later incarnation; a deletion that
//! the cloud answered; or the worker's lease, counted from the leader's last
//! answer and from when surely no other controller answers (`lease_renewal.rs`).

mod image_cache;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use tokio::time::{Duration, Instant};

use crate::{
    controller::OpenStarts,
    fencing::TermTokens,
    protocol::{JobId, ListedMachine, MachineId, MachineState, WorkerHeartbeat},
    scheduler::Resources,
    settings::Settings,
};

pub use image_cache::ImageCache;

/// A job and the number of one of its tasks.
pub type TaskKey = (JobId, u32);

/// Reads the wire's `j-000412/3`.
pub fn parse_task(name: &str) -> Option<TaskKey> {
    let (job, task) = name.split_once('/')?;
    Some((job.into(), task.parse().ok()?))
}

/// The wire's name of a task.
pub fn task_name(job: &str, task: u32) -> String {
    format!("{job}/{task}")
}

#[derive(Debug)]
pub struct Machine {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub address: String,
    /// Known since (rented, listed or heard for the first time).
    pub since: Instant,
    /// Latest message seen: (incarnation, sequence).
    pub seen: (u64, u64),
    /// The worker has been seen at a token of this term.
    pub mine: bool,
    /// The highest token that the leader gave this worker, or saw there.
    pub token: u64,
    /// When the leader last answered a heartbeat of this worker, or it a direct
    /// order.
    pub answered: Option<Instant>,
    /// When it last reported by itself: a worker that only answers direct
    /// commands gets no lease.
    pub reported: Option<Instant>,
    /// When it was sent to look for another leader.
    pub sent_away: Option<Instant>,
    /// No task of this incarnation or an earlier one can be on the machine.
    pub dead_incarnation: u64,
    pub bound: BTreeSet<TaskKey>,
    /// Direct start commands of this incarnation that may still be carried out.
    pub open_starts: OpenStarts,
    /// Direct commands are under way.
    pub commands_in_flight: bool,
    /// What tasks on the machine use that the leader has not bound there.
    pub strangers: Resources,
    /// Images fetched here, as far as the leader placed their tasks.
    pub images: ImageCache,
    pub notice_until: Option<Instant>,
    pub deleting: bool,
    /// Not used before then: it failed tasks, or doesn't hear its commands.
    pub shunned_until: Option<Instant>,
    /// Jobs whose tasks failed here since a task last did well.
    pub failed_jobs: BTreeSet<JobId>,
    /// How often in a row it did not carry out an order.
    pub deaf: u32,
    /// Holds no task since.
    pub idle_since: Option<Instant>,
    pub listed: Option<MachineState>,
}

impl Machine {
    pub fn new(machine_type: Arc<str>, zone: Arc<str>, spot: bool, now: Instant) -> Self {
        Self {
            machine_type,
            zone,
            spot,
            address: String::new(),
            since: now,
            seen: (0, 0),
            mine: false,
            token: 0,
            answered: None,
            reported: None,
            sent_away: None,
            dead_incarnation: 0,
            bound: BTreeSet::new(),
            open_starts: OpenStarts::default(),
            commands_in_flight: false,
            strangers: Resources::default(),
            images: ImageCache::default(),
            notice_until: None,
            deleting: false,
            shunned_until: None,
            failed_jobs: BTreeSet::new(),
            deaf: 0,
            idle_since: None,
            listed: None,
        }
    }

    pub fn heard(&self) -> bool {
        self.answered.is_some()
    }

    /// Never heard, by this leader or, as far as it knows, a former one.
    pub fn unborn(&self) -> bool {
        !self.heard() && self.dead_incarnation == 0
    }

    /// How long the machine has not been heard (since it was known, if never).
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.answered.unwrap_or(self.since))
    }

    /// Whether new tasks may be bound to it.
    pub fn ready(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        self.usable(now, heartbeat_interval) && self.shunned_until.is_none_or(|until| until <= now)
    }

    /// Alive and under the leader's command.
    pub fn usable(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        self.mine
            && !self.deleting
            && self.notice_until.is_none()
            && self.seen.0 > self.dead_incarnation
            && self.reported.is_some_and(|at| now < at + heartbeat_interval * 3)
    }

    /// The incarnation that tasks on it belong to, as its heartbeats or else the
    /// records say.
    pub fn incarnation(&self, recorded: impl Iterator<Item = u64>) -> u64 {
        if self.seen.0 > 0 { self.seen.0 } else { recorded.max().unwrap_or(0) }
    }

    /// Proof by lease: the worker gave up its incarnation by itself, since nobody
    /// answered it for that long. `alone`: since when only the leader does,
    /// within its term. It need not have heard the worker.
    pub fn lease_over(&self, now: Instant, lease: Duration, alone: Option<Instant>) -> bool {
        alone.is_some_and(|alone| now > self.answered.map_or(alone, |at| at.max(alone)) + lease)
    }
}

/// Whether a silent worker's tasks can be shown to be gone by its lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseProof {
    /// The proof can be had now, or no outage has yet made it doubtful.
    pub provable: bool,
    /// Since when surely no other controller has answered workers.
    pub alone: Option<Instant>,
}

impl LeaseProof {
    /// Whether it comes within a lease for workers that were never heard.
    fn is_coming(&self, lease: Duration, now: Instant) -> bool {
        self.alone.is_some_and(|since| now <= since + lease)
    }
}

/// How new a heartbeat is.
#[derive(Debug, PartialEq, Eq)]
pub enum Freshness {
    Newer,
    /// A later incarnation than the one known before: everything earlier is gone.
    NewIncarnation,
    /// A late copy, or of an incarnation that is over, or of a machine deleted.
    Stale,
}

#[derive(Default)]
pub struct Fleet {
    pub machines: BTreeMap<MachineId, Machine>,
    /// Deleted for certain; lists and late reports may still speak of them.
    pub gone: HashMap<MachineId, Instant>,
    /// Zones that are cut off, and when that was last seen.
    cuts: HashMap<Arc<str>, Instant>,
}

impl Fleet {
    /// Notes a heartbeat and tells how new it is.
    pub fn note_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        tokens: TermTokens,
        lease: Duration,
        now: Instant,
    ) -> Freshness {
        if self.gone.contains_key(&heartbeat.machine) {
            return Freshness::Stale;
        }
        let machine = self.machines.entry(heartbeat.machine.clone()).or_insert_with(|| {
            let (kind, zone) = (heartbeat.machine_type.clone(), heartbeat.zone.clone());
            Machine::new(kind, zone, heartbeat.spot, now)
        });
        let seen = (heartbeat.incarnation, heartbeat.sequence);
        if seen <= machine.seen || heartbeat.incarnation <= machine.dead_incarnation {
            return Freshness::Stale;
        }
        let new_incarnation = heartbeat.incarnation > machine.seen.0;
        if new_incarnation && machine.mine && machine.silence(now) < lease * 3 / 4 {
            // Its lease ran out although its heartbeats were answered: the
            // answers do not reach it, and neither would commands.
            machine.deaf += 1;
            machine.shunned_until = Some(now + lease * machine.deaf);
        }
        if new_incarnation {
            machine.open_starts.end_incarnation();
        }
        if machine.answered.is_none() {
            // The list may have guessed; the machine itself knows.
            machine.machine_type = heartbeat.machine_type.clone();
            machine.zone = heartbeat.zone.clone();
            machine.spot = heartbeat.spot;
        }
        machine.seen = seen;
        machine.answered = Some(now);
        machine.mine = tokens.contains(heartbeat.token);
        // Requests with lower tokens are void from here on: either this report
        // shows what they did, or they do nothing any more.
        machine.open_starts.fence(heartbeat.token);
        machine.token = machine.token.max(heartbeat.token);
        machine.address.clone_from(&heartbeat.address);
        machine.notice_until = heartbeat
            .notice_s
            .filter(|s| s.is_finite())
            .map(|s| now + Duration::from_secs_f64(s.clamp(0.0, 1e6)));
        if new_incarnation { Freshness::NewIncarnation } else { Freshness::Newer }
    }

    /// Notes what the cloud lists. A list lags, so it proves nothing about
    /// machines it lacks; it only brings up those not known yet.
    pub fn note_list(&mut self, list: &[ListedMachine], now: Instant) {
        for listed in list {
            if self.gone.contains_key(&listed.id) {
                continue;
            }
            let machine = self.machines.entry(listed.id.clone()).or_insert_with(|| {
                let (kind, zone) = (listed.machine_type.clone(), listed.zone.clone());
                let mut machine = Machine::new(kind, zone, listed.spot, now);
                let age = Duration::from_secs_f64(listed.age_s.clamp(0.0, 1e6));
                if listed.state == MachineState::Booting {
                    machine.since = now.checked_sub(age).unwrap_or(now);
                }
                machine
            });
            machine.listed = Some(listed.state);
            if machine.address.is_empty() {
                machine.address.clone_from(&listed.address);
            }
        }
    }

    /// Whether most machines that were up before are silent at once: then the
    /// fault is more likely on this side. A new leader counts those too that the
    /// records say were at work.
    pub fn mostly_silent(&self, now: Instant, limit: Duration) -> bool {
        let up = |m: &&Machine| (!m.unborn() || !m.bound.is_empty()) && !m.deleting;
        let heard = self.machines.values().filter(up);
        let (mut all, mut silent) = (0, 0);
        for machine in heard {
            all += 1;
            // Whom a leader in doubt sent away may be back only after asking
            // every other controller.
            let away = machine.sent_away.is_some_and(|at| now < at + limit * 2);
            if machine.silence(now) > limit && !away {
                silent += 1;
            }
        }
        all >= 3 && silent * 2 > all
    }

    /// Zones most of whose machines are silent: they are cut off and will be
    /// back. Returning all of them would cost a boot of each, which takes
    /// longer than most cuts.
    fn note_cuts(&mut self, now: Instant, lease: Duration) {
        let mut counts: HashMap<Arc<str>, (u32, u32)> = HashMap::new();
        for machine in self.machines.values().filter(|m| !m.deleting) {
            if !machine.unborn() || !machine.bound.is_empty() {
                let (all, silent) = counts.entry(machine.zone.clone()).or_default();
                *all += 1;
                *silent += u32::from(machine.silence(now) > lease / 2);
            }
        }
        counts.retain(|_, (all, silent)| *all >= 3 && *silent * 2 > *all);
        // Machines come back one by one, so the last get as long again.
        self.cuts.retain(|_, at| now < *at + lease);
        self.cuts.extend(counts.into_keys().map(|zone| (zone, now)));
    }

    /// Machines that are of no use any more and should be returned, with the
    /// reason for the operator.
    pub fn to_delete(
        &mut self,
        settings: &Settings,
        boot_s: impl Fn(&str) -> f64,
        proof: LeaseProof,
        now: Instant,
    ) -> Vec<(MachineId, &'static str)> {
        let lease = settings.worker_lease();
        let proof_is_coming = proof.is_coming(lease, now);
        let one_sided = self.mostly_silent(now, lease);
        // Workers find a new leader well within their lease. Those that did
        // not are probably dead, unless there are many of them.
        let missing = self
            .machines
            .values()
            .filter(|m| !m.bound.is_empty() && !m.mine && m.silence(now) > lease / 2)
            .count();
        self.note_cuts(now, lease);
        let patience =
            if missing * 4 > self.machines.len() { lease * 3 / 2 } else { lease * 3 / 4 };
        let mut found = Vec::new();
        for (id, machine) in &self.machines {
            if machine.deleting {
                continue;
            }
            let silence = machine.silence(now);
            let boot = Duration::from_secs_f64(boot_s(&machine.machine_type));
            let reason = if machine.listed == Some(MachineState::Failed) && silence > lease {
                "it failed"
            } else if machine.unborn()
                && machine.listed != Some(MachineState::Running)
                && machine.bound.is_empty()
            {
                // Some take several times as long to boot; a few never do.
                if silence <= boot * 5 / 2 || silence <= lease * 2 {
                    continue;
                }
                "it never booted"
            } else if silence > lease * 3
                || (!machine.bound.is_empty()
                    && !machine.mine
                    && !proof_is_coming
                    && silence > patience)
                || (!machine.bound.is_empty() && !proof.provable && silence > lease)
            {
                // Tasks may still be bound to it if its worker was never seen
                // at this token, or if others may have answered it: only a
                // deletion proves that they are gone. If its lease will prove
                // it a little later, that is waited for: a machine that was
                // only cut off is back sooner than another boots.
                if (one_sided || self.cuts.contains_key(&machine.zone)) && silence < lease * 6 {
                    continue;
                }
                "it is silent"
            } else if machine.failed_jobs.len() >= 2 && machine.bound.is_empty() {
                "it fails what it runs"
            } else if machine.deaf >= 3 {
                "it does not carry out orders"
            } else {
                continue;
            };
            found.push((id.clone(), reason));
        }
        found
    }

    /// Whether a machine that lost its incarnation is kept, since its zone is cut
    /// off: it will be back sooner than another could boot.
    pub fn comes_back(&self, machine: &Machine) -> bool {
        machine.dead_incarnation > 0
            && machine.seen.0 <= machine.dead_incarnation
            && self.cuts.contains_key(&machine.zone)
    }

    pub fn forget_gone(&mut self, now: Instant, keep: Duration) {
        self.gone.retain(|_, at| now.saturating_duration_since(*at) < keep);
    }
}

#[cfg(test)]
mod tests;
