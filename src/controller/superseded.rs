//! The error of a leader that another controller has followed.

use thiserror::Error;

/// A heartbeat shows a higher token than this term's: another controller leads.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a worker has seen a higher token than this term's")]
pub struct Superseded;
