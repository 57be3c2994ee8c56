use super::{derived::MIN_BACKLOG, *};

const GOOD: &str = r#"
member = "m-0"
zone = "a"
public_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
unheard_of = 1
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
size = 3
zones = ["a"]
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

#[test]
fn settings_errors_name_the_invalid_field_in_one_line() {
    assert!(Settings::parse("f", GOOD).is_ok());
    let mistakes = [
        ("member = \"m-0\"", "", "member"),
        ("member = \"m-0\"", "member = \"\"", "member"),
        ("\"127.0.0.1:1\"", "\"nowhere\"", "public_addr"),
        ("cloud = \"127.0.0.1:3\"", "", "services"),
        ("size = 3", "size = 0", "cluster.size"),
        ("size = 3", "size = \"three\"", "cluster.size"),
        ("zones = [\"a\"]", "zones = []", "cluster.zones"),
        ("report_s = 1.0", "report_s = 0.0", "cluster.workers.report_s"),
        ("lease_s = 11.0", "lease_s = -1.0", "cluster.workers.lease_s"),
        ("txn_ops = 24", "txn_ops = 1", "cluster.state.txn_ops"),
        ("rps = 150.0", "rps = nan", "cluster.state.rps"),
        ("list_lag_s = 3.0", "list_lag_s = -3.0", "cluster.cloud.list_lag_s"),
        ("fd_limit = 600", "fd_limit = 3", "cluster.quota.fd_limit"),
        ("[services]", "[services", "syntax"),
    ];
    for (from, to, field) in mistakes {
        let text = GOOD.replacen(from, to, 1);
        let error = Settings::parse("f", &text).expect_err(field);
        assert!(error.field.starts_with(field) || error.reason.contains(field), "{error}");
        assert_eq!(error.to_string().lines().count(), 1, "{error}");
    }
}

#[test]
fn operator_settings_errors_name_the_invalid_field() {
    let good = OperatorSettings::parse("o", "[scheduler]\nround_s = 5\n").expect("valid");
    assert_eq!(good.round_s, 5.0);
    for (text, field) in [
        ("[scheduler]\nround = 5\n", "scheduler.round"),
        ("[scheduler]\nround_s = soon\n", "scheduler.round_s"),
        ("[scheduler]\nround_s = 0\n", "scheduler.round_s"),
        ("[fleet]\nidle_boots = -1\n", "fleet.idle_boots"),
        ("[other]\nround_s = 5\n", "other.round_s"),
    ] {
        assert_eq!(OperatorSettings::parse("o", text).expect_err(field).field, field);
    }
}

#[test]
fn deployed_activation_file_is_valid_and_checked_against_teams_and_members() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/activation.ini");
    let text = std::fs::read_to_string(file).expect("the file exists");
    let operator = OperatorSettings::parse("deploy/activation.ini", &text).expect("valid");
    let activation = operator.activation.as_ref().expect("enabled");
    assert_eq!(activation.models["rush-router"].load_s, 120.0, "the trailing comment is ignored");
    let mut settings = Settings::parse("f", GOOD).expect("valid");
    settings.operator = operator;
    let error = settings.check_parts("o").expect_err("no such team");
    assert_eq!(error.field, "model rush-router.team");
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    settings.cluster.teams.push(team("station-ops-00"));
    assert_eq!(settings.check_parts("o"), Ok(()));
    settings.member = "m 0".into();
    assert_eq!(settings.check_parts("o").expect_err("not a valid key segment").field, "activation");
    settings.member = "m-0".into();
    let member = |number| Member {
        member: format!("m-{number}"),
        endpoint: "127.0.0.1:9".parse().expect("an address"),
    };
    settings.members = (1..200).map(member).collect();
    assert_eq!(settings.check_parts("o").expect_err("too many members").field, "activation");
}

#[test]
fn lending_guarantees_above_those_of_the_platform_are_rejected() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/lending.ini");
    let text = std::fs::read_to_string(file).expect("the file exists");
    let operator = OperatorSettings::parse("deploy/lending.ini", &text).expect("valid");
    let lending = operator.lending.clone().expect("enabled");
    assert_eq!(lending.teams.len(), 8);
    let mut settings = Settings::parse("f", GOOD).expect("valid");
    settings.operator = operator;
    let error = settings.check_parts("o").expect_err("no such team");
    assert_eq!(error.field, "lending-team station-ops-00");
    let team = |name: &str, gpus: f64| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus,
        gpus_max: 120.0,
    };
    settings.cluster.teams = lending.teams.keys().map(|name| team(name, 40.0)).collect();
    assert_eq!(settings.check_parts("o"), Ok(()));
    settings.cluster.teams[2] = team("station-ops-02", 39.0);
    let error = settings.check_parts("o").expect_err("above the platform's guarantee");
    assert_eq!(error.field, "lending-team station-ops-02.guarantee");
    assert_eq!(error.reason, "40 GPUs are more than cluster.teams guarantees");
}

#[test]
fn limits_too_small_for_the_deployment_cause_warnings() {
    let warn = |from: &str, to: &str| {
        let text = GOOD.replacen("size = 3", "size = 1", 1).replacen(from, to, 1);
        Settings::parse("f", &text).expect("valid").warnings().join("; ")
    };
    assert_eq!(warn("", ""), "");
    assert!(warn("\nrps = 150.0", "\nrps = 2.0").starts_with("cluster.state.rps"));
    assert!(warn("write_rps = 60.0", "write_rps = 0.5").starts_with("cluster.state.write_rps"));
    // 90 controllers share the same rate limit.
    let many = warn("size = 1", "size = 90");
    assert!(many.contains("cluster.state.rps") && many.contains("members"), "{many}");
    assert!(warn("zone = \"a\"", "zone = \"z\"").starts_with("zone"));
    assert!(warn("cancel_s = 36.0", "cancel_s = 12.0").starts_with("cluster.workers.cancel_s"));
    assert!(warn("\nrps = 8.0", "\nrps = 0.5").starts_with("cluster.cloud.rps"));
    assert!(warn("fd_limit = 600", "fd_limit = 64").starts_with("cluster.quota.fd_limit"));
}

#[test]
fn limits_too_small_for_the_expected_machines_cause_warnings() {
    let warnings = |machines: &str, changes: &[(&str, &str)]| {
        let text = changes
            .iter()
            .fold(GOOD.replacen("size = 3", "size = 1", 1), |text, (a, b)| text.replacen(a, b, 1));
        let mut settings = Settings::parse("f", &text).expect("valid");
        let operator = format!("[fleet]\nexpected_machines = {machines}\n");
        settings.operator = OperatorSettings::parse("o", &operator).expect("valid");
        settings.warnings()
    };
    assert_eq!(warnings("0", &[]), Vec::<String>::new(), "the number of machines is unknown");
    let too_small = warnings("4000", &[("write_rps = 60.0", "write_rps = 40.0")]);
    let fields = [
        "cluster.quota.fd_limit",
        "cluster.quota.mem_mb",
        "cluster.quota.core_share",
        "cluster.state.write_rps",
    ];
    assert_eq!(too_small.len(), fields.len(), "{too_small:?}");
    for (warning, field) in too_small.iter().zip(fields) {
        assert!(warning.starts_with(field), "{warning}");
    }
    // The limits that docs/operations.md recommends for a fleet of this size.
    let sufficient = [
        ("fd_limit = 600", "fd_limit = 9000"),
        ("mem_mb = 40.0", "mem_mb = 128.0"),
        ("core_share = 0.08", "core_share = 0.6"),
        ("write_rps = 60.0", "write_rps = 240.0"),
        ("\nrps = 150.0", "\nrps = 600.0"),
    ];
    assert_eq!(warnings("4000", &sufficient), Vec::<String>::new());
    let slow_cloud = warnings("40000", &[("\nrps = 8.0", "\nrps = 1.0")]);
    assert!(slow_cloud.iter().any(|w| w.starts_with("cluster.cloud.rps")), "{slow_cloud:?}");
}

#[test]
fn heartbeat_and_backlog_limits_grow_with_the_settings() {
    let settings =
        |from: &str, to: &str| Settings::parse("f", &GOOD.replacen(from, to, 1)).expect("valid");
    let usual = settings("", "");
    assert_eq!(usual.max_cancellations_per_heartbeat(), MIN_CANCELLATIONS_PER_HEARTBEAT);
    assert_eq!(usual.frame_limit(), crate::peers::MIN_FRAME_LIMIT);
    assert_eq!(usual.listen_backlog(), MIN_BACKLOG);
    let fast = settings("write_rps = 60.0", "write_rps = 600.0");
    // 600 writes a second for two leader leases of 11 / 3 s, all of them cancellations.
    assert_eq!(fast.max_cancellations_per_heartbeat(), 4400);
    assert!(crate::peers::max_cancellations_per_frame(fast.frame_limit()) >= 4400);
    let large = settings("fd_limit = 600", "fd_limit = 9000");
    assert!(large.listen_backlog() > 4000, "{}", large.listen_backlog());
}

#[test]
fn team_without_a_guarantee_guarantees_nothing() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    assert!(!team.guarantees(0.0, 0.0));
}

fn with_next(next: &str) -> String {
    GOOD.replace("[cluster.cloud]", &format!("[cluster.state.next]\n{next}\n[cluster.cloud]"))
}

#[test]
fn effective_limits_are_the_smaller_of_present_and_coming_ones() {
    let limits = |text: &str| Settings::parse("f", text).expect("valid").state_limits();
    let today = limits(GOOD);
    assert_eq!((today.value_bytes, today.transaction_writes), (8192, 24));
    let lower = limits(&with_next("value_kb = 2.0\ntxn_ops = 8\nwrite_rps = 42.0"));
    assert_eq!((lower.value_bytes, lower.transaction_writes), (2048, 8));
    assert_eq!((lower.writes_per_s, lower.requests_per_s), (42.0, 150.0));
    assert_eq!(lower.transaction_conditions(), 32);
    // Larger coming limits change nothing, since the time when they take effect is unknown.
    let higher = limits(&with_next("value_kb = 64.0\ntxn_ops = 99\nwrite_rps = 500.0"));
    assert_eq!(higher, today);
    assert_eq!(limits(&with_next("")), today);
}

#[test]
fn page_size_does_not_depend_on_coming_limits() {
    // The page size in production for values of 8 KiB. Versions that don't know the coming limits
    // use it, and an old and a new leader must agree on it.
    let settings = Settings::parse("f", &with_next("value_kb = 2.0")).expect("valid");
    assert_eq!(settings.page_tasks(), 128);
}

#[test]
fn invalid_coming_limits_are_rejected_with_their_field() {
    let mistakes = [
        ("txn_ops = 3", "cluster.state.next.txn_ops"),
        ("value_kb = 0.1", "cluster.state.next.value_kb"),
        ("value_kb = nan", "cluster.state.next.value_kb"),
        ("write_rps = 0.0", "cluster.state.next.write_rps"),
        ("rps = -1.0", "cluster.state.next.rps"),
        ("txn_ops = \"many\"", "cluster.state.next.txn_ops"),
    ];
    for (next, field) in mistakes {
        let error = Settings::parse("f", &with_next(next)).expect_err(field);
        assert_eq!(error.field, field, "{error}");
        assert_eq!(error.to_string().lines().count(), 1, "{error}");
    }
}
