//! Decides what the owner of a service does next: a pure function of the record and of the
//! latest observations of the replicas.
//!
//! The invariant: no step of the planner reduces the number of answering replicas below the
//! level, the number that answered when the rollout began. Replicas count by what a probe
//! observed, never by what was ordered. New replicas answer before any old one is drained.
//! Until a single version is left, an answering replica is drained only if the other
//! answering ones make up the level and a spare. The spare is the number of replicas on the
//! machine that has the most of them, so that one machine may be lost. The spare is at most
//! one less than the surge: the surge can't provide more, and nothing would ever be drained.

use std::collections::BTreeMap;

use stonewheel_coordination::Owner;

use crate::{
    command::roll_back,
    record::{Phase, Replica, ReplicaStage, Rollout, ServiceRecord},
};

/// The health of a replica according to its latest probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// There is no recent probe result.
    #[default]
    Unknown,
    /// The replica waits for free capacity in the fleet.
    NoCapacity,
    /// The replica is placed on a machine, and doesn't answer.
    Unresponsive,
    /// The replica answers.
    Answering,
    /// The replica's job has ended, and won't run again.
    Gone,
}

/// What is known of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservation {
    /// The health according to the latest probe.
    pub health: ReplicaHealth,
    /// The machine that the replica is on.
    pub machine: Option<String>,
    /// Whether this owner has requested the start.
    pub start_requested: bool,
    /// Why the replica has failed: it was unresponsive on its machine for longer than a start
    /// may take, its start was rejected, or it answers too few of its probes.
    pub failure: Option<String>,
    /// Whether the replica has drained for the whole drain time.
    pub drained: bool,
    /// Whether this owner has stopped the replica.
    pub stopped: bool,
}

/// What is known of the replicas, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservations(pub BTreeMap<u32, ReplicaObservation>);

impl ReplicaObservations {
    fn observation_of(&self, replica: &Replica) -> ReplicaObservation {
        self.0.get(&replica.number).cloned().unwrap_or_default()
    }

    fn answers(&self, replica: &Replica) -> bool {
        self.0
            .get(&replica.number)
            .is_some_and(|observation| observation.health == ReplicaHealth::Answering)
    }

    /// Returns the numbers of the replicas that take requests and answer.
    pub fn answering(&self, record: &ServiceRecord) -> Vec<u32> {
        let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        serving.filter(|replica| self.answers(replica)).map(|replica| replica.number).collect()
    }

    /// Returns the number of the first replica that takes requests and whose health is unknown.
    pub fn first_unobserved(&self, record: &ServiceRecord) -> Option<u32> {
        let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        let unobserved =
            |replica: &&Replica| self.observation_of(replica).health == ReplicaHealth::Unknown;
        serving.filter(unobserved).map(|replica| replica.number).next()
    }

    /// Returns how many of these replicas are on the machine that has the most of them.
    /// Replicas whose machine is unknown count as being on one machine, since they may be.
    pub fn max_replicas_per_machine(&self, replicas: &[u32]) -> u32 {
        let mut replicas_on: BTreeMap<Option<&str>, u32> = BTreeMap::new();
        for number in replicas {
            let machine = self.0.get(number).and_then(|observation| observation.machine.as_deref());
            *replicas_on.entry(machine).or_default() += 1;
        }
        replicas_on.into_values().max().unwrap_or(0)
    }
}

/// The health gate's verdict on the step that soaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The soak time isn't over, or no probe was counted yet.
    Undecided,
    /// The next step may begin.
    Healthy,
    /// The rollout is to be rolled back, for this reason.
    Unhealthy(String),
}

/// Why the executor waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// This process has no valid session.
    NoSession,
    /// Another process owns the service, or may adopt it first.
    NotOwner,
    /// The service has no rollout in progress, and all its replicas serve.
    NoWork,
    /// An operator has paused the rollout.
    Paused,
    /// Replicas don't answer yet.
    NotAnswering,
    /// Replicas wait for free capacity in the fleet.
    NoCapacity,
    /// Replicas finish their requests in progress.
    Draining,
    /// The soak time of the step isn't over.
    Soaking,
}

/// What a controller knows of a service: the input of [`decide`].
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// The identity of this process.
    pub me: &'a Owner,
    /// The service's record, as last read.
    pub record: &'a ServiceRecord,
    /// Whether this process certainly holds its session.
    pub session_valid: bool,
    /// Whether the session of the record's owner exists.
    pub owner_alive: bool,
    /// Whether this controller has waited long enough for the controllers that may adopt
    /// the service before it.
    pub may_adopt: bool,
    /// The latest observations of the replicas.
    pub observations: &'a ReplicaObservations,
    /// The health gate's verdict, with the promotion condition applied.
    pub verdict: &'a Verdict,
    /// The number that a new replica's number is added to for the id of its job.
    pub job_id_base: u64,
}

/// The next step of the executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Wait until something changes.
    Wait(WaitReason),
    /// Replace the record.
    Write(Box<ServiceRecord>),
    /// Request the start of the replica with this number.
    Start(u32),
    /// Stop the replica with this number.
    Stop(u32),
}

/// Decides the next step for a service.
pub fn decide(facts: &Facts<'_>) -> Step {
    let record = facts.record;
    if !facts.session_valid {
        return Step::Wait(WaitReason::NoSession);
    }
    if !has_work(record) {
        return Step::Wait(WaitReason::NoWork);
    }
    if record.owner.as_ref() != Some(facts.me) {
        return adopt(facts);
    }
    if let Some(step) = advance_replicas(facts) {
        return step;
    }
    let Some(rollout) = record.active_rollout() else { return Step::Wait(WaitReason::Draining) };
    if let Some(why) = rollback_reason(facts, rollout) {
        return write_changed(record, |next| roll_back_record(next, &why));
    }
    match rollout.phase {
        _ if rollout.paused => Step::Wait(WaitReason::Paused),
        Phase::Stepping => step_forward(facts, rollout),
        Phase::Soaking => continue_soak(facts, rollout),
        Phase::Finishing => finish(facts, rollout, Phase::Done),
        Phase::RollingBack => restore_old_version(facts, rollout),
        Phase::Done | Phase::RolledBack | Phase::Aborted => Step::Wait(WaitReason::NoWork),
    }
}

/// Whether a rollout is in progress or a replica is still to be started or stopped.
pub fn has_work(record: &ServiceRecord) -> bool {
    let unsettled = |replica: &Replica| replica.stage != ReplicaStage::Serving;
    record.active_rollout().is_some() || record.replicas.iter().any(unsettled)
}

/// Takes the service over once its owner's session has ended and it is this controller's
/// turn.
fn adopt(facts: &Facts<'_>) -> Step {
    let vacant = facts.record.owner.is_none() || !facts.owner_alive;
    if !vacant || !facts.may_adopt {
        return Step::Wait(WaitReason::NotOwner);
    }
    write_changed(facts.record, |next| {
        next.owner = Some(facts.me.clone());
        next.epoch += 1;
    })
}

/// Returns the step that writes the record with this change.
fn write_changed(record: &ServiceRecord, edit: impl FnOnce(&mut ServiceRecord)) -> Step {
    let mut next = record.clone();
    edit(&mut next);
    Step::Write(Box::new(next))
}

/// Completes starts, drains and stops that are recorded, whatever phase the rollout is in and
/// also while it is paused. Returns `None` if nothing can be done for them now.
fn advance_replicas(facts: &Facts<'_>) -> Option<Step> {
    let record = facts.record;
    let mut next = record.clone();
    next.replicas.retain(|replica| {
        let stopped = facts.observations.observation_of(replica).stopped;
        replica.stage != ReplicaStage::Stopping || !stopped
    });
    for replica in &mut next.replicas {
        let observation = facts.observations.observation_of(replica);
        replica.stage = match replica.stage {
            ReplicaStage::Starting if observation.health == ReplicaHealth::Answering => {
                ReplicaStage::Serving
            }
            ReplicaStage::Draining if observation.drained => ReplicaStage::Stopping,
            // A job that ended without an order is cleaned up like one that was stopped.
            ReplicaStage::Starting | ReplicaStage::Serving
                if observation.health == ReplicaHealth::Gone =>
            {
                ReplicaStage::Stopping
            }
            stage => stage,
        };
    }
    if next.replicas != record.replicas {
        return Some(Step::Write(Box::new(next)));
    }
    let observation = |replica: &&Replica| facts.observations.observation_of(replica);
    let in_stage = |stage| record.replicas.iter().filter(move |replica| replica.stage == stage);
    let to_stop = in_stage(ReplicaStage::Stopping).next();
    let to_start =
        in_stage(ReplicaStage::Starting).find(|replica| !observation(replica).start_requested);
    to_stop.map(|r| Step::Stop(r.number)).or(to_start.map(|r| Step::Start(r.number)))
}

/// Returns why the rollout must be rolled back, or `None` if it need not. A rollout that rolls
/// back never goes forward again, so it has no further reason.
fn rollback_reason(facts: &Facts<'_>, rollout: &Rollout) -> Option<String> {
    if rollout.phase == Phase::RollingBack {
        return None;
    }
    let new = kept_of_version(facts.record, &rollout.to);
    let failure =
        new.into_iter().find_map(|replica| facts.observations.observation_of(replica).failure);
    match (failure, facts.verdict) {
        (Some(why), _) => Some(why),
        (None, Verdict::Unhealthy(why)) if rollout.phase == Phase::Soaking => Some(why.clone()),
        _ => None,
    }
}

fn roll_back_record(record: &mut ServiceRecord, why: &str) {
    if let Some(rollout) = &mut record.rollout {
        roll_back(rollout, why);
    }
}

/// Returns the replicas of a version that are neither draining nor stopping.
fn kept_of_version<'a>(record: &'a ServiceRecord, version: &str) -> Vec<&'a Replica> {
    let kept = |r: &&Replica| matches!(r.stage, ReplicaStage::Starting | ReplicaStage::Serving);
    record.replicas.iter().filter(kept).filter(|replica| replica.version == version).collect()
}

/// Returns the replicas of all other versions that are neither draining nor stopping.
fn kept_of_other_versions<'a>(record: &'a ServiceRecord, version: &str) -> Vec<&'a Replica> {
    let kept = |r: &&Replica| matches!(r.stage, ReplicaStage::Starting | ReplicaStage::Serving);
    record.replicas.iter().filter(kept).filter(|replica| replica.version != version).collect()
}

/// Whether a replica may be drained: the other answering replicas must make up the level and,
/// with `keep_spare`, the spare. Draining a replica that doesn't answer takes no capacity
/// away.
fn may_drain(facts: &Facts<'_>, rollout: &Rollout, replica: &Replica, keep_spare: bool) -> bool {
    let answering = facts.observations.answering(facts.record);
    if !answering.contains(&replica.number) {
        return true;
    }
    let rest: Vec<u32> = answering.into_iter().filter(|n| *n != replica.number).collect();
    let max_spare = rollout.surge.saturating_sub(1);
    let spare = if keep_spare {
        facts.observations.max_replicas_per_machine(&rest).min(max_spare)
    } else {
        0
    };
    rest.len() as u32 >= rollout.level + spare
}

/// Drains one of the candidates, if one may be drained; those that don't answer come first.
fn drain_next(
    facts: &Facts<'_>,
    rollout: &Rollout,
    candidates: &[&Replica],
    keep_spare: bool,
) -> Option<Step> {
    let unresponsive = candidates.iter().find(|replica| !facts.observations.answers(replica));
    let chosen = unresponsive.or(candidates.first())?;
    if !may_drain(facts, rollout, chosen, keep_spare) {
        return None;
    }
    let number = chosen.number;
    Some(write_changed(facts.record, |next| {
        if let Some(replica) = next.replica_mut(number) {
            replica.stage = ReplicaStage::Draining;
        }
    }))
}

/// Adds replicas of a version up to `wanted`, as far as the size and the surge allow. Returns
/// `None` if there are none to add.
fn add_replicas(facts: &Facts<'_>, rollout: &Rollout, version: &str, wanted: u32) -> Option<Step> {
    let have = kept_of_version(facts.record, version).len() as u32;
    let all = facts.record.replicas.len() as u32;
    let available = (rollout.size + rollout.surge).saturating_sub(all);
    let count = wanted.saturating_sub(have).min(available);
    (count > 0).then(|| {
        write_changed(facts.record, |next| {
            for _ in 0..count {
                next.add_replica(version, facts.job_id_base);
            }
        })
    })
}

/// Adds new replicas and drains old ones up to the step's percentage. The soak begins once the
/// drained replicas are gone and enough new ones answer.
fn step_forward(facts: &Facts<'_>, rollout: &Rollout) -> Step {
    let old = kept_of_other_versions(facts.record, &rollout.to);
    let new = rollout.new_replica_target();
    let old_left = rollout.size - new;
    let wanted = new.max(rollout.size.saturating_sub(old.len() as u32)) + rollout.surge;
    if let Some(step) = add_replicas(facts, rollout, &rollout.to, wanted) {
        return step;
    }
    if old.len() as u32 > old_left {
        let drained = drain_next(facts, rollout, &old, true);
        return drained.unwrap_or_else(|| Step::Wait(wait_reason(facts)));
    }
    let leaving =
        facts.record.replicas.len() > old.len() + kept_of_version(facts.record, &rollout.to).len();
    let answering = kept_of_version(facts.record, &rollout.to)
        .into_iter()
        .filter(|replica| facts.observations.answers(replica))
        .count() as u32;
    if leaving || answering < new {
        return Step::Wait(wait_reason(facts));
    }
    write_changed(facts.record, |next| {
        if let Some(rollout) = &mut next.rollout {
            rollout.enter_phase(Phase::Soaking, format!("{answering} new replicas answer"));
        }
    })
}

/// Waits for the health gate to find the step healthy, then begins the next step or finishes.
fn continue_soak(facts: &Facts<'_>, rollout: &Rollout) -> Step {
    if *facts.verdict != Verdict::Healthy {
        return Step::Wait(WaitReason::Soaking);
    }
    let last = rollout.is_last_step();
    write_changed(facts.record, |next| {
        let Some(rollout) = &mut next.rollout else { return };
        if last {
            rollout.enter_phase(Phase::Finishing, "the last step is healthy");
        } else {
            rollout.step += 1;
            rollout.enter_phase(Phase::Stepping, "the step before is healthy");
        }
    })
}

/// Only one version is left: drains the replicas beyond the size, and ends the rollout once
/// all others answer.
fn finish(facts: &Facts<'_>, rollout: &Rollout, end: Phase) -> Step {
    let version = rollout.target_version().to_owned();
    let left = kept_of_version(facts.record, &version);
    let size = rollout.size;
    if let Some(step) = add_replicas(facts, rollout, &version, size) {
        return step;
    }
    if left.len() as u32 > size {
        let drained = drain_next(facts, rollout, &left, false);
        return drained.unwrap_or(Step::Wait(WaitReason::NotAnswering));
    }
    if facts.record.replicas.len() as u32 > size {
        return Step::Wait(WaitReason::Draining);
    }
    if (facts.observations.answering(facts.record).len() as u32) < size {
        return Step::Wait(WaitReason::NotAnswering);
    }
    write_changed(facts.record, |next| {
        next.version = version;
        if let Some(rollout) = &mut next.rollout {
            rollout.enter_phase(end, "all replicas run it");
        }
    })
}

/// Adds old replicas and drains new ones until none is left.
fn restore_old_version(facts: &Facts<'_>, rollout: &Rollout) -> Step {
    let new = kept_of_other_versions(facts.record, &rollout.from);
    let any_new_left = facts.record.replicas.iter().any(|replica| replica.version != rollout.from);
    if !any_new_left {
        return finish(facts, rollout, Phase::RolledBack);
    }
    if let Some(step) = add_replicas(facts, rollout, &rollout.from, rollout.size + rollout.surge) {
        return step;
    }
    let drained = drain_next(facts, rollout, &new, true);
    drained.unwrap_or_else(|| Step::Wait(wait_reason(facts)))
}

/// Returns what a rollout that can't add or drain replicas waits for.
fn wait_reason(facts: &Facts<'_>) -> WaitReason {
    let starting = |r: &&Replica| r.stage == ReplicaStage::Starting;
    let health = |r: &Replica| facts.observations.observation_of(r).health;
    let mut waiting = facts.record.replicas.iter().filter(starting);
    if waiting.clone().any(|replica| health(replica) == ReplicaHealth::NoCapacity) {
        WaitReason::NoCapacity
    } else if waiting.next().is_some() {
        WaitReason::NotAnswering
    } else if facts.record.replicas.iter().any(|r| r.stage == ReplicaStage::Draining) {
        WaitReason::Draining
    } else {
        WaitReason::NotAnswering
    }
}
