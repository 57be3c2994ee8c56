//! Operators' commands on a rollout. A command is a change of the service's record, so it
//! takes effect whichever controller owns the service. A repeat with the same id changes
//! nothing: the record remembers the latest commands, and [`crate::command_markers`] all those
//! of some minutes.

use thiserror::Error;

use crate::{
    planner::ReplicaObservations,
    record::{DoneCommand, MAX_REMEMBERED_COMMANDS, Phase, ReplicaStage, Rollout, ServiceRecord},
};

/// A command with the id that the caller chose.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The id; a command with the same id and kind is a repeat of this one.
    pub id: String,
    /// The change that is requested.
    pub kind: CommandKind,
}

/// The change that a command requests.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandKind {
    /// Begins a rollout.
    Start {
        /// The version to roll out.
        to: String,
        /// Percentages of the replicas that run the new version after each step, rising to
        /// 100.
        steps: Vec<u8>,
        /// Replicas beyond the service's size that may exist at the same time.
        surge: u32,
    },
    /// Begins no further step and no further replica or drain. Starts, drains and stops
    /// that are recorded already are completed.
    Pause,
    /// Ends a pause.
    Resume,
    /// Returns all replicas to the old version.
    RollBack,
    /// Ends the rollout where it is: serving replicas of both versions stay, and replicas that
    /// have not answered yet are stopped.
    Abort,
}

impl CommandKind {
    /// Whether the command ends a rollout or turns it back.
    pub fn ends_rollout(&self) -> bool {
        matches!(self, Self::RollBack | Self::Abort)
    }

    /// The command's text in [`DoneCommand::kind`], by which a repeat is recognized.
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

/// Why a command is refused, as one sentence for the operator. Nothing was changed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// An empty id, or one that is too long.
    #[error("id must have 1 to 64 characters")]
    InvalidId,
    /// The id was used for another command.
    #[error("id {0} was used for another command")]
    IdUsed(String),
    /// All replicas run the requested version already.
    #[error("to must differ from the version that runs, {0}")]
    SameVersion(String),
    /// The percentages of the steps do not rise from above 0 to 100.
    #[error("steps must rise to 100")]
    InvalidSteps,
    /// With this surge no old replica could ever be drained, because the planner keeps the
    /// loss of one machine covered.
    #[error(
        "surge must be at least {min}: a machine holds {per_machine} replicas, and may be lost"
    )]
    SurgeTooSmall {
        /// The smallest surge that is accepted.
        min: u32,
        /// Answering replicas on the machine that has the most of them.
        per_machine: u32,
    },
    /// No recent probe shows whether this replica answers.
    #[error("replica {0} could not be looked at")]
    Unobserved(u32),
    /// No replica answers, so there is no level that a rollout could keep.
    #[error("no replica of the service answers")]
    NoReplicaAnswers,
    /// The version's name is empty, too long, or has other than visible ASCII characters.
    #[error("to must be a name of 1 to 100 visible characters")]
    InvalidVersion,
    /// The record would not fit a value of the state service.
    #[error("size and surge together must be at most {max} replicas")]
    TooLarge {
        /// The most replicas whose record would fit.
        max: u32,
    },
    /// The service has a record already.
    #[error("the service is deployed already")]
    AlreadyDeployed,
    /// Another rollout of the service is not over; its id.
    #[error("rollout {0} is under way")]
    RolloutInProgress(String),
    /// The command needs a rollout that is not over, and there is none.
    #[error("no rollout is under way")]
    NoRolloutInProgress,
}

const MAX_ID_BYTES: usize = 64;
const MAX_VERSION_BYTES: usize = 100;

/// Checks that the name of a version can be stored.
pub fn check_version(version: &str) -> Result<(), CommandError> {
    let visible = version.bytes().all(|byte| byte.is_ascii_graphic());
    let fits = (1..=MAX_VERSION_BYTES).contains(&version.len());
    if visible && fits { Ok(()) } else { Err(CommandError::InvalidVersion) }
}

impl Command {
    /// Returns what is remembered of the command once it was carried out.
    pub fn done(&self) -> DoneCommand {
        DoneCommand { id: self.id.clone(), kind: self.kind.stored_text() }
    }

    /// Checks that this is a repeat of a command with the same id that was carried out before.
    pub fn check_repeat(&self, done: &DoneCommand) -> Result<(), CommandError> {
        let is_same = done.kind == self.kind.stored_text();
        if is_same { Ok(()) } else { Err(CommandError::IdUsed(self.id.clone())) }
    }
}

/// Returns the record after a command, or `None` if the command was carried out before.
/// `observations` are the latest of the service's replicas.
pub fn apply(
    record: &ServiceRecord,
    command: &Command,
    observations: &ReplicaObservations,
) -> Result<Option<ServiceRecord>, CommandError> {
    if command.id.is_empty() || command.id.len() > MAX_ID_BYTES {
        return Err(CommandError::InvalidId);
    }
    if let Some(done) = record.commands.iter().find(|done| done.id == command.id) {
        return command.check_repeat(done).map(|()| None);
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
    next.commands.push(command.done());
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
    // The level is fixed for the whole rollout: counted while a probe result is missing, it
    // would stay too low.
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

/// Begins to roll a rollout back, unless the rollout does so already. A rollout that rolls back never
/// goes forward again.
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
