//! Leader election: a key attached to a lease of the state service, and a counter
//! that is never attached to one.
//!
//! One transaction conditioned on both takes the key and raises the counter, whose
//! range of fencing tokens is the term's (`fencing.rs`). All writes of that leader
//! are conditioned on the key's version, so what a superseded leader left under way
//! fails.

use std::sync::{Arc, Mutex};

use tokio::{
    sync::Notify,
    time::{Duration, Instant, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    fencing::TermTokens,
    protocol::{Condition, Transaction, Write},
    replies::Unavailable,
    settings::Settings,
    state::{Budget, StateApi, StateError, Versioned, lock},
    store::{self, LEADER_KEY, LeaderRecord, TOKEN_KEY, WatchCache},
};

/// The version of a key that doesn't exist.
const ABSENT: u64 = 0;

/// What an election needs of a candidate, which is a controller. `version` is the
/// version of the leader record, which identifies a term.
pub trait Candidate: Send + Sync + 'static {
    /// The controller's settings.
    fn settings(&self) -> &Settings;
    /// The incarnation of this process.
    fn incarnation(&self) -> u64;
    /// The client of the state service.
    fn state(&self) -> &dyn StateApi;
    /// The budget of requests to the state service.
    fn requests(&self) -> &Budget;
    /// The records in memory.
    fn watch_cache(&self) -> &Mutex<WatchCache>;
    /// Notified whenever the leader record or this controller's term may have changed.
    fn leadership_changed(&self) -> &Notify;

    /// A random share of `max`, so that candidates don't act at the same instant.
    fn jitter(&self, max: Duration) -> Duration;
    /// Applies committed writes to the watch cache.
    fn apply_committed(&self, writes: &[Write], revision: u64);
    /// Waits until the watch cache has reached a revision read after this call.
    fn refresh(&self) -> impl Future<Output = Result<(), Unavailable>> + Send;

    /// Whether workers reach other controllers, but not this one.
    fn workers_reach_only_others(&self) -> bool;
    /// Whether the controller that workers try after this one is silent.
    fn next_controller_is_silent(&self) -> bool;
    /// Lets an unreachable leader know through the state service that workers live.
    fn announce_rejected_heartbeats(&self) -> impl Future<Output = ()> + Send;

    /// A term begins.
    fn begin_term(&self, version: u64, tokens: TermTokens);
    /// Does a leader's work until the term ends or `stop` is cancelled.
    fn run_term(
        self: Arc<Self>,
        version: u64,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send + 'static;
    /// The leader lease was renewed by a request that was made at this moment.
    fn record_renewal(&self, version: u64, requested_at: Instant);
    /// Whether this controller still holds the term, as far as it knows.
    fn holds_term(&self, version: u64) -> bool;
    /// Whether the workers live, but their heartbeats don't reach this leader.
    fn is_isolated_from_workers(&self, version: u64) -> bool;
    /// The term is over.
    fn end_term(&self, version: u64);
}

/// Why a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TermEnd {
    LeaseExpired,
    Superseded,
    IsolatedFromWorkers,
}

/// Stands for election whenever nobody leads, and leads when elected, until `stop`
/// is cancelled.
pub async fn run<C: Candidate>(candidate: Arc<C>, stop: CancellationToken) {
    tokio::select! {
        () = run_elections(&candidate, &stop) => {}
        () = stop.cancelled() => {}
    }
}

async fn run_elections<C: Candidate>(candidate: &Arc<C>, stop: &CancellationToken) {
    let settings = candidate.settings();
    let lease_duration = settings.leader_lease();
    let mut hold_off: Option<Instant> = None;
    loop {
        let leader = {
            let watch_cache = lock(candidate.watch_cache());
            watch_cache.loaded.then(|| watch_cache.leader.clone())
        };
        match leader {
            Some(Some(Versioned { version, value: record })) if is_own(&**candidate, &record) => {
                let end = lead(candidate, version, &record, stop).await;
                // Workers may reach another controller better.
                hold_off = (end == TermEnd::IsolatedFromWorkers)
                    .then(|| Instant::now() + settings.worker_lease());
            }
            // A former process of this member held it: nobody else can be using
            // that lease.
            Some(Some(Versioned { version, value: record }))
                if record.member == settings.member =>
            {
                acquire(&**candidate, version).await;
            }
            Some(None) if hold_off.is_none_or(|until| until <= Instant::now()) => {
                // Not all at the same instant: the first request wins.
                let jitter = candidate.jitter(lease_duration / 32);
                sleep(deference(&**candidate) + jitter).await;
                if lock(candidate.watch_cache()).leader.is_none() {
                    acquire(&**candidate, ABSENT).await;
                }
            }
            // A change wakes this task; the timer is for a hold-off that ends.
            _ => {
                let _ =
                    timeout(lease_duration / 4, candidate.leadership_changed().notified()).await;
                candidate.announce_rejected_heartbeats().await;
            }
        }
    }
}

/// Whether this process wrote the leader record.
fn is_own<C: Candidate>(candidate: &C, record: &LeaderRecord) -> bool {
    record.member == candidate.settings().member && record.incarnation == candidate.incarnation()
}

/// For how long a candidate lets others go first.
fn deference<C: Candidate>(candidate: &C) -> Duration {
    let lease_duration = candidate.settings().leader_lease();
    // Workers that reach other controllers only may be lost to this one as they
    // were to its predecessor.
    let unreachable =
        if candidate.workers_reach_only_others() { lease_duration / 4 } else { Duration::ZERO };
    // As a leader it could not hand the workers on in time.
    let poor_successor =
        if candidate.next_controller_is_silent() { lease_duration / 8 } else { Duration::ZERO };
    unreachable + poor_successor
}

/// One attempt to replace the leader record of this version by an own one.
async fn acquire<C: Candidate>(candidate: &C, version: u64) {
    let lease_duration = candidate.settings().leader_lease();
    let Versioned { version: token_version, value: token } = lock(candidate.watch_cache()).token;
    candidate.requests().take(1.0).await;
    let lease = match candidate.state().grant_lease(lease_duration).await {
        Ok(lease) => lease,
        Err(_) => return sleep(lease_duration / 8).await,
    };
    let tokens = TermTokens::starting_at(token.saturating_add(1));
    let record = LeaderRecord {
        member: candidate.settings().member.clone(),
        incarnation: candidate.incarnation(),
        token: tokens.first(),
        lease,
    };
    let Ok(writes) = leadership_writes(&record, &tokens) else { return };
    let conditions = vec![
        Condition { key: LEADER_KEY.into(), version },
        Condition { key: TOKEN_KEY.into(), version: token_version },
    ];
    let transaction = Transaction { conditions, writes };
    candidate.requests().take(1.0).await;
    match candidate.state().transact(&transaction).await {
        Ok(revision) => candidate.apply_committed(&transaction.writes, revision),
        Err(error) => {
            // Lost, or unsure: the watch cache shows who leads. An unsure attempt
            // of this process that succeeded appears there with its incarnation.
            if matches!(error, StateError::Refused(_) | StateError::Rejected(_)) {
                sleep(lease_duration / 8).await;
            }
            let _ = candidate.refresh().await;
        }
    }
}

fn leadership_writes(
    record: &LeaderRecord,
    tokens: &TermTokens,
) -> Result<Vec<Write>, serde_json::Error> {
    let leader = store::to_raw_value(record)?;
    let last_token = store::to_raw_value(&tokens.last())?;
    Ok(vec![
        Write::Put { key: LEADER_KEY.into(), value: leader, lease: Some(record.lease) },
        Write::Put { key: TOKEN_KEY.into(), value: last_token, lease: None },
    ])
}

/// Leads until the term ends.
async fn lead<C: Candidate>(
    candidate: &Arc<C>,
    version: u64,
    record: &LeaderRecord,
    process: &CancellationToken,
) -> TermEnd {
    info!(token = record.token, "elected");
    // The renewal that brought the key counts from before its request, a moment
    // that is unknown here; the first renewal follows at once.
    candidate.begin_term(version, TermTokens::starting_at(record.token));
    // The leader's work ends with the term, and with the process if that ends first.
    let stop = process.child_token();
    let work = tokio::spawn(candidate.clone().run_term(version, stop.clone()));
    let end = renew_until_end(&**candidate, version, record).await;
    info!(token = record.token, reason = ?end, "leadership ended");
    candidate.end_term(version);
    stop.cancel();
    let _ = work.await;
    release(&**candidate, version, record).await;
    end
}

/// Renews the leader lease until the term ends.
async fn renew_until_end<C: Candidate>(
    candidate: &C,
    version: u64,
    record: &LeaderRecord,
) -> TermEnd {
    let renewal_interval = candidate.settings().leader_lease() / 3;
    loop {
        let requested_at = Instant::now();
        candidate.requests().take(1.0).await;
        match candidate.state().renew_lease(record.lease).await {
            Ok(()) => candidate.record_renewal(version, requested_at),
            Err(StateError::LeaseExpired) => {
                warn!(token = record.token, "leader lease expired");
                return TermEnd::LeaseExpired;
            }
            Err(error) => warn!(token = record.token, %error, "leader lease not renewed"),
        }
        let next_renewal = requested_at + renewal_interval;
        if let Some(end) = term_end_before(candidate, version, next_renewal).await {
            return end;
        }
    }
}

/// Waits for the term's end. None if it lasts until the deadline.
async fn term_end_before<C: Candidate>(
    candidate: &C,
    version: u64,
    deadline: Instant,
) -> Option<TermEnd> {
    loop {
        if !candidate.holds_term(version) {
            return Some(TermEnd::Superseded);
        }
        if candidate.is_isolated_from_workers(version) {
            return Some(TermEnd::IsolatedFromWorkers);
        }
        let changed = timeout_at(deadline, candidate.leadership_changed().notified()).await;
        if changed.is_err() {
            return None;
        }
    }
}

/// Gives the lease back, and waits until the leader record is gone.
async fn release<C: Candidate>(candidate: &C, version: u64, record: &LeaderRecord) {
    // It lets a successor start at once. After a loss this frees nothing that is
    // still this leader's.
    let _ = candidate.state().revoke_lease(record.lease).await;
    // The record must not pass for an own one at the next election.
    while lock(candidate.watch_cache()).leader.as_ref().is_some_and(|held| held.version == version)
    {
        if candidate.refresh().await.is_err() {
            sleep(candidate.settings().leader_lease() / 8).await;
            if candidate.state().renew_lease(record.lease).await.is_ok() {
                let _ = candidate.state().revoke_lease(record.lease).await;
            }
        }
    }
}
