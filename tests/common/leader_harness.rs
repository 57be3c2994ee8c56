//! Leader without network: tests apply its records and the workers' heartbeats directly.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde_json::json;
use stonewheel::{
    controller::{Commit, DirectOutcome, DirectRequest, Leader, StateService},
    fencing::TermTokens,
    protocol::{
        CommandKind, ExitCause, JobSpec, TaskCommand, TaskState, TaskStatus, WorkerHeartbeat, Write,
    },
    settings::{Objective, Settings},
    state::Versioned,
    store::{self, Change, Page, WatchCache},
};
use tokio::time::Instant;

use super::{job, machine_type, settings};

pub struct LeaderHarness {
    pub settings: Settings,
    pub watch_cache: WatchCache,
    pub leader: Leader,
    /// Revision of the latest write.
    pub revision: u64,
    pub now: Instant,
    /// Instant since which certainly no other controller renews workers' leases, if there is one.
    pub sole_renewer_since: Option<Instant>,
    /// Sequence number of the latest heartbeat, by machine.
    pub sequences: BTreeMap<String, u64>,
    /// The token that workers show, if they do not learn the leader's tokens.
    held_worker_token: Option<u64>,
}

impl LeaderHarness {
    pub fn new(token: u64) -> Self {
        Self::with(settings("m-0"), TermTokens::starting_at(token))
    }

    /// Creates a leader without any records but the machine types.
    pub fn with(mut settings: Settings, tokens: TermTokens) -> Self {
        let mut watch_cache = WatchCache { loaded: true, ..WatchCache::default() };
        watch_cache.machine_types =
            Some(Versioned { version: 1, value: Arc::new(vec![machine_type()]) });
        // Keeps idle machines: their return is not part of these scenarios.
        settings.operator.idle_boots = 1e3;
        Self::with_records(settings, watch_cache, tokens)
    }

    /// Creates a leader that takes over the given records.
    pub fn with_records(settings: Settings, watch_cache: WatchCache, tokens: TermTokens) -> Self {
        let now = Instant::now();
        let leader = Leader::new(Arc::new(settings.clone()), 1, tokens, &watch_cache, now);
        Self {
            settings,
            watch_cache,
            leader,
            revision: 100,
            now,
            sole_renewer_since: Some(now),
            sequences: BTreeMap::new(),
            held_worker_token: None,
        }
    }

    /// Makes workers show the leader's first token although it raises theirs: no message with
    /// the raised token has reached them.
    pub fn hold_worker_tokens(mut self) -> Self {
        self.held_worker_token = Some(self.leader.tokens.first());
        self
    }

    /// Returns the highest token that a machine's worker has seen.
    pub fn worker_token(&self, machine: &str) -> u64 {
        self.held_worker_token.unwrap_or_else(|| self.leader.token_for(machine))
    }

    /// Replaces this leader by its successor, which takes over the same records.
    pub fn succeed(self, token: u64) -> Self {
        Self {
            sequences: self.sequences,
            revision: self.revision,
            ..Self::with_records(self.settings, self.watch_cache, TermTokens::starting_at(token))
        }
    }

    /// Replaces the leader by one with an objective for the class `train`.
    pub fn set_objective(&mut self, kind: &str, within_s: f64) {
        let mut settings = settings("m-0");
        settings.cluster.objectives.push(Objective {
            kind: kind.into(),
            class: Some("train".into()),
            within_s: Some(within_s),
        });
        self.leader = Leader::new(
            Arc::new(settings),
            1,
            TermTokens::starting_at(5),
            &self.watch_cache,
            self.now,
        );
    }

    pub fn submit(&mut self, id: &str, changes: serde_json::Value) {
        let spec = JobSpec::parse(&job(id, changes)).expect("valid");
        self.revision += 1;
        let value = store::to_raw_value(&spec).expect("json");
        let changes = self.watch_cache.put(&store::job_key(id), value, self.revision);
        assert_eq!(changes.first(), Some(&Change::Arrived(id.into())));
        self.leader.on_changes(&changes, &self.watch_cache, self.now);
    }

    pub fn cancel(&mut self, id: &str) {
        self.revision += 1;
        let end = json!({"s": "aborted", "d": 0});
        let value = store::to_raw_value(&end).expect("json");
        let changes = self.watch_cache.put(&store::end_key(id), value, self.revision);
        assert_eq!(changes.first(), Some(&Change::Ended(id.into())));
        self.leader.on_changes(&changes, &self.watch_cache, self.now);
    }

    /// Lets time pass, then runs a tick of the leader.
    pub fn pass(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.leader.tick(self.now, StateService::Available, self.sole_renewer_since);
    }

    /// Takes all pending writes of the leader.
    pub fn commits(&mut self) -> Vec<Commit> {
        self.leader.take_commits(&self.watch_cache, usize::MAX)
    }

    /// Applies writes to the records and reports them to the leader as committed.
    pub fn commit(&mut self, commits: Vec<Commit>) {
        for commit in commits {
            self.revision += 1;
            for write in &commit.writes {
                match write {
                    Write::Put { key, value, .. } => {
                        self.watch_cache.put(key, value.clone(), self.revision);
                    }
                    Write::Delete { key } => {
                        self.watch_cache.delete(key, self.revision);
                    }
                }
            }
            self.leader.committed(&commit.kind, &self.watch_cache, self.now);
        }
    }

    /// Lets 0.4 s pass in four steps and commits all pending writes after each step.
    pub fn settle(&mut self) {
        for _ in 0..4 {
            self.pass(0.1);
            let commits = self.commits();
            self.commit(commits);
        }
    }

    /// Delivers a heartbeat with the given sequence number and the current token.
    pub fn heartbeat_at(
        &mut self,
        machine: &str,
        sequence: u64,
        incarnation: u64,
        tasks: &[TaskStatus],
    ) -> Vec<TaskCommand> {
        self.heartbeat_with_token(self.worker_token(machine), machine, sequence, incarnation, tasks)
    }

    /// Delivers a heartbeat of a worker whose highest known token is `token`.
    pub fn heartbeat_with_token(
        &mut self,
        token: u64,
        machine: &str,
        sequence: u64,
        incarnation: u64,
        tasks: &[TaskStatus],
    ) -> Vec<TaskCommand> {
        let heartbeat = heartbeat_of(machine, incarnation, sequence, token, tasks);
        self.leader.on_heartbeat(&heartbeat, self.now).expect("no higher token")
    }

    /// Delivers a heartbeat with the machine's next sequence number.
    pub fn heartbeat(
        &mut self,
        machine: &str,
        incarnation: u64,
        tasks: &[TaskStatus],
    ) -> Vec<TaskCommand> {
        let sequence = self.sequences.entry(machine.into()).or_default();
        *sequence += 1;
        let sequence = *sequence;
        self.heartbeat_at(machine, sequence, incarnation, tasks)
    }

    /// Returns the first page of a job's placement records.
    pub fn page(&self, id: &str) -> Page {
        self.watch_cache
            .pages
            .get(id)
            .and_then(|pages| pages.get(&0))
            .and_then(|page| serde_json::from_str(page.raw.get()).ok())
            .unwrap_or_default()
    }

    /// Returns the tasks of a job's first page with the machines that the records bind them to.
    pub fn bound(&self, id: &str) -> Vec<(u32, String)> {
        self.page(id).bound.iter().map(|bound| (bound.task, bound.machine.to_string())).collect()
    }
}

/// Returns a heartbeat of an on-demand worker of type `g8`. A machine whose name begins with
/// `b-` is in zone `b`, any other in zone `a`.
pub fn heartbeat_of(
    machine: &str,
    incarnation: u64,
    sequence: u64,
    token: u64,
    tasks: &[TaskStatus],
) -> WorkerHeartbeat {
    let zone = if machine.starts_with("b-") { "b" } else { "a" };
    WorkerHeartbeat {
        machine: machine.into(),
        address: machine.into(),
        machine_type: "g8".into(),
        zone: zone.into(),
        spot: false,
        incarnation,
        sequence,
        token,
        notice_s: None,
        tasks: tasks.to_vec(),
    }
}

/// Returns the status of a running task that `command` started.
pub fn running(command: &TaskCommand) -> TaskStatus {
    exited_with(command, TaskState::Running, None)
}

/// Returns the status of an exited task that `command` started.
pub fn exited(command: &TaskCommand, cause: ExitCause) -> TaskStatus {
    exited_with(command, TaskState::Exited, Some(cause))
}

pub fn exited_with(
    command: &TaskCommand,
    state: TaskState,
    cause: Option<ExitCause>,
) -> TaskStatus {
    TaskStatus { task: command.task.clone(), attempt: command.attempt, state, cause, saved: None }
}

/// Returns the commands of one kind.
pub fn ops(commands: &[TaskCommand], kind: CommandKind) -> Vec<&TaskCommand> {
    commands.iter().filter(|command| command.op == kind).collect()
}

/// Returns the last of the direct requests that the leader sends now.
pub fn take_direct_request(harness: &mut LeaderHarness) -> DirectRequest {
    harness.leader.take_direct_requests(harness.now).pop().expect("a direct request")
}

/// Makes the worker respond to a request with a heartbeat that lists `tasks`.
pub fn respond(
    harness: &mut LeaderHarness,
    sent: &DirectRequest,
    sequence: u64,
    tasks: &[TaskStatus],
) {
    let token = harness.worker_token(&sent.machine);
    let heartbeat = heartbeat_of(&sent.machine, sent.commands.incarnation, sequence, token, tasks);
    let outcome = DirectOutcome::Answered(&heartbeat);
    harness.leader.on_direct_outcome(sent, outcome, harness.now).expect("leads");
    harness.sequences.insert(sent.machine.to_string(), sequence);
}

/// Records that a request got no response and may still be carried out.
pub fn lose_response(harness: &mut LeaderHarness, sent: &DirectRequest) {
    harness.leader.on_direct_outcome(sent, DirectOutcome::Unknown, harness.now).expect("leads");
}

/// Submits a job of one task and commits its placement.
pub fn place_one_task(harness: &mut LeaderHarness, id: &str) {
    harness.submit(id, json!({"Spokes": 1, "Gpus": 0.0}));
    harness.settle();
}
