//! Copies of direct requests that reach a worker after it has carried out and answered them.

use std::time::Duration;

use serde_json::json;
use stonewheel::protocol::{CommandKind, ExitCause};
use tokio::time::sleep;

use crate::common::{
    TestDeployment,
    leader_harness::{exited, ops, running},
    seconds, state,
};
use crate::open_starts::{place_one_task, respond, take_direct_request, with_token_range};

const JOB: &str = "j-000001";
const TASK: &str = "j-000001/0";
/// `lease_s` and `cancel_s` of the settings.
const LEASE_S: u64 = 11;
const CANCEL_S: u64 = 36;

/// What happens to a task after its start was carried out and answered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    FailedAndRestarted,
    Preempted,
    Cancelled,
    Completed,
    IncarnationEnded,
    CompletedBesideOthers,
}

/// What happens to the controllers after the worker has forgotten the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Controllers {
    SameLeader,
    FollowerRestarted,
    LeaderRestarted,
    Succeeded,
}

/// Submits the job and waits until its tasks run.
async fn start_job(deployment: &TestDeployment, outcome: Outcome) {
    let gpus = if outcome == Outcome::Preempted { 8.0 } else { 0.0 };
    let job = json!({"Spokes": 2, "Rank": "best_effort", "Gpus": gpus});
    if matches!(outcome, Outcome::Completed | Outcome::CompletedBesideOthers) {
        deployment.runs_for(TASK, 4);
    }
    if outcome == Outcome::Completed {
        deployment.runs_for(JOB, 4);
    }
    assert!(state(&deployment.submit(0, JOB, job).await).is_some());
    deployment.until("both tasks run", || deployment.starts() == 2).await;
    seconds(2).await;
}

/// Brings about the outcome, and waits until no worker lists the first attempt of the task.
async fn bring_about(deployment: &TestDeployment, outcome: Outcome) {
    let machine = deployment.machines_of(JOB)[0].clone();
    match outcome {
        Outcome::FailedAndRestarted => deployment.set_failing(&machine),
        Outcome::Preempted => {
            let service = json!({"Shape": "service", "Spokes": 2, "Rank": "high", "Gpus": 8.0});
            assert!(state(&deployment.submit(0, "j-000002", service).await).is_some());
        }
        Outcome::Cancelled => {
            assert!(state(&deployment.cancel(0, JOB).await).is_some());
        }
        Outcome::IncarnationEnded => deployment.drop_responses_for(&[machine], 14.0),
        Outcome::Completed | Outcome::CompletedBesideOthers => {}
    }
    let first_attempt_is_gone = || !deployment.lists_attempt(TASK, 1);
    deployment.until("the first attempt is forgotten", first_attempt_is_gone).await;
}

async fn change_controllers(deployment: &TestDeployment, controllers: Controllers) {
    let leader = deployment.leader().expect("a leader");
    let restarted = match controllers {
        Controllers::SameLeader => return,
        Controllers::FollowerRestarted => (leader + 1) % 3,
        Controllers::LeaderRestarted | Controllers::Succeeded => leader,
    };
    deployment.kill_node(restarted);
    if controllers == Controllers::Succeeded {
        deployment.until("another leads", || deployment.leader() != Some(leader)).await;
    }
    sleep(Duration::from_millis(300)).await;
    deployment.start_node(restarted);
}

/// Delivers several copies of all answered requests, immediately and until after `cancel_s`, and
/// returns the number of tasks that they start.
async fn deliver_copies(deployment: &TestDeployment) -> u32 {
    let mut starts = 0;
    for wait in [0, 1, LEASE_S + 1, CANCEL_S] {
        seconds(wait).await;
        for _ in 0..3 {
            starts += deployment.deliver_answered_commands_again();
            sleep(Duration::from_millis(50)).await;
        }
    }
    starts
}

async fn copies_start_nothing(outcome: Outcome, controllers: Controllers) -> bool {
    let machines = if outcome == Outcome::CompletedBesideOthers { 1 } else { 3 };
    let deployment = TestDeployment::new(machines).await;
    seconds(5).await;
    deployment.record_answered_commands();
    start_job(&deployment, outcome).await;
    bring_about(&deployment, outcome).await;
    change_controllers(&deployment, controllers).await;
    let starts = deliver_copies(&deployment).await;
    let violations = deployment.violations();
    println!("{outcome:?}, {controllers:?}: {starts} started by copies, broken: {violations:?}");
    starts == 0 && violations.is_empty()
}

#[tokio::test(start_paused = true)]
#[ignore = "known to fail, see KNOWN-RED.txt: issue 58"]
async fn copies_of_answered_starts_start_no_forgotten_attempt() {
    let mut failed = Vec::new();
    for outcome in [
        Outcome::FailedAndRestarted,
        Outcome::Preempted,
        Outcome::Cancelled,
        Outcome::Completed,
        Outcome::IncarnationEnded,
        Outcome::CompletedBesideOthers,
    ] {
        for controllers in [
            Controllers::SameLeader,
            Controllers::FollowerRestarted,
            Controllers::LeaderRestarted,
            Controllers::Succeeded,
        ] {
            if !copies_start_nothing(outcome, controllers).await {
                failed.push((outcome, controllers));
            }
        }
    }
    assert!(failed.is_empty(), "copies started tasks or broke a rule: {failed:?}");
}

/// The worker refuses a copy of the request from the message on that makes it forget the attempt.
#[tokio::test(start_paused = true)]
#[ignore = "known to fail, see KNOWN-RED.txt: issue 58"]
async fn forget_command_comes_with_a_higher_token_than_the_answered_start() {
    let mut harness = with_token_range();
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, JOB);
    let request = take_direct_request(&mut harness);
    let start = request.commands.commands[0].clone();
    respond(&mut harness, &request, 7, &[running(&start)]);
    let exit = exited(&start, ExitCause::Error);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    assert!(harness.leader.token_for("n-1") > request.commands.token);
}
