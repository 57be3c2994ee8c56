//! What the owner of a rollout does next: a pure function of the record and of what was
//! lately seen of the replicas.
//!
//! The rule: no step of ours lets fewer replicas answer than when the rollout began.
//! Replicas count by what a probe saw, never by what was ordered. New ones answer before
//! any old one is drained, and an answering replica is drained only while, without it,
//! the level and a spare answer: as many as the fullest machine holds, so that one
//! machine may be lost, but no more than the surge can bring.

use std::collections::BTreeMap;

use stonewheel_coordination::Owner;

use crate::{
    command::roll_back,
    record::{Phase, Replica, ReplicaStage, Rollout, ServiceRecord},
};

/// What a probe saw of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// Nothing lately.
    #[default]
    Unknown,
    /// It waits for room in the fleet.
    NoCapacity,
    /// It has a place, and doesn't answer.
    Unresponsive,
    /// It answers.
    Answering,
    /// It is gone for good.
    Gone,
}

/// What is known of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaObservation {
    /// What the last probe saw.
    pub health: ReplicaHealth,
    /// The machine that it is on.
    pub machine: Option<String>,
    /// Its start was asked for, by this owner.
    pub start_requested: bool,
    /// It has had a place and no answer for longer than a start may take, can never be
    /// started, or answers now and then.
    pub failure: Option<String>,
    /// It has drained for long enough.
    pub drained: bool,
    /// It was stopped, by this owner.
    pub stopped: bool,
}

/// What is known of the replicas, by number.
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

    /// The replicas that take requests and answer.
    pub fn answering(&self, record: &ServiceRecord) -> Vec<u32> {
        let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        serving.filter(|replica| self.answers(replica)).map(|replica| replica.number).collect()
    }

    /// A replica that takes requests and of which nothing is known.
    pub fn first_unobserved(&self, record: &ServiceRecord) -> Option<u32> {
        let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        let unobserved =
            |replica: &&Replica| self.observation_of(replica).health == ReplicaHealth::Unknown;
        serving.filter(unobserved).map(|replica| replica.number).next()
    }

    /// How many of these are on the machine that holds most of them. Those whose machine
    /// is unknown may all be on one.
    pub fn max_replicas_per_machine(&self, replicas: &[u32]) -> u32 {
        let mut replicas_on: BTreeMap<Option<&str>, u32> = BTreeMap::new();
        for number in replicas {
            let machine = self.0.get(number).and_then(|observation| observation.machine.as_deref());
            *replicas_on.entry(machine).or_default() += 1;
        }
        replicas_on.into_values().max().unwrap_or(0)
    }
}

/// What the health gate says of the present step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The soak time isn't over.
    Undecided,
    /// The next step may begin.
    Healthy,
    /// The rollout turns back.
    Unhealthy(String),
}

/// Why nothing is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// This process holds no session.
    NoSession,
    /// Another process drives the rollout.
    NotOwner,
    /// There is nothing to do.
    NoWork,
    /// An operator holds it.
    Paused,
    /// Replicas don't answer yet.
    NotAnswering,
    /// Replicas wait for room in the fleet.
    NoCapacity,
    /// Replicas finish the requests that they have.
    Draining,
    /// The step is watched.
    Soaking,
}

/// What a controller knows of a service.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// This process.
    pub me: &'a Owner,
    /// The service, as last read.
    pub record: &'a ServiceRecord,
    /// This process surely holds its session.
    pub session_valid: bool,
    /// The session of the record's owner exists.
    pub owner_alive: bool,
    /// The time that this controller leaves to others before it adopts is over.
    pub may_adopt: bool,
    /// What was lately seen.
    pub observations: &'a ReplicaObservations,
    /// What the health gate says.
    pub verdict: &'a Verdict,
    /// New jobs are named from here on.
    pub job_id_base: u64,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing, until something changes.
    Wait(WaitReason),
    /// Replace the record.
    Write(Box<ServiceRecord>),
    /// Ask for a replica.
    Start(u32),
    /// Stop a replica.
    Stop(u32),
}

/// What to do next.
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

/// Whether anything is left to do for a service.
pub fn has_work(record: &ServiceRecord) -> bool {
    let unsettled = |replica: &Replica| replica.stage != ReplicaStage::Serving;
    record.active_rollout().is_some() || record.replicas.iter().any(unsettled)
}

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

fn write_changed(record: &ServiceRecord, edit: impl FnOnce(&mut ServiceRecord)) -> Step {
    let mut next = record.clone();
    edit(&mut next);
    Step::Write(Box::new(next))
}

/// Sees through what was decided before, whatever the rollout does now.
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
            // A job that ended by itself is cleaned up like one that was stopped.
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

/// Why the new version is no good, if so. Turning back is final, so it isn't asked again.
fn rollback_reason(facts: &Facts<'_>, rollout: &Rollout) -> Option<String> {
    if rollout.phase == Phase::RollingBack {
        return None;
    }
    let new = kept_of_version(facts.record, &rollout.to);
    let failed =
        new.into_iter().find_map(|replica| facts.observations.observation_of(replica).failure);
    match (failed, facts.verdict) {
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

/// Replicas of a version that are there to stay.
fn kept_of_version<'a>(record: &'a ServiceRecord, version: &str) -> Vec<&'a Replica> {
    let kept = |r: &&Replica| matches!(r.stage, ReplicaStage::Starting | ReplicaStage::Serving);
    record.replicas.iter().filter(kept).filter(|replica| replica.version == version).collect()
}

fn kept_of_other_versions<'a>(record: &'a ServiceRecord, version: &str) -> Vec<&'a Replica> {
    let kept = |r: &&Replica| matches!(r.stage, ReplicaStage::Starting | ReplicaStage::Serving);
    record.replicas.iter().filter(kept).filter(|replica| replica.version != version).collect()
}

/// Whether the level and a spare answer without this replica. One that doesn't answer
/// takes nothing away.
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

/// Drains one of these, one that doesn't answer first.
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

/// Adds replicas of a version up to `wanted`, within the surge.
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

/// One version is left: those beyond the size go, and the rollout ends once all answer.
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

fn restore_old_version(facts: &Facts<'_>, rollout: &Rollout) -> Step {
    let unwanted = kept_of_other_versions(facts.record, &rollout.from);
    let new_left = facts.record.replicas.iter().any(|replica| replica.version != rollout.from);
    if !new_left {
        return finish(facts, rollout, Phase::RolledBack);
    }
    if let Some(step) = add_replicas(facts, rollout, &rollout.from, rollout.size + rollout.surge) {
        return step;
    }
    let drained = drain_next(facts, rollout, &unwanted, true);
    drained.unwrap_or_else(|| Step::Wait(wait_reason(facts)))
}

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
