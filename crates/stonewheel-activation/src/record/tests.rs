use super::*;

const SCALED_TO_ZERO_JSON: &str = r#"{"generation":3,"epoch":5,"state":"asleep"}"#;

#[test]
fn stored_json_of_a_record_is_unchanged() {
    let active_json = r#"{"generation":4,"epoch":6,"state":{"active":{"owner":{"member":"m-1","incarnation":7},"attempt":2,"job":"j-91","stage":{"stopping":{"then":"give_up"}}}}}"#;
    for text in [SCALED_TO_ZERO_JSON, active_json] {
        let record: ActivationRecord = serde_json::from_str(text).expect("readable");
        assert_eq!(serde_json::to_string(&record).expect("json"), text);
    }
    let record: ActivationRecord = serde_json::from_str(SCALED_TO_ZERO_JSON).expect("readable");
    assert_eq!(record.state, ModelState::ScaledToZero);
    assert_eq!(use_marker_key("router", "m-0"), "sp/a/u/router/m-0");
}
