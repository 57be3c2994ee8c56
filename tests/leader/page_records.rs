//! Placement records: order and size of page writes.

use crate::common::{
    leader_harness::{LeaderHarness, exited, ops, running},
    settings_with_coming_limits,
};
use serde_json::json;
use stonewheel::{
    controller::{Commit, CommitKind},
    fencing::TermTokens,
    protocol::{CommandKind, ExitCause, TaskCommand, TaskState, TaskStatus},
    store::{self, WatchCache},
};

#[tokio::test(start_paused = true)]
async fn a_page_has_at_most_one_write_in_flight() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.pass(0.1);
    let first = harness.commits();
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1}));
    harness.heartbeat("n-1", 2, &[]);
    harness.pass(0.1);
    let second = harness.commits();
    let is_same_page = |commit: &Commit| {
        matches!(
            &commit.kind,
            CommitKind::Page { job, .. } if &**job == "j-000001"
        )
    };
    assert!(first.iter().any(is_same_page));
    assert!(!second.iter().any(is_same_page), "written while the first write is in flight");
    // The first write had an unknown outcome and turns out not to be committed: it is
    // written again.
    for commit in first {
        harness.leader.not_committed(commit.kind, &harness.watch_cache, harness.now);
    }
    assert!(harness.commits().iter().any(is_same_page));
}

#[tokio::test(start_paused = true)]
async fn placements_of_higher_priority_are_recorded_first() {
    // If all pages are written together in order of job id, the write budget restarts batch
    // jobs before the production replicas that serve users.
    let mut harness = LeaderHarness::new(5);
    for n in 0..40 {
        harness.heartbeat(&format!("n-{n:03}"), 1, &[]);
    }
    let service = |rank: &str| json!({"Shape": "service", "Spokes": 1, "Gpus": 2.0, "Rank": rank});
    for n in 0..100 {
        let rank = if n % 4 == 3 { "production" } else { "best_effort" };
        harness.submit(&format!("j-{n:06}"), service(rank));
    }
    harness.pass(0.2);
    let commits = harness.commits();
    let in_flight = 24 * stonewheel::state::MAX_IN_FLIGHT;
    assert_eq!(commits.len(), in_flight, "as many writes as the transactions in flight hold");
    let production = commits.iter().take_while(|commit| match &commit.kind {
        CommitKind::Page { job, .. } => job[2..].parse::<u32>().expect("a number") % 4 == 3,
        _ => false,
    });
    assert_eq!(production.count(), 25, "all production jobs, and before all others");
    assert!(harness.commits().is_empty(), "the rest waits for the commits in flight");
    harness.commit(commits);
    assert_eq!(harness.commits().len(), 100 - in_flight);
}

/// Limit of a value's size that the settings announce, in bytes; lower than the current limit.
const VALUE_BYTES: usize = 2048;

fn largest_page(watch_cache: &WatchCache) -> usize {
    let pages = watch_cache.pages.values().flat_map(|pages| pages.values());
    pages.map(|page| page.raw.get().len()).max().unwrap_or(0)
}

/// Returns a leader with four machines that have capacity for many tasks of a `tiny` job.
pub(crate) fn harness_for_tiny_tasks() -> LeaderHarness {
    let mut harness =
        LeaderHarness::with(settings_with_coming_limits("m-0"), TermTokens::starting_at(5));
    for machine in 0..4 {
        harness.heartbeat(&format!("n-00000{machine}"), 1, &[]);
    }
    harness
}

/// Returns the fields of a job with `tasks` tasks that need few resources.
pub(crate) fn tiny(tasks: u32, shape: &str) -> serde_json::Value {
    json!({"Shape": shape, "Spokes": tasks, "Cores": 1.0, "Gpus": 0.0, "MemoryGb": 1.0})
}

#[tokio::test(start_paused = true)]
async fn placements_stop_before_their_page_exceeds_the_coming_limit() {
    let mut harness = harness_for_tiny_tasks();
    harness.submit("j-000001", tiny(128, "batch"));
    harness.settle();
    let first = harness.bound("j-000001").len();
    assert!((60..128).contains(&first), "{first} of 128 tasks are bound");
    assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    // Finished tasks make space in the page for others, until the job ends.
    for _ in 0..6 {
        for machine in 0..4 {
            let name = format!("n-00000{machine}");
            let starts = harness.heartbeat(&name, 1, &[]);
            let done: Vec<_> = ops(&starts, CommandKind::Start)
                .into_iter()
                .map(|command| exited(command, ExitCause::Done))
                .collect();
            harness.heartbeat(&name, 1, &done);
        }
        harness.pass(2.0);
        harness.settle();
        assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    }
    assert!(harness.watch_cache.ended_jobs.contains("j-000001"));
}

/// Stores a page with `tasks` bound tasks, as a version without the coming limits wrote it.
fn put_page_of_previous_version(harness: &mut LeaderHarness, id: &str, tasks: u32) {
    let bound: Vec<_> =
        (0..tasks).map(|task| (task, 1, format!("n-00000{}", task % 4), 1, 0)).collect();
    let value = store::to_raw_value(&json!({"a": 1, "w": tasks, "b": bound})).expect("json");
    assert!(value.get().len() > VALUE_BYTES);
    harness.revision += 1;
    harness.watch_cache.put(&store::page_key(id, 0), value, harness.revision);
}

#[tokio::test(start_paused = true)]
async fn a_page_above_the_coming_limit_is_written_once_enough_tasks_have_exited() {
    let mut before =
        LeaderHarness::with(settings_with_coming_limits("m-0"), TermTokens::starting_at(4));
    before.submit("j-000001", tiny(120, "batch"));
    put_page_of_previous_version(&mut before, "j-000001", 120);
    let mut harness = before.succeed(5);
    let running: Vec<Vec<TaskStatus>> = (0..4)
        .map(|machine| {
            let here = (0..120).filter(|task| task % 4 == machine);
            here.map(|task| TaskStatus {
                task: format!("j-000001/{task}"),
                attempt: 1,
                state: TaskState::Running,
                cause: None,
                saved: None,
            })
            .collect()
        })
        .collect();
    for (machine, tasks) in running.iter().enumerate() {
        harness.heartbeat(&format!("n-00000{machine}"), 1, tasks);
    }
    // One task is done. Its exit is not cleared until it is durable.
    let mut first = running[0].clone();
    (first[0].state, first[0].cause) = (TaskState::Exited, Some(ExitCause::Done));
    harness.heartbeat("n-000000", 1, &first);
    harness.settle();
    assert!(harness.page("j-000001").done.is_empty(), "the oversized page is not rewritten yet");
    let commands = harness.heartbeat("n-000000", 1, &first);
    assert!(ops(&commands, CommandKind::Forget).is_empty());
    // Some of the job's tasks are stopped so that the page fits the limit. The page is
    // written once these tasks have exited.
    let mut stopped = 0;
    for (machine, tasks) in running.iter().enumerate() {
        let name = format!("n-00000{machine}");
        let mut tasks = if machine == 0 { first.clone() } else { tasks.clone() };
        for stop in ops(&harness.heartbeat(&name, 1, &tasks), CommandKind::Stop) {
            let task = tasks.iter_mut().find(|task| task.task == stop.task).expect("known");
            (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Stopped));
            stopped += 1;
        }
        harness.heartbeat(&name, 1, &tasks);
    }
    assert!((1..80).contains(&stopped), "{stopped} tasks were stopped");
    harness.settle();
    assert_eq!(harness.page("j-000001").done, [store::TaskRange { first: 0, count: 1 }]);
    assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    let commands = harness.heartbeat("n-000000", 1, &first[..1]);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_gang_larger_than_a_page_waits_until_all_members_support_small_pages() {
    let mut harness = harness_for_tiny_tasks();
    harness.submit("j-000001", tiny(120, "ensemble"));
    harness.settle();
    assert!(harness.bound("j-000001").is_empty(), "a gang is not placed in part");
    harness.leader.allow_small_pages();
    harness.pass(0.1);
    let commits = harness.commits();
    let pages = commits.len();
    assert!(pages > 1, "the placements fill several pages");
    // No task starts before the last page is durable.
    let mut commits = commits.into_iter();
    for commit in commits.by_ref().take(pages - 1) {
        harness.commit(vec![commit]);
        for machine in 0..4 {
            let commands = harness.heartbeat(&format!("n-00000{machine}"), 1, &[]);
            assert!(ops(&commands, CommandKind::Start).is_empty());
        }
    }
    harness.commit(commits.collect());
    assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    let mut starts = 0;
    for machine in 0..4 {
        starts +=
            ops(&harness.heartbeat(&format!("n-00000{machine}"), 1, &[]), CommandKind::Start).len();
    }
    assert_eq!(starts, 120);
    // The next leader reads the same page layout.
    let mut next = harness.succeed(6);
    assert_eq!(next.page("j-000001").tasks, Some(32));
    let mut repeated_starts = 0;
    for machine in 0..4 {
        repeated_starts +=
            ops(&next.heartbeat(&format!("n-00000{machine}"), 1, &[]), CommandKind::Start).len();
    }
    assert_eq!(repeated_starts, 120);
}

#[tokio::test(start_paused = true)]
async fn exits_are_recorded_with_write_budget_left_over() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Spokes": 2}));
    harness.settle();
    let starts = harness.heartbeat("n-1", 1, &[]);
    let starts: Vec<TaskCommand> = ops(&starts, CommandKind::Start).into_iter().cloned().collect();
    assert_eq!(starts.len(), 2);
    let done = [exited(&starts[0], ExitCause::Done), running(&starts[1])];
    harness.heartbeat("n-1", 1, &done);
    // Placements and ends of jobs are urgent writes; exits are not and wait for budget.
    harness.submit("j-000002", json!({"Spokes": 1}));
    harness.pass(0.1);
    let urgent = harness.leader.take_commits(&harness.watch_cache, 0);
    assert_eq!(urgent.len(), 1);
    assert!(matches!(&urgent[0].kind, CommitKind::Page { job, .. } if &**job == "j-000002"));
    harness.commit(urgent);
    assert!(harness.leader.take_commits(&harness.watch_cache, 0).is_empty());
    let commands = harness.heartbeat("n-1", 1, &done);
    assert!(ops(&commands, CommandKind::Forget).is_empty(), "not cleared before it is durable");
    let later = harness.leader.take_commits(&harness.watch_cache, 1);
    assert!(matches!(&later[0].kind, CommitKind::Page { job, .. } if &**job == "j-000001"));
    harness.commit(later);
    let commands = harness.heartbeat("n-1", 1, &done);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    // The last exit becomes durable with the job's end, which is written without spare
    // budget.
    let all = [exited(&starts[0], ExitCause::Done), exited(&starts[1], ExitCause::Done)];
    let commands = harness.heartbeat("n-1", 1, &all);
    assert!(ops(&commands, CommandKind::Forget).is_empty());
    let end = harness.leader.take_commits(&harness.watch_cache, 0);
    assert!(matches!(&end[0].kind, CommitKind::End { job } if &**job == "j-000001"));
    harness.commit(end);
    let commands = harness.heartbeat("n-1", 1, &all);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 2);
}
