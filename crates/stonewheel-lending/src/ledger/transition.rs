//! A change of one machine's entry.

use super::entry::Entry;
use crate::names::MachineName;

/// One machine's change.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The machine.
    pub machine: MachineName,
    /// Its entry afterwards; none: it is available.
    pub after: Option<Entry>,
}
