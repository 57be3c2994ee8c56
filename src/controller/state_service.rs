//! Whether the state service answers, as far as a leader is concerned.

/// Whether records can be read and written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateService {
    /// It answers.
    Available,
    /// It does not, or the leadership is in doubt: nothing new can be made durable.
    Unavailable,
}
