//! Markers of the commands that were carried out lately.
//!
//! A copy of a command may arrive minutes after its answer, when later commands have pushed it
//! out of the service's record. The transaction that carries out a command therefore also puts
//! a marker under the command's id, on the condition that there is none, and the marker's lease
//! removes it after [`RETENTION`].

use std::time::Duration;

use stonewheel_coordination::{Records, put};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::StateError;

use crate::{
    command::Command,
    record::{DoneCommand, command_key, command_prefix},
};

/// How long a command is remembered: the longest lease that the state service grants.
pub const RETENTION: Duration = Duration::from_secs(600);
/// The maximum number of markers of a service. Every controller keeps them in its memory.
pub const MAX_MARKERS: usize = 128;
/// The number of markers that are kept free for commands that end a rollout.
const RESERVED_MARKERS: usize = 64;

/// Returns the command that was carried out under the id of this one, if it is remembered.
pub(crate) fn find(records: &Records, service: &str, command: &Command) -> Option<DoneCommand> {
    records.get(&command_key(service, &command.id)).map(|marker| marker.value)
}

/// Whether a service has a free marker for this command. Without one the command must not be
/// carried out, since its copies would not be recognized.
pub(crate) fn has_room(records: &Records, service: &str, command: &Command) -> bool {
    let reserved = if command.kind.ends_rollout() { 0 } else { RESERVED_MARKERS };
    records.key_suffixes(&command_prefix(service)).count() + reserved < MAX_MARKERS
}

/// Returns the write that puts the marker of a command, and its condition.
pub(crate) fn mark(
    service: &str,
    command: &Command,
    lease: u64,
) -> Result<(Condition, Write), StateError> {
    let key = command_key(service, &command.id);
    let absent = Condition { key: key.clone(), version: 0 };
    Ok((absent, put(key, &command.done(), Some(lease))?))
}
