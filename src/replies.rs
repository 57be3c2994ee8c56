//! Replies to users and workers, which the node returns and the HTTP routes encode.

use thiserror::Error;

use crate::protocol::{JobStatus, TaskCommand};

/// The reason why a request can't be answered now. The caller may retry in each case.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Unavailable {
    /// The state service did not answer or refused the request.
    #[error("the state service can't be reached")]
    State,
    /// The other controllers have not yet acknowledged the cancellation of the job.
    #[error("the cancellation is not yet known to other controllers")]
    Replication,
    /// No controller has stored the available machine types yet.
    #[error("the machine types are not known yet")]
    MachineTypes,
    /// This version of the program can't read the stored record of a job.
    #[error("the record of a job can't be read")]
    UnreadableRecord,
}

/// The reply to a user's request.
#[derive(Debug, PartialEq)]
pub enum UserReply {
    /// The submission was accepted and has created this job.
    Created(JobStatus),
    /// The job was created by an earlier request.
    Known(JobStatus),
    /// There is no job with this id.
    Unknown,
    /// The submission is invalid for this reason.
    Malformed(String),
    /// The job could never run for this reason.
    Impossible(String),
}

/// The reply to a worker's heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatReply {
    /// The worker's lease is renewed.
    Commands {
        /// The fencing token of the commands.
        token: u64,
        /// The commands for the worker.
        commands: Vec<TaskCommand>,
    },
    /// The worker's lease is not renewed, and the worker is to send its heartbeat to another
    /// controller: to the named leader if one is known.
    Redirect(Option<String>),
}
