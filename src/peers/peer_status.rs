//! The state of the other controllers, as they reported it in their messages.

mod replication;

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use stonewheel_state::lock;
use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

pub use replication::SyncedHeartbeat;

use super::frames::MIN_FRAME_LIMIT;
use crate::{
    lease_renewal::{
        CancellationReplication, KnownCancellations, OutgoingHeartbeat, RenewalAbstentions,
    },
    protocol::{ControllerHeartbeat, Features, WorkerContact},
};

/// The state that one other controller reported. If its version does not send a section,
/// the default remains.
struct PeerStatus {
    latest_heartbeat: Option<ReceivedHeartbeat>,
    /// The latest heartbeat that came with a cancellation sync.
    latest_synced: Option<SyncedHeartbeat>,
    /// Whether the controller has ever reported that it supports small pages. Never reset.
    supports_small_pages: bool,
    /// The longest frame that the controller accepts, in bytes, according to its latest
    /// message.
    frame_limit: usize,
    /// When the controller last reported that it leads and receives hardly any worker
    /// heartbeats. None if its latest message does not report so.
    lost_workers_at: Option<Instant>,
}

struct ReceivedHeartbeat {
    heartbeat: ControllerHeartbeat,
    received_at: Instant,
}

impl Default for PeerStatus {
    fn default() -> Self {
        Self {
            latest_heartbeat: None,
            latest_synced: None,
            supports_small_pages: false,
            frame_limit: MIN_FRAME_LIMIT,
            lost_workers_at: None,
        }
    }
}

/// The durations for which controllers rely on each other's messages.
#[derive(Clone, Copy, Debug)]
pub struct PeerTimings {
    /// For how long a received leader heartbeat keeps a controller from renewing workers'
    /// leases.
    pub abstention: Duration,
    /// For how long a controller keeps confirmations of cancellations back for another one after
    /// its latest heartbeat.
    pub replication_hold: Duration,
    /// How long the acknowledgement of a cancellation may take before a controller counts as
    /// lost.
    pub acknowledgement_timeout: Duration,
}

/// The reported state of all other controllers, and the knowledge about workers' leases
/// and cancellations that is derived from their heartbeats.
pub struct Peers {
    statuses: Mutex<HashMap<String, PeerStatus>>,
    /// The abstentions from renewing workers' leases, of this controller and the others.
    abstentions: Mutex<RenewalAbstentions>,
    /// For each controller, the time up to which all cancellations that it may have confirmed to
    /// users are known.
    known_cancellations: Mutex<KnownCancellations>,
    /// Which cancellations the other controllers have acknowledged.
    replication: Mutex<CancellationReplication>,
    /// The highest fencing token that any other controller has reported.
    highest_reported_token: AtomicU64,
    /// Changed when another controller has acknowledged cancellations.
    acknowledgements: watch::Sender<()>,
    /// By other controller: changed when a heartbeat is to be sent to it immediately.
    immediate_heartbeats: HashMap<String, watch::Sender<()>>,
}

impl Peers {
    /// Returns a table without any reports. `own_member`, `members`: the names of this
    /// controller and of the others. `incarnation`: the incarnation of this process.
    pub fn new(
        own_member: &str,
        members: Vec<String>,
        timings: PeerTimings,
        incarnation: u64,
    ) -> Self {
        let now = Instant::now();
        let PeerTimings { abstention, replication_hold, acknowledgement_timeout } = timings;
        let known_cancellations =
            KnownCancellations::new(own_member, &members, replication_hold, now);
        let replication =
            CancellationReplication::new(&members, replication_hold, acknowledgement_timeout, now);
        let immediate_heartbeats =
            members.iter().map(|member| (member.clone(), watch::Sender::new(()))).collect();
        Self {
            statuses: Mutex::default(),
            abstentions: Mutex::new(RenewalAbstentions::new(members, incarnation, abstention, now)),
            known_cancellations: Mutex::new(known_cancellations),
            replication: Mutex::new(replication),
            highest_reported_token: AtomicU64::new(0),
            acknowledgements: watch::Sender::new(()),
            immediate_heartbeats,
        }
    }

    /// Begins a term as leader. Abstentions from before the term no longer count.
    pub fn begin_term(&self) {
        lock(&self.abstentions).begin_term();
    }

    /// Returns the identity of the next heartbeat to a member, and the leader heartbeat
    /// that it acknowledges.
    pub fn next_heartbeat(&self, receiver: &str) -> OutgoingHeartbeat {
        lock(&self.abstentions).next_heartbeat(receiver, Instant::now())
    }

    /// Whether this controller may renew workers' leases as a follower, that is, whether
    /// no abstention is in effect.
    pub fn may_renew(&self, now: Instant) -> bool {
        lock(&self.abstentions).may_renew(now)
    }

    /// Returns the time since which no other controller can have answered worker
    /// heartbeats, or none if one might be answering now.
    pub fn sole_renewer_since(&self, now: Instant) -> Option<Instant> {
        lock(&self.abstentions).sole_renewer_since(now)
    }

    /// Records a heartbeat. `revision`: the revision of this controller's watch cache,
    /// after the heartbeat's cancellations were applied.
    pub fn record_heartbeat(&self, heartbeat: ControllerHeartbeat, revision: u64) {
        let received_at = Instant::now();
        self.highest_reported_token.fetch_max(heartbeat.token, Ordering::Relaxed);
        let leader_revision = heartbeat.leads.then_some(heartbeat.revision);
        let acknowledged_sent_at = lock(&self.abstentions).receive(
            &heartbeat.member,
            heartbeat.id,
            leader_revision,
            heartbeat.acknowledged,
            received_at,
        );
        let notice = heartbeat.cancellations.as_ref();
        let is_complete = notice.is_some_and(|notice| notice.complete && notice.since <= revision);
        if let Some(sent_at) = acknowledged_sent_at.filter(|_| is_complete) {
            lock(&self.known_cancellations).record_complete_notice(&heartbeat.member, sent_at);
        }
        let member = heartbeat.member.clone();
        self.update(&member, |status| {
            status.latest_heartbeat = Some(ReceivedHeartbeat { heartbeat, received_at });
        });
    }

    /// Records the features of a member's version. A feature once reported is kept
    /// permanently.
    pub fn record_features(&self, member: &str, features: Features) {
        self.update(member, |status| status.supports_small_pages |= features.small_pages);
    }

    /// Records the longest frame that a member accepts, in bytes.
    pub fn record_frame_limit(&self, member: &str, frame_limit: usize) {
        self.update(member, |status| status.frame_limit = frame_limit);
    }

    /// Records whether a member, if it leads, receives worker heartbeats.
    pub fn record_worker_contact(&self, member: &str, contact: WorkerContact) {
        let lost_workers_at = contact.lost.then(Instant::now);
        self.update(member, |status| status.lost_workers_at = lost_workers_at);
    }

    fn update(&self, member: &str, change: impl FnOnce(&mut PeerStatus)) {
        let mut statuses = lock(&self.statuses);
        match statuses.get_mut(member) {
            Some(status) => change(status),
            None => change(statuses.entry(member.to_owned()).or_default()),
        }
    }

    /// Whether a member reported within the last `within` that it leads and receives
    /// hardly any worker heartbeats, and has not reported otherwise since.
    pub fn reported_lost_workers(&self, member: &str, within: Duration) -> bool {
        let lost_workers_at = lock(&self.statuses).get(member).and_then(|s| s.lost_workers_at);
        lost_workers_at.is_some_and(|at| at.elapsed() < within)
    }

    /// Requests that a heartbeat is sent to every member immediately.
    pub fn request_immediate_heartbeats(&self) {
        for sender in self.immediate_heartbeats.values() {
            sender.send_replace(());
        }
    }

    /// Requests that a heartbeat is sent to one member immediately.
    fn request_immediate_heartbeat(&self, member: &str) {
        if let Some(sender) = self.immediate_heartbeats.get(member) {
            sender.send_replace(());
        }
    }

    /// Returns a channel that changes whenever a heartbeat is to be sent to the member
    /// immediately, or none if there is no such member.
    pub fn immediate_heartbeats(&self, member: &str) -> Option<watch::Receiver<()>> {
        self.immediate_heartbeats.get(member).map(watch::Sender::subscribe)
    }

    /// Returns the longest frame that a member is known to accept, in bytes:
    /// `MIN_FRAME_LIMIT` before the member's first message.
    pub fn frame_limit(&self, member: &str) -> usize {
        lock(&self.statuses).get(member).map_or(MIN_FRAME_LIMIT, |status| status.frame_limit)
    }

    /// Whether every one of these members has reported that it supports small pages.
    pub fn all_support_small_pages<'a>(&self, members: impl IntoIterator<Item = &'a str>) -> bool {
        let statuses = lock(&self.statuses);
        members
            .into_iter()
            .all(|member| statuses.get(member).is_some_and(|status| status.supports_small_pages))
    }

    /// Returns the highest fencing token that any other controller has reported, or 0.
    pub fn highest_reported_token(&self) -> u64 {
        self.highest_reported_token.load(Ordering::Relaxed)
    }

    /// Whether this process has received heartbeats of a member, but none within the last
    /// `silence`.
    pub fn fell_silent(&self, member: &str, silence: Duration) -> bool {
        let statuses = lock(&self.statuses);
        let latest = statuses.get(member).and_then(|status| status.latest_heartbeat.as_ref());
        latest.is_some_and(|latest| latest.received_at.elapsed() >= silence)
    }

    /// Whether, for any other controller, the latest heartbeat was received within the
    /// last `within` and fulfils the condition.
    pub fn any_recent(
        &self,
        within: Duration,
        condition: impl Fn(&ControllerHeartbeat) -> bool,
    ) -> bool {
        lock(&self.statuses)
            .values()
            .filter_map(|status| status.latest_heartbeat.as_ref())
            .any(|latest| latest.received_at.elapsed() < within && condition(&latest.heartbeat))
    }
}
