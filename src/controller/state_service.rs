//! The availability of the state service to a leader.

/// Whether a leader can read and write records now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateService {
    /// The state service answers, and the leadership is not in doubt.
    Available,
    /// The state service does not answer, or the leadership is in doubt. No new decision can be
    /// made durable.
    Unavailable,
}
