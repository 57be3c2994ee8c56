//! Orders, answers and readings that outlive the decision behind them: what is
//! still open must not be taken for settled.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{
    World,
    duty::{Duty, exited, ops, report_of, running},
    no_rule_broken, seconds, settings, state,
};
use serde_json::json;
use stonewheel::{
    controller::{Commit, DirectOutcome, DirectRequest},
    fencing::TermTokens,
    node::ReportReply,
    protocol::{Cause, Events, Item, JobState, MachineId, Op, Order, Report, TaskReport, Write},
    store,
};
use tokio::time::{Instant, sleep};

fn send_one(duty: &mut Duty) -> DirectRequest {
    duty.leader.take_direct(duty.now).pop().expect("direct orders")
}

/// The worker answers a request with what it has then.
fn answer(duty: &mut Duty, sent: &DirectRequest, seq: u64, tasks: &[TaskReport]) {
    let token = duty.leader.token_for(&sent.machine);
    let report = report_of(&sent.machine, sent.orders.session, seq, token, tasks);
    let outcome = DirectOutcome::Answered(&report);
    duty.leader.on_direct(sent, outcome, duty.now).expect("leads");
    duty.seqs.insert(sent.machine.to_string(), seq);
}

fn no_answer(duty: &mut Duty, sent: &DirectRequest) {
    duty.leader.on_direct(sent, DirectOutcome::Unknown, duty.now).expect("leads");
}

fn start_of<'a>(sent: &'a DirectRequest, job: &str) -> &'a Order {
    let of_job = |order: &&Order| order.op == Op::Start && order.task.starts_with(job);
    sent.orders.orders.iter().find(of_job).expect("a start of the job")
}

fn one_task(duty: &mut Duty, id: &str) {
    duty.submit(id, json!({"Spokes": 1, "Gpus": 0.0}));
    duty.settle();
}

/// A machine to which the start of `j-000001` was sent twice: the first request
/// is still on its way, the second was answered.
fn start_sent_twice(duty: &mut Duty) -> Order {
    duty.report("n-1", 1, &[]);
    one_task(duty, "j-000001");
    let first = send_one(duty);
    no_answer(duty, &first);
    one_task(duty, "j-000002");
    let second = send_one(duty);
    let start = start_of(&first, "j-000001").clone();
    let other = running(start_of(&second, "j-000002"));
    answer(duty, &second, 7, &[running(&start), other]);
    start
}

#[tokio::test(start_paused = true)]
async fn an_answered_request_leaves_earlier_ones_open() {
    let mut duty = Duty::new(5);
    let start = start_sent_twice(&mut duty);
    // The task ends. Cleared, the first request would start it once more.
    let exit = exited(&start, Cause::Done);
    for _ in 0..4 {
        let orders = duty.report("n-1", 1, std::slice::from_ref(&exit));
        assert_eq!(ops(&orders, Op::Forget), [] as [&Order; 0]);
        duty.settle();
    }
    // In the worker's next session that request means nothing.
    duty.report("n-1", 2, &[]);
    let orders = duty.report("n-1", 2, std::slice::from_ref(&exit));
    assert_eq!(ops(&orders, Op::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn absence_proves_nothing_while_any_request_with_the_start_is_open() {
    let mut duty = Duty::new(5);
    duty.report("n-1", 1, &[]);
    one_task(&mut duty, "j-000001");
    let first = send_one(&mut duty);
    no_answer(&mut duty, &first);
    one_task(&mut duty, "j-000002");
    let second = send_one(&mut duty);
    // The worker refused the second request as a whole.
    answer(&mut duty, &second, 7, &[]);
    duty.cancel("j-000001");
    for _ in 0..4 {
        duty.report("n-1", 1, &[]);
        duty.settle();
        assert_eq!(duty.bound("j-000001").len(), 1, "it may still start there");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_never_got_a_connection_leaves_nothing_open() {
    let mut duty = Duty::new(5);
    duty.report("n-1", 1, &[]);
    one_task(&mut duty, "j-000001");
    let first = send_one(&mut duty);
    duty.leader.on_direct(&first, DirectOutcome::NotDelivered, duty.now).expect("leads");
    // The answer to its next report starts it, and then it is cleared.
    let orders = duty.report("n-1", 1, &[]);
    let start = ops(&orders, Op::Start)[0].clone();
    let exit = exited(&start, Cause::Done);
    duty.report("n-1", 1, std::slice::from_ref(&exit));
    duty.settle();
    let orders = duty.report("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&orders, Op::Forget).len(), 1);
}

/// A leader that can raise a worker's token.
fn with_many_tokens() -> Duty {
    Duty::with(settings("m-0"), TermTokens::starting_at(5))
}

#[tokio::test(start_paused = true)]
async fn a_higher_token_voids_what_got_no_answer() {
    let mut duty = with_many_tokens();
    duty.report("n-1", 1, &[]);
    one_task(&mut duty, "j-000001");
    let first = send_one(&mut duty);
    no_answer(&mut duty, &first);
    assert!(duty.leader.token_for("n-1") > first.orders.token);
    duty.cancel("j-000001");
    // The worker has not heard of the token yet: the start may still arrive.
    assert!(duty.report_showing(first.orders.token, "n-1", 10, 1, &[]).is_empty());
    duty.settle();
    assert_eq!(duty.bound("j-000001").len(), 1);
    // Now it has, and refuses the start: the task is gone and so is the job.
    let token = duty.leader.token_for("n-1");
    duty.report_showing(token, "n-1", 11, 1, &[]);
    duty.settle();
    assert!(duty.bound("j-000001").is_empty());
    assert!(!duty.picture.jobs.contains_key("j-000001"));
    // Each machine has its own: others keep theirs.
    assert_eq!(duty.leader.token_for("n-2"), 5);
}

#[tokio::test(start_paused = true)]
async fn an_exit_is_cleared_once_a_higher_token_is_seen() {
    let mut duty = with_many_tokens();
    let start = start_sent_twice(&mut duty);
    let exit = exited(&start, Cause::Done);
    // The second request showed the higher token: the first one is void.
    duty.report("n-1", 1, std::slice::from_ref(&exit));
    duty.settle();
    let orders = duty.report("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&orders, Op::Forget).len(), 1);
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
    let mut report = world.last_report(&machine);
    // Nothing that is sent directly gets an answer; the test speaks for the worker.
    world.cut(&machine, &[0, 1, 2]);
    assert!(state(&world.submit(leader, "j-000001", json!({"Spokes": 1})).await).is_some());
    for _ in 0..3 {
        report.seq += 1;
        let _ = world.node(leader).report(&report);
        seconds(1).await;
    }
    report.seq += 1;
    let first = report.token;
    let reply = world.node(leader).report(&report);
    assert!(matches!(&reply, ReportReply::Orders { token, .. } if *token > first), "{reply:?}");
}

#[tokio::test(start_paused = true)]
async fn no_other_attempt_meets_one_that_may_still_start() {
    let mut duty = Duty::new(5);
    duty.report("n-1", 1, &[]);
    one_task(&mut duty, "j-000001");
    let first = send_one(&mut duty);
    no_answer(&mut duty, &first);
    let start = start_of(&first, "j-000001").clone();
    // It started after all and lost its work: it has to start again elsewhere.
    let exit = exited(&start, Cause::Stopped);
    for _ in 0..20 {
        let orders = duty.report("n-1", 1, std::slice::from_ref(&exit));
        assert!(ops(&orders, Op::Start).is_empty() && ops(&orders, Op::Forget).is_empty());
        duty.settle();
        assert!(duty.bound("j-000001").is_empty());
    }
    duty.report("n-2", 1, &[]);
    duty.settle();
    assert_eq!(duty.bound("j-000001"), [(0, "n-2".to_owned())]);
}

#[tokio::test(start_paused = true)]
async fn few_exits_stay_listed_however_many_requests_get_no_answer() {
    let mut duty = Duty::new(5);
    duty.report("n-1", 1, &[]);
    let mut sent_directly = std::collections::BTreeSet::new();
    for number in 1..400 {
        let id = format!("j-{number:06}");
        duty.submit(&id, json!({"Spokes": 1, "Gpus": 0.0, "Cores": 0.1, "MemoryGb": 0.1}));
        duty.settle();
        for request in duty.leader.take_direct(duty.now) {
            let starts = ops(&request.orders.orders, Op::Start);
            sent_directly.extend(starts.into_iter().map(|order| order.task.clone()));
            no_answer(&mut duty, &request);
        }
        duty.report("n-1", 1, &[]);
    }
    // A report with all of them listed takes a small part of what it may.
    assert!((8..=64).contains(&sent_directly.len()), "{}", sent_directly.len());
}

#[tokio::test(start_paused = true)]
async fn no_more_orders_are_composed_than_can_leave_at_once() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.direct_calls();
    let mut duty = Duty::with(settings, TermTokens::only(5));
    for machine in 0..3 * calls {
        duty.report(&format!("n-{machine:03}"), 1, &[]);
    }
    duty.submit("j-000001", json!({"Spokes": 3 * calls, "Gpus": 8.0}));
    duty.settle();
    let first = duty.leader.take_direct(duty.now);
    assert_eq!(first.len(), calls, "the others would wait for a socket");
    assert!(duty.leader.take_direct(duty.now).is_empty());
    // Meanwhile the job is cancelled: none of its starts leaves any more.
    duty.cancel("j-000001");
    for sent in &first {
        no_answer(&mut duty, sent);
    }
    let then: Vec<DirectRequest> = duty.leader.take_direct(duty.now);
    let starts = then.iter().flat_map(|sent| ops(&sent.orders.orders, Op::Start)).count();
    assert_eq!(starts, 0);
}

#[tokio::test(start_paused = true)]
async fn every_machine_gets_its_turn_when_calls_are_few() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.direct_calls();
    let mut duty = Duty::with(settings, TermTokens::only(5));
    let machines = 3 * calls;
    for machine in 0..machines {
        duty.report(&format!("n-{machine:03}"), 1, &[]);
    }
    duty.submit("j-000001", json!({"Spokes": machines, "Gpus": 8.0}));
    duty.settle();
    // All of them are silent and have a cancelled task, so each is told to stop
    // it again and again.
    duty.cancel("j-000001");
    duty.now += Duration::from_secs(4);
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..3 {
        duty.pass(0.2);
        for sent in duty.leader.take_direct(duty.now) {
            reached.insert(sent.machine.clone());
            no_answer(&mut duty, &sent);
        }
    }
    assert_eq!(reached.len(), machines);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_started_directly_while_starts_are_withheld() {
    let mut duty = Duty::new(5);
    duty.report("n-1", 1, &[]);
    duty.leader.allow_starts(false);
    one_task(&mut duty, "j-000001");
    assert!(duty.leader.take_direct(duty.now).is_empty());
    assert!(duty.report("n-1", 1, &[]).is_empty());
    duty.leader.allow_starts(true);
    assert_eq!(ops(&duty.report("n-1", 1, &[]), Op::Start).len(), 1);
}

/// The starts in a controller's answer to the next report of a machine.
fn starts_in_answer(world: &World, node: usize, report: &mut Report) -> usize {
    report.seq += 1;
    match world.node(node).report(report) {
        ReportReply::Orders { orders, .. } => ops(&orders, Op::Start).len(),
        ReportReply::Elsewhere(_) => 0,
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
    let mut report = world.last_report(&machine);
    report.token = report.token.max(1);
    world.cut(&machine, &[0, 1, 2]);
    assert!(state(&world.submit(old, "j-000001", json!({"Spokes": 1})).await).is_some());
    world.until("it is placed", || !world.state.keys("sw/p/").is_empty()).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(starts_in_answer(&world, old, &mut report), 1);
    // The leader alone can't learn of the cancellation.
    world.sever(old);
    world.state.refuse(&format!("m-{old}"), true);
    seconds(1).await;
    assert_eq!(state(&world.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    let lease = world.node(old).settings.leader_lease();
    sleep(lease).await;
    for _ in 0..3 {
        assert_eq!(starts_in_answer(&world, old, &mut report), 0, "its user was told");
        sleep(Duration::from_millis(300)).await;
    }
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_may_start_a_cancelled_task_goes_in_an_outage_too() {
    let mut duty = Duty::new(5);
    duty.report("n-1", 1, &[]);
    one_task(&mut duty, "j-000001");
    let sent = send_one(&mut duty);
    no_answer(&mut duty, &sent);
    duty.cancel("j-000001");
    for _ in 0..25 {
        duty.now += Duration::from_secs(1);
        duty.report("n-1", 1, &[]);
        duty.leader.tick(duty.now, true, None);
    }
    assert_eq!(duty.leader.take_deletions(), ["n-1".into()] as [MachineId; 1]);
}

/// After how many seconds the machine with an open start of a cancelled job is
/// returned, counted from when the leader learned of the cancellation.
async fn returned_after(confirmed_before_s: u64) -> u64 {
    let mut duty = Duty::new(5);
    duty.now += Duration::from_secs(60);
    duty.report("n-1", 1, &[]);
    one_task(&mut duty, "j-000001");
    let sent = send_one(&mut duty);
    no_answer(&mut duty, &sent);
    let confirmed = duty.now - Duration::from_secs(confirmed_before_s);
    duty.cancel("j-000001");
    duty.leader.confirmed_since("j-000001", confirmed);
    for after in 1..40 {
        duty.now += Duration::from_secs(1);
        duty.report("n-1", 1, &[]);
        duty.leader.tick(duty.now, false, duty.alone);
        if !duty.leader.take_deletions().is_empty() {
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
    let mut report = world.last_report(&machine);
    world.cut(&machine, &[0, 1, 2]);
    assert_eq!(state(&world.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    let told = Instant::now();
    let mut leader = world.leader().expect("a leader");
    assert_eq!(report.tasks.len(), 1);
    while world.machines().contains(&machine) {
        assert!(told.elapsed() < Duration::from_secs(24), "too late");
        for _ in 0..8 {
            seconds(1).await;
            if let Some(node) = world.leader().and_then(|l| world.running_node(l)) {
                report.seq += 1;
                let _ = world.node(node).report(&report);
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
        let mut duty = Duty::new(5);
        let size = duty.settings.page_tasks();
        duty.submit("j-000001", json!({"Spokes": size * pages}));
        for page in 0..pages {
            duty.revision += 1;
            let done = json!({"a": 1, "d": [[page * size, size]]});
            let value = store::value(&done).expect("json");
            duty.picture.put(&store::page_key("j-000001", page), value, duty.revision);
        }
        // Another leader goes on after the first transaction.
        let mut deleted = 0;
        for _ in 0..6 {
            duty = duty.succeed(6);
            let commits = duty.commits();
            deleted += deleted_pages(&commits);
            let most = duty.settings.state_limits().transaction_writes;
            assert!(commits.iter().all(|commit| commit.writes.len() <= most));
            duty.commit(commits);
        }
        assert_eq!(deleted as u32, pages, "a page stays without its job");
        assert!(duty.picture.pages.is_empty() && duty.picture.jobs.is_empty());
        assert!(duty.picture.ends.contains("j-000001"));
    }
}

/// What a job's records are, as a reading of all records has them.
fn item(key: String, value: serde_json::Value, version: u64) -> Item {
    Item { key, value: store::value(&value).expect("json"), version }
}

#[tokio::test(start_paused = true)]
async fn no_job_is_dropped_before_its_end_is_recorded() {
    let mut duty = Duty::new(5);
    duty.submit("j-000001", json!({}));
    duty.submit("j-000002", json!({"Awaits": ["j-000001"]}));
    duty.submit("j-000003", json!({"Awaits": ["j-000002"]}));
    duty.cancel("j-000001");
    // All records are read again. The ends were read before the one in the
    // middle ended, the jobs after it was dropped: it is in neither.
    let cancelled = json!({"s": "aborted", "d": 0});
    let spec = serde_json::to_value(&*duty.picture.jobs["j-000003"].spec).expect("json");
    let version = duty.picture.jobs["j-000003"].version;
    let items = vec![
        item(store::end_key("j-000001"), cancelled, duty.revision),
        item(store::job_key("j-000003"), spec, version),
    ];
    let torn = Events { revision: duty.revision, events: Vec::new() };
    let changes = duty.picture.replace(items, duty.revision, torn);
    duty.leader.on_changes(&changes, &duty.picture, duty.now);
    for commit in duty.commits() {
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
