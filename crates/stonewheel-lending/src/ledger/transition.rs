//! Changes of single ledger entries.

use super::entry::Entry;
use crate::names::MachineName;

/// A change of one machine's ledger entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The machine.
    pub machine: MachineName,
    /// The machine's entry after the change. None: the machine is available.
    pub after: Option<Entry>,
}
