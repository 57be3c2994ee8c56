//! The leader's duty alone, with its records and the workers' reports played by
//! hand: no network in between.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde_json::json;
use stonewheel::{
    controller::{Commit, Leader},
    fencing::TermTokens,
    protocol::{Cause, JobSpec, Op, Order, Report, TaskReport, TaskState, Write},
    settings::{Objective, Settings},
    store::{self, Change, Page, Picture},
};
use tokio::time::Instant;

use super::{job, machine_type, settings};

pub struct Duty {
    pub settings: Settings,
    pub picture: Picture,
    pub leader: Leader,
    pub revision: u64,
    pub now: Instant,
    /// Since when surely no other controller answers workers.
    pub alone: Option<Instant>,
    pub seqs: BTreeMap<String, u64>,
}

impl Duty {
    pub fn new(token: u64) -> Self {
        Self::with(settings("m-0"), TermTokens::only(token))
    }

    pub fn with(mut settings: Settings, tokens: TermTokens) -> Self {
        let mut picture = Picture { loaded: true, ..Picture::default() };
        picture.types = Some((1, Arc::new(vec![machine_type()])));
        // Returning idle machines is no part of these stories.
        settings.operator.idle_boots = 1e3;
        Self::over(settings, picture, tokens)
    }

    pub fn over(settings: Settings, picture: Picture, tokens: TermTokens) -> Self {
        let now = Instant::now();
        let leader = Leader::new(Arc::new(settings.clone()), 1, tokens, &picture, now);
        Self {
            settings,
            picture,
            leader,
            revision: 100,
            now,
            alone: Some(now),
            seqs: BTreeMap::new(),
        }
    }

    /// The next leader, over the records that this one left.
    pub fn succeed(self, token: u64) -> Self {
        Self {
            seqs: self.seqs,
            revision: self.revision,
            ..Self::over(self.settings, self.picture, TermTokens::only(token))
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
            Leader::new(Arc::new(settings), 1, TermTokens::only(5), &self.picture, self.now);
    }

    pub fn submit(&mut self, id: &str, changes: serde_json::Value) {
        let spec = JobSpec::parse(&job(id, changes)).expect("valid");
        self.revision += 1;
        let value = store::value(&spec).expect("json");
        let changes = self.picture.put(&store::job_key(id), value, self.revision);
        assert_eq!(changes.first(), Some(&Change::Arrived(id.into())));
        self.leader.on_changes(&changes, &self.picture, self.now);
    }

    pub fn cancel(&mut self, id: &str) {
        self.revision += 1;
        let end = json!({"s": "aborted", "d": 0});
        let value = store::value(&end).expect("json");
        let changes = self.picture.put(&store::end_key(id), value, self.revision);
        assert_eq!(changes.first(), Some(&Change::Ended(id.into())));
        self.leader.on_changes(&changes, &self.picture, self.now);
    }

    pub fn pass(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.leader.tick(self.now, false, self.alone);
    }

    pub fn commits(&mut self) -> Vec<Commit> {
        self.leader.take_commits(&self.picture, usize::MAX)
    }

    pub fn commit(&mut self, commits: Vec<Commit>) {
        for commit in commits {
            self.revision += 1;
            for write in &commit.writes {
                match write {
                    Write::Put { key, value, .. } => {
                        self.picture.put(key, value.clone(), self.revision);
                    }
                    Write::Delete { key } => {
                        self.picture.delete(key, self.revision);
                    }
                }
            }
            self.leader.committed(&commit.kind, &self.picture, self.now);
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

    pub fn report_at(
        &mut self,
        machine: &str,
        seq: u64,
        session: u64,
        tasks: &[TaskReport],
    ) -> Vec<Order> {
        self.report_showing(self.leader.token_for(machine), machine, seq, session, tasks)
    }

    /// A report of a worker whose highest token is `token`.
    pub fn report_showing(
        &mut self,
        token: u64,
        machine: &str,
        seq: u64,
        session: u64,
        tasks: &[TaskReport],
    ) -> Vec<Order> {
        let report = report_of(machine, session, seq, token, tasks);
        self.leader.on_report(&report, self.now).expect("no higher token")
    }

    pub fn report(&mut self, machine: &str, session: u64, tasks: &[TaskReport]) -> Vec<Order> {
        let seq = self.seqs.entry(machine.into()).or_default();
        *seq += 1;
        let seq = *seq;
        self.report_at(machine, seq, session, tasks)
    }

    pub fn page(&self, id: &str) -> Page {
        self.picture
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
pub fn report_of(
    machine: &str,
    session: u64,
    seq: u64,
    token: u64,
    tasks: &[TaskReport],
) -> Report {
    let zone = if machine.starts_with("b-") { "b" } else { "a" };
    Report {
        machine: machine.into(),
        addr: machine.into(),
        machine_type: "g8".into(),
        zone: zone.into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: tasks.to_vec(),
    }
}

pub fn running(order: &Order) -> TaskReport {
    exited_with(order, TaskState::Running, None)
}

pub fn exited(order: &Order, cause: Cause) -> TaskReport {
    exited_with(order, TaskState::Exited, Some(cause))
}

pub fn exited_with(order: &Order, state: TaskState, cause: Option<Cause>) -> TaskReport {
    TaskReport { task: order.task.clone(), attempt: order.attempt, state, cause, saved: None }
}

pub fn ops(orders: &[Order], op: Op) -> Vec<&Order> {
    orders.iter().filter(|o| o.op == op).collect()
}
