//! Settings of the simulated controllers.

use stonewheel::settings::{NextStateLimits, Settings};

pub const SETTINGS: &str = r#"
member = "m-0"
zone = "a"
public_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
size = 3
zones = ["a", "b"]
time_bound_ms = 1000.0
[[cluster.teams]]
name = "red"
gpus = 8.0
gpus_max = 16.0
[[cluster.teams]]
name = "blue"
[cluster.workers]
report_s = 1.0
lease_s = 11.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 36.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 8.0
list_lag_s = 3.0
[cluster.quota]
core_share = 0.08
mem_mb = 40.0
fd_limit = 600
"#;

/// Returns settings that announce lower limits of the state service.
pub fn settings_with_coming_limits(member: &str) -> Settings {
    let mut settings = settings(member);
    settings.cluster.state.next =
        NextStateLimits { rps: None, write_rps: Some(42.0), value_kb: Some(2.0), txn_ops: Some(8) };
    settings
}

pub fn settings(member: &str) -> Settings {
    Settings::parse("test.toml", &SETTINGS.replace("m-0", member)).expect("valid settings")
}

/// Scales rates and quotas for a fleet of `scale` times the usual size, see
/// `docs/operations.md`.
pub fn scale_settings(settings: &mut Settings, scale: f64) {
    let cluster = &mut settings.cluster;
    cluster.state.rps *= scale;
    cluster.state.write_rps *= scale;
    cluster.cloud.rps *= scale;
    cluster.quota.core_share *= scale;
    cluster.quota.mem_mb *= scale;
    cluster.quota.fd_limit = (f64::from(cluster.quota.fd_limit) * scale) as u32;
}
