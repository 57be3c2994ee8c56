//! The leader's duty alone, with its records and the workers' heartbeats played by
//! hand: no network in between.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde_json::json;
use stonewheel::{
    controller::{Commit, Leader, StateService},
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
    pub revision: u64,
    pub now: Instant,
    /// Since when surely no other controller answers workers.
    pub alone: Option<Instant>,
    pub sequences: BTreeMap<String, u64>,
}

impl LeaderHarness {
    pub fn new(token: u64) -> Self {
        Self::with(settings("m-0"), TermTokens::single(token))
    }

    pub fn with(mut settings: Settings, tokens: TermTokens) -> Self {
        let mut watch_cache = WatchCache { loaded: true, ..WatchCache::default() };
        watch_cache.machine_types =
            Some(Versioned { version: 1, value: Arc::new(vec![machine_type()]) });
        // Returning idle machines is no part of these scenarios.
        settings.operator.idle_boots = 1e3;
        Self::over(settings, watch_cache, tokens)
    }

    pub fn over(settings: Settings, watch_cache: WatchCache, tokens: TermTokens) -> Self {
        let now = Instant::now();
        let leader = Leader::new(Arc::new(settings.clone()), 1, tokens, &watch_cache, now);
        Self {
            settings,
            watch_cache,
            leader,
            revision: 100,
            now,
            alone: Some(now),
            sequences: BTreeMap::new(),
        }
    }

    /// The next leader, over the records that this one left.
    pub fn succeed(self, token: u64) -> Self {
        Self {
            sequences: self.sequences,
            revision: self.revision,
            ..Self::over(self.settings, self.watch_cache, TermTokens::single(token))
        }
    }

    /// Begins anew with an aim for the usual class.
    pub fn set_aim(&mut self, kind: &str, within_s: f64) {
        let mut settings = settings("m-0");
        settings.cluster.objectives.push(Objective {
            kind: kind.into(),
            class: Some("train".into()),
            within_s: Some(within_s),
        });
        self.leader =
            Leader::new(Arc::new(settings), 1, TermTokens::single(5), &self.watch_cache, self.now);
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

    pub fn pass(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.leader.tick(self.now, StateService::Available, self.alone);
    }

    pub fn commits(&mut self) -> Vec<Commit> {
        self.leader.take_commits(&self.watch_cache, usize::MAX)
    }

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

    /// Time passes and all that is due is committed.
    pub fn settle(&mut self) {
        for _ in 0..4 {
            self.pass(0.1);
            let commits = self.commits();
            self.commit(commits);
        }
    }

    pub fn heartbeat_at(
        &mut self,
        machine: &str,
        sequence: u64,
        incarnation: u64,
        tasks: &[TaskStatus],
    ) -> Vec<TaskCommand> {
        self.heartbeat_with_token(
            self.leader.token_for(machine),
            machine,
            sequence,
            incarnation,
            tasks,
        )
    }

    /// A heartbeat of a worker whose highest token is `token`.
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

    pub fn page(&self, id: &str) -> Page {
        self.watch_cache
            .pages
            .get(id)
            .and_then(|p| p.get(&0))
            .and_then(|p| serde_json::from_str(p.raw.get()).ok())
            .unwrap_or_default()
    }

    /// The machines that a job's tasks are bound to, by the records.
    pub fn bound(&self, id: &str) -> Vec<(u32, String)> {
        self.page(id).bound.iter().map(|bound| (bound.task, bound.machine.to_string())).collect()
    }
}

/// What a worker of the usual kind reports; its name begins with its zone if that
/// is the second one.
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

pub fn running(command: &TaskCommand) -> TaskStatus {
    exited_with(command, TaskState::Running, None)
}

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

pub fn ops(commands: &[TaskCommand], op: CommandKind) -> Vec<&TaskCommand> {
    commands.iter().filter(|o| o.op == op).collect()
}
