//! Orders, answers and readings that outlive the decision behind them: what is
//! still open must not be taken for settled.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{
    World,
    leader_harness::{LeaderHarness, exited, ops, report_of, running},
    no_rule_broken, seconds, settings, state,
};
use serde_json::json;
use stonewheel::{
    controller::{Commit, DirectOutcome, DirectRequest},
    fencing::TermTokens,
    node::HeartbeatReply,
    protocol::{
        CommandKind, Events, ExitCause, Item, JobState, MachineId, TaskCommand, TaskStatus,
        WorkerHeartbeat, Write,
    },
    store,
};
use tokio::time::{Instant, sleep};

fn send_one(harness: &mut LeaderHarness) -> DirectRequest {
    harness.leader.take_direct(harness.now).pop().expect("direct orders")
}

/// The worker answers a request with what it has then.
fn answer(harness: &mut LeaderHarness, sent: &DirectRequest, sequence: u64, tasks: &[TaskStatus]) {
    let token = harness.leader.token_for(&sent.machine);
    let heartbeat = report_of(&sent.machine, sent.commands.incarnation, sequence, token, tasks);
    let outcome = DirectOutcome::Answered(&heartbeat);
    harness.leader.on_direct(sent, outcome, harness.now).expect("leads");
    harness.sequences.insert(sent.machine.to_string(), sequence);
}

fn no_answer(harness: &mut LeaderHarness, sent: &DirectRequest) {
    harness.leader.on_direct(sent, DirectOutcome::Unknown, harness.now).expect("leads");
}

fn start_of<'a>(sent: &'a DirectRequest, job: &str) -> &'a TaskCommand {
    let of_job =
        |command: &&TaskCommand| command.op == CommandKind::Start && command.task.starts_with(job);
    sent.commands.commands.iter().find(of_job).expect("a start of the job")
}

fn one_task(harness: &mut LeaderHarness, id: &str) {
    harness.submit(id, json!({"Spokes": 1, "Gpus": 0.0}));
    harness.settle();
}

/// A machine to which the start of `j-000001` was sent twice: the first request
/// is still on its way, the second was answered.
fn start_sent_twice(harness: &mut LeaderHarness) -> TaskCommand {
    harness.heartbeat("n-1", 1, &[]);
    one_task(harness, "j-000001");
    let first = send_one(harness);
    no_answer(harness, &first);
    one_task(harness, "j-000002");
    let second = send_one(harness);
    let start = start_of(&first, "j-000001").clone();
    let other = running(start_of(&second, "j-000002"));
    answer(harness, &second, 7, &[running(&start), other]);
    start
}

#[tokio::test(start_paused = true)]
async fn an_answered_request_leaves_earlier_ones_open() {
    let mut harness = LeaderHarness::new(5);
    let start = start_sent_twice(&mut harness);
    // The task ends. Cleared, the first request would start it once more.
    let exit = exited(&start, ExitCause::Done);
    for _ in 0..4 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert_eq!(ops(&commands, CommandKind::Forget), [] as [&TaskCommand; 0]);
        harness.settle();
    }
    // In the worker's next incarnation that request means nothing.
    harness.heartbeat("n-1", 2, &[]);
    let commands = harness.heartbeat("n-1", 2, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn absence_proves_nothing_while_any_request_with_the_start_is_open() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    no_answer(&mut harness, &first);
    one_task(&mut harness, "j-000002");
    let second = send_one(&mut harness);
    // The worker refused the second request as a whole.
    answer(&mut harness, &second, 7, &[]);
    harness.cancel("j-000001");
    for _ in 0..4 {
        harness.heartbeat("n-1", 1, &[]);
        harness.settle();
        assert_eq!(harness.bound("j-000001").len(), 1, "it may still start there");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_never_got_a_connection_leaves_nothing_open() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    harness.leader.on_direct(&first, DirectOutcome::NotDelivered, harness.now).expect("leads");
    // The answer to its next report starts it, and then it is cleared.
    let commands = harness.heartbeat("n-1", 1, &[]);
    let start = ops(&commands, CommandKind::Start)[0].clone();
    let exit = exited(&start, ExitCause::Done);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

/// A leader that can raise a worker's token.
fn with_many_tokens() -> LeaderHarness {
    LeaderHarness::with(settings("m-0"), TermTokens::starting_at(5))
}

#[tokio::test(start_paused = true)]
async fn a_higher_token_voids_what_got_no_answer() {
    let mut harness = with_many_tokens();
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    no_answer(&mut harness, &first);
    assert!(harness.leader.token_for("n-1") > first.commands.token);
    harness.cancel("j-000001");
    // The worker has not heard of the token yet: the start may still arrive.
    assert!(harness.report_showing(first.commands.token, "n-1", 10, 1, &[]).is_empty());
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    // Now it has, and refuses the start: the task is gone and so is the job.
    let token = harness.leader.token_for("n-1");
    harness.report_showing(token, "n-1", 11, 1, &[]);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
    assert!(!harness.watch_cache.jobs.contains_key("j-000001"));
    // Each machine has its own: others keep theirs.
    assert_eq!(harness.leader.token_for("n-2"), 5);
}

#[tokio::test(start_paused = true)]
async fn an_exit_is_cleared_once_a_higher_token_is_seen() {
    let mut harness = with_many_tokens();
    let start = start_sent_twice(&mut harness);
    let exit = exited(&start, ExitCause::Done);
    // The second request showed the higher token: the first one is void.
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn tokens_of_one_term_never_reach_the_next() {
    let world = World::new(1).await;
    let old = world.leader().expect("a leader");
    let first: u64 = world.state.value("sw/token").and_then(|t| t.parse().ok()).expect("a token");
    world.kill_node(old);
    world.until("another leads", || world.leader().is_some_and(|l| l != old)).await;
    let lead: serde_json::Value =
        serde_json::from_str(&world.state.value("sw/lead").expect("a leader")).expect("json");
    let next = lead["token"].as_u64().expect("a token");
    assert_eq!(next, first + 1);
    // The record holds the last token of the range, not the first.
    let last = world.state.value("sw/token").and_then(|t| t.parse().ok());
    assert_eq!(last, Some(TermTokens::starting_at(next).last()));
    assert!(last > Some(next));
}

#[tokio::test(start_paused = true)]
async fn answers_to_reports_carry_the_raised_token() {
    let world = World::new(1).await;
    let leader = world.leader().expect("a leader");
    let machine = world.machines()[0].clone();
    seconds(5).await;
    let mut heartbeat = world.last_report(&machine);
    // Nothing that is sent directly gets an answer; the test speaks for the worker.
    world.cut(&machine, &[0, 1, 2]);
    assert!(state(&world.submit(leader, "j-000001", json!({"Spokes": 1})).await).is_some());
    for _ in 0..3 {
        heartbeat.sequence += 1;
        let _ = world.node(leader).heartbeat(&heartbeat);
        seconds(1).await;
    }
    heartbeat.sequence += 1;
    let first = heartbeat.token;
    let reply = world.node(leader).heartbeat(&heartbeat);
    assert!(
        matches!(&reply, HeartbeatReply::Commands { token, .. } if *token > first),
        "{reply:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn no_other_attempt_meets_one_that_may_still_start() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    no_answer(&mut harness, &first);
    let start = start_of(&first, "j-000001").clone();
    // It started after all and lost its work: it has to start again elsewhere.
    let exit = exited(&start, ExitCause::Stopped);
    for _ in 0..20 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert!(
            ops(&commands, CommandKind::Start).is_empty()
                && ops(&commands, CommandKind::Forget).is_empty()
        );
        harness.settle();
        assert!(harness.bound("j-000001").is_empty());
    }
    harness.heartbeat("n-2", 1, &[]);
    harness.settle();
    assert_eq!(harness.bound("j-000001"), [(0, "n-2".to_owned())]);
}

#[tokio::test(start_paused = true)]
async fn few_exits_stay_listed_however_many_requests_get_no_answer() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let mut sent_directly = std::collections::BTreeSet::new();
    for number in 1..400 {
        let id = format!("j-{number:06}");
        harness.submit(&id, json!({"Spokes": 1, "Gpus": 0.0, "Cores": 0.1, "MemoryGb": 0.1}));
        harness.settle();
        for request in harness.leader.take_direct(harness.now) {
            let starts = ops(&request.commands.commands, CommandKind::Start);
            sent_directly.extend(starts.into_iter().map(|command| command.task.clone()));
            no_answer(&mut harness, &request);
        }
        harness.heartbeat("n-1", 1, &[]);
    }
    // A heartbeat with all of them listed takes a small part of what it may.
    assert!((8..=64).contains(&sent_directly.len()), "{}", sent_directly.len());
}

#[tokio::test(start_paused = true)]
async fn no_more_orders_are_composed_than_can_leave_at_once() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.direct_calls();
    let mut harness = LeaderHarness::with(settings, TermTokens::only(5));
    for machine in 0..3 * calls {
        harness.heartbeat(&format!("n-{machine:03}"), 1, &[]);
    }
    harness.submit("j-000001", json!({"Spokes": 3 * calls, "Gpus": 8.0}));
    harness.settle();
    let first = harness.leader.take_direct(harness.now);
    assert_eq!(first.len(), calls, "the others would wait for a socket");
    assert!(harness.leader.take_direct(harness.now).is_empty());
    // Meanwhile the job is cancelled: none of its starts leaves any more.
    harness.cancel("j-000001");
    for sent in &first {
        no_answer(&mut harness, sent);
    }
    let then: Vec<DirectRequest> = harness.leader.take_direct(harness.now);
    let starts =
        then.iter().flat_map(|sent| ops(&sent.commands.commands, CommandKind::Start)).count();
    assert_eq!(starts, 0);
}

#[tokio::test(start_paused = true)]
async fn every_machine_gets_its_turn_when_calls_are_few() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.direct_calls();
    let mut harness = LeaderHarness::with(settings, TermTokens::only(5));
    let machines = 3 * calls;
    for machine in 0..machines {
        harness.heartbeat(&format!("n-{machine:03}"), 1, &[]);
    }
    harness.submit("j-000001", json!({"Spokes": machines, "Gpus": 8.0}));
    harness.settle();
    // All of them are silent and have a cancelled task, so each is told to stop
    // it again and again.
    harness.cancel("j-000001");
    harness.now += Duration::from_secs(4);
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..3 {
        harness.pass(0.2);
        for sent in harness.leader.take_direct(harness.now) {
            reached.insert(sent.machine.clone());
            no_answer(&mut harness, &sent);
        }
    }
    assert_eq!(reached.len(), machines);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_started_directly_while_starts_are_withheld() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.leader.allow_starts(false);
    one_task(&mut harness, "j-000001");
    assert!(harness.leader.take_direct(harness.now).is_empty());
    assert!(harness.heartbeat("n-1", 1, &[]).is_empty());
    harness.leader.allow_starts(true);
    assert_eq!(ops(&harness.heartbeat("n-1", 1, &[]), CommandKind::Start).len(), 1);
}

/// The starts in a controller's answer to the next report of a machine.
fn starts_in_answer(world: &World, node: usize, heartbeat: &mut WorkerHeartbeat) -> usize {
    heartbeat.sequence += 1;
    match world.node(node).heartbeat(heartbeat) {
        HeartbeatReply::Commands { commands, .. } => ops(&commands, CommandKind::Start).len(),
        HeartbeatReply::Redirect(_) => 0,
    }
}

#[tokio::test(start_paused = true)]
async fn a_leader_whose_knowledge_of_cancellations_is_old_starts_nothing() {
    let world = World::new(1).await;
    let old = world.leader().expect("a leader");
    let other = (old + 1) % 3;
    let machine = world.machines()[0].clone();
    // From here on the test speaks for the machine.
    seconds(5).await;
    let mut heartbeat = world.last_report(&machine);
    heartbeat.token = heartbeat.token.max(1);
    world.cut(&machine, &[0, 1, 2]);
    assert!(state(&world.submit(old, "j-000001", json!({"Spokes": 1})).await).is_some());
    world.until("it is placed", || !world.state.keys("sw/p/").is_empty()).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(starts_in_answer(&world, old, &mut heartbeat), 1);
    // The leader alone can't learn of the cancellation.
    world.sever(old);
    world.state.refuse(&format!("m-{old}"), true);
    seconds(1).await;
    assert_eq!(state(&world.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    let lease = world.node(old).settings.leader_lease();
    sleep(lease).await;
    for _ in 0..3 {
        assert_eq!(starts_in_answer(&world, old, &mut heartbeat), 0, "its user was told");
        sleep(Duration::from_millis(300)).await;
    }
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_may_start_a_cancelled_task_goes_in_an_outage_too() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let sent = send_one(&mut harness);
    no_answer(&mut harness, &sent);
    harness.cancel("j-000001");
    for _ in 0..25 {
        harness.now += Duration::from_secs(1);
        harness.heartbeat("n-1", 1, &[]);
        harness.leader.tick(harness.now, true, None);
    }
    assert_eq!(harness.leader.take_deletions(), ["n-1".into()] as [MachineId; 1]);
}

/// After how many seconds the machine with an open start of a cancelled job is
/// returned, counted from when the leader learned of the cancellation.
async fn returned_after(confirmed_before_s: u64) -> u64 {
    let mut harness = LeaderHarness::new(5);
    harness.now += Duration::from_secs(60);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let sent = send_one(&mut harness);
    no_answer(&mut harness, &sent);
    let confirmed = harness.now - Duration::from_secs(confirmed_before_s);
    harness.cancel("j-000001");
    harness.leader.confirmed_since("j-000001", confirmed);
    for after in 1..40 {
        harness.now += Duration::from_secs(1);
        harness.heartbeat("n-1", 1, &[]);
        harness.leader.tick(harness.now, false, harness.alone);
        if !harness.leader.take_deletions().is_empty() {
            return after;
        }
    }
    panic!("never returned");
}

#[tokio::test(start_paused = true)]
async fn machines_go_in_time_after_the_confirmation_however_late_it_is_learned() {
    assert_eq!(returned_after(0).await, 19);
    assert_eq!(returned_after(10).await, 9);
    // There is always some time to stop the task, as long as there is any left.
    assert_eq!(returned_after(18).await, 6);
    assert_eq!(returned_after(25).await, 3);
    assert_eq!(returned_after(40).await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_counts_from_the_confirmation() {
    // Leaders change again and again; none has half of the limit to itself.
    let world = World::new(1).await;
    let machine = world.machines()[0].clone();
    seconds(5).await;
    let body = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&world.submit(0, "j-000001", body).await).is_some());
    world.until("it runs", || world.starts() == 1).await;
    seconds(2).await;
    // The machine hears nobody: the test goes on reporting in its place.
    let mut heartbeat = world.last_report(&machine);
    world.cut(&machine, &[0, 1, 2]);
    assert_eq!(state(&world.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    let told = Instant::now();
    let mut leader = world.leader().expect("a leader");
    assert_eq!(heartbeat.tasks.len(), 1);
    while world.machines().contains(&machine) {
        assert!(told.elapsed() < Duration::from_secs(24), "too late");
        for _ in 0..8 {
            seconds(1).await;
            if let Some(node) = world.leader().and_then(|l| world.running_node(l)) {
                heartbeat.sequence += 1;
                let _ = world.node(node).heartbeat(&heartbeat);
            }
        }
        world.kill_node(leader);
        world.until("another leads", || world.leader().is_some_and(|l| l != leader)).await;
        world.start_node(leader);
        leader = world.leader().expect("a leader");
    }
}

fn deleted_pages(commits: &[Commit]) -> usize {
    let writes = commits.iter().flat_map(|commit| &commit.writes);
    writes.filter(|w| matches!(w, Write::Delete { key } if key.starts_with("sw/p/"))).count()
}

#[tokio::test(start_paused = true)]
async fn the_records_of_an_ended_job_go_whole_however_many_there_are() {
    // As many pages as fit one transaction beside the end, and around that.
    for pages in 18..30_u32 {
        let mut harness = LeaderHarness::new(5);
        let size = harness.settings.page_tasks();
        harness.submit("j-000001", json!({"Spokes": size * pages}));
        for page in 0..pages {
            harness.revision += 1;
            let done = json!({"a": 1, "d": [[page * size, size]]});
            let value = store::value(&done).expect("json");
            harness.watch_cache.put(&store::page_key("j-000001", page), value, harness.revision);
        }
        // Another leader goes on after the first transaction.
        let mut deleted = 0;
        for _ in 0..6 {
            harness = harness.succeed(6);
            let commits = harness.commits();
            deleted += deleted_pages(&commits);
            let most = harness.settings.state_limits().transaction_writes;
            assert!(commits.iter().all(|commit| commit.writes.len() <= most));
            harness.commit(commits);
        }
        assert_eq!(deleted as u32, pages, "a page stays without its job");
        assert!(harness.watch_cache.pages.is_empty() && harness.watch_cache.jobs.is_empty());
        assert!(harness.watch_cache.ended_jobs.contains("j-000001"));
    }
}

/// What a job's records are, as a reading of all records has them.
fn item(key: String, value: serde_json::Value, version: u64) -> Item {
    Item { key, value: store::value(&value).expect("json"), version }
}

#[tokio::test(start_paused = true)]
async fn no_job_is_dropped_before_its_end_is_recorded() {
    let mut harness = LeaderHarness::new(5);
    harness.submit("j-000001", json!({}));
    harness.submit("j-000002", json!({"Awaits": ["j-000001"]}));
    harness.submit("j-000003", json!({"Awaits": ["j-000002"]}));
    harness.cancel("j-000001");
    // All records are read again. The ends were read before the one in the
    // middle ended, the jobs after it was dropped: it is in neither.
    let cancelled = json!({"s": "aborted", "d": 0});
    let spec = serde_json::to_value(&*harness.watch_cache.jobs["j-000003"].spec).expect("json");
    let version = harness.watch_cache.jobs["j-000003"].version;
    let items = vec![
        item(store::end_key("j-000001"), cancelled, harness.revision),
        item(store::job_key("j-000003"), spec, version),
    ];
    let torn = Events { revision: harness.revision, events: Vec::new() };
    let changes = harness.watch_cache.replace(items, harness.revision, torn);
    harness.leader.on_changes(&changes, &harness.watch_cache, harness.now);
    for commit in harness.commits() {
        let drops = |w: &Write| *w.key() == *store::job_key("j-000003");
        let ends = |w: &Write| *w.key() == *store::end_key("j-000003");
        let lost = commit.writes.iter().any(drops) && !commit.writes.iter().any(ends);
        assert!(!lost, "an accepted job would be forgotten: {:?}", commit.writes);
    }
}

#[tokio::test(start_paused = true)]
async fn a_reading_that_overlaps_cancellations_forgets_no_dependant() {
    // Chains are cancelled while every controller reads all records again.
    let world = World::new(2).await;
    world.runs_for("j-000001", 500);
    let mut ids = vec!["j-000001".to_owned()];
    assert!(state(&world.submit(0, "j-000001", json!({})).await).is_some());
    for number in 2..120 {
        let id = format!("j-{number:06}");
        let needs = json!({"Awaits": [ids[ids.len() / 2]]});
        assert!(state(&world.submit(number % 3, &id, needs).await).is_some());
        ids.push(id);
    }
    assert_eq!(state(&world.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    // From now on every few changes make a reading necessary.
    world.state.set_window(1);
    world.state.set_slow(Duration::from_millis(150));
    seconds(30).await;
    world.state.set_window(1000);
    world.state.set_slow(Duration::ZERO);
    seconds(10).await;
    assert!(world.state.too_old() > 0, "no reading overlapped");
    for id in &ids {
        let told = world.ask(1, id).await;
        assert_eq!(state(&told), Some(JobState::Cancelled), "{id}: {told:?}");
    }
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn records_are_read_whole_although_parts_of_the_reading_fail() {
    let world = World::new(1).await;
    // A few dozen parts, each of which may fail.
    for number in 0..1500 {
        let end = store::value(&json!({"s": "done", "d": 1})).expect("json");
        let key = store::end_key(&format!("j-{number:06}"));
        world
            .state
            .commit(Vec::new(), vec![Write::Put { key, value: end, lease: None }])
            .expect("written");
    }
    let node = (world.leader().expect("a leader") + 1) % 3;
    world.kill_node(node);
    world.state.set_failing(Some((7, 0.3)));
    world.start_node(node);
    seconds(30).await;
    world.state.set_failing(None);
    assert!(world.node(node).healthy(), "it has read the records");
    assert_eq!(state(&world.ask(node, "j-001499").await), Some(JobState::Done));
}
