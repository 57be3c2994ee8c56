//! The state of the other controllers, as they reported it in their messages.

use std::{collections::HashMap, sync::Mutex};

use stonewheel_state::lock;
use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

use super::frames::MIN_FRAME_LIMIT;
use crate::{
    lease_renewal::{CancellationWatermarks, OutgoingHeartbeat, RenewalAbstentions},
    protocol::{ControllerHeartbeat, Features, WorkerContact},
};

/// The state that one other controller reported. If its version does not send a section,
/// the default remains.
struct PeerStatus {
    latest_heartbeat: Option<ReceivedHeartbeat>,
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
            supports_small_pages: false,
            frame_limit: MIN_FRAME_LIMIT,
            lost_workers_at: None,
        }
    }
}

/// The reported state of all other controllers, and the knowledge about workers' leases
/// and cancellations that is derived from their heartbeats.
pub struct Peers {
    statuses: Mutex<HashMap<String, PeerStatus>>,
    /// The abstentions from renewing workers' leases, of this controller and the others.
    abstentions: Mutex<RenewalAbstentions>,
    /// For each other controller, the time up to which all cancellations that it may have
    /// confirmed to users are known.
    cancellation_watermarks: Mutex<CancellationWatermarks>,
    /// Changed when heartbeats are to be sent immediately.
    immediate_heartbeats: watch::Sender<()>,
}

impl Peers {
    /// Returns a table without any reports. `members`: the names of the other
    /// controllers. `abstention`: for how long a received leader heartbeat keeps this
    /// controller from renewing workers' leases. `incarnation`: the incarnation of this
    /// process.
    pub fn new(members: Vec<String>, abstention: Duration, incarnation: u64) -> Self {
        let abstentions = RenewalAbstentions::new(members, incarnation, abstention, Instant::now());
        Self {
            statuses: Mutex::default(),
            abstentions: Mutex::new(abstentions),
            cancellation_watermarks: Mutex::default(),
            immediate_heartbeats: watch::Sender::new(()),
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

    /// Records a successful read of the state service that was requested at
    /// `requested_at`.
    pub fn record_read(&self, requested_at: Instant) {
        lock(&self.cancellation_watermarks).record_read(requested_at);
    }

    /// Returns when the latest successful read of the state service was requested.
    pub fn last_read_at(&self) -> Option<Instant> {
        lock(&self.cancellation_watermarks).last_read_at()
    }

    /// Returns the time up to which every cancellation that any of `members` may have
    /// confirmed to users is known.
    pub fn cancellations_known_until<'a>(
        &self,
        members: impl Iterator<Item = &'a str>,
    ) -> Option<Instant> {
        lock(&self.cancellation_watermarks).known_until(members)
    }

    /// Records a heartbeat. `revision`: the revision of this controller's watch cache,
    /// after the heartbeat's cancellations were applied.
    pub fn record_heartbeat(&self, heartbeat: ControllerHeartbeat, revision: u64) {
        let received_at = Instant::now();
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
            lock(&self.cancellation_watermarks).record_complete_notice(&heartbeat.member, sent_at);
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
        self.immediate_heartbeats.send_replace(());
    }

    /// Returns a channel that changes whenever heartbeats are to be sent immediately.
    pub fn immediate_heartbeats(&self) -> watch::Receiver<()> {
        self.immediate_heartbeats.subscribe()
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
