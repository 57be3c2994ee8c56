//! Resource usage of a team.

/// The resources that the tasks of a team use or request.
#[derive(Clone, Debug, Default)]
pub struct TeamUse {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}
