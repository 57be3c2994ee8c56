//! The error of a leader that another controller has superseded.

use thiserror::Error;

/// A heartbeat shows a higher fencing token than those of this term: another controller leads.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a worker has seen a higher token than this term's")]
pub struct Superseded;
