use super::*;

type Pairs = Vec<(&'static str, &'static str)>;

fn general_pairs() -> Pairs {
    vec![("listen", "127.0.0.1:0")]
}

fn model_pairs() -> Pairs {
    vec![
        ("team", "station-ops"),
        ("class", "rush"),
        ("image", "router"),
        ("image_gb", "34.3"),
        ("cpus", "11"),
        ("gpus", "2"),
        ("memory_gb", "50"),
        ("port", "8000"),
        ("load_s", "60"),
    ]
}

fn parse(sections: Vec<(&'static str, Pairs)>) -> Result<Option<ActivationSettings>, FieldError> {
    parse_sections(sections.into_iter())
}

fn with_value(pairs: Pairs, key: &'static str, value: &'static str) -> Pairs {
    let mut pairs: Pairs = pairs.into_iter().filter(|(k, _)| *k != key).collect();
    pairs.push((key, value));
    pairs
}

#[test]
fn unset_times_default_to_ratios_of_the_load_time() {
    let settings = parse(vec![
        ("scheduler", vec![("round_s", "4")]),
        ("activation", general_pairs()),
        ("model router", model_pairs()),
    ]);
    let settings = settings.expect("valid").expect("an activation section");
    let model = &settings.models["router"];
    assert_eq!((model.start_s, model.hold_s, model.idle_s), (180.0, 240.0, 300.0));
    assert_eq!(settings.drain_time(), Duration::from_secs(90));
    let backoffs: Vec<f64> = (1..=4).map(|n| model.backoff(n).as_secs_f64()).collect();
    assert_eq!(backoffs, [0.0, 7.5, 15.0, 30.0]);
    assert_eq!(parse(vec![("scheduler", vec![])]), Ok(None), "no activation section");
}

#[test]
fn listen_setting_is_a_port_of_the_public_address_or_a_full_address() {
    let public = "10.0.0.3".parse().expect("an address");
    let listen = |text| Listen::parse(text).map(|listen| listen.address(public).to_string());
    assert_eq!(listen("8090").as_deref(), Some("10.0.0.3:8090"));
    assert_eq!(listen("127.0.0.1:8090").as_deref(), Some("127.0.0.1:8090"));
    assert_eq!(listen("70000"), None);
}

#[test]
fn invalid_value_is_reported_with_the_name_of_its_field() {
    let general = [
        ("listen", "nowhere", "activation.listen"),
        ("hold_requests", "0", "activation.hold_requests"),
        ("hold_kb", "nan", "activation.hold_kb"),
        ("request_kb", "8192", "activation.request_kb"),
        ("request_s", "-1", "activation.request_s"),
        ("outage_s", "inf", "activation.outage_s"),
        ("hold", "1", "activation.hold"),
    ];
    for (key, value, field) in general {
        let pairs = with_value(general_pairs(), key, value);
        let error = parse(vec![("activation", pairs), ("model router", model_pairs())]);
        assert_eq!(error.expect_err(field).field, field);
    }
    let model = [
        // start_s must not be below load_s.
        ("start_s", "59", "model router.start_s"),
        ("look_s", "181", "model router.look_s"),
        ("load_s", "0", "model router.load_s"),
        ("idle_s", "-3", "model router.idle_s"),
        ("backoff_s", "soon", "model router.backoff_s"),
        ("replicas", "1.5", "model router.replicas"),
        ("attempts", "0", "model router.attempts"),
        ("port", "70000", "model router.port"),
        ("priority", "urgent", "model router.priority"),
        ("health", "up", "model router.health"),
        ("team", "", "model router.team"),
        ("gpus", "-1", "model router.gpus"),
        ("gpu", "1", "model router.gpu"),
    ];
    for (key, value, field) in model {
        let pairs = with_value(model_pairs(), key, value);
        let error = parse(vec![("activation", general_pairs()), ("model router", pairs)]);
        let error = error.expect_err(field);
        assert_eq!(error.field, field, "{error}");
        assert_eq!(error.to_string().lines().count(), 1, "{error}");
    }
}

#[test]
fn missing_duplicate_and_misnamed_sections_are_reported_by_name() {
    let router = || ("model router", model_pairs());
    let general = || ("activation", general_pairs());
    let twice_set = [general_pairs(), general_pairs()].concat();
    let cases = [
        (vec![router()], "model router"),
        (vec![general()], "activation"),
        (vec![general(), router(), router()], "model router"),
        (vec![general(), general(), router()], "activation"),
        (vec![general(), ("model Router", model_pairs())], "model Router"),
        (vec![general(), ("model a/b", model_pairs())], "model a/b"),
        (vec![("activation", twice_set), router()], "activation.listen"),
    ];
    for (sections, field) in cases {
        assert_eq!(parse(sections).expect_err(field).field, field);
    }
}
