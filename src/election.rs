//! Who leads: a key attached to a state lease, and a counter that never is.
//!
//! One transaction conditioned on both takes the key and raises the counter,
//! whose range of fencing tokens is the term's (`fencing.rs`). All writes of that leader are conditioned on
//! the key's revision, so what a deposed leader left under way fails.

use std::sync::Arc;

use tokio::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    fencing::TermTokens,
    node::Node,
    protocol::{Condition, Transaction, Write},
    state::{StateError, Versioned, lock},
    store::{self, LEADER_KEY, LeaderRecord, TOKEN_KEY},
};

/// Stands for election whenever nobody leads, and leads when elected.
pub async fn run(node: Arc<Node>, stop: CancellationToken) {
    tokio::select! {
        () = stand(&node, &stop) => {}
        () = stop.cancelled() => {}
    }
}

async fn stand(node: &Arc<Node>, stop: &CancellationToken) {
    let ttl = node.settings.leader_lease();
    let mut hold_off: Option<Instant> = None;
    loop {
        let seen = {
            let watch_cache = lock(&node.watch_cache);
            watch_cache.loaded.then(|| watch_cache.leader.clone())
        };
        match seen {
            Some(Some(Versioned { version, value: lead })) if node.is_me(&lead) => {
                let lost_workers = lead_on(node, version, &lead, stop).await;
                // Another node may hear the workers better.
                hold_off = lost_workers.then(|| Instant::now() + node.settings.worker_lease());
            }
            // Our former self held it: nobody else can be using that lease.
            Some(Some(Versioned { version, value: lead }))
                if lead.member == node.settings.member =>
            {
                attempt(node, version, ttl).await;
            }
            Some(None) if hold_off.is_none_or(|until| until <= Instant::now()) => {
                // Not all at the same instant: the first to ask wins.
                tokio::time::sleep(defers_for(node, ttl) + node.jitter(ttl / 32)).await;
                if lock(&node.watch_cache).leader.is_none() {
                    attempt(node, 0, ttl).await;
                }
            }
            // A change wakes us; the timer is for a hold-off that ends.
            _ => {
                let _ = tokio::time::timeout(ttl / 4, node.lead_changed.notified()).await;
                node.announce_rejected_heartbeats().await;
            }
        }
    }
}

/// For how long a candidate lets others go first.
fn defers_for(node: &Node, ttl: Duration) -> Duration {
    // Who hears no workers while others do may have lost them as its predecessor
    // did.
    let hears_less = if node.hears_less() { ttl / 4 } else { Duration::ZERO };
    // As a leader it could not hand the workers on in time.
    let poor_successor = if node.next_controller_is_silent() { ttl / 8 } else { Duration::ZERO };
    hears_less + poor_successor
}

/// One try to take the key from `version` (0: free).
async fn attempt(node: &Arc<Node>, version: u64, ttl: Duration) {
    let Versioned { version: token_version, value: token } = lock(&node.watch_cache).token;
    node.requests.take(1.0).await;
    let lease = match node.state.grant_lease(ttl).await {
        Ok(lease) => lease,
        Err(_) => return tokio::time::sleep(ttl / 8).await,
    };
    let tokens = TermTokens::starting_at(token.saturating_add(1));
    let lead = LeaderRecord {
        member: node.settings.member.clone(),
        incarnation: node.incarnation,
        token: tokens.first(),
        lease,
    };
    let (Ok(lead_value), Ok(token_value)) = (store::value(&lead), store::value(&tokens.last()))
    else {
        return;
    };
    let txn = Transaction {
        conditions: vec![
            Condition { key: LEADER_KEY.into(), version },
            Condition { key: TOKEN_KEY.into(), version: token_version },
        ],
        writes: vec![
            Write::Put { key: LEADER_KEY.into(), value: lead_value, lease: Some(lease) },
            Write::Put { key: TOKEN_KEY.into(), value: token_value, lease: None },
        ],
    };
    node.requests.take(1.0).await;
    match node.state.transact(&txn).await {
        Ok(revision) => node.note_writes(&txn.writes, revision),
        Err(error) => {
            // Lost, or unsure: the watch cache tells who leads. An unsure try of
            // ours that succeeded shows up there under our incarnation.
            if matches!(error, StateError::Refused(_) | StateError::Rejected(_)) {
                tokio::time::sleep(ttl / 8).await;
            }
            let _ = node.fresh().await;
        }
    }
}

/// Leads until the key is lost. True if it was given up for want of workers.
async fn lead_on(
    node: &Arc<Node>,
    version: u64,
    lead: &LeaderRecord,
    process: &CancellationToken,
) -> bool {
    let ttl = node.settings.leader_lease();
    info!(token = lead.token, "elected");
    // The renewal that brought the key counts from before it was asked for,
    // which is unknown here; the first renewal follows at once.
    node.begin_term(version, TermTokens::starting_at(lead.token));
    // The duty ends with the term, and with the process if that ends first.
    let stop = process.child_token();
    let duty = tokio::spawn(crate::node::run_term(node.clone(), version, stop.clone()));
    let mut is_isolated_from_workers = false;
    loop {
        let asked = Instant::now();
        node.requests.take(1.0).await;
        match node.state.renew_lease(lead.lease).await {
            Ok(()) => node.renewed(version, asked),
            Err(StateError::LeaseExpired) => {
                warn!(token = lead.token, "the leader's lease has ended");
                break;
            }
            Err(error) => warn!(%error, "the leader's lease could not be renewed"),
        }
        let next = asked + ttl / 3;
        let ended = loop {
            if !node.leads(version) {
                break true;
            }
            if node.is_isolated_from_workers(version) {
                is_isolated_from_workers = true;
                break true;
            }
            let wake = tokio::time::timeout_at(next, node.lead_changed.notified()).await;
            if wake.is_err() {
                break false;
            }
        };
        if ended {
            break;
        }
    }
    info!(token = lead.token, is_isolated_from_workers, "leads no more");
    node.end_term(version);
    stop.cancel();
    let _ = duty.await;
    // Giving the lease back lets a successor start at once. After a loss this
    // frees nothing that is still ours.
    let _ = node.state.revoke_lease(lead.lease).await;
    // The key must not look held by us when standing again.
    while lock(&node.watch_cache).leader.as_ref().is_some_and(|lead| lead.version == version) {
        if node.fresh().await.is_err() {
            tokio::time::sleep(ttl / 8).await;
            if node.state.renew_lease(lead.lease).await.is_ok() {
                let _ = node.state.revoke_lease(lead.lease).await;
            }
        }
    }
    is_isolated_from_workers
}
