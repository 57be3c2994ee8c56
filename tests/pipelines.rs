//! Jobs that depend on other jobs, in a whole deployment in memory: waiting,
//! cancellation, refusals, and changes of the leader in between.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{TestDeployment, assert_no_violation, seconds, state};
use serde_json::json;
use stonewheel::{
    node::{Unavailable, UserReply},
    protocol::{JobState, Write},
    store,
};
use tokio::time::Instant;

/// Submits an array of two short tasks that needs `needs`.
async fn submit(
    deployment: &TestDeployment,
    node: usize,
    id: &str,
    needs: &[&str],
) -> Option<JobState> {
    deployment.runs_for(id, 4);
    let fields = json!({"Gpus": 0.0, "Awaits": needs});
    let reply = deployment.submit(node, id, fields).await;
    assert!(matches!(reply, Ok(UserReply::Created(_))), "{reply:?}");
    state(&reply)
}

/// 1 <- 2, 1 <- 3, and 4 needs 2 and 3; through different controllers.
async fn submit_diamond(deployment: &TestDeployment) {
    submit(deployment, 0, "j-000001", &[]).await;
    submit(deployment, 1, "j-000002", &["j-000001"]).await;
    submit(deployment, 2, "j-000003", &["j-000001", "j-000001"]).await;
    submit(deployment, 0, "j-000004", &["j-000002", "j-000003"]).await;
}

async fn all_are(deployment: &TestDeployment, ids: &[&str], expected: JobState) {
    for id in ids {
        for node in 0..3 {
            assert_eq!(state(&deployment.status(node, id).await), Some(expected), "{id} at {node}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_pipeline_runs_stage_by_stage_and_leaves_only_its_ends() {
    let deployment = TestDeployment::new(2).await;
    submit_diamond(&deployment).await;
    all_are(&deployment, &["j-000002", "j-000004"], JobState::Pending).await;
    deployment.until_state(0, "j-000004", JobState::Done).await;
    assert_eq!(deployment.starts(), 8);
    seconds(5).await;
    assert_eq!(deployment.state.keys("sw/j/"), [""; 0]);
    assert_no_violation(&deployment);
    // What ended long ago, by records alone, holds nobody back.
    submit(&deployment, 1, "j-000005", &["j-000001", "j-000004"]).await;
    deployment.until_state(2, "j-000005", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_waits_starts_nothing_while_leaders_change_and_all_controllers_end() {
    let deployment = TestDeployment::new(2).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    deployment.runs_for("j-000001", 120);
    submit(&deployment, 1, "j-000002", &["j-000001"]).await;
    deployment.until("the first stage runs", || deployment.starts() == 2).await;
    for _ in 0..3 {
        let leader = deployment.leader().expect("a leader");
        deployment.kill_node(leader);
        deployment
            .until("another leads", || deployment.leader().is_some_and(|l| l != leader))
            .await;
        deployment.start_node(leader);
        seconds(3).await;
    }
    for node in 0..3 {
        deployment.kill_node(node);
    }
    seconds(2).await;
    for node in 0..3 {
        deployment.start_node(node);
    }
    seconds(10).await;
    assert!(deployment.machines_of("j-000002").is_empty());
    deployment.until_state(0, "j-000002", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_leaders_unanswered_end_record_starts_the_next_stage_once() {
    let deployment = TestDeployment::new(2).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    submit(&deployment, 0, "j-000002", &["j-000001"]).await;
    deployment.until("the first stage runs", || deployment.starts() == 2).await;
    let leader = deployment.leader().expect("a leader");
    let name = format!("m-{leader}");
    // All that the leader writes from now on is held back, its end record too.
    deployment.state.hold(&name);
    seconds(8).await;
    assert!(deployment.machines_of("j-000002").is_empty(), "an end that is not durable is no end");
    let late = deployment.state.release_held();
    deployment.kill_node(leader);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != leader)).await;
    deployment.until_state((leader + 1) % 3, "j-000002", JobState::Done).await;
    for outcome in deployment.state.execute(late) {
        assert!(outcome.is_err(), "{outcome:?}");
    }
    assert_eq!(deployment.starts(), 4);
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_takes_all_dependants_with_it_on_every_controller() {
    let deployment = TestDeployment::new(2).await;
    submit_diamond(&deployment).await;
    deployment.until("the first stage runs", || deployment.starts() == 2).await;
    assert_eq!(state(&deployment.cancel(1, "j-000001").await), Some(JobState::Cancelled));
    seconds(1).await;
    let all = ["j-000001", "j-000002", "j-000003", "j-000004"];
    all_are(&deployment, &all, JobState::Cancelled).await;
    // Their own ends follow, and nothing else is left of them.
    seconds(10).await;
    assert_eq!(deployment.state.keys("sw/e/").len(), 4);
    assert_eq!(deployment.state.keys("sw/j/"), [""; 0]);
    assert_eq!(deployment.starts(), 2);
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn the_controller_that_confirmed_a_cancellation_ends_and_dependants_stay_cancelled() {
    for outage in [0, 60] {
        let deployment = TestDeployment::new(2).await;
        submit_diamond(&deployment).await;
        deployment.until("the first stage runs", || deployment.starts() == 2).await;
        let leader = deployment.leader().expect("a leader");
        let other = (leader + 1) % 3;
        // Nobody can write the dependants' own ends.
        deployment.state.refuse(&format!("m-{leader}"), true);
        assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
        deployment.kill_node(other);
        deployment.state.set_outage(outage > 0);
        seconds(outage).await;
        deployment.state.set_outage(false);
        deployment.state.refuse(&format!("m-{leader}"), false);
        deployment.start_node(other);
        seconds(8).await;
        all_are(&deployment, &["j-000002", "j-000003", "j-000004"], JobState::Cancelled).await;
        assert_eq!(deployment.starts(), 2);
        assert_no_violation(&deployment);
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_that_names_a_cancelled_one_is_accepted_and_cancelled() {
    let deployment = TestDeployment::new(1).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    submit(&deployment, 0, "j-000002", &["j-000001"]).await;
    assert!(state(&deployment.cancel(2, "j-000001").await).is_some());
    seconds(1).await;
    let at_once = submit(&deployment, 1, "j-000003", &["j-000001"]).await;
    assert_eq!(at_once, Some(JobState::Cancelled));
    // Through a job that is cancelled with it, and with one that is done.
    submit(&deployment, 2, "j-000004", &["j-000002"]).await;
    seconds(2).await;
    all_are(&deployment, &["j-000003", "j-000004"], JobState::Cancelled).await;
    let again = deployment.submit(0, "j-000003", json!({"Awaits": ["j-000001"]})).await;
    assert_eq!(state(&again), Some(JobState::Cancelled));
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_that_lands_before_the_acceptance_is_seen_by_it() {
    let deployment = TestDeployment::new(1).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    deployment.until("it runs", || deployment.starts() > 0).await;
    // The controller's watch cache lags: another one's write is not yet watched.
    let end = store::to_raw_value(&json!({"s": "aborted", "d": 0})).expect("json");
    let write = Write::Put { key: store::end_key("j-000001"), value: end, lease: None };
    deployment.state.commit(Vec::new(), vec![write]).expect("written");
    let told = submit(&deployment, 1, "j-000002", &["j-000001"]).await;
    assert_eq!(told, Some(JobState::Cancelled), "not pending");
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_answered_with_done_leaves_dependants_alone() {
    let deployment = TestDeployment::new(2).await;
    submit_diamond(&deployment).await;
    deployment.until_state(0, "j-000001", JobState::Done).await;
    assert_eq!(state(&deployment.cancel(1, "j-000001").await), Some(JobState::Done));
    deployment.until_state(2, "j-000004", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn dependencies_that_cannot_be_are_refused_and_leave_no_record() {
    let deployment = TestDeployment::new(1).await;
    let service = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", service).await).is_some());
    let malformed = [
        json!({"Awaits": "j-000001"}),
        json!({"Awaits": [1]}),
        json!({"Awaits": ["job-1"]}),
        json!({"Awaits": [""]}),
        json!({"Awaits": ["j-000009"]}),
        json!({"Awaits": ["j-000001"]}),
    ];
    for fields in malformed {
        let reply = deployment.submit(1, "j-000009", fields.clone()).await;
        assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{fields}: {reply:?}");
    }
    let never = deployment.submit(1, "j-000009", json!({"Awaits": ["j-777777"]})).await;
    assert!(matches!(never, Ok(UserReply::Impossible(_))), "{never:?}");
    // As many as a body holds: more than one value.
    let many: Vec<String> = (0..5000).map(|n| format!("j-{n:06}")).collect();
    let reply = deployment.submit(1, "j-000009", json!({"Awaits": many})).await;
    assert!(matches!(reply, Ok(UserReply::Malformed(_) | UserReply::Impossible(_))), "{reply:?}");
    assert!(!deployment.state.keys("sw/j/").contains(&"sw/j/j-000009".to_owned()));
    // None of it makes the id unusable.
    assert!(state(&deployment.submit(2, "j-000009", json!({"Awaits": null})).await).is_some());
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_job_accepted_by_a_controller_that_others_have_not_heard_of_may_be_named() {
    let deployment = TestDeployment::new(1).await;
    let started = Instant::now();
    for pair in 0..6 {
        let (first, second) = (format!("j-{pair:06}"), format!("j-{:06}", pair + 100));
        submit(&deployment, pair % 3, &first, &[]).await;
        // Within milliseconds, before the watch can have brought it.
        submit(&deployment, (pair + 1) % 3, &second, &[&first]).await;
    }
    assert!(started.elapsed() < Duration::from_secs(10));
    deployment.until_state(0, "j-000105", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn without_the_state_service_nothing_is_said_of_unknown_dependencies() {
    let deployment = TestDeployment::new(1).await;
    deployment.state.set_outage(true);
    let reply = deployment.submit(0, "j-000002", json!({"Awaits": ["j-000001"]})).await;
    assert_eq!(reply, Err(Unavailable::State));
}

#[tokio::test(start_paused = true)]
async fn dependants_of_a_record_that_cannot_be_read_wait() {
    let deployment = TestDeployment::new(1).await;
    let unreadable_logged =
        store::to_raw_value(&json!({"Ref": "j-000001", "Shape": "spiral"})).expect("json");
    let write =
        Write::Put { key: store::job_key("j-000001"), value: unreadable_logged, lease: None };
    deployment.state.commit(Vec::new(), vec![write]).expect("written");
    seconds(1).await;
    let reply = deployment.submit(0, "j-000002", json!({"Awaits": ["j-000001"]})).await;
    assert_eq!(reply, Err(Unavailable::Record), "neither accepted nor refused for good");
    assert_eq!(
        deployment.status(1, "j-000001").await,
        Err(Unavailable::Record),
        "not called unknown"
    );
    assert_eq!(deployment.starts(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_waits_holds_no_part_of_its_teams_limit() {
    let deployment = TestDeployment::new(4).await;
    // The team may have 16 GPUs: the waiting job would take all of them.
    deployment.runs_for("j-000001", 60);
    let small = json!({"Crew": "red", "Gpus": 1.0, "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", small).await).is_some());
    // Were it not left out, it would come first: a gang of higher priority.
    let large = json!({"Crew": "red", "Gpus": 8.0, "Spokes": 2, "Shape": "ensemble",
        "Rank": "production", "Awaits": ["j-000001"]});
    assert!(state(&deployment.submit(1, "j-000002", large).await).is_some());
    let service = json!({"Crew": "red", "Shape": "service", "Gpus": 5.0, "Spokes": 3});
    assert!(state(&deployment.submit(2, "j-000003", service).await).is_some());
    seconds(10).await;
    assert_eq!(deployment.machines_of("j-000003").len(), 3, "the later job runs");
    assert!(deployment.machines_of("j-000002").is_empty());
    assert_no_violation(&deployment);
}
