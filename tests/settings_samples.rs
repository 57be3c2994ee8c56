//! Pins the names of all settings, the error messages for invalid ones and the output of `--check`.
//! Changes here break compatibility with deployed settings files and operators' scripts.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use stonewheel::settings::{OperatorSettings, Settings};

/// A section's name and its keys, in their order in the file.
type Section = (&'static str, &'static [&'static str]);

const ACTIVATION: &[Section] = &[
    ("activation", &["listen", "hold_requests", "hold_kb", "request_kb", "request_s", "outage_s"]),
    (
        "model rush-router",
        &[
            "team",
            "class",
            "priority",
            "image",
            "image_gb",
            "replicas",
            "cpus",
            "gpus",
            "memory_gb",
            "port",
            "health",
            "load_s",
        ],
    ),
];
const LENDING: &[Section] = &[
    ("lending", &["look_s", "grace_s", "worker_lease_s", "machine_gpus", "expected_machines"]),
    ("lending-team station-ops-00", &["guarantee", "ceiling"]),
    ("lending-team station-ops-01", &["guarantee", "ceiling"]),
    ("lending-team station-ops-02", &["guarantee", "ceiling"]),
    ("lending-team station-ops-03", &["guarantee", "ceiling"]),
    ("lending-team station-ops-04", &["guarantee", "ceiling"]),
    ("lending-team station-ops-05", &["guarantee", "ceiling"]),
    ("lending-team station-ops-06", &["guarantee", "ceiling"]),
    ("lending-team station-ops-07", &["guarantee", "ceiling"]),
];
const ROLLOUT: &[Section] = &[
    ("rollout", &["listen", "start_s", "drain_s", "look_s", "soak_s", "most_failures"]),
    (
        "service script-matcher",
        &[
            "team",
            "class",
            "priority",
            "image_gb",
            "cpus",
            "gpus",
            "memory_gb",
            "port",
            "health",
            "promote_when",
        ],
    ),
];
const OPERATOR_FILES: [(&str, &[Section]); 3] = [
    ("deploy/activation.ini", ACTIVATION),
    ("deploy/lending.ini", LENDING),
    ("deploy/rollout.ini", ROLLOUT),
];
const BUILD: &str = r#"build = "cargo build --release""#;
const RUN: &str = r#"run = "target/release/stonewheel --config""#;

/// Every key that operators may set. An unknown key is an error, so a valid sample shows that every
/// key is known.
const OPERATOR: &str = "\
[scheduler]
round_s = 5
resize_gain = 0.06
gang_slope = 0.2
[fleet]
idle_boots = 0.3
headroom = 0.5
expected_machines = 4
[activation]
listen = 127.0.0.1:8090
hold_requests = 900
hold_kb = 4000
request_kb = 60
request_s = 50
outage_s = 20
[model router]
team = blue
class = chat
priority = best_effort
image = router
image_gb = 34.3
replicas = 2
cpus = 11
gpus = 2
memory_gb = 50
port = 8000
health = /ready
load_s = 120
start_s = 300
hold_s = 400
idle_s = 500
awake_s = 200
attempts = 4
backoff_s = 10
retry_s = 100
look_s = 3
[rollout]
listen = 127.0.0.1:8091
start_s = 180
drain_s = 90
look_s = 2
soak_s = 120
most_failures = 0.1
[service matcher]
team = blue
class = match
priority = standard
image_gb = 34.3
cpus = 11
gpus = 2
memory_gb = 35
port = 8000
health = /ready
promote_when = failures * 100 <= looks && answering > level
[lending]
look_s = 2
order_s = 3
grace_s = 20
worker_lease_s = 11
spread_s = 9
halts_a_zone = 7
settle_s = 60
memory_s = 600
machine_gpus = 8
expected_machines = 200
[lending-team blue]
guarantee = 1
ceiling = 3
";

/// Every key of the platform's settings file.
const PLATFORM: &str = r#"member = "m-0"
zone = "a"
public_addr = "127.0.0.1:7001"
internal_addr = "127.0.0.1:7002"
[[members]]
member = "m-1"
endpoint = "127.0.0.1:7003"
[[members]]
member = "m-2"
endpoint = "127.0.0.1:7004"
[services]
cloud = "127.0.0.1:7005"
state = "127.0.0.1:7006"
[cluster]
size = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "blue"
cpus = 100.0
cpus_max = 200.0
gpus = 16.0
gpus_max = 32.0
[[cluster.teams]]
name = "red"
[[cluster.objectives]]
kind = "wait"
class = "chat"
within_s = 45.0
[[cluster.objectives]]
kind = "cost"
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
[cluster.state.next]
rps = 100.0
write_rps = 40.0
value_kb = 4.0
txn_ops = 16
[cluster.cloud]
rps = 9.0
list_lag_s = 3.0
[cluster.quota]
core_share = 0.08
mem_mb = 48.0
fd_limit = 600
"#;

/// The teams that the files in `deploy/` name, and the line that follows the teams in `PLATFORM`.
const DEPLOYED_TEAMS: &str = r#"[[cluster.teams]]
name = "harbor-rx"
[[cluster.teams]]
name = "station-ops-00"
[[cluster.teams]]
name = "station-ops-01"
[[cluster.teams]]
name = "station-ops-02"
[[cluster.teams]]
name = "station-ops-03"
[[cluster.teams]]
name = "station-ops-04"
[[cluster.teams]]
name = "station-ops-05"
[[cluster.teams]]
name = "station-ops-06"
[[cluster.teams]]
name = "station-ops-07"
[cluster.workers]
"#;

const NEXT_VALUE_TOO_SMALL: &str = "cluster.state.next.value_kb: \
    must be at least an eighth of value_kb, or stored pages would not fit";

fn deployed(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    std::fs::read_to_string(path).expect(file)
}

#[test]
fn sections_and_keys_of_the_operators_files() {
    for (file, sections) in OPERATOR_FILES {
        let text = deployed(file);
        let ini = ini::Ini::load_from_str(&text).expect(file);
        let found: Vec<(&str, Vec<&str>)> = ini
            .iter()
            .filter_map(|(name, keys)| Some((name?, keys.iter().map(|(key, _)| key).collect())))
            .collect();
        let expected: Vec<(&str, Vec<&str>)> =
            sections.iter().map(|(name, keys)| (*name, keys.to_vec())).collect();
        assert_eq!(found, expected, "{file}");
        let operator = OperatorSettings::parse(file, &text).expect(file);
        let on =
            [operator.activation.is_some(), operator.lending.is_some(), operator.rollout.is_some()];
        assert_eq!(on.into_iter().filter(|on| *on).count(), 1, "{file}");
    }
}

#[test]
fn lines_of_the_service_file() {
    let text = deployed("deploy/service.toml");
    let line = |key: &str| text.lines().find(|line| line.starts_with(key));
    assert_eq!((line("build"), line("run")), (Some(BUILD), Some(RUN)));
}

#[test]
fn every_operator_setting_is_known() {
    let operator = OperatorSettings::parse("o.ini", OPERATOR).expect("valid");
    let values = [
        operator.round_s,
        operator.resize_gain,
        operator.gang_slope,
        operator.idle_boots,
        operator.headroom,
        operator.expected_machines,
    ];
    assert_eq!(values, [5.0, 0.06, 0.2, 0.3, 0.5, 4.0]);
    let mut settings = Settings::parse("s.toml", PLATFORM).expect("valid");
    settings.operator = operator;
    assert_eq!(settings.check_parts("o.ini"), Ok(()));
    let error_without = |line: &str| {
        let text = OPERATOR.replacen(line, "", 1);
        OperatorSettings::parse("o.ini", &text).expect_err(line).to_string()
    };
    for (line, message) in [
        ("team = blue\n", "o.ini: model router.team: is missing"),
        ("load_s = 120\n", "o.ini: model router.load_s: is missing"),
        ("start_s = 180\n", "o.ini: rollout.start_s: is missing"),
        ("grace_s = 20\n", "o.ini: lending.grace_s: is missing"),
        ("ceiling = 3\n", "o.ini: lending-team blue.ceiling: is missing"),
        ("[lending]\n", "o.ini: service matcher.expected_machines: unknown key"),
    ] {
        assert_eq!(error_without(line), message);
    }
}

#[test]
fn every_platform_setting_is_read() {
    let settings = Settings::parse("s.toml", PLATFORM).expect("valid");
    let cluster = &settings.cluster;
    assert_eq!((settings.member.as_str(), settings.zone.as_str()), ("m-0", "a"));
    let addresses = [
        settings.public_addr,
        settings.internal_addr,
        settings.members[0].endpoint,
        settings.members[1].endpoint,
        settings.services.cloud,
        settings.services.state,
    ];
    assert_eq!(addresses.map(|address| address.port()), [7001, 7002, 7003, 7004, 7005, 7006]);
    assert_eq!(settings.members.len(), 2);
    assert_eq!((&*settings.members[0].member, &*settings.members[1].member), ("m-1", "m-2"));
    assert_eq!((cluster.size, cluster.zones.len(), &*cluster.zones[1]), (3, 2, "b"));
    let team = |name: &str| {
        let team = settings.team(name).expect(name);
        [team.cpus, team.cpus_max, team.gpus, team.gpus_max]
    };
    assert_eq!(team("blue"), [100.0, 200.0, 16.0, 32.0]);
    assert_eq!(team("red"), [0.0; 4]);
    let objectives: Vec<_> = cluster
        .objectives
        .iter()
        .map(|objective| (objective.kind.as_str(), objective.class.as_deref(), objective.within_s))
        .collect();
    assert_eq!(objectives, [("wait", Some("chat"), Some(45.0)), ("cost", None, None)]);
    let workers = &cluster.workers;
    let times = [
        workers.report_s,
        workers.lease_s,
        workers.gang_wait_s,
        workers.gang_peer_s,
        workers.cancel_s,
    ];
    assert_eq!(times, [1.0, 11.0, 40.0, 8.0, 36.0]);
    let (state, next) = (&cluster.state, &cluster.state.next);
    assert_eq!((state.rps, state.write_rps, state.value_kb, state.txn_ops), (150.0, 60.0, 8.0, 24));
    assert_eq!((next.rps, next.write_rps), (Some(100.0), Some(40.0)));
    assert_eq!((next.value_kb, next.txn_ops), (Some(4.0), Some(16)));
    assert_eq!((cluster.cloud.rps, cluster.cloud.list_lag_s), (9.0, 3.0));
    let quota = &cluster.quota;
    assert_eq!((quota.core_share, quota.mem_mb, quota.fd_limit), (0.08, 48.0, 600));
}

/// Returns the error of parsing `PLATFORM` with the first `from` replaced by `to`.
fn parse_error(from: &str, to: &str) -> String {
    let text = PLATFORM.replacen(from, to, 1);
    Settings::parse("s.toml", &text).expect_err(from).to_string()
}

#[test]
fn error_messages_for_the_platform_settings() {
    for (from, to, message) in [
        ("member = \"m-0\"\n", "", ".: missing field `member`"),
        ("\"m-0\"", "\"\"", "member: must not be empty"),
        ("\"m-2\"", "\"m-0\"", "members: must list the other controllers only"),
        ("\"127.0.0.1:7001\"", "\"nowhere\"", "public_addr: invalid socket address syntax"),
        ("cloud = \"127.0.0.1:7005\"\n", "", "services: missing field `cloud`"),
        ("size = 3", "size = 0", "cluster.size: must be at least 1"),
        ("size = 3", "size = true", "cluster.size: invalid type: boolean `true`, expected u32"),
        ("[\"a\", \"b\"]", "[]", "cluster.zones: must name 1 to 255 zones"),
        ("cpus = 100.0", "cpus = -1.0", "cluster.teams: amounts must be at least 0"),
        ("txn_ops = 24", "txn_ops = 3", "cluster.state.txn_ops: must be at least 4"),
        ("value_kb = 4.0", "value_kb = 0.4", "cluster.state.next.value_kb: must be at least 0.5"),
        ("value_kb = 4.0", "value_kb = 0.9", NEXT_VALUE_TOO_SMALL),
        ("txn_ops = 16", "txn_ops = 3", "cluster.state.next.txn_ops: must be at least 4"),
        ("list_lag_s = 3.0", "list_lag_s = -1", "cluster.cloud.list_lag_s: must be at least 0"),
        ("fd_limit = 600", "fd_limit = 31", "cluster.quota.fd_limit: must be at least 32"),
        ("[services]", "[services", "syntax: unclosed table, expected `]`"),
    ] {
        assert_eq!(parse_error(from, to), format!("s.toml: {message}"));
    }
}

#[test]
fn platform_settings_that_must_be_more_than_0() {
    for (from, to, field) in [
        ("report_s = 1.0", "report_s = 0", "cluster.workers.report_s"),
        ("lease_s = 11.0", "lease_s = 0", "cluster.workers.lease_s"),
        ("gang_wait_s = 40.0", "gang_wait_s = 0", "cluster.workers.gang_wait_s"),
        ("gang_peer_s = 8.0", "gang_peer_s = 0", "cluster.workers.gang_peer_s"),
        ("cancel_s = 36.0", "cancel_s = 0", "cluster.workers.cancel_s"),
        ("\nrps = 150.0", "\nrps = 0", "cluster.state.rps"),
        ("write_rps = 60.0", "write_rps = 0", "cluster.state.write_rps"),
        ("value_kb = 8.0", "value_kb = 0", "cluster.state.value_kb"),
        ("\nrps = 100.0", "\nrps = 0", "cluster.state.next.rps"),
        ("write_rps = 40.0", "write_rps = 0", "cluster.state.next.write_rps"),
        ("\nrps = 9.0", "\nrps = 0", "cluster.cloud.rps"),
        ("core_share = 0.08", "core_share = 0", "cluster.quota.core_share"),
        ("mem_mb = 48.0", "mem_mb = 0", "cluster.quota.mem_mb"),
    ] {
        assert_eq!(parse_error(from, to), format!("s.toml: {field}: must be more than 0"));
    }
}

/// A file that is removed when the value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, text: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("stonewheel-settings-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("the directory can be written to");
        Self(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs the program with `--check`. Returns its standard output, its standard error with the files'
/// paths replaced, and its exit code.
fn check(name: &str, platform: &str, operator: Option<&str>) -> (String, String, Option<i32>) {
    let platform = TemporaryFile::new(&format!("{name}.toml"), platform);
    let operator = operator.map(|text| TemporaryFile::new(&format!("{name}.ini"), text));
    let mut command = Command::new(env!("CARGO_BIN_EXE_stonewheel"));
    command.arg("--check").arg("--config").arg(&platform.0);
    if let Some(operator) = &operator {
        command.arg("--operator").arg(&operator.0);
    }
    let output = command.output().expect("the program runs");
    let text_of = |bytes| String::from_utf8(bytes).expect("text");
    let mut errors = text_of(output.stderr).replace(&platform.0.display().to_string(), "PLATFORM");
    if let Some(operator) = &operator {
        errors = errors.replace(&operator.0.display().to_string(), "OPERATOR");
    }
    (text_of(output.stdout), errors, output.status.code())
}

#[test]
fn check_flag_validates_settings_files() {
    let valid = "the settings are valid\n";
    let fourth_unlisted = PLATFORM.replacen("size = 3", "size = 4", 1);
    let zero_size = PLATFORM.replacen("size = 3", "size = 0", 1);
    let cases = [
        (PLATFORM, None, valid, "", 0),
        (PLATFORM, Some(OPERATOR), valid, "", 0),
        (
            &fourth_unlisted,
            None,
            valid,
            "stonewheel: PLATFORM: warning: members: 2 others are listed for 4 controllers\n",
            0,
        ),
        (&zero_size, None, "", "stonewheel: PLATFORM: cluster.size: must be at least 1\n", 2),
        (
            PLATFORM,
            Some("[fleet]\nround_s = 1\n"),
            "",
            "stonewheel: OPERATOR: fleet.round_s: unknown key\n",
            2,
        ),
    ];
    for (number, (platform, operator, output, errors, code)) in cases.into_iter().enumerate() {
        let found = check(&number.to_string(), platform, operator);
        assert_eq!(found, (output.into(), errors.into(), Some(code)), "case {number}");
    }
}

#[test]
fn check_flag_validates_the_operator_files_in_deploy() {
    for (file, team) in [
        ("deploy/activation.ini", "model rush-router.team: cluster.teams has no station-ops-00"),
        ("deploy/lending.ini", "lending-team station-ops-00: cluster.teams has no station-ops-00"),
        ("deploy/rollout.ini", "service script-matcher.team: cluster.teams has no harbor-rx"),
    ] {
        let text = deployed(file);
        let name = file.replace('/', "-");
        let refused = (String::new(), format!("stonewheel: OPERATOR: {team}\n"), Some(2));
        assert_eq!(check(&name, PLATFORM, Some(&text)), refused);
        let platform = PLATFORM.replacen("[cluster.workers]", DEPLOYED_TEAMS, 1);
        let valid = ("the settings are valid\n".to_owned(), String::new(), Some(0));
        assert_eq!(check(&name, &platform, Some(&text)), valid, "{file}");
    }
}
