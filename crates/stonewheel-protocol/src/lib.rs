//! All messages between this program and others: controllers, workers, users, the cloud and
//! the state service.
//!
//! The names that the wire formats use appear only here, as serde renames; the rest of the
//! program uses standard terms such as job, task, machine, incarnation and fencing token.
//! Each module has the messages of one kind of communication partner. `wire_samples.rs` and
//! `link_samples.rs` in the tests of the main crate pin the serialized bytes.

#![warn(missing_docs)]

mod cloud;
mod controllers;
mod state_service;
mod users;
mod workers;

use std::sync::Arc;

pub use cloud::*;
pub use controllers::*;
pub use state_service::*;
pub use users::*;
pub use workers::*;

/// The id that a user gave a job, in the form that [`is_job_id`] checks. Ids of jobs and
/// machines are the keys of many tables, which share one reference-counted string.
pub type JobId = Arc<str>;
/// The name that the cloud gave a machine.
pub type MachineId = Arc<str>;

/// The maximum length of a request body in bytes. A longer body is refused before it is
/// read completely.
pub const BODY_LIMIT: usize = 64 * 1024;
