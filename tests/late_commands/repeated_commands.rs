//! Copies of direct requests that reach a worker after it has carried out and answered them.

use std::time::Duration;

use serde_json::json;
use stonewheel::{
    controller::DirectRequest,
    fencing::TermTokens,
    protocol::{CommandKind, ExitCause, TaskCommand, TaskStatus},
};
use tokio::time::sleep;

use crate::common::{
    TestDeployment,
    leader_harness::{
        LeaderHarness, exited, ops, place_one_task, respond, running, take_direct_request,
    },
    seconds, settings, state,
};

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

/// Sends the start of a new job to the worker directly and has the worker answer that the task
/// runs. Returns the request.
fn start_directly(harness: &mut LeaderHarness, id: &str, sequence: u64) -> DirectRequest {
    place_one_task(harness, id);
    let request = take_direct_request(harness);
    respond(harness, &request, sequence, &[running(&request.commands.commands[0])]);
    request
}

/// Returns the commands of the response to a heartbeat that lists the exit of the request's
/// task, once the exit is durable.
fn commands_after_exit(harness: &mut LeaderHarness, request: &DirectRequest) -> Vec<TaskCommand> {
    let exit = exited(&request.commands.commands[0], ExitCause::Done);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit))
}

#[tokio::test(start_paused = true)]
async fn forget_command_comes_with_a_higher_token_than_the_answered_start() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let request = start_directly(&mut harness, JOB, 7);
    let commands = commands_after_exit(&mut harness, &request);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    let raised = harness.leader.token_for("n-1");
    assert_eq!(raised, request.commands.token + 1);
    // All earlier requests are void now, so another forget command raises the token no further.
    let exit = exited(&request.commands.commands[0], ExitCause::Done);
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    assert_eq!(harness.leader.token_for("n-1"), raised);
}

/// The worker would refuse a request that is on its way for the higher token.
#[tokio::test(start_paused = true)]
async fn forget_command_waits_while_a_direct_request_is_in_flight() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let first = start_directly(&mut harness, JOB, 7);
    let exit = exited(&first.commands.commands[0], ExitCause::Done);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    place_one_task(&mut harness, "j-000002");
    let second = take_direct_request(&mut harness);
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget), [] as [&TaskCommand; 0]);
    assert_eq!(harness.leader.token_for("n-1"), second.commands.token);
    let other = running(&second.commands.commands[0]);
    respond(&mut harness, &second, 20, &[exit.clone(), other.clone()]);
    let commands = harness.heartbeat("n-1", 1, &[exit, other]);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    assert!(harness.leader.token_for("n-1") > second.commands.token);
}

/// If direct requests to a worker are in flight all the time, its exits must not pile up until its
/// heartbeats exceed their maximum size.
#[tokio::test(start_paused = true)]
async fn many_forget_commands_wait_for_no_direct_request() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let small = json!({"Spokes": 40, "Gpus": 0.0, "Cores": 0.1, "MemoryGb": 0.1});
    harness.submit(JOB, small);
    harness.settle();
    let first = take_direct_request(&mut harness);
    let starts = first.commands.commands.clone();
    respond(&mut harness, &first, 7, &starts.iter().map(running).collect::<Vec<_>>());
    let exits: Vec<TaskStatus> =
        starts.iter().map(|start| exited(start, ExitCause::Done)).collect();
    harness.heartbeat("n-1", 1, &exits);
    harness.settle();
    place_one_task(&mut harness, "j-000002");
    let second = take_direct_request(&mut harness);
    let commands = harness.heartbeat("n-1", 1, &exits);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 40);
    assert!(harness.leader.token_for("n-1") > second.commands.token);
    // The worker refuses the request in flight, so the start is sent again.
    respond(&mut harness, &second, 20, &[]);
    let commands = harness.heartbeat("n-1", 1, &[]);
    assert_eq!(ops(&commands, CommandKind::Start).len(), 1);
}

/// The last token of a term is kept for forget commands, since nothing could void a copy of a
/// start that was sent under it.
#[tokio::test(start_paused = true)]
async fn no_start_is_sent_directly_under_the_last_token_of_a_term() {
    let mut harness = LeaderHarness::with(settings("m-0"), TermTokens::between(5, 6));
    harness.heartbeat("n-1", 1, &[]);
    let request = start_directly(&mut harness, JOB, 7);
    let commands = commands_after_exit(&mut harness, &request);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    assert_eq!(harness.leader.token_for("n-1"), 6);
    // The starts travel with the responses to heartbeats, which a network can't repeat.
    place_one_task(&mut harness, "j-000002");
    assert!(harness.leader.take_direct_requests(harness.now).is_empty());
    let commands = harness.heartbeat("n-1", 1, &[]);
    let start = ops(&commands, CommandKind::Start)[0].clone();
    // Stop commands are still sent directly.
    harness.heartbeat("n-1", 1, &[running(&start)]);
    harness.cancel("j-000002");
    harness.now += Duration::from_secs(4);
    harness.pass(0.2);
    let stop = take_direct_request(&mut harness);
    assert_eq!(ops(&stop.commands.commands, CommandKind::Stop).len(), 1);
    let exit = exited(&start, ExitCause::Stopped);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    assert_eq!(harness.leader.token_for("n-1"), 6, "no token beyond the range");
}

/// Followers must not answer a worker below the token that its forget commands raised, or its
/// lease would run out within the outage.
#[tokio::test(start_paused = true)]
async fn followers_renew_leases_of_workers_with_raised_tokens_in_an_outage() {
    for previous_version in [false, true] {
        let deployment = TestDeployment::new(1).await;
        let leader = deployment.leader().expect("a leader");
        for follower in (0..3).filter(|node| *node != leader) {
            deployment.set_previous_version(follower, previous_version);
        }
        seconds(5).await;
        let machine = deployment.machines()[0].clone();
        let token_before = deployment.last_heartbeat(&machine).token;
        deployment.runs_for(TASK, 4);
        let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 0.0});
        assert!(state(&deployment.submit(0, "j-000002", service).await).is_some());
        let batch = json!({"Spokes": 1, "Rank": "best_effort", "Gpus": 0.0});
        assert!(state(&deployment.submit(0, JOB, batch).await).is_some());
        deployment.until("both start", || deployment.starts() == 2).await;
        deployment.until("one is forgotten", || !deployment.lists_attempt(TASK, 1)).await;
        seconds(2).await;
        assert!(deployment.last_heartbeat(&machine).token > token_before);
        deployment.state.set_outage(true);
        deployment.kill_node(leader);
        seconds(2 * LEASE_S - 4).await;
        assert_eq!(deployment.incarnation(&machine), 1, "previous version: {previous_version}");
        assert!(deployment.runs_on("j-000002", &machine));
        assert_eq!(deployment.command_cost().renewals_refused, 0);
        deployment.state.set_outage(false);
        deployment.until("another leads", || deployment.leader() != Some(leader)).await;
        seconds(LEASE_S).await;
        assert_eq!(deployment.incarnation(&machine), 1);
        assert_eq!(deployment.starts(), 2);
        assert!(deployment.violations().is_empty());
    }
}
