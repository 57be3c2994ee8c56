//! Guards against incompatible changes of the stored records, which controllers of another version
//! could not read. The schema of all records is committed; records of the first version and those
//! written by this version are valid under it.
//!
//! After an addition that earlier versions may ignore, `RECORDS_SCHEMA=write` writes the schema
//! file again.

use jsonschema::Validator;
use schemars::{JsonSchema, schema_for};
use serde_json::{Value, json};
use stonewheel_lending::{
    HolderRecord,
    claim::{Claim, ClaimRecord, Work},
    ledger::{ChangeReason, Entry, LoanId, Shard},
};

const SCHEMA_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/schema/records.json");

fn schema<T: JsonSchema>() -> Value {
    schema_for!(T).to_value()
}

/// Returns the schemas of all records, as derived from their types.
fn current_schemas() -> Value {
    json!({
        "claim": schema::<ClaimRecord>(),
        "holder": schema::<HolderRecord>(),
        "shard": schema::<Shard>(),
    })
}

/// Returns the schemas in the committed file.
fn committed_schemas() -> Value {
    let text = std::fs::read_to_string(SCHEMA_FILE).expect("a committed schema file");
    serde_json::from_str(&text).expect("JSON")
}

fn validator(name: &str) -> Validator {
    jsonschema::validator_for(&committed_schemas()[name]).expect("a schema")
}

/// Returns records as the first version wrote them.
fn samples() -> [(&'static str, &'static str); 6] {
    [
        ("holder", r#"{"epoch":7,"owner":{"member":"m-1","incarnation":42},"shards":12}"#),
        ("holder", r#"{"epoch":7,"owner":null,"shards":12}"#),
        (
            "claim",
            r#"{"stands":{"team":"red","machines":2,"gpus":8.0,"work":{"batch":{"checkpoint_s":10.0,"save_s":2.0}}}}"#,
        ),
        ("claim", r#"{"stands":{"team":"red","machines":1,"gpus":4.0,"work":"serving"}}"#),
        ("claim", r#""withdrawn""#),
        (
            "shard",
            r#"{"entries":{"n-000001":{"loan":{"epoch":7,"number":3},"state":"reclaim_requested","lender":"red","borrower":"blue","claim":"b-1","claimant":"s-1","granted":false,"grace_ms":8000,"history":[{"state":"lent","why":"free"},{"state":"reclaim_requested","why":"claimed"}]}}}"#,
        ),
    ]
}

#[test]
fn committed_schema_equals_schema_of_record_types() {
    if std::env::var("RECORDS_SCHEMA").as_deref() == Ok("write") {
        let text = serde_json::to_string_pretty(&current_schemas()).expect("JSON") + "\n";
        std::fs::write(SCHEMA_FILE, text).expect("written");
    }
    assert_eq!(committed_schemas(), current_schemas());
}

#[test]
fn records_of_the_first_version_are_valid_and_survive_a_round_trip() {
    for (name, text) in samples() {
        let value: Value = serde_json::from_str(text).expect("JSON");
        assert!(validator(name).is_valid(&value), "{text}");
        let rewritten = match name {
            "holder" => json!(serde_json::from_str::<HolderRecord>(text).expect("a holder")),
            "claim" => json!(serde_json::from_str::<ClaimRecord>(text).expect("a claim")),
            _ => json!(serde_json::from_str::<Shard>(text).expect("a shard")),
        };
        assert_eq!(rewritten, value);
    }
}

#[test]
fn written_records_match_the_schema_and_malformed_ones_do_not() {
    let loan = LoanId { epoch: 1, number: 1 };
    let entry =
        Entry::lend(loan, Some("red".into()), "blue".into(), "b-1".into(), ChangeReason::Free);
    let requested =
        entry.request(Some("s-1".into()), 8000, ChangeReason::Claimed).expect("it runs");
    let released = requested.halted().and_then(|e| e.release(ChangeReason::Ended)).expect("halted");
    let shard = Shard { entries: [("n-1".into(), entry), ("n-2".into(), released)].into() };
    let valid = validator("shard");
    assert!(valid.is_valid(&json!(shard)));
    let claim = Claim { team: "red".into(), machines: 1, gpus: 8.0, work: Work::Serving };
    assert!(validator("claim").is_valid(&json!(ClaimRecord::Active(claim))));
    let mut malformed = json!(shard);
    malformed["entries"]["n-1"]["state"] = json!("borrowed");
    assert!(!valid.is_valid(&malformed));
    assert!(!validator("claim").is_valid(&json!({"stands": {"team": "red"}})));
}
