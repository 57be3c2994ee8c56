//! The next step of a controller for a model: a pure function of what the controller
//! knows.
//!
//! The function reads no clock and does no I/O. Each controller calls it again after every
//! change and every result, so a controller that fails at any point leaves no state
//! behind except the records, and the controller that adopts the activation continues
//! from the record.
//!
//! Safety rests on three conditions of the writes, not on timing:
//! - every write of a record or a use marker is conditional on the version of the record
//!   that it was decided on and on the version of the writer's session, so a controller
//!   that was replaced as owner or lost its lease is refused;
//! - the record contains a job's id before the job is submitted, and the submission is
//!   conditional on that version of the record;
//! - a model begins to drain only while no use marker exists, and a use marker is
//!   written only while the model is ready.

use stonewheel_coordination::Owner;

use crate::record::{Activation, ActivationRecord, AfterStop, ModelState, Stage};

/// State of the replicas at the owner's last successful probe in this attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Observed {
    /// No probe has succeeded yet.
    #[default]
    Unknown,
    /// No replica answers.
    Pending,
    /// The endpoints of the replicas that answer.
    Ready(Vec<String>),
    /// The replicas have ended and are not started again by themselves.
    Gone,
}

/// Outcome of the request to start the replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Requested {
    /// The start was not requested yet, or its outcome is unknown.
    #[default]
    No,
    /// The start was accepted.
    Yes,
    /// The job's id belongs to a job that was not started for a model: the start needs
    /// a new id.
    IdTaken,
    /// The start can never succeed, for this reason.
    Rejected(String),
}

/// Whether each timer has elapsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ElapsedTimers {
    /// The back-off before this attempt.
    pub backoff: bool,
    /// The time that an attempt may take until a replica answers.
    pub start_timeout: bool,
    /// The time after which no controller can still have a request in progress at a
    /// draining model.
    pub drain: bool,
    /// The minimum time that a model stays ready before it may drain.
    pub minimum_uptime: bool,
    /// The time for which a failed model refuses requests.
    pub failure_pause: bool,
    /// The interval between two probes of the replicas.
    pub probe: bool,
    /// The time that this controller leaves to the live controllers whose names sort before
    /// its own, before it adopts an activation whose owner's session has ended.
    pub adoption: bool,
}

/// What a controller knows about a model.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// This process.
    pub me: &'a Owner,
    /// The model's record, as this controller last read it.
    pub record: &'a ActivationRecord,
    /// Whether this process certainly holds its session.
    pub session_valid: bool,
    /// Whether the session of the record's owner exists; true without an owner.
    pub owner_alive: bool,
    /// Whether this controller holds requests for the model.
    pub has_held_requests: bool,
    /// Whether this process has a use marker.
    pub has_use_marker: bool,
    /// Whether no request arrived or was in progress at this controller for the model's
    /// idle time.
    pub idle_locally: bool,
    /// Whether any controller has a use marker.
    pub any_use_marker: bool,
    /// Outcome of the start request, if this process is the owner.
    pub requested: &'a Requested,
    /// Last probed state of the replicas, if this process is the owner.
    pub observed: &'a Observed,
    /// Whether this process, as the owner, has stopped the replicas of this attempt.
    pub replicas_stopped: bool,
    /// Whether each timer has elapsed.
    pub elapsed: ElapsedTimers,
    /// Maximum number of attempts in one generation.
    pub attempts: u32,
    /// Unused job id, for a step that needs a new one.
    pub new_job: &'a str,
}

/// The next step of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Do nothing until something changes or a timer elapses.
    Wait,
    /// Replace the record.
    Write {
        /// The new record.
        record: ActivationRecord,
        /// Whether the write is conditional on no controller having a use marker.
        unless_used: bool,
    },
    /// Write this process's use marker.
    WriteUseMarker,
    /// Delete this process's use marker.
    DeleteUseMarker,
    /// Request the start of the replicas.
    Start,
    /// Probe the replicas.
    Probe,
    /// Stop the replicas.
    Stop,
}

/// Returns the next step. A controller without a valid session always waits.
pub fn decide(facts: &Facts<'_>) -> Step {
    if !facts.session_valid {
        return Step::Wait;
    }
    if let Some(step) = use_marker_step(facts) {
        return step;
    }
    match &facts.record.state {
        ModelState::ScaledToZero if facts.has_held_requests => cold_start(facts),
        ModelState::Failed { .. } if facts.has_held_requests && facts.elapsed.failure_pause => {
            cold_start(facts)
        }
        ModelState::ScaledToZero | ModelState::Failed { .. } => Step::Wait,
        ModelState::Active(activation) if activation.owner == *facts.me => {
            step_as_owner(facts, activation)
        }
        ModelState::Active(activation) => step_as_follower(facts, activation),
    }
}

/// Writes the use marker before requests are forwarded, and deletes it once the model is
/// idle at this controller. Requests are forwarded only while the marker exists.
fn use_marker_step(facts: &Facts<'_>) -> Option<Step> {
    let ready = facts.record.ready_endpoints().is_some();
    if ready && facts.has_held_requests && !facts.has_use_marker {
        return Some(Step::WriteUseMarker);
    }
    (facts.has_use_marker && facts.idle_locally && !facts.has_held_requests)
        .then_some(Step::DeleteUseMarker)
}

/// Begins the next generation, owned by this process.
fn cold_start(facts: &Facts<'_>) -> Step {
    write_record(ActivationRecord {
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

/// Step for an activation that another process owns: return a draining model to service
/// for held requests, or adopt the activation once its owner's session has ended.
fn step_as_follower(facts: &Facts<'_>, activation: &Activation) -> Step {
    if let Stage::Draining { endpoints } = &activation.stage
        && facts.has_held_requests
    {
        return return_to_ready(facts, activation, endpoints);
    }
    if facts.owner_alive || !facts.elapsed.adoption {
        return Step::Wait;
    }
    // The adopted activation keeps the job's id, by which replicas that the former owner
    // started or stopped are found.
    let adopted = Activation { owner: facts.me.clone(), ..activation.clone() };
    write_record(ActivationRecord {
        epoch: facts.record.epoch + 1,
        state: ModelState::Active(adopted),
        ..facts.record.clone()
    })
}

/// Step for an activation that this process owns.
fn step_as_owner(facts: &Facts<'_>, activation: &Activation) -> Step {
    match &activation.stage {
        Stage::Starting => step_while_starting(facts, activation),
        Stage::Ready { endpoints } => step_while_ready(facts, activation, endpoints),
        Stage::Draining { endpoints } if facts.has_held_requests => {
            return_to_ready(facts, activation, endpoints)
        }
        Stage::Draining { .. } if facts.elapsed.drain => {
            write_stage(facts, activation, Stage::Stopping { then: AfterStop::ScaleToZero })
        }
        Stage::Draining { .. } => Step::Wait,
        Stage::Stopping { then } => step_while_stopping(facts, activation, *then),
    }
}

fn step_while_starting(facts: &Facts<'_>, activation: &Activation) -> Step {
    match facts.requested {
        Requested::No if facts.elapsed.backoff => return Step::Start,
        Requested::No => return Step::Wait,
        Requested::IdTaken => {
            let with_new_job = Activation { job: facts.new_job.to_owned(), ..activation.clone() };
            return write_activation(facts, with_new_job);
        }
        Requested::Rejected(_) => {
            return write_stage(facts, activation, Stage::Stopping { then: AfterStop::GiveUp });
        }
        Requested::Yes => {}
    }
    match facts.observed {
        Observed::Ready(endpoints) => {
            write_stage(facts, activation, Stage::Ready { endpoints: endpoints.clone() })
        }
        Observed::Gone => end_attempt(facts, activation),
        Observed::Unknown | Observed::Pending if facts.elapsed.start_timeout => {
            end_attempt(facts, activation)
        }
        Observed::Unknown | Observed::Pending => probe_when_due(facts),
    }
}

fn step_while_ready(facts: &Facts<'_>, activation: &Activation, endpoints: &[String]) -> Step {
    match facts.observed {
        Observed::Gone if facts.any_use_marker || facts.has_held_requests => {
            end_attempt(facts, activation)
        }
        Observed::Gone => {
            write_stage(facts, activation, Stage::Stopping { then: AfterStop::ScaleToZero })
        }
        Observed::Ready(answering) if answering != endpoints => {
            write_stage(facts, activation, Stage::Ready { endpoints: answering.clone() })
        }
        // No replica answers at present, though their job still runs: requests are held
        // until one answers again.
        Observed::Pending if !endpoints.is_empty() => {
            write_stage(facts, activation, Stage::Ready { endpoints: Vec::new() })
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
        _ => probe_when_due(facts),
    }
}

fn step_while_stopping(facts: &Facts<'_>, activation: &Activation, then: AfterStop) -> Step {
    if !facts.replicas_stopped {
        return Step::Stop;
    }
    let state = match then {
        AfterStop::ScaleToZero => ModelState::ScaledToZero,
        AfterStop::GiveUp => ModelState::Failed { reason: failure_reason(facts, activation) },
        AfterStop::Retry => ModelState::Active(Activation {
            attempt: activation.attempt + 1,
            job: facts.new_job.to_owned(),
            stage: Stage::Starting,
            ..activation.clone()
        }),
    };
    write_record(ActivationRecord { state, ..facts.record.clone() })
}

fn failure_reason(facts: &Facts<'_>, activation: &Activation) -> String {
    match facts.requested {
        Requested::Rejected(reason) => reason.clone(),
        _ => format!("no replica stayed up in {} attempts", activation.attempt),
    }
}

/// Stops the replicas of this attempt. Another attempt follows unless this was the last
/// one allowed.
fn end_attempt(facts: &Facts<'_>, activation: &Activation) -> Step {
    let attempts_left = activation.attempt < facts.attempts;
    let then = if attempts_left { AfterStop::Retry } else { AfterStop::GiveUp };
    write_stage(facts, activation, Stage::Stopping { then })
}

/// Returns a draining model to service: its replicas still run.
fn return_to_ready(facts: &Facts<'_>, activation: &Activation, endpoints: &[String]) -> Step {
    write_stage(facts, activation, Stage::Ready { endpoints: endpoints.to_vec() })
}

fn probe_when_due(facts: &Facts<'_>) -> Step {
    if facts.elapsed.probe { Step::Probe } else { Step::Wait }
}

fn write_stage(facts: &Facts<'_>, activation: &Activation, stage: Stage) -> Step {
    write_record(with_stage(facts, activation, stage))
}

fn with_stage(facts: &Facts<'_>, activation: &Activation, stage: Stage) -> ActivationRecord {
    let state = ModelState::Active(Activation { stage, ..activation.clone() });
    ActivationRecord { state, ..facts.record.clone() }
}

fn write_activation(facts: &Facts<'_>, activation: Activation) -> Step {
    write_record(ActivationRecord { state: ModelState::Active(activation), ..facts.record.clone() })
}

fn write_record(record: ActivationRecord) -> Step {
    Step::Write { record, unless_used: false }
}
