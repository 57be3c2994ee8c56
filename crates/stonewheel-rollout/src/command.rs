//! What operators may ask of a rollout. A command is a change of the record, so it
//! stands whoever drives the rollout, and a repeat with its id changes nothing.

use thiserror::Error;

use crate::{
    planner::ReplicaObservations,
    record::{DoneCommand, MAX_REMEMBERED_COMMANDS, Phase, ReplicaStage, Rollout, ServiceRecord},
};

/// A command with the id that its caller chose.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// A repeat with the same id is the same command.
    pub id: String,
    /// What is asked.
    pub kind: CommandKind,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandKind {
    /// Begin a rollout.
    Start {
        /// The version to roll out.
        to: String,
        /// Percentages, rising to 100.
        steps: Vec<u8>,
        /// Replicas excess the level that may exist at once.
        surge: u32,
    },
    /// Begin no further step, start and drain nothing.
    Pause,
    /// Go on.
    Resume,
    /// Bring the old version back.
    RollBack,
    /// End where it is: what serves goes on.
    Abort,
}

impl CommandKind {
    /// The command as it is remembered.
    fn stored_text(&self) -> String {
        match self {
            Self::Start { to, steps, surge } => format!("start {to} {steps:?} {surge}"),
            Self::Pause => "pause".into(),
            Self::Resume => "resume".into(),
            Self::RollBack => "roll back".into(),
            Self::Abort => "abort".into(),
        }
    }
}

/// Why a command is refused: one plain sentence. Nothing was changed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// An empty id, or one that is too long.
    #[error("id must have 1 to 64 characters")]
    InvalidId,
    /// The id was used for another command.
    #[error("id {0} was used for another command")]
    IdUsed(String),
    /// The service runs it already.
    #[error("to must differ from the version that runs, {0}")]
    SameVersion(String),
    /// Not rising to 100.
    #[error("steps must rise to 100")]
    InvalidSteps,
    /// Nothing could ever be drained.
    #[error(
        "surge must be at least {min}: a machine holds {per_machine} replicas, and may be lost"
    )]
    SurgeTooSmall {
        /// What would do.
        min: u32,
        /// Replicas on the fullest machine.
        per_machine: u32,
    },
    /// Whether a replica answers isn't known.
    #[error("replica {0} could not be looked at")]
    Unobserved(u32),
    /// No replica answers: there is nothing to keep up.
    #[error("no replica of the service answers")]
    NoReplicaAnswers,
    /// It can't be named so.
    #[error("to must be a name of 1 to 100 visible characters")]
    InvalidVersion,
    /// The record would not fit a value of the state service.
    #[error("size and surge together must be at most {max} replicas")]
    TooLarge {
        /// Replicas that would fit.
        max: u32,
    },
    /// It was deployed before.
    #[error("the service is deployed already")]
    AlreadyDeployed,
    /// A rollout is under way.
    #[error("rollout {0} is under way")]
    RolloutInProgress(String),
    /// There is none to command.
    #[error("no rollout is under way")]
    NoRolloutInProgress,
}

const MAX_ID_BYTES: usize = 64;
const MAX_VERSION_BYTES: usize = 100;

/// Whether a version's name can be kept.
pub fn check_version(version: &str) -> Result<(), CommandError> {
    let visible = version.bytes().all(|byte| byte.is_ascii_graphic());
    let fits = (1..=MAX_VERSION_BYTES).contains(&version.len());
    if visible && fits { Ok(()) } else { Err(CommandError::InvalidVersion) }
}

/// The record after a command. `sightings`: what was lately seen of the replicas.
/// `None`: the command was carried out before.
pub fn apply(
    record: &ServiceRecord,
    command: &Command,
    observations: &ReplicaObservations,
) -> Result<Option<ServiceRecord>, CommandError> {
    if command.id.is_empty() || command.id.len() > MAX_ID_BYTES {
        return Err(CommandError::InvalidId);
    }
    let kind = command.kind.stored_text();
    if let Some(done) = record.commands.iter().find(|done| done.id == command.id) {
        let same = done.kind == kind;
        return if same { Ok(None) } else { Err(CommandError::IdUsed(command.id.clone())) };
    }
    let mut next = record.clone();
    match &command.kind {
        CommandKind::Start { to, steps, surge } => {
            next.rollout =
                Some(start_rollout(record, &command.id, to, steps, *surge, observations)?);
        }
        CommandKind::Pause => active_rollout_mut(&mut next)?.paused = true,
        CommandKind::Resume => active_rollout_mut(&mut next)?.paused = false,
        CommandKind::RollBack => {
            roll_back(active_rollout_mut(&mut next)?, "an operator asked for it")
        }
        CommandKind::Abort => abort(&mut next)?,
    }
    next.commands.push(DoneCommand { id: command.id.clone(), kind });
    let excess = next.commands.len().saturating_sub(MAX_REMEMBERED_COMMANDS);
    next.commands.drain(..excess);
    Ok(Some(next))
}

fn active_rollout_mut(record: &mut ServiceRecord) -> Result<&mut Rollout, CommandError> {
    let rollout = record.rollout.as_mut().filter(|rollout| !rollout.phase.is_over());
    rollout.ok_or(CommandError::NoRolloutInProgress)
}

fn start_rollout(
    record: &ServiceRecord,
    id: &str,
    to: &str,
    steps: &[u8],
    surge: u32,
    observations: &ReplicaObservations,
) -> Result<Rollout, CommandError> {
    if let Some(rollout) = record.active_rollout() {
        return Err(CommandError::RolloutInProgress(rollout.id.clone()));
    }
    check_version(to)?;
    let rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
    if !rising || steps.first().is_none_or(|first| *first == 0) || steps.last() != Some(&100) {
        return Err(CommandError::InvalidSteps);
    }
    if record.version == to && record.replicas.iter().all(|replica| replica.version == to) {
        return Err(CommandError::SameVersion(to.into()));
    }
    // A probe without an answer would lower the level for good.
    if let Some(number) = observations.first_unobserved(record) {
        return Err(CommandError::Unobserved(number));
    }
    let answering = observations.answering(record);
    let level = answering.len() as u32;
    if level == 0 {
        return Err(CommandError::NoReplicaAnswers);
    }
    let per_machine = observations.max_replicas_per_machine(&answering);
    if surge <= per_machine {
        return Err(CommandError::SurgeTooSmall { min: per_machine + 1, per_machine });
    }
    let mut rollout = Rollout {
        id: id.into(),
        from: record.version.clone(),
        to: to.into(),
        size: record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving).count() as u32,
        level,
        surge,
        steps: steps.to_vec(),
        step: 0,
        phase: Phase::Stepping,
        paused: false,
        history: Vec::new(),
    };
    rollout.enter_phase(Phase::Stepping, "an operator started it");
    Ok(rollout)
}

/// Turns back, which a rollout does once: from there it never goes forward again.
pub(crate) fn roll_back(rollout: &mut Rollout, why: &str) {
    if rollout.phase != Phase::RollingBack {
        rollout.paused = false;
        rollout.enter_phase(Phase::RollingBack, why);
    }
}

fn abort(record: &mut ServiceRecord) -> Result<(), CommandError> {
    active_rollout_mut(record)?.enter_phase(Phase::Aborted, "an operator ended it");
    for replica in &mut record.replicas {
        if replica.stage == ReplicaStage::Starting {
            replica.stage = ReplicaStage::Stopping;
        }
    }
    Ok(())
}
