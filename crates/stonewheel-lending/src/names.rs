//! Names of machines, teams and claims, and the prefix of the stored keys.

use std::sync::Arc;

/// The prefix of all keys of lending.
pub const PREFIX: &str = "sp/l/";
/// The maximum length of the name of a machine, a team or a claim, in bytes.
pub const MAX_NAME_BYTES: usize = 32;

/// A team's name.
pub type TeamName = Arc<str>;
/// A machine's name, as assigned by the cloud.
pub type MachineName = Arc<str>;
/// A claim's id, chosen by whoever submits it.
pub type ClaimId = Arc<str>;
