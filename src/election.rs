//! Leader election: a key attached to a lease of the state service, and a counter
//! that is never attached to one.
//!
//! A single transaction, conditioned on the versions of both, writes the key and raises the
//! counter by the range of fencing tokens of the new term (`fencing.rs`). All writes of
//! the leader are conditioned on the key's version, so writes that a superseded leader
//! still has in flight fail.

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
const ABSENT_KEY_VERSION: u64 = 0;

/// A controller as a candidate for leadership. `version` is always the version of the
/// leader record, which identifies a term.
pub trait Candidate: Send + Sync + 'static {
    /// The controller's settings.
    fn settings(&self) -> &Settings;
    /// The incarnation of this process.
    fn incarnation(&self) -> u64;
    /// The client of the state service.
    fn state(&self) -> &dyn StateApi;
    /// The budget of requests to the state service.
    fn request_budget(&self) -> &Budget;
    /// The copy of the state service's records in memory.
    fn watch_cache(&self) -> &Mutex<WatchCache>;
    /// Notified whenever the leader record or this controller's term may have changed.
    fn leadership_changed(&self) -> &Notify;

    /// Returns a random duration up to `max`, so that candidates don't act at the same
    /// instant.
    fn jitter(&self, max: Duration) -> Duration;
    /// Applies writes that were committed at this revision to the watch cache.
    fn apply_committed(&self, writes: &[Write], revision: u64);
    /// Waits until the watch cache has reached a revision that was read after this call.
    fn refresh(&self) -> impl Future<Output = Result<(), Unavailable>> + Send;

    /// Whether workers reach other controllers but not this one.
    fn workers_reach_only_others(&self) -> bool;
    /// Whether the controller that workers try after this one is silent.
    fn next_controller_is_silent(&self) -> bool;
    /// Reports through the state service that workers are alive, if this controller
    /// receives their heartbeats but can't reach the leader.
    fn announce_rejected_heartbeats(&self) -> impl Future<Output = ()> + Send;

    /// Begins a term of this controller.
    fn begin_term(&self, version: u64, tokens: TermTokens);
    /// Does a leader's work until the term ends or `stop` is cancelled.
    fn run_term(
        self: Arc<Self>,
        version: u64,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send + 'static;
    /// Records that a request sent at `requested_at` renewed the leader lease.
    fn record_renewal(&self, version: u64, requested_at: Instant);
    /// Whether this controller still holds the term, as far as it knows.
    fn holds_term(&self, version: u64) -> bool;
    /// Whether the workers are alive, but their heartbeats don't reach this leader.
    fn is_isolated_from_workers(&self, version: u64) -> bool;
    /// Ends a term of this controller.
    fn end_term(&self, version: u64);
}

/// The reason for the end of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TermEnd {
    /// The state service reported that the leader lease has expired.
    LeaseExpired,
    /// The leader record was replaced or deleted, or this controller stepped down.
    Superseded,
    /// The workers are alive, but their heartbeats don't reach this leader.
    IsolatedFromWorkers,
}

/// Runs for election whenever no controller leads, and leads when elected, until `stop` is
/// cancelled.
pub async fn run<C: Candidate>(candidate: Arc<C>, stop: CancellationToken) {
    tokio::select! {
        () = run_elections(&candidate, &stop) => {}
        () = stop.cancelled() => {}
    }
}

/// Takes part in elections for ever. Leads whenever the leader record is one that this
/// process wrote.
async fn run_elections<C: Candidate>(candidate: &Arc<C>, stop: &CancellationToken) {
    let settings = candidate.settings();
    let lease_duration = settings.leader_lease();
    let mut hold_off_until: Option<Instant> = None;
    loop {
        let leader = {
            let watch_cache = lock(candidate.watch_cache());
            watch_cache.loaded.then(|| watch_cache.leader.clone())
        };
        match leader {
            Some(Some(Versioned { version, value: record }))
                if was_written_by(&**candidate, &record) =>
            {
                let end = lead(candidate, version, &record, stop).await;
                // Workers may be able to reach another controller, which can be elected
                // while this one is no candidate.
                hold_off_until = (end == TermEnd::IsolatedFromWorkers)
                    .then(|| Instant::now() + settings.worker_lease());
            }
            // A former process of this member wrote the record. It no longer runs, so the
            // record can be replaced without waiting for the lease to expire.
            Some(Some(Versioned { version, value: record }))
                if record.member == settings.member =>
            {
                acquire(&**candidate, version).await;
            }
            Some(None) if hold_off_until.is_none_or(|until| until <= Instant::now()) => {
                // The first request wins, so candidates wait for random times.
                let jitter = candidate.jitter(lease_duration / 32);
                sleep(candidacy_delay(&**candidate) + jitter).await;
                if lock(candidate.watch_cache()).leader.is_none() {
                    acquire(&**candidate, ABSENT_KEY_VERSION).await;
                }
            }
            // A change of leadership wakes this task. The time-out lets it notice the end
            // of its hold-off.
            _ => {
                let _ =
                    timeout(lease_duration / 4, candidate.leadership_changed().notified()).await;
                candidate.announce_rejected_heartbeats().await;
            }
        }
    }
}

/// Whether the candidate's process wrote the leader record.
fn was_written_by<C: Candidate>(candidate: &C, record: &LeaderRecord) -> bool {
    record.member == candidate.settings().member && record.incarnation == candidate.incarnation()
}

/// How long a candidate waits before it requests the leadership, so that better placed
/// candidates are elected first.
fn candidacy_delay<C: Candidate>(candidate: &C) -> Duration {
    let lease_duration = candidate.settings().leader_lease();
    // If workers reach only other controllers, this one may lose them as a leader too, as
    // its predecessor did.
    let unreachable_delay =
        if candidate.workers_reach_only_others() { lease_duration / 4 } else { Duration::ZERO };
    // If this controller led and lost its workers, they would try the silent controller
    // next and could spend most of their lease on time-outs.
    let silent_successor_delay =
        if candidate.next_controller_is_silent() { lease_duration / 8 } else { Duration::ZERO };
    unreachable_delay + silent_successor_delay
}

/// Makes one attempt to replace the leader record of this version by one of this process.
async fn acquire<C: Candidate>(candidate: &C, version: u64) {
    let lease_duration = candidate.settings().leader_lease();
    let Versioned { version: token_version, value: token } = lock(candidate.watch_cache()).token;
    candidate.request_budget().take(1.0).await;
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
    candidate.request_budget().take(1.0).await;
    match candidate.state().transact(&transaction).await {
        Ok(revision) => candidate.apply_committed(&transaction.writes, revision),
        Err(error) => {
            // The election is lost, or its outcome is unknown. The watch cache shows who
            // leads: if this attempt did succeed, the record there has this incarnation.
            if matches!(error, StateError::Refused(_) | StateError::Rejected(_)) {
                sleep(lease_duration / 8).await;
            }
            let _ = candidate.refresh().await;
        }
    }
}

/// The writes that take the leadership: the leader record, attached to the lease, and the
/// last token of the new term.
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

/// Leads until the term ends, and then releases the leadership.
async fn lead<C: Candidate>(
    candidate: &Arc<C>,
    version: u64,
    record: &LeaderRecord,
    process_stop: &CancellationToken,
) -> TermEnd {
    info!(token = record.token, "elected as leader");
    // The lease counts from the request that granted it, a moment that is unknown here.
    // The first renewal follows immediately and records a known moment.
    candidate.begin_term(version, TermTokens::starting_at(record.token));
    // The leader's task is stopped when the term or the process ends.
    let stop = process_stop.child_token();
    let leader_task = tokio::spawn(candidate.clone().run_term(version, stop.clone()));
    let end = renew_until_end(&**candidate, version, record).await;
    info!(token = record.token, reason = ?end, "leadership ended");
    candidate.end_term(version);
    stop.cancel();
    let _ = leader_task.await;
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
        candidate.request_budget().take(1.0).await;
        match candidate.state().renew_lease(record.lease).await {
            Ok(()) => candidate.record_renewal(version, requested_at),
            Err(StateError::LeaseExpired) => {
                warn!(token = record.token, "leader lease expired");
                return TermEnd::LeaseExpired;
            }
            Err(error) => warn!(token = record.token, %error, "leader lease renewal failed"),
        }
        let next_renewal = requested_at + renewal_interval;
        if let Some(end) = term_end_before(candidate, version, next_renewal).await {
            return end;
        }
    }
}

/// Waits until the term ends or the deadline has passed. None in the latter case.
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

/// Revokes the leader lease and waits until the leader record is deleted.
async fn release<C: Candidate>(candidate: &C, version: u64, record: &LeaderRecord) {
    // Revoking the lease deletes the leader record, so that a successor can be elected
    // immediately. If the leadership is already lost, the revocation has no effect on a
    // successor, whose record is attached to another lease.
    let _ = candidate.state().revoke_lease(record.lease).await;
    // As long as the record is in the watch cache, the next election would take it for a
    // new term of this process.
    while lock(candidate.watch_cache())
        .leader
        .as_ref()
        .is_some_and(|leader| leader.version == version)
    {
        if candidate.refresh().await.is_err() {
            sleep(candidate.settings().leader_lease() / 8).await;
            // A lease that can be renewed has not been revoked yet.
            if candidate.state().renew_lease(record.lease).await.is_ok() {
                let _ = candidate.state().revoke_lease(record.lease).await;
            }
        }
    }
}
