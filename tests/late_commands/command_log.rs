//! Log lines at `info` from which the life of an attempt can be told.

use std::{
    io,
    sync::{Arc, Mutex},
};

use serde_json::json;
use stonewheel::protocol::{ExitCause, TaskStatus};
use tracing::{level_filters::LevelFilter, subscriber::DefaultGuard};

use crate::common::leader_harness::{LeaderHarness, exited, running};
use crate::open_starts::{lose_response, place_one_task, respond, take_direct_request};

/// Log output of the current thread.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    /// Collects all lines at `info` until the guard is dropped.
    fn collect(&self) -> DefaultGuard {
        let output = self.clone();
        let subscriber = tracing_subscriber::fmt()
            .with_writer(move || output.clone())
            .with_max_level(LevelFilter::INFO)
            .with_ansi(false)
            .without_time()
            .finish();
        tracing::subscriber::set_default(subscriber)
    }

    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().expect("not poisoned").clone();
        String::from_utf8(bytes).expect("text").lines().map(str::to_owned).collect()
    }
}

/// Asserts that some line contains all these parts.
fn assert_line(lines: &[String], parts: &[&str]) {
    let found = lines.iter().any(|line| parts.iter().all(|part| line.contains(part)));
    assert!(found, "no line with {parts:?} in {lines:#?}");
}

#[tokio::test(start_paused = true)]
async fn logs_tell_what_started_settled_and_ended_an_attempt_and_when_it_was_forgotten() {
    let output = Output::default();
    let _guard = output.collect();
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
    let lines = output.lines();
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
    let output = Output::default();
    let _guard = output.collect();
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
    let lines = output.lines();
    assert!(started > 100, "{started}");
    assert!(lines.iter().all(|line| line.len() < 2048), "{lines:#?}");
    let logged: usize = lines.iter().map(|line| line.matches("j-000001/").count()).sum();
    assert_eq!(logged, started, "each start is logged once");
}
