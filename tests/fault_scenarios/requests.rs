//! User requests at the moment a job ends, a high-priority gang on a full fleet, and malformed
//! requests.

use crate::common::{TestDeployment, assert_no_violation, seconds, state};
use serde_json::json;
use std::time::Duration;
use stonewheel::{node::UserReply, protocol::JobState, store};
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn high_priority_gang_runs_within_30_s_on_a_full_fleet() {
    // The cloud has no more machines, and the state service is slow.
    let deployment = TestDeployment::new(2).await;
    deployment.exhaust_capacity();
    deployment.state.set_slow(Duration::from_millis(200));
    let array = json!({"Spokes": 40, "Gpus": 1.0, "Rank": "best_effort", "NotchS": 5.0});
    deployment.runs_for("j-000001", 15);
    deployment.runs_for("j-000003", 15);
    assert!(state(&deployment.submit(0, "j-000001", array).await).is_some());
    deployment.until("the fleet is full", || deployment.starts() >= 16).await;
    let gang = json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "Rank": "high"});
    let submitted_at = Instant::now();
    assert!(state(&deployment.submit(1, "j-000003", gang).await).is_some());
    deployment.until_state(2, "j-000003", JobState::Running).await;
    assert!(
        submitted_at.elapsed() < Duration::from_secs(30),
        "the gang waited {:?}",
        submitted_at.elapsed()
    );
    deployment.until_state(0, "j-000003", JobState::Done).await;
    deployment.until_state(1, "j-000001", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn concurrent_cancel_status_and_repeated_submission_agree_on_the_end_of_a_job() {
    // In steps of 120 ms around the job's end, concurrently on different nodes.
    let deployment = TestDeployment::new(2).await;
    for step in 0..20_u32 {
        let id = format!("j-0000{:02}", step + 10);
        deployment.runs_for(&id, 3);
        let starts = deployment.starts();
        assert!(state(&deployment.submit(0, &id, json!({"Spokes": 2})).await).is_some());
        deployment.until("both tasks run", || deployment.starts() == starts + 2).await;
        // A slow state service widens the interval in which both ends are being written.
        deployment.state.set_slow(Duration::from_millis(u64::from(step % 2) * 200));
        sleep(Duration::from_millis(2500 + 120 * u64::from(step))).await;
        let (cancelled, polled, repeated) = tokio::join!(
            deployment.cancel((step as usize) % 3, &id),
            deployment.status((step as usize + 1) % 3, &id),
            deployment.submit((step as usize + 2) % 3, &id, json!({"Spokes": 2})),
        );
        assert!(cancelled.is_ok() && polled.is_ok() && repeated.is_ok());
        let end = state(&cancelled).expect("an end");
        assert!(matches!(end, JobState::Done | JobState::Cancelled), "{end:?}");
        // The end record, which later processes read, agrees with the answer.
        let record = deployment.state.value(&store::end_key(&id)).expect("an end record");
        let record: store::JobEnd = serde_json::from_str(&record).expect("an end");
        assert_eq!(record.state, end);
        for node in 0..3 {
            assert_eq!(state(&deployment.status(node, &id).await), Some(end));
            assert_eq!(state(&deployment.cancel(node, &id).await), Some(end));
            assert_eq!(state(&deployment.submit(node, &id, json!({})).await), Some(end));
        }
    }
    seconds(40).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn malformed_and_impossible_requests_change_no_record() {
    let deployment = TestDeployment::new(1).await;
    let service = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", service).await).is_some());
    deployment.until_state(0, "j-000001", JobState::Running).await;
    deployment.runs_for("j-000002", 1);
    assert!(state(&deployment.submit(0, "j-000002", json!({})).await).is_some());
    deployment.until_state(0, "j-000002", JobState::Done).await;
    let keys = deployment.state.keys("sw/");
    for node in 0..3 {
        // A known job stays accepted, whatever fields a repeated submission has.
        for changed in [json!({"Spokes": 9}), json!({"Crew": "nobody"}), json!({"Spokes": null})] {
            let reply = deployment.submit(node, "j-000001", changed.clone()).await;
            assert_eq!(state(&reply), Some(JobState::Running), "{changed}");
            assert_eq!(
                state(&deployment.submit(node, "j-000002", changed).await),
                Some(JobState::Done)
            );
        }
        assert_eq!(state(&deployment.cancel(node, "j-000002").await), Some(JobState::Done));
        assert_eq!(deployment.cancel(node, "j-000009").await, Ok(UserReply::Unknown));
        for malformed in [
            json!({"Spokes": -1}),
            json!({"Spokes": 1.5}),
            json!({"Spokes": "2"}),
            json!({"Spokes": 200_000}),
            json!({"Gpus": -1.0}),
            json!({"Gpus": null}),
            json!({"Cores": "four"}),
            json!({"Shape": "swarm"}),
            json!({"Rank": 3}),
            json!({"Frames": "g8"}),
            json!({"DueS": -1.0}),
            json!({"Mould": ""}),
            json!({"Together": null}),
        ] {
            let reply = deployment.submit(node, "j-000008", malformed.clone()).await;
            assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{malformed}: {reply:?}");
        }
        for impossible in [
            json!({"Crew": "nobody"}),
            json!({"Gpus": 9.0}),
            json!({"Gpus": 1e300}),
            json!({"Frames": ["x9"]}),
            json!({"Yard": "z"}),
            json!({"Crew": "red", "Shape": "service", "Spokes": 17}),
        ] {
            let reply = deployment.submit(node, "j-000008", impossible.clone()).await;
            assert!(matches!(reply, Ok(UserReply::Impossible(_))), "{impossible}: {reply:?}");
        }
        for field in ["Grain", "Crew", "Shape", "Rank", "Spokes", "Cores", "Gpus", "MemoryGb"] {
            let mut body: serde_json::Value =
                serde_json::from_slice(&crate::common::job("j-000008", json!({}))).expect("json");
            body.as_object_mut().expect("an object").remove(field);
            let reply = deployment.node(node).submit(body.to_string().as_bytes()).await;
            assert!(matches!(reply, Ok(UserReply::Malformed(_))), "without {field}: {reply:?}");
        }
        let duplicate_field = br#"{"Ref":"j-000008","Ref":"j-000008"}"#;
        for body in [&duplicate_field[..], b"[]", b"null", b"", b"{", br#"{"Ref":7}"#] {
            let reply = deployment.node(node).submit(body).await;
            assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{reply:?}");
        }
        assert_eq!(deployment.status(node, "j-000008").await, Ok(UserReply::Unknown));
    }
    assert_eq!(deployment.state.keys("sw/"), keys);
    assert_no_violation(&deployment);
}
