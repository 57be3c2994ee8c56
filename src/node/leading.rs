//! What a leader does for as long as its term stands: carries out what its duty
//! decides.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, error, info, warn};

use super::{Node, until};
use crate::{
    cloud::CloudError,
    controller::{Commit, CommitKind, DirectOutcome, DirectRequest, Leader},
    http::client::CallError,
    protocol::{MachineId, Rental},
    state::{StateError, lock},
    store::Page,
};

/// What a leader does for as long as its term stands.
pub async fn lead_duty(node: Arc<Node>, version: u64, stop: CancellationToken) {
    let work = TaskTracker::new();
    tokio::select! {
        () = lead(&node, version, &work, &stop) => {}
        () = stop.cancelled() => {}
    }
    work.close();
    work.wait().await;
}

async fn lead(node: &Arc<Node>, version: u64, work: &TaskTracker, stop: &CancellationToken) {
    let report = node.settings.report();
    // The picture must hold every write of the former leaders.
    while node.fresh().await.is_err() {
        tokio::time::sleep(report / 8).await;
    }
    {
        let picture = lock(&node.picture);
        let mut term = lock(&node.term);
        let Some(held) = term.as_mut().filter(|t| t.version == version) else { return };
        let now = Instant::now();
        let mut leader = Leader::new(node.settings.clone(), version, held.tokens, &picture, now);
        for (id, at) in lock(&node.confirmed_since).iter() {
            leader.confirmed_since(id, *at);
        }
        info!(token = held.tokens.first(), "{}", leader.summary(Instant::now()));
        held.leader = Some(leader);
    }
    work.spawn(until(stop.clone(), cloud_duty(node.clone(), version)));
    let mut told = Instant::now();
    let mut next_tick = Instant::now();
    loop {
        let _ = tokio::time::timeout_at(next_tick, node.work.notified()).await;
        let now = Instant::now();
        let paused = node.in_doubt();
        let alone = lock(&node.peers.promises).alone_since(now);
        let knows_cancellations = node.knows_cancellations(now, node.settings.leader_lease());
        let spare = node.writer.spare();
        let small_pages = node.peers.all_know_small_pages(&node.settings.members);
        let due = {
            let picture = lock(&node.picture);
            node.with_leader(version, |leader| {
                if small_pages {
                    leader.allow_small_pages();
                }
                leader.allow_starts(!paused && knows_cancellations);
                leader.tick(now, paused, alone);
                leader.took(now, now.elapsed());
                if told + report * 10 < now {
                    told = now;
                    info!("{}", leader.summary(now));
                    if leader.outnumbered() {
                        warn!("cluster.quota.fd_limit: more machines than sockets for them");
                    }
                }
                let commits = if leader.has_writes() {
                    leader.take_commits(&picture, spare)
                } else {
                    Vec::new()
                };
                let direct = leader.take_direct(now);
                next_tick = leader.next_tick();
                (commits, direct, leader.take_rentals(), leader.take_deletions())
            })
        };
        let Some((commits, direct, rentals, deletions)) = due else { return };
        for commit in commits {
            work.spawn(until(stop.clone(), carry(node.clone(), version, commit)));
        }
        for request in direct {
            work.spawn(until(stop.clone(), send_direct(node.clone(), version, request)));
        }
        for rental in rentals {
            work.spawn(until(stop.clone(), rent(node.clone(), version, rental)));
        }
        if !deletions.is_empty() {
            work.spawn(until(stop.clone(), give_back(node.clone(), version, deletions)));
        }
        // Whatever comes within this time is handled together.
        tokio::time::sleep(report / 100).await;
    }
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

/// Whether the fresh picture shows what the write was to bring about.
fn stands(node: &Node, kind: &CommitKind) -> bool {
    let picture = lock(&node.picture);
    match kind {
        CommitKind::Page { job, page, content } => picture
            .pages
            .get(job)
            .and_then(|pages| pages.get(page))
            .and_then(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok())
            .is_some_and(|held| held == *content),
        CommitKind::End { job } => !picture.jobs.contains_key(job),
        CommitKind::Types => false,
    }
}

fn settle(node: &Node, version: u64, kind: CommitKind, committed: bool) {
    let picture = lock(&node.picture);
    let now = Instant::now();
    node.with_leader(version, |leader| {
        if committed {
            leader.committed(&kind, &picture, now);
        } else {
            leader.not_committed(kind, &picture, now);
        }
    });
    node.work.notify_one();
}

/// Sends orders to a worker's own address.
async fn send_direct(node: Arc<Node>, version: u64, request: DirectRequest) {
    let answer = node.workers.command(&request.addr, request.orders.clone()).await;
    let outcome = match &answer {
        Ok(report) => DirectOutcome::Answered(report),
        Err(CallError::NotConnected(_)) => DirectOutcome::NotDelivered,
        Err(_) => DirectOutcome::Unknown,
    };
    if let Err(error) = &answer {
        debug!(machine = %request.machine, %error, "direct orders");
    }
    node.take_direct(version, &request, outcome);
}

async fn rent(node: Arc<Node>, version: u64, rental: Rental) {
    loop {
        let answer = match node.cloud.rent(rental.clone()).await {
            Ok(machines) => Some(machines),
            Err(CloudError::NoCapacity) => None,
            Err(error) => {
                // The same name again: if it was carried out, nothing is
                // rented twice.
                debug!(%error, request = %rental.request, "rental");
                tokio::time::sleep(node.settings.report()).await;
                continue;
            }
        };
        node.with_leader(version, |leader| leader.rented(&rental, answer, Instant::now()));
        return node.work.notify_one();
    }
}

async fn give_back(node: Arc<Node>, version: u64, machines: Vec<MachineId>) {
    match node.cloud.delete(machines.clone()).await {
        Ok(()) => {
            node.with_leader(version, |leader| leader.deleted(&machines, Instant::now()));
        }
        Err(error) => {
            debug!(%error, "deletion");
            tokio::time::sleep(node.settings.report()).await;
            node.with_leader(version, |leader| leader.not_deleted(machines));
        }
    }
    node.work.notify_one();
}

/// Reads the machine types and the machine list again and again.
async fn cloud_duty(node: Arc<Node>, version: u64) {
    // The list is as old as its lag; reading it more often than that tells
    // little, and never more than a few times per report interval.
    let every = Duration::from_secs_f64(node.settings.cluster.cloud.list_lag_s / 2.0)
        .max(node.settings.report() * 3);
    let mut types_due = Instant::now();
    loop {
        if types_due <= Instant::now() {
            match node.cloud.machine_types().await {
                Ok(types) => {
                    node.with_leader(version, |leader| leader.on_types(types));
                    types_due = Instant::now() + every * 10;
                    node.work.notify_one();
                }
                Err(error) => {
                    debug!(%error, "machine types");
                    types_due = Instant::now() + every / 4;
                }
            }
        }
        let mut since = String::new();
        loop {
            match node.cloud.list(&since).await {
                Ok(list) => {
                    if let Some(last) = list.machines.last() {
                        since = last.id.to_string();
                    }
                    let now = Instant::now();
                    node.with_leader(version, |leader| leader.on_list(&list.machines, now));
                    if !list.more || list.machines.is_empty() {
                        break;
                    }
                }
                Err(error) => {
                    debug!(%error, "machine list");
                    break;
                }
            }
        }
        let pause = every.min(types_due.saturating_duration_since(Instant::now()));
        tokio::time::sleep(pause.max(node.settings.report() / 2)).await;
    }
}
