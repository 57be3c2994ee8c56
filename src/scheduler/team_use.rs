//! What a team's tasks use.

#[derive(Clone, Debug, Default)]
pub struct TeamUse {
    pub cpus: f64,
    pub gpus: f64,
}
