//! The share of a group of machines that the leader has lost contact with.

/// A group with fewer machines is never taken as silent as a whole, since a few failed
/// machines could account for that.
const MIN_MACHINES: u32 = 3;

/// The number of machines in a group, and how many of them are silent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    machines: u32,
    silent: u32,
}

impl Silence {
    /// Counts one machine of the group.
    pub(super) fn count(&mut self, silent: bool) {
        self.machines += 1;
        self.silent += u32::from(silent);
    }

    /// Whether most machines of the group are silent, so that a common cause, such as a
    /// network partition, is more likely than as many separate failures.
    pub(super) fn is_widespread(self) -> bool {
        self.machines >= MIN_MACHINES && self.silent * 2 > self.machines
    }
}
