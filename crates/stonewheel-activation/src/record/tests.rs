use super::*;

const ASLEEP: &str = r#"{"generation":3,"epoch":5,"state":"asleep"}"#;

#[test]
fn the_stored_form_stays_as_it_is() {
    let active = r#"{"generation":4,"epoch":6,"state":{"active":{"owner":{"member":"m-1","incarnation":7},"attempt":2,"job":"j-91","stage":{"stopping":{"then":"give_up"}}}}}"#;
    for text in [ASLEEP, active] {
        let record: ActivationRecord = serde_json::from_str(text).expect("readable");
        assert_eq!(serde_json::to_string(&record).expect("json"), text);
    }
    let record: ActivationRecord = serde_json::from_str(ASLEEP).expect("readable");
    assert_eq!(record.state, ModelState::ScaledToZero);
    assert_eq!(use_marker_key("router", "m-0"), "sp/a/u/router/m-0");
}
