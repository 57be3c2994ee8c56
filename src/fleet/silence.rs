//! How many machines of a group are silent at once.

/// Fewer machines than this show nothing about the group as a whole.
const MIN_MACHINES: u32 = 3;

/// The machines of a group, and those of them that are silent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    machines: u32,
    silent: u32,
}

impl Silence {
    /// Counts a machine.
    pub(super) fn count(&mut self, silent: bool) {
        self.machines += 1;
        self.silent += u32::from(silent);
    }

    /// Whether most machines are silent: the fault is then hardly with each of them.
    pub(super) fn is_widespread(self) -> bool {
        self.machines >= MIN_MACHINES && self.silent * 2 > self.machines
    }
}
