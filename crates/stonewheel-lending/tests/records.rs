//! The layout of what is stored never changes: the schema of all records is committed, what
//! earlier versions wrote fits it, and so does what this one writes.
//!
//! After an addition that earlier versions may pass over, `RECORDS_SCHEMA=write` writes the
//! file anew.

use jsonschema::Validator;
use schemars::{JsonSchema, schema_for};
use serde_json::{Value, json};
use stonewheel_lending::{
    HolderRecord,
    claim::{Claim, ClaimRecord, Work},
    ledger::{ChangeReason, Entry, LoanId, Shard},
};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/schema/records.json");

fn schema<T: JsonSchema>() -> Value {
    schema_for!(T).to_value()
}

fn all() -> Value {
    json!({
        "claim": schema::<ClaimRecord>(),
        "holder": schema::<HolderRecord>(),
        "shard": schema::<Shard>(),
    })
}

fn committed() -> Value {
    let text = std::fs::read_to_string(FILE).expect("it is committed");
    serde_json::from_str(&text).expect("JSON")
}

fn validator(name: &str) -> Validator {
    jsonschema::validator_for(&committed()[name]).expect("a schema")
}

/// Records as the first version wrote them.
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
fn the_committed_schema_is_that_of_the_records() {
    if std::env::var("RECORDS_SCHEMA").as_deref() == Ok("write") {
        let text = serde_json::to_string_pretty(&all()).expect("JSON") + "\n";
        std::fs::write(FILE, text).expect("written");
    }
    assert_eq!(committed(), all());
}

#[test]
fn records_of_the_first_version_are_valid_and_read_as_they_were() {
    for (name, text) in samples() {
        let value: Value = serde_json::from_str(text).expect("JSON");
        assert!(validator(name).is_valid(&value), "{text}");
        let again = match name {
            "holder" => json!(serde_json::from_str::<HolderRecord>(text).expect("a holder")),
            "claim" => json!(serde_json::from_str::<ClaimRecord>(text).expect("a claim")),
            _ => json!(serde_json::from_str::<Shard>(text).expect("a shard")),
        };
        assert_eq!(again, value);
    }
}

#[test]
fn what_is_written_now_fits_the_schema_and_what_is_no_record_does_not() {
    let loan = LoanId { epoch: 1, number: 1 };
    let entry =
        Entry::lend(loan, Some("red".into()), "blue".into(), "b-1".into(), ChangeReason::Free);
    let asked = entry.request(Some("s-1".into()), 8000, ChangeReason::Claimed).expect("it runs");
    let released = asked.halted().and_then(|e| e.release(ChangeReason::Ended)).expect("halted");
    let shard = Shard { entries: [("n-1".into(), entry), ("n-2".into(), released)].into() };
    let valid = validator("shard");
    assert!(valid.is_valid(&json!(shard)));
    let claim = Claim { team: "red".into(), machines: 1, gpus: 8.0, work: Work::Serving };
    assert!(validator("claim").is_valid(&json!(ClaimRecord::Active(claim))));
    let mut broken = json!(shard);
    broken["entries"]["n-1"]["state"] = json!("borrowed");
    assert!(!valid.is_valid(&broken));
    assert!(!validator("claim").is_valid(&json!({"stands": {"team": "red"}})));
}
