//! What a controller does next for a model: a pure function of what it knows.
//!
//! It has no clock and does no I/O. Each controller asks it again after every change
//! and every result, so a controller that dies at any point leaves nothing but the
//! record, and whoever adopts the activation goes on from there.
//!
//! Safety rests on three conditions of the writes, not on timing:
//! - every write names the version of the record that it was decided on, and of the
//!   writer's own session: whoever was replaced, or lost its lease, is refused;
//! - a job is named by the record before it is asked for, and its start is
//!   conditioned on that version of the record;
//! - a model begins to drain only while no use marker exists, and a use marker is
//!   written only while the model is ready.

use stonewheel_coordination::Owner;

use crate::record::{Activation, ActivationRecord, AfterStop, ModelState, Stage};

/// What the replicas were seen to do, by the owner and in this attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Observed {
    /// Nobody looked yet.
    #[default]
    Unknown,
    /// None answers yet.
    Pending,
    /// These answer.
    Ready(Vec<String>),
    /// They are gone, and won't come back by themselves.
    Gone,
}

/// What became of the request to start the replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Requested {
    /// Not asked for, or without an answer.
    #[default]
    No,
    /// They are being started.
    Yes,
    /// The job's id belongs to somebody else: another one is needed.
    IdTaken,
    /// They can never be started.
    Rejected(String),
}

/// Which waits are over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ElapsedTimers {
    /// The pause before this attempt.
    pub backoff: bool,
    /// The time that a start may take.
    pub start_timeout: bool,
    /// The time after which no controller can still have a request at a draining
    /// model.
    pub drain: bool,
    /// The minimum time of serving.
    pub minimum_uptime: bool,
    /// The time for which a failed model refuses requests.
    pub failure_pause: bool,
    /// The pause between two probes of the replicas.
    pub probe: bool,
    /// The time that this controller leaves to others before it adopts an
    /// activation whose owner is gone.
    pub adoption: bool,
}

/// What a controller knows of a model.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// This process.
    pub me: &'a Owner,
    /// The model's record, as last read.
    pub record: &'a ActivationRecord,
    /// This process surely holds its session.
    pub session_valid: bool,
    /// The session of the record's owner exists.
    pub owner_alive: bool,
    /// Requests are held here.
    pub has_held_requests: bool,
    /// This process has a use marker.
    pub has_use_marker: bool,
    /// No request came or was under way here for the model's idle time.
    pub idle_locally: bool,
    /// Some controller has a use marker.
    pub any_use_marker: bool,
    /// What became of the start, if this process is the owner.
    pub requested: &'a Requested,
    /// What was last seen of the replicas, if this process is the owner.
    pub observed: &'a Observed,
    /// The replicas were stopped, if this process is the owner.
    pub replicas_stopped: bool,
    /// Which waits are over.
    pub elapsed: ElapsedTimers,
    /// Attempts of one generation.
    pub attempts: u32,
    /// An id for a new job, if one is needed.
    pub new_job: &'a str,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Nothing until something changes or a wait is over.
    Wait,
    /// Replace the record.
    Write {
        /// The new record.
        record: ActivationRecord,
        /// Only while no controller has a use marker.
        unless_used: bool,
    },
    /// Write this process's use marker.
    WriteUseMarker,
    /// Delete it.
    DeleteUseMarker,
    /// Ask for the replicas.
    Start,
    /// Probe the replicas.
    Probe,
    /// Stop the replicas.
    Stop,
}

/// What to do next. Without a session a controller does nothing at all.
pub fn decide(facts: &Facts<'_>) -> Step {
    if !facts.session_valid {
        return Step::Wait;
    }
    if let Some(step) = use_marker(facts) {
        return step;
    }
    match &facts.record.state {
        ModelState::ScaledToZero if facts.has_held_requests => cold_start(facts),
        ModelState::Failed { .. } if facts.has_held_requests && facts.elapsed.failure_pause => {
            cold_start(facts)
        }
        ModelState::ScaledToZero | ModelState::Failed { .. } => Step::Wait,
        ModelState::Active(activation) if activation.owner == *facts.me => drive(facts, activation),
        ModelState::Active(activation) => follow(facts, activation),
    }
}

/// Requests pass only while this process's use marker exists, and the marker goes
/// once they have ceased.
fn use_marker(facts: &Facts<'_>) -> Option<Step> {
    let ready = facts.record.ready_endpoints().is_some();
    if ready && facts.has_held_requests && !facts.has_use_marker {
        return Some(Step::WriteUseMarker);
    }
    (facts.has_use_marker && facts.idle_locally && !facts.has_held_requests)
        .then_some(Step::DeleteUseMarker)
}

/// The next generation, owned by this process.
fn cold_start(facts: &Facts<'_>) -> Step {
    write(ActivationRecord {
        generation: facts.record.generation + 1,
        epoch: facts.record.epoch + 1,
        state: ModelState::Active(Activation {
            owner: facts.me.clone(),
            attempt: 1,
            job: facts.new_job.to_owned(),
            stage: Stage::Starting,
        }),
    })
}

/// Another process owns the activation.
fn follow(facts: &Facts<'_>, activation: &Activation) -> Step {
    if let Stage::Draining { endpoints } = &activation.stage
        && facts.has_held_requests
    {
        return call_back(facts, activation, endpoints);
    }
    if facts.owner_alive || !facts.elapsed.adoption {
        return Step::Wait;
    }
    // What the former owner set off is found again by the job's id.
    let adopted = Activation { owner: facts.me.clone(), ..activation.clone() };
    write(ActivationRecord {
        epoch: facts.record.epoch + 1,
        state: ModelState::Active(adopted),
        ..facts.record.clone()
    })
}

/// This process owns the activation.
fn drive(facts: &Facts<'_>, activation: &Activation) -> Step {
    match &activation.stage {
        Stage::Starting => start(facts, activation),
        Stage::Ready { endpoints } => keep(facts, activation, endpoints),
        Stage::Draining { endpoints } if facts.has_held_requests => {
            call_back(facts, activation, endpoints)
        }
        Stage::Draining { .. } if facts.elapsed.drain => {
            stage(facts, activation, Stage::Stopping { then: AfterStop::ScaleToZero })
        }
        Stage::Draining { .. } => Step::Wait,
        Stage::Stopping { then } => stop(facts, activation, *then),
    }
}

fn start(facts: &Facts<'_>, activation: &Activation) -> Step {
    match facts.requested {
        Requested::No if facts.elapsed.backoff => return Step::Start,
        Requested::No => return Step::Wait,
        Requested::IdTaken => {
            let renamed = Activation { job: facts.new_job.to_owned(), ..activation.clone() };
            return active(facts, renamed);
        }
        Requested::Rejected(_) => {
            return stage(facts, activation, Stage::Stopping { then: AfterStop::GiveUp });
        }
        Requested::Yes => {}
    }
    match facts.observed {
        Observed::Ready(endpoints) => {
            stage(facts, activation, Stage::Ready { endpoints: endpoints.clone() })
        }
        Observed::Gone => try_again(facts, activation),
        Observed::Unknown | Observed::Pending if facts.elapsed.start_timeout => {
            try_again(facts, activation)
        }
        Observed::Unknown | Observed::Pending => probe(facts),
    }
}

fn keep(facts: &Facts<'_>, activation: &Activation, endpoints: &[String]) -> Step {
    match facts.observed {
        Observed::Gone if facts.any_use_marker || facts.has_held_requests => {
            try_again(facts, activation)
        }
        Observed::Gone => {
            stage(facts, activation, Stage::Stopping { then: AfterStop::ScaleToZero })
        }
        Observed::Ready(seen) if seen != endpoints => {
            stage(facts, activation, Stage::Ready { endpoints: seen.clone() })
        }
        // None answers for now: requests wait, and the replicas may come back.
        Observed::Pending if !endpoints.is_empty() => {
            stage(facts, activation, Stage::Ready { endpoints: Vec::new() })
        }
        _ if !facts.any_use_marker && !facts.has_held_requests && facts.elapsed.minimum_uptime => {
            Step::Write {
                record: with_stage(
                    facts,
                    activation,
                    Stage::Draining { endpoints: endpoints.to_vec() },
                ),
                unless_used: true,
            }
        }
        _ => probe(facts),
    }
}

fn stop(facts: &Facts<'_>, activation: &Activation, then: AfterStop) -> Step {
    if !facts.replicas_stopped {
        return Step::Stop;
    }
    let state = match then {
        AfterStop::ScaleToZero => ModelState::ScaledToZero,
        AfterStop::GiveUp => ModelState::Failed { reason: failure(facts, activation) },
        AfterStop::Retry => ModelState::Active(Activation {
            attempt: activation.attempt + 1,
            job: facts.new_job.to_owned(),
            stage: Stage::Starting,
            ..activation.clone()
        }),
    };
    write(ActivationRecord { state, ..facts.record.clone() })
}

fn failure(facts: &Facts<'_>, activation: &Activation) -> String {
    match facts.requested {
        Requested::Rejected(reason) => reason.clone(),
        _ => format!("no replica stayed up in {} attempts", activation.attempt),
    }
}

/// Stops this attempt; another one follows while there are any left.
fn try_again(facts: &Facts<'_>, activation: &Activation) -> Step {
    let left = activation.attempt < facts.attempts;
    let then = if left { AfterStop::Retry } else { AfterStop::GiveUp };
    stage(facts, activation, Stage::Stopping { then })
}

/// The replicas of a draining model are still there for whoever asks.
fn call_back(facts: &Facts<'_>, activation: &Activation, endpoints: &[String]) -> Step {
    stage(facts, activation, Stage::Ready { endpoints: endpoints.to_vec() })
}

fn probe(facts: &Facts<'_>) -> Step {
    if facts.elapsed.probe { Step::Probe } else { Step::Wait }
}

fn stage(facts: &Facts<'_>, activation: &Activation, stage: Stage) -> Step {
    write(with_stage(facts, activation, stage))
}

fn with_stage(facts: &Facts<'_>, activation: &Activation, stage: Stage) -> ActivationRecord {
    let state = ModelState::Active(Activation { stage, ..activation.clone() });
    ActivationRecord { state, ..facts.record.clone() }
}

fn active(facts: &Facts<'_>, activation: Activation) -> Step {
    write(ActivationRecord { state: ModelState::Active(activation), ..facts.record.clone() })
}

fn write(record: ActivationRecord) -> Step {
    Step::Write { record, unless_used: false }
}
