//! Jobs that depend on other jobs, in an in-memory deployment: waiting, cancellation, rejected
//! dependencies, and failovers in between.

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

/// Submits an array of two short tasks that depends on the jobs in `dependencies`.
async fn submit(
    deployment: &TestDeployment,
    node: usize,
    id: &str,
    dependencies: &[&str],
) -> Option<JobState> {
    deployment.runs_for(id, 4);
    let fields = json!({"Gpus": 0.0, "Awaits": dependencies});
    let reply = deployment.submit(node, id, fields).await;
    assert!(matches!(reply, Ok(UserReply::Created(_))), "{reply:?}");
    state(&reply)
}

/// Submits jobs 1 to 4 through different controllers: 2 and 3 depend on 1, and 4 depends on 2
/// and 3.
async fn submit_diamond(deployment: &TestDeployment) {
    submit(deployment, 0, "j-000001", &[]).await;
    submit(deployment, 1, "j-000002", &["j-000001"]).await;
    submit(deployment, 2, "j-000003", &["j-000001", "j-000001"]).await;
    submit(deployment, 0, "j-000004", &["j-000002", "j-000003"]).await;
}

/// Checks that all controllers report the expected state of these jobs.
async fn assert_states(deployment: &TestDeployment, ids: &[&str], expected: JobState) {
    for id in ids {
        for node in 0..3 {
            assert_eq!(state(&deployment.status(node, id).await), Some(expected), "{id} at {node}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn pipeline_runs_stage_by_stage_and_leaves_only_end_records() {
    let deployment = TestDeployment::new(2).await;
    submit_diamond(&deployment).await;
    assert_states(&deployment, &["j-000002", "j-000004"], JobState::Pending).await;
    deployment.until_state(0, "j-000004", JobState::Done).await;
    assert_eq!(deployment.starts(), 8);
    seconds(5).await;
    assert_eq!(deployment.state.keys("sw/j/"), [""; 0]);
    assert_no_violation(&deployment);
    // Dependencies whose only remaining record is that of their end don't block a new job.
    submit(&deployment, 1, "j-000005", &["j-000001", "j-000004"]).await;
    deployment.until_state(2, "j-000005", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn waiting_job_starts_no_task_across_failovers_and_a_restart_of_all_controllers() {
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

/// The next stage must start only once the end of the previous one is stored, also if the leader
/// that wrote the end is killed before the write is answered.
#[tokio::test(start_paused = true)]
async fn unanswered_write_of_an_end_record_starts_the_next_stage_once() {
    let deployment = TestDeployment::new(2).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    submit(&deployment, 0, "j-000002", &["j-000001"]).await;
    deployment.until("the first stage runs", || deployment.starts() == 2).await;
    let leader = deployment.leader().expect("a leader");
    let name = format!("m-{leader}");
    // All further transactions of the leader are held back, including the end record.
    deployment.state.hold(&name);
    seconds(8).await;
    assert!(
        deployment.machines_of("j-000002").is_empty(),
        "the next stage waits until the end is durable"
    );
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
async fn cancellation_cancels_all_dependent_jobs_on_every_controller() {
    let deployment = TestDeployment::new(2).await;
    submit_diamond(&deployment).await;
    deployment.until("the first stage runs", || deployment.starts() == 2).await;
    assert_eq!(state(&deployment.cancel(1, "j-000001").await), Some(JobState::Cancelled));
    seconds(1).await;
    let all = ["j-000001", "j-000002", "j-000003", "j-000004"];
    assert_states(&deployment, &all, JobState::Cancelled).await;
    // Only the end records of the dependent jobs remain.
    seconds(10).await;
    assert_eq!(deployment.state.keys("sw/e/").len(), 4);
    assert_eq!(deployment.state.keys("sw/j/"), [""; 0]);
    assert_eq!(deployment.starts(), 2);
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn dependent_jobs_stay_cancelled_when_the_confirming_controller_is_killed() {
    for outage_s in [0, 60] {
        let deployment = TestDeployment::new(2).await;
        submit_diamond(&deployment).await;
        deployment.until("the first stage runs", || deployment.starts() == 2).await;
        let leader = deployment.leader().expect("a leader");
        let other = (leader + 1) % 3;
        // The leader can't write the end records of the dependent jobs.
        deployment.state.refuse(&format!("m-{leader}"), true);
        assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
        deployment.kill_node(other);
        deployment.state.set_outage(outage_s > 0);
        seconds(outage_s).await;
        deployment.state.set_outage(false);
        deployment.state.refuse(&format!("m-{leader}"), false);
        deployment.start_node(other);
        seconds(8).await;
        assert_states(&deployment, &["j-000002", "j-000003", "j-000004"], JobState::Cancelled)
            .await;
        assert_eq!(deployment.starts(), 2);
        assert_no_violation(&deployment);
    }
}

#[tokio::test(start_paused = true)]
async fn job_with_a_cancelled_dependency_is_accepted_as_cancelled() {
    let deployment = TestDeployment::new(1).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    submit(&deployment, 0, "j-000002", &["j-000001"]).await;
    assert!(state(&deployment.cancel(2, "j-000001").await).is_some());
    seconds(1).await;
    let first_state = submit(&deployment, 1, "j-000003", &["j-000001"]).await;
    assert_eq!(first_state, Some(JobState::Cancelled));
    // A job whose dependency was cancelled together with j-000001.
    submit(&deployment, 2, "j-000004", &["j-000002"]).await;
    seconds(2).await;
    assert_states(&deployment, &["j-000003", "j-000004"], JobState::Cancelled).await;
    let again = deployment.submit(0, "j-000003", json!({"Awaits": ["j-000001"]})).await;
    assert_eq!(state(&again), Some(JobState::Cancelled));
    assert_no_violation(&deployment);
}

/// A controller that relied on its watch cache alone would accept the job as pending although its
/// dependency is cancelled.
#[tokio::test(start_paused = true)]
async fn submission_sees_a_cancellation_that_the_watch_has_not_delivered() {
    let deployment = TestDeployment::new(1).await;
    submit(&deployment, 0, "j-000001", &[]).await;
    deployment.until("a task runs", || deployment.starts() > 0).await;
    // The controller's watch cache lags: the end record written here hasn't reached it yet.
    let end = store::to_raw_value(&json!({"s": "aborted", "d": 0})).expect("json");
    let write = Write::Put { key: store::end_key("j-000001"), value: end, lease: None };
    deployment.state.commit(Vec::new(), vec![write]).expect("written");
    let first_state = submit(&deployment, 1, "j-000002", &["j-000001"]).await;
    assert_eq!(first_state, Some(JobState::Cancelled), "not pending");
}

#[tokio::test(start_paused = true)]
async fn cancellation_of_a_done_job_cancels_no_dependent_job() {
    let deployment = TestDeployment::new(2).await;
    submit_diamond(&deployment).await;
    deployment.until_state(0, "j-000001", JobState::Done).await;
    assert_eq!(state(&deployment.cancel(1, "j-000001").await), Some(JobState::Done));
    deployment.until_state(2, "j-000004", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn invalid_dependencies_are_rejected_and_leave_no_record() {
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
    let unknown = deployment.submit(1, "j-000009", json!({"Awaits": ["j-777777"]})).await;
    assert!(matches!(unknown, Ok(UserReply::Impossible(_))), "{unknown:?}");
    // As many as fit in a request body, but not in one stored value.
    let many: Vec<String> = (0..5000).map(|n| format!("j-{n:06}")).collect();
    let reply = deployment.submit(1, "j-000009", json!({"Awaits": many})).await;
    assert!(matches!(reply, Ok(UserReply::Malformed(_) | UserReply::Impossible(_))), "{reply:?}");
    assert!(!deployment.state.keys("sw/j/").contains(&"sw/j/j-000009".to_owned()));
    // The rejected submissions leave the id unused.
    assert!(state(&deployment.submit(2, "j-000009", json!({"Awaits": null})).await).is_some());
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn dependency_may_be_a_job_that_another_controller_has_just_accepted() {
    let deployment = TestDeployment::new(1).await;
    let started_at = Instant::now();
    for pair in 0..6 {
        let (first, second) = (format!("j-{pair:06}"), format!("j-{:06}", pair + 100));
        submit(&deployment, pair % 3, &first, &[]).await;
        // Within milliseconds, before the watch has brought the first job to this controller.
        submit(&deployment, (pair + 1) % 3, &second, &[&first]).await;
    }
    assert!(started_at.elapsed() < Duration::from_secs(10));
    deployment.until_state(0, "j-000105", JobState::Done).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn unknown_dependency_without_the_state_service_is_answered_as_unavailable() {
    let deployment = TestDeployment::new(1).await;
    deployment.state.set_outage(true);
    let reply = deployment.submit(0, "j-000002", json!({"Awaits": ["j-000001"]})).await;
    assert_eq!(reply, Err(Unavailable::State));
}

/// A record that this version cannot decode may be valid for another version, so the job must be
/// neither accepted nor rejected.
#[tokio::test(start_paused = true)]
async fn job_with_an_undecodable_dependency_record_is_answered_as_unavailable() {
    let deployment = TestDeployment::new(1).await;
    let unreadable =
        store::to_raw_value(&json!({"Ref": "j-000001", "Shape": "spiral"})).expect("json");
    let write = Write::Put { key: store::job_key("j-000001"), value: unreadable, lease: None };
    deployment.state.commit(Vec::new(), vec![write]).expect("written");
    seconds(1).await;
    let reply = deployment.submit(0, "j-000002", json!({"Awaits": ["j-000001"]})).await;
    assert_eq!(
        reply,
        Err(Unavailable::UnreadableRecord),
        "neither accepted nor rejected permanently"
    );
    assert_eq!(
        deployment.status(1, "j-000001").await,
        Err(Unavailable::UnreadableRecord),
        "not reported as unknown"
    );
    assert_eq!(deployment.starts(), 0);
}

/// A waiting job that counted towards the limit would block the jobs of its team that could run.
#[tokio::test(start_paused = true)]
async fn waiting_job_uses_no_part_of_its_teams_limit() {
    let deployment = TestDeployment::new(4).await;
    // The team's limit is 16 GPUs, and the waiting job would use all of them.
    deployment.runs_for("j-000001", 60);
    let small = json!({"Crew": "red", "Gpus": 1.0, "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", small).await).is_some());
    // A gang of higher priority, which would be placed first if it didn't have to wait.
    let large = json!({"Crew": "red", "Gpus": 8.0, "Spokes": 2, "Shape": "ensemble",
        "Rank": "production", "Awaits": ["j-000001"]});
    assert!(state(&deployment.submit(1, "j-000002", large).await).is_some());
    let service = json!({"Crew": "red", "Shape": "service", "Gpus": 5.0, "Spokes": 3});
    assert!(state(&deployment.submit(2, "j-000003", service).await).is_some());
    seconds(10).await;
    assert_eq!(deployment.machines_of("j-000003").len(), 3, "the job submitted later runs");
    assert!(deployment.machines_of("j-000002").is_empty());
    assert_no_violation(&deployment);
}
