//! What a leader does for as long as its term stands: carries out what its duty
//! decides.

use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, error, info, warn};

use super::{
    Node,
    cloud_loop::{cloud_loop, give_back, rent},
    until,
};
use crate::{
    controller::{Commit, CommitKind, DirectOutcome, DirectRequest, Leader, StateService},
    http::client::CallError,
    protocol::{MachineId, ProvisionRequest},
    state::{StateError, lock},
    store::Page,
};

/// The leader's summary is logged once in so many heartbeat intervals.
const SUMMARY_REPORTS: u32 = 10;

/// What a leader does for as long as its term stands.
pub async fn run_term(node: Arc<Node>, version: u64, stop: CancellationToken) {
    let work = TaskTracker::new();
    tokio::select! {
        () = lead(&node, version, &work, &stop) => {}
        () = stop.cancelled() => {}
    }
    work.close();
    work.wait().await;
}

async fn lead(node: &Arc<Node>, version: u64, work: &TaskTracker, stop: &CancellationToken) {
    let heartbeat_interval = node.settings.heartbeat_interval();
    // The watch cache must hold every write of the former leaders.
    while node.fresh().await.is_err() {
        tokio::time::sleep(heartbeat_interval / 8).await;
    }
    if !take_over(node, version) {
        return;
    }
    work.spawn(until(stop.clone(), cloud_loop(node.clone(), version)));
    let mut summarised = Instant::now();
    let mut next_tick = Instant::now();
    loop {
        let _ = tokio::time::timeout_at(next_tick, node.work.notified()).await;
        let Some(due) = tick(node, version) else { return };
        next_tick = due.next_tick;
        carry_out(node, version, due, work, stop);
        if summarised + heartbeat_interval * SUMMARY_REPORTS < Instant::now() {
            summarised = Instant::now();
            summarise(node, version);
        }
        // Whatever comes within this time is handled together.
        tokio::time::sleep(heartbeat_interval / 100).await;
    }
}

/// Builds the leader from the watch cache. False if its term is over.
fn take_over(node: &Node, version: u64) -> bool {
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
struct Due {
    commits: Vec<Commit>,
    direct: Vec<DirectRequest>,
    rentals: Vec<ProvisionRequest>,
    deletions: Vec<MachineId>,
    next_tick: Instant,
}

/// One tick. None if the term is over.
fn tick(node: &Node, version: u64) -> Option<Due> {
    let now = Instant::now();
    let paused = node.in_doubt();
    let alone = lock(&node.peers.abstentions).alone_since(now);
    let knows_cancellations = node.knows_cancellations(now, node.settings.leader_lease());
    let spare = node.writer.spare();
    let small_pages = node.peers.all_know_small_pages(&node.settings.members);
    let watch_cache = lock(&node.watch_cache);
    node.with_leader(version, |leader| {
        if small_pages {
            leader.allow_small_pages();
        }
        leader.allow_starts(!paused && knows_cancellations);
        let state_service =
            if paused { StateService::Unavailable } else { StateService::Available };
        leader.tick(now, state_service, alone);
        leader.record_tick_duration(now, now.elapsed());
        let commits =
            if leader.has_writes() { leader.take_commits(&watch_cache, spare) } else { Vec::new() };
        Due {
            commits,
            direct: leader.take_direct(now),
            rentals: leader.take_provision_requests(),
            deletions: leader.take_deletions(),
            next_tick: leader.next_tick(),
        }
    })
}

/// Sets off what a tick decided.
fn carry_out(
    node: &Arc<Node>,
    version: u64,
    due: Due,
    work: &TaskTracker,
    stop: &CancellationToken,
) {
    for commit in due.commits {
        work.spawn(until(stop.clone(), carry(node.clone(), version, commit)));
    }
    for request in due.direct {
        work.spawn(until(stop.clone(), send_direct(node.clone(), version, request)));
    }
    for rental in due.rentals {
        work.spawn(until(stop.clone(), rent(node.clone(), version, rental)));
    }
    if !due.deletions.is_empty() {
        work.spawn(until(stop.clone(), give_back(node.clone(), version, due.deletions)));
    }
}

/// Tells the operator how the leader is doing.
fn summarise(node: &Node, version: u64) {
    node.with_leader(version, |leader| {
        info!("{}", leader.summary(Instant::now()));
        if leader.take_connection_shortage() {
            warn!("cluster.quota.fd_limit: more machines than sockets for them");
        }
    });
}

/// Sees one write through: committed for certain, or certainly to be redone.
async fn carry(node: Arc<Node>, version: u64, commit: Commit) {
    let pause = node.settings.state_timeout() / 4;
    loop {
        let result = node.writer.commit(commit.conditions.clone(), commit.writes.clone()).await;
        match result {
            Ok(revision) => {
                node.note_writes(&commit.writes, revision);
                break settle(&node, version, commit.kind, true);
            }
            Err(StateError::Refused(_)) => tokio::time::sleep(pause).await,
            Err(StateError::Rejected(reason)) => {
                // Tried again only after a while, in case its content is
                // another by then. It says nothing of who leads.
                error!(%reason, kind = ?commit.kind, "the state service takes no such write");
                tokio::time::sleep(node.settings.worker_lease()).await;
                break settle(&node, version, commit.kind, false);
            }
            Err(error) => {
                debug!(%error, "a write is unsure or failed");
                while node.fresh().await.is_err() {
                    tokio::time::sleep(pause).await;
                }
                let stands = stands(&node, &commit.kind);
                break settle(&node, version, commit.kind, stands);
            }
        }
    }
}

/// Whether the fresh watch cache shows what the write was to bring about.
fn stands(node: &Node, kind: &CommitKind) -> bool {
    let watch_cache = lock(&node.watch_cache);
    match kind {
        CommitKind::Page { job, page, content } => watch_cache
            .pages
            .get(job)
            .and_then(|pages| pages.get(page))
            .and_then(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok())
            .is_some_and(|held| held == *content),
        CommitKind::End { job } => !watch_cache.jobs.contains_key(job),
        CommitKind::Types => false,
    }
}

fn settle(node: &Node, version: u64, kind: CommitKind, committed: bool) {
    let watch_cache = lock(&node.watch_cache);
    let now = Instant::now();
    node.with_leader(version, |leader| {
        if committed {
            leader.committed(&kind, &watch_cache, now);
        } else {
            leader.not_committed(kind, &watch_cache, now);
        }
    });
    node.work.notify_one();
}

/// Sends commands to a worker's own address.
async fn send_direct(node: Arc<Node>, version: u64, request: DirectRequest) {
    let answer = node.workers.command(&request.address, request.commands.clone()).await;
    let outcome = match &answer {
        Ok(heartbeat) => DirectOutcome::Answered(heartbeat),
        Err(CallError::NotConnected(_)) => DirectOutcome::NotDelivered,
        Err(_) => DirectOutcome::Unknown,
    };
    if let Err(error) = &answer {
        debug!(machine = %request.machine, %error, "direct orders");
    }
    node.take_direct(version, &request, outcome);
}
