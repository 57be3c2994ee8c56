//! A leader's work during its term: it carries out what the leader decides.

use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, error, info, warn};

use super::{
    cloud_loop::{return_machines, run_cloud_loop, scale_out},
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

/// The leader's summary is logged once in so many heartbeat intervals.
const SUMMARY_INTERVALS: u32 = 10;

/// Does a leader's work until the term ends or `stop` is cancelled, and waits for all
/// that it set off.
pub(super) async fn run_term(node: Arc<Node>, version: u64, stop: CancellationToken) {
    let actions = TaskTracker::new();
    tokio::select! {
        () = run_leader(&node, version, &actions, &stop) => {}
        () = stop.cancelled() => {}
    }
    actions.close();
    actions.wait().await;
}

async fn run_leader(
    node: &Arc<Node>,
    version: u64,
    actions: &TaskTracker,
    stop: &CancellationToken,
) {
    let heartbeat_interval = node.settings.heartbeat_interval();
    // The watch cache must hold every write of the former leaders.
    while node.refresh().await.is_err() {
        tokio::time::sleep(heartbeat_interval / 8).await;
    }
    if !start_leader(node, version) {
        return;
    }
    actions.spawn(until_cancelled(stop.clone(), run_cloud_loop(node.clone(), version)));
    let mut summarised_at = Instant::now();
    let mut next_tick = Instant::now();
    loop {
        let _ = tokio::time::timeout_at(next_tick, node.tick_requested.notified()).await;
        let Some(decisions) = tick(node, version) else { return };
        next_tick = decisions.next_tick;
        spawn_actions(node, version, decisions, actions, stop);
        if summarised_at + heartbeat_interval * SUMMARY_INTERVALS < Instant::now() {
            summarised_at = Instant::now();
            log_summary(node, version);
        }
        // Whatever comes within this time is handled together.
        tokio::time::sleep(heartbeat_interval / 100).await;
    }
}

/// Builds the leader from the watch cache. False if its term is over.
fn start_leader(node: &Node, version: u64) -> bool {
    let watch_cache = lock(&node.watch_cache);
    let mut term = lock(&node.term);
    let Some(held) = term.as_mut().filter(|t| t.version == version) else { return false };
    let now = Instant::now();
    let mut leader = Leader::new(node.settings.clone(), version, held.tokens, &watch_cache, now);
    for (id, at) in lock(&node.confirmed_since).iter() {
        leader.record_confirmed_end(id, *at);
    }
    info!(token = held.tokens.first(), "{}", leader.summary(now));
    held.leader = Some(leader);
    true
}

/// What a tick of the leader decided, and when the next one is due.
struct Decisions {
    commits: Vec<Commit>,
    direct_requests: Vec<DirectRequest>,
    provision_requests: Vec<ProvisionRequest>,
    returned_machines: Vec<MachineId>,
    next_tick: Instant,
}

/// One tick. None if the term is over.
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
        let action = commit_until_certain(node.clone(), version, commit);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
    for request in decisions.direct_requests {
        let action = send_direct_commands(node.clone(), version, request);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
    for request in decisions.provision_requests {
        let action = scale_out(node.clone(), version, request);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
    if !decisions.returned_machines.is_empty() {
        let action = return_machines(node.clone(), version, decisions.returned_machines);
        actions.spawn(until_cancelled(stop.clone(), action));
    }
}

/// Logs how the leader is doing, for the operator.
fn log_summary(node: &Node, version: u64) {
    node.with_leader(version, |leader| {
        info!("{}", leader.summary(Instant::now()));
        if leader.take_connection_shortage() {
            warn!("fewer sockets than machines: cluster.quota.fd_limit is too low");
        }
    });
}

/// What became of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitOutcome {
    Committed,
    NotCommitted,
}

/// Commits until it is certain what became of the writes.
async fn commit_until_certain(node: Arc<Node>, version: u64, commit: Commit) {
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
                // Tried again only after a while, in case its content is
                // another by then. A rejection is no sign that another controller leads.
                error!(%reason, kind = ?commit.kind, "write rejected by the state service");
                tokio::time::sleep(node.settings.worker_lease()).await;
                break CommitOutcome::NotCommitted;
            }
            Err(error) => {
                debug!(%error, kind = ?commit.kind, "write failed or doubtful");
                while node.refresh().await.is_err() {
                    tokio::time::sleep(retry_interval).await;
                }
                break outcome_in_records(&node, &commit.kind);
            }
        }
    };
    record_outcome(&node, version, commit.kind, outcome);
}

/// Whether the refreshed watch cache shows what the write was to bring about.
fn outcome_in_records(node: &Node, kind: &CommitKind) -> CommitOutcome {
    let watch_cache = lock(&node.watch_cache);
    let is_committed = match kind {
        CommitKind::Page { job, page, content } => watch_cache
            .pages
            .get(job)
            .and_then(|pages| pages.get(page))
            .and_then(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok())
            .is_some_and(|held| held == *content),
        CommitKind::End { job } => !watch_cache.jobs.contains_key(job),
        CommitKind::Types => false,
    };
    if is_committed { CommitOutcome::Committed } else { CommitOutcome::NotCommitted }
}

fn record_outcome(node: &Node, version: u64, kind: CommitKind, outcome: CommitOutcome) {
    let watch_cache = lock(&node.watch_cache);
    let now = Instant::now();
    node.with_leader(version, |leader| match outcome {
        CommitOutcome::Committed => leader.committed(&kind, &watch_cache, now),
        CommitOutcome::NotCommitted => leader.not_committed(kind, &watch_cache, now),
    });
    node.tick_requested.notify_one();
}

/// Sends commands to a worker's own address.
async fn send_direct_commands(node: Arc<Node>, version: u64, request: DirectRequest) {
    let answer = node.workers.command(&request.address, request.commands.clone()).await;
    let outcome = match &answer {
        Ok(heartbeat) => DirectOutcome::Answered(heartbeat),
        Err(CallError::NotConnected(_)) => DirectOutcome::NotDelivered,
        Err(_) => DirectOutcome::Unknown,
    };
    if let Err(error) = &answer {
        debug!(machine = %request.machine, %error, "direct commands unanswered");
    }
    node.on_direct_outcome(version, &request, outcome);
}
