//! Every struct that crosses a wire, in the field's standard terms.
//!
//! The wire's own names appear only here, as serde renames; the rest of the
//! program speaks of jobs, tasks, machines, incarnations and fencing tokens. Each
//! module holds what is exchanged with one kind of partner. `wire_samples.rs` and
//! `link_samples.rs` pin the bytes.

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

/// The id that a user gave a job, of the form that [`is_job_id`] checks. Ids of jobs
/// and machines are keys of many tables, so they are counted references rather than
/// copies.
pub type JobId = Arc<str>;
/// The name that the cloud gave a machine.
pub type MachineId = Arc<str>;

/// The longest request body, in bytes: a longer one is refused before it is read to
/// its end.
pub const BODY_LIMIT: usize = 64 * 1024;
