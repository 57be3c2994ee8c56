//! A value as the state service holds it.

/// A value and its version; 0: it doesn't exist. Of two with the same type the one
/// with the higher version is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Versioned<T> {
    /// The revision of its last change.
    pub version: u64,
    /// The value.
    pub value: T,
}
