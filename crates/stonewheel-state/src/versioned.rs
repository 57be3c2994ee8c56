//! A value of the state service together with its version.

/// A value and its version. Of two values of one key, the one with the higher version is
/// the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Versioned<T> {
    /// The revision of the key's last change; 0 if the key doesn't exist.
    pub version: u64,
    /// The value.
    pub value: T,
}
