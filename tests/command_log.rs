//! Log lines at `info` from which the life of an attempt can be told.
//!
//! Each test has a thread and a log of its own. The subscriber is that of the whole process and is
//! installed before the first event: whether an event is enabled is cached for the process, so a
//! subscriber of one thread could miss events that another thread was the first to emit.

#[allow(dead_code)] // Each test binary uses its own part.
mod common;

use std::{cell::RefCell, io, sync::Once};

use common::leader_harness::{
    LeaderHarness, exited, lose_response, place_one_task, respond, running, take_direct_request,
};
use serde_json::json;
use stonewheel::protocol::{ExitCause, TaskStatus};
use tracing::level_filters::LevelFilter;

static SUBSCRIBER: Once = Once::new();

thread_local! {
    /// The log output of the thread.
    static OUTPUT: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Writes to the log output of the current thread.
struct ThreadOutput;

impl io::Write for ThreadOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        OUTPUT.with_borrow_mut(|output| output.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Collects all lines at `info` from now on.
fn collect_logs() {
    SUBSCRIBER.call_once(|| {
        tracing_subscriber::fmt()
            .with_writer(|| ThreadOutput)
            .with_max_level(LevelFilter::INFO)
            .with_ansi(false)
            .without_time()
            .init();
    });
}

/// Returns the lines of the current thread.
fn logged_lines() -> Vec<String> {
    let bytes = OUTPUT.with_borrow(Clone::clone);
    String::from_utf8(bytes).expect("text").lines().map(str::to_owned).collect()
}

/// Asserts that some line contains all these parts.
fn assert_line(lines: &[String], parts: &[&str]) {
    let found = lines.iter().any(|line| parts.iter().all(|part| line.contains(part)));
    assert!(found, "no line with {parts:?} in {lines:#?}");
}

#[tokio::test(start_paused = true)]
async fn logs_tell_what_started_settled_and_ended_an_attempt_and_when_it_was_forgotten() {
    collect_logs();
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let unanswered = take_direct_request(&mut harness);
    lose_response(&mut harness, &unanswered);
    place_one_task(&mut harness, "j-000002");
    let answered = take_direct_request(&mut harness);
    let tasks: Vec<TaskStatus> = answered.commands.commands.iter().map(running).collect();
    respond(&mut harness, &answered, 7, &tasks);
    let start = answered.commands.commands.iter().find(|c| c.task == "j-000002/0");
    let exit = exited(start.expect("a start"), ExitCause::Done);
    for _ in 0..2 {
        harness.heartbeat("n-1", 1, &[tasks[0].clone(), exit.clone()]);
        harness.settle();
    }
    let stray = TaskStatus { attempt: 9, ..tasks[0].clone() };
    harness.heartbeat("n-1", 1, &[tasks[0].clone(), stray]);
    let lines = logged_lines();
    let sent = ["sent directly", "machine=n-1", "incarnation=1"];
    assert_line(&lines, &[&sent[..], &["request=1", "token=5", "j-000001/0@1"]].concat());
    assert_line(&lines, &["request=1", "\"no answer\"", "token=6"]);
    assert_line(&lines, &[&sent[..], &["request=2", "token=6", "j-000002/0@1"]].concat());
    assert_line(&lines, &["request=2", "\"answered\""]);
    assert_line(&lines, &["attempts ended", "machine=n-1", "j-000002/0@1=Done"]);
    assert_line(&lines, &["forget commands", "machine=n-1", "token=7", "j-000002/0@1"]);
    assert_line(&lines, &["without a binding", "machine=n-1", "j-000001/0@9"]);
    assert!(harness.leader.summary(harness.now).contains("unbound_attempts: 1"));
}

#[tokio::test(start_paused = true)]
async fn log_lines_about_many_attempts_are_short() {
    collect_logs();
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let small = json!({"Spokes": 300, "Gpus": 0.0, "Cores": 0.1, "MemoryGb": 0.1});
    harness.submit("j-000001", small);
    for _ in 0..4 {
        harness.settle();
    }
    let mut started = 0;
    for request in harness.leader.take_direct_requests(harness.now) {
        started += request.commands.commands.len();
        respond(&mut harness, &request, 7, &[]);
    }
    let lines = logged_lines();
    assert!(started > 100, "{started}");
    assert!(lines.iter().all(|line| line.len() < 2048), "{lines:#?}");
    let logged: usize = lines.iter().map(|line| line.matches("j-000001/").count()).sum();
    assert_eq!(logged, started, "each start is logged once");
}
