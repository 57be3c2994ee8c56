//! Names and their place in keys.

use std::sync::Arc;

/// All keys of this part begin with this.
pub const PREFIX: &str = "sp/l/";
/// The longest name of a machine, a team or a claim, in bytes.
pub const MAX_NAME_BYTES: usize = 32;

/// A team's name.
pub type TeamName = Arc<str>;
/// A machine's name, as the cloud gives it.
pub type MachineName = Arc<str>;
/// A claim's id, chosen by whoever submits it.
pub type ClaimId = Arc<str>;
