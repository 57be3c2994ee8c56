//! Sample machine type and job submission that most tests use.

use serde_json::json;
use stonewheel::protocol::MachineType;

pub fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 800.0,
        fetch_gb_per_s: 2.0,
        price: 20.0,
        spot_price: 6.0,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Returns a job submission in which `changes` replaces the default fields.
pub fn job(id: &str, changes: serde_json::Value) -> Vec<u8> {
    let mut job = json!({
        "Ref": id, "Grain": "train", "Crew": "blue", "Shape": "batch", "Rank": "standard",
        "Spokes": 2, "Cores": 4.0, "Gpus": 1.0, "MemoryGb": 8.0, "Mould": "img", "ImageGb": 1.0,
        "Frames": null, "Yard": null, "Together": false, "Scatter": false, "Driftwood": false,
        "ReckonS": 20.0, "NotchS": 0.0, "StashS": 0.0, "DueS": null
    });
    for (key, value) in changes.as_object().expect("an object") {
        job[key] = value.clone();
    }
    serde_json::to_vec(&job).expect("json")
}
