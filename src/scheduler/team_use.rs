//! What a team's tasks use.

/// What the tasks of a team use, or ask for.
#[derive(Clone, Debug, Default)]
pub struct TeamUse {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}
