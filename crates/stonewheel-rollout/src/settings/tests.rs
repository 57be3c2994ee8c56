use super::*;

type Pairs = Vec<(&'static str, &'static str)>;

fn general_pairs() -> Pairs {
    vec![("start_s", "120"), ("drain_s", "30")]
}

fn service_pairs() -> Pairs {
    vec![
        ("team", "harbor-rx"),
        ("class", "script-match"),
        ("image_gb", "34.3"),
        ("cpus", "11"),
        ("gpus", "2"),
        ("memory_gb", "35"),
        ("port", "8000"),
    ]
}

fn with(pairs: Pairs, key: &'static str, value: &'static str) -> Pairs {
    let mut pairs: Pairs = pairs.into_iter().filter(|(k, _)| *k != key).collect();
    pairs.push((key, value));
    pairs
}

#[test]
fn invalid_settings_name_their_field_and_without_a_section_rollouts_are_off() {
    let parse = |general: Pairs, service: Pairs| {
        parse_sections([("rollout", general), ("service matcher", service)].into_iter())
    };
    let rollouts = parse(general_pairs(), service_pairs()).expect("valid").expect("switched on");
    assert_eq!(rollouts.times.soak_time(), Duration::from_secs(60));
    assert_eq!(rollouts.services["matcher"].health, "/health");
    assert_eq!(parse_sections([("scheduler", Vec::new())].into_iter()), Ok(None));
    let general = [
        ("start_s", "2", "rollout.start_s"),
        ("soak_s", "nan", "rollout.soak_s"),
        ("drain_s", "0", "rollout.drain_s"),
        ("most_failures", "2", "rollout.most_failures"),
        ("look_s", "-1", "rollout.look_s"),
        ("listen", "here", "rollout.listen"),
        ("pause_s", "1", "rollout.pause_s"),
    ];
    for (key, value, field) in general {
        let error = parse(with(general_pairs(), key, value), service_pairs()).expect_err(field);
        assert_eq!(error.field, field, "{error}");
    }
    let service = [
        ("port", "0", "service matcher.port"),
        ("priority", "urgent", "service matcher.priority"),
        ("cpus", "-1", "service matcher.cpus"),
        ("image", "x", "service matcher.image"),
        ("promote_when", "failures <", "service matcher.promote_when"),
        ("promote_when", "errors == 0", "service matcher.promote_when"),
    ];
    for (key, value, field) in service {
        let error = parse(general_pairs(), with(service_pairs(), key, value)).expect_err(field);
        assert_eq!(error.field, field, "{error}");
    }
    let alone = parse_sections([("service matcher", service_pairs())].into_iter());
    assert_eq!(alone.expect_err("no general section").field, "service matcher");
    let none = parse_sections([("rollout", general_pairs())].into_iter());
    assert_eq!(none.expect_err("no service").field, "rollout");
}
