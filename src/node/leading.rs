//! Execution of a leader's decisions during its term.

use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, error, info, warn};

use super::{
    cloud_loop::{provision_machines, return_machines, run_cloud_loop},
    instance::Node,
    tasks::until_cancelled,
};
use crate::{
    controller::{Commit, CommitKind, DirectOutcome, DirectRequest, Leader, StateService},
    http::client::CallError,
    protocol::{MachineId, ProvisionRequest},
    state::{StateError, lock},
    store::Page,
};

/// The time between two logged summaries of the leader, in heartbeat intervals.
const SUMMARY_HEARTBEAT_INTERVALS: u32 = 10;

/// Runs the leader until the term ends or `stop` is cancelled, and then waits for all actions
/// that it spawned.
pub(super) async fn run_term(node: Arc<Node>, version: u64, stop: CancellationToken) {
    let actions = TaskTracker::new();
    tokio::select! {
        () = run_leader(&node, version, &actions, &stop) => {}
        () = stop.cancelled() => {}
    }
    actions.close();
    actions.wait().await;
}

/// Builds the leader and ticks until the term ends.
async fn run_leader(
    node: &Arc<Node>,
    version: u64,
    actions: &TaskTracker,
    stop: &CancellationToken,
) {
    let heartbeat_interval = node.settings.heartbeat_interval();
    // The leader is built from the watch cache, which must have every write of earlier
    // leaders.
    while node.refresh().await.is_err() {
        tokio::time::sleep(heartbeat_interval / 8).await;
    }
    if !start_leader(node, version) {
        return;
    }
    actions.spawn(until_cancelled(stop.clone(), run_cloud_loop(node.clone(), version)));
    let mut last_summary_at = Instant::now();
    let mut next_tick = Instant::now();
    loop {
        let _ = tokio::time::timeout_at(next_tick, node.tick_requested.notified()).await;
        let Some(decisions) = tick(node, version) else { return };
        next_tick = decisions.next_tick;
        spawn_actions(node, version, decisions, actions, stop);
        if last_summary_at + heartbeat_interval * SUMMARY_HEARTBEAT_INTERVALS < Instant::now() {
            last_summary_at = Instant::now();
            log_summary(node, version);
        }
        // Events that arrive within this time are handled by one tick.
        tokio::time::sleep(heartbeat_interval / 100).await;
    }
}

/// Builds the leader from the watch cache. Returns false if its term has ended.
fn start_leader(node: &Node, version: u64) -> bool {
    let watch_cache = lock(&node.watch_cache);
    let mut term = lock(&node.term);
    let Some(current_term) = term.as_mut().filter(|t| t.version == version) else { return false };
    let now = Instant::now();
    let mut leader =
        Leader::new(node.settings.clone(), version, current_term.tokens, &watch_cache, now);
    for (id, at) in lock(&node.confirmed_since).iter() {
        leader.record_confirmed_end(id, *at);
    }
    info!(token = current_term.tokens.first(), "{}", leader.summary(now));
    current_term.leader = Some(leader);
    true
}

/// The actions that a tick of the leader decided, and when the next tick is due.
struct Decisions {
    commits: Vec<Commit>,
    direct_requests: Vec<DirectRequest>,
    provision_requests: Vec<ProvisionRequest>,
    returned_machines: Vec<MachineId>,
    next_tick: Instant,
}

/// Ticks the leader once. Returns None if the term has ended.
fn tick(node: &Node, version: u64) -> Option<Decisions> {
    let now = Instant::now();
    let lease_uncertain = node.lease_may_have_expired();
    let sole_renewer_since = node.peers.sole_renewer_since(now);
    let knows_cancellations = node.knows_cancellations(now, node.settings.leader_lease());
    let spare_writes = node.writer.available_writes();
    let small_pages = node.peers.all_support_small_pages(node.other_members());
    let watch_cache = lock(&node.watch_cache);
    node.with_leader(version, |leader| {
        if small_pages {
            leader.allow_small_pages();
        }
        leader.allow_starts(!lease_uncertain && knows_cancellations);
        let state_service =
            if lease_uncertain { StateService::Unavailable } else { StateService::Available };
        leader.tick(now, state_service, sole_renewer_since);
        leader.record_tick_duration(now, now.elapsed());
        let commits = if leader.has_writes() {
            leader.take_commits(&watch_cache, spare_writes)
        } else {
            Vec::new()
        };
        Decisions {
            commits,
            direct_requests: leader.take_direct_requests(now),
            provision_requests: leader.take_provision_requests(),
            returned_machines: leader.take_deletions(),
            next_tick: leader.next_tick(),
        }
    })
}

/// Spawns a task for each action that a tick decided.
fn spawn_actions(
    node: &Arc<Node>,
    version: u64,
    decisions: Decisions,
    actions: &TaskTracker,
    stop: &CancellationToken,
) {
    for commit in decisions.commits {
        let action = commit_until_resolved(node.clone(), version, commit);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
    for request in decisions.direct_requests {
        let action = send_direct_commands(node.clone(), version, request);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
    for request in decisions.provision_requests {
        let action = provision_machines(node.clone(), version, request);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
    if !decisions.returned_machines.is_empty() {
        let action = return_machines(node.clone(), version, decisions.returned_machines);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
}

/// Logs a summary of the leader's state for the operator.
fn log_summary(node: &Node, version: u64) {
    node.with_leader(version, |leader| {
        info!("{}", leader.summary(Instant::now()));
        if leader.take_connection_shortage() {
            warn!("fewer sockets than machines: cluster.quota.fd_limit is too low");
        }
    });
}

/// The outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitOutcome {
    Committed,
    NotCommitted,
}

/// Commits writes, with retries, until it is certain whether they were carried out, and
/// reports the outcome to the leader.
async fn commit_until_resolved(node: Arc<Node>, version: u64, commit: Commit) {
    let retry_interval = node.settings.state_timeout() / 4;
    let outcome = loop {
        let result = node.writer.commit(commit.conditions.clone(), commit.writes.clone()).await;
        match result {
            Ok(revision) => {
                node.apply_committed(&commit.writes, revision);
                break CommitOutcome::Committed;
            }
            Err(StateError::Refused(_)) => tokio::time::sleep(retry_interval).await,
            Err(StateError::Rejected(reason)) => {
                // The state service rejects the same content every time. The leader gets the
                // outcome only after a delay, since its next write may have other content
                // by then. A rejection doesn't mean that another controller leads.
                error!(%reason, kind = ?commit.kind, "write rejected by the state service");
                tokio::time::sleep(node.settings.worker_lease()).await;
                break CommitOutcome::NotCommitted;
            }
            Err(error) => {
                debug!(%error, kind = ?commit.kind, "write failed or its outcome is unknown");
                while node.refresh().await.is_err() {
                    tokio::time::sleep(retry_interval).await;
                }
                break outcome_from_watch_cache(&node, &commit.kind);
            }
        }
    };
    record_outcome(&node, version, commit.kind, outcome);
}

/// The outcome of a write, by whether the refreshed watch cache has its result. A write of
/// machine types counts as not committed, so that the leader writes them again.
fn outcome_from_watch_cache(node: &Node, kind: &CommitKind) -> CommitOutcome {
    let watch_cache = lock(&node.watch_cache);
    let is_committed = match kind {
        CommitKind::Page { job, page, content } => watch_cache
            .pages
            .get(job)
            .and_then(|pages| pages.get(page))
            .and_then(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok())
            .is_some_and(|stored| stored == *content),
        CommitKind::End { job } => !watch_cache.jobs.contains_key(job),
        CommitKind::Types => false,
    };
    if is_committed { CommitOutcome::Committed } else { CommitOutcome::NotCommitted }
}

/// Reports the outcome of a commit to the leader.
fn record_outcome(node: &Node, version: u64, kind: CommitKind, outcome: CommitOutcome) {
    let watch_cache = lock(&node.watch_cache);
    let now = Instant::now();
    node.with_leader(version, |leader| match outcome {
        CommitOutcome::Committed => leader.committed(&kind, &watch_cache, now),
        CommitOutcome::NotCommitted => leader.not_committed(kind, &watch_cache, now),
    });
    node.tick_requested.notify_one();
}

/// Sends commands directly to a worker's address and reports the outcome to the leader.
async fn send_direct_commands(node: Arc<Node>, version: u64, request: DirectRequest) {
    let answer = node.workers.command(&request.address, request.commands.clone()).await;
    let outcome = match &answer {
        Ok(heartbeat) => DirectOutcome::Answered(heartbeat),
        Err(CallError::NotConnected(_)) => DirectOutcome::NotDelivered,
        Err(_) => DirectOutcome::Unknown,
    };
    if let Err(error) = &answer {
        debug!(machine = %request.machine, %error, "direct commands to worker failed");
    }
    node.on_direct_outcome(version, &request, outcome);
}
