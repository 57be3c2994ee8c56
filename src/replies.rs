//! The answers to users and workers, as the routes and the node share them.

use thiserror::Error;

use crate::protocol::{JobStatus, TaskCommand};

/// Why a request can't be answered now. All of these are worth a retry.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Unavailable {
    /// The state service did not answer, or refused.
    #[error("the state service can't be reached")]
    State,
    /// No controller has stored the machine types yet.
    #[error("the machine types are not known yet")]
    MachineTypes,
    /// The stored record of a job is not one that this version reads.
    #[error("the record of a job can't be read")]
    UnreadableRecord,
}

/// The answer to a user's request.
#[derive(Debug, PartialEq)]
pub enum UserReply {
    /// The submission was accepted now.
    Created(JobStatus),
    /// The job was accepted before.
    Known(JobStatus),
    /// No such job.
    Unknown,
    /// The submission is not valid, and why.
    Malformed(String),
    /// The job can never run, and why.
    Impossible(String),
}

/// The answer to a worker's heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatReply {
    /// The worker's lease is renewed.
    Commands {
        /// The fencing token of the commands.
        token: u64,
        /// What the worker is to do.
        commands: Vec<TaskCommand>,
    },
    /// The worker is to send its heartbeat to another controller: to this one, if
    /// it is known who leads.
    Redirect(Option<String>),
}
