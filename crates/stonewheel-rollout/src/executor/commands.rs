//! Operators' commands: the first deployment of a service, and commands on its rollouts.

use stonewheel_coordination::Versioned;
use stonewheel_state::StateError;
use thiserror::Error;
use tokio::time::Instant;
use tracing::info;

use super::Executor;
use crate::{
    command::{Command, CommandError, CommandKind, apply, check_version},
    command_markers,
    record::{ServiceRecord, max_record_bytes},
};

/// Attempts to carry out a command while the service's record changes or can't be written, or
/// the health of a replica is unknown.
const MAX_COMMAND_ATTEMPTS: u32 = 8;

/// Why a command was not carried out, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandFailure {
    /// The command was refused, and nothing was changed.
    #[error(transparent)]
    Refused(#[from] CommandError),
    /// There is no service of this name, or the service was not deployed yet.
    #[error("service {0} is not known")]
    UnknownService(String),
    /// The state service can't be reached. The command was certainly not carried out.
    #[error("the state service can't be reached")]
    Unavailable,
    /// The service took so many commands lately that repeats of this one would not be recognized.
    /// The command was certainly not carried out.
    #[error(
        "the service took too many commands within {} minutes",
        command_markers::RETENTION.as_secs() / 60
    )]
    TooManyCommands,
    /// The command may have been carried out. A repeat with the same id resolves it.
    #[error("the outcome is not known; ask again with the same id")]
    OutcomeUnknown,
}

impl Executor {
    /// Deploys a service for the first time: records `replicas` replicas of a version that are
    /// to be started.
    pub async fn create(
        &self,
        service: &str,
        version: &str,
        replicas: u32,
    ) -> Result<(), CommandFailure> {
        if !self.services.contains_key(service) {
            return Err(CommandFailure::UnknownService(service.into()));
        }
        check_version(version)?;
        self.check_size(replicas, version)?;
        if self.record(service).is_some() {
            return Err(CommandError::AlreadyDeployed.into());
        }
        let mut record = ServiceRecord {
            epoch: 0,
            owner: None,
            version: version.into(),
            next_replica: 0,
            replicas: Vec::new(),
            rollout: None,
            commands: Vec::new(),
        };
        let job_id_base = self.job_id_base();
        for _ in 0..replicas {
            record.add_replica(version, job_id_base);
        }
        let before = Versioned { version: 0, value: record.clone() };
        match self.commit(service, &before, &record).await {
            Ok(()) => return Ok(()),
            Err(StateError::Refused(_)) => return Err(CommandFailure::Unavailable),
            Err(_) => self.coordinator.refresh().await,
        }
        // The write failed or its outcome is unknown. If it was carried out, the record has this
        // call's random job ids.
        let job = |record: &ServiceRecord| record.replicas.first().map(|r| r.job.clone());
        match self.record(service) {
            Some(found) if job(&found.value) == job(&record) => Ok(()),
            Some(_) => Err(CommandError::AlreadyDeployed.into()),
            None => Err(CommandFailure::OutcomeUnknown),
        }
    }

    /// Checks that a record with this many replicas fits a value of the state service.
    fn check_size(&self, replicas: u32, version: &str) -> Result<(), CommandError> {
        let fits = |replicas: u32| max_record_bytes(replicas, version) <= self.max_value_bytes;
        if replicas > 0 && fits(replicas) {
            return Ok(());
        }
        let max = (1..replicas).rev().find(|fewer| fits(*fewer)).unwrap_or(0);
        Err(CommandError::TooLarge { max })
    }

    /// Carries out a command, once per id. When this returns `Ok`, the change is stored and
    /// doesn't depend on this controller.
    pub async fn command(&self, service: &str, command: &Command) -> Result<(), CommandFailure> {
        let service_state = self.services.get(service);
        let service_state =
            service_state.ok_or_else(|| CommandFailure::UnknownService(service.into()))?;
        for _ in 0..MAX_COMMAND_ATTEMPTS {
            // Without a valid session the cached record may be out of date, so no command is
            // decided on it.
            if self.coordinator.session().is_none_or(|s| s.valid_until <= Instant::now()) {
                return Err(CommandFailure::Unavailable);
            }
            let Some(record) = self.record(service) else {
                return Err(CommandFailure::UnknownService(service.into()));
            };
            if let Some(done) = command_markers::find(&self.records(), service, command) {
                info!(service, id = command.id, "rollout command repeated");
                return Ok(command.check_repeat(&done)?);
            }
            if let CommandKind::Start { to, surge, .. } = &command.kind {
                let replicas = record.value.replicas.len() as u32;
                self.check_size(replicas.saturating_add(*surge), to)?;
            }
            let observations = self.probe_replicas(service_state, &record).await;
            let next = match apply(&record.value, command, &observations) {
                Ok(Some(next)) => next,
                Ok(None) => return Ok(()),
                // A probe without a result may succeed at the next attempt.
                Err(CommandError::Unobserved(_)) => {
                    self.coordinator.refresh().await;
                    continue;
                }
                Err(refusal) => return Err(refusal.into()),
            };
            if !command_markers::has_room(&self.records(), service, command) {
                return Err(CommandFailure::TooManyCommands);
            }
            match self.commit_command(service, command, &record, &next).await {
                Ok(()) => {
                    info!(
                        service,
                        id = command.id,
                        kind = ?command.kind,
                        "rollout command carried out"
                    );
                    return Ok(());
                }
                Err(StateError::Refused(_)) => return Err(CommandFailure::Unavailable),
                // The next attempt sees in the record whether the command was carried out.
                Err(_) => self.coordinator.refresh().await,
            }
        }
        Err(CommandFailure::OutcomeUnknown)
    }

    /// Writes a service's record as [`Self::commit`] does, together with the marker of the
    /// command that changes it.
    async fn commit_command(
        &self,
        service: &str,
        command: &Command,
        from: &Versioned<ServiceRecord>,
        to: &ServiceRecord,
    ) -> Result<(), StateError> {
        let lease = self.coordinator.grant_lease(command_markers::RETENTION).await?;
        let marker = command_markers::mark(service, command, lease)?;
        self.commit_with(Some(marker), service, from, to).await
    }
}
