//! What this controller knows of the others from their messages.

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

/// What one other controller has reported. A section that its version doesn't
/// send leaves the default.
struct PeerStatus {
    latest_heartbeat: Option<ReceivedHeartbeat>,
    /// It has reported once that it supports small pages; it does so for good.
    supports_small_pages: bool,
    /// The longest frame that it receives, in bytes, by its latest message.
    frame_limit: usize,
    /// When it last reported that it leads and receives hardly any worker heartbeats;
    /// none once it reports otherwise.
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

/// What is known of each other controller, and the proofs about workers' leases
/// and cancellations that follow from it.
pub struct Peers {
    statuses: Mutex<HashMap<String, PeerStatus>>,
    /// Who abstains from renewing workers' leases, this controller and the others.
    abstentions: Mutex<RenewalAbstentions>,
    /// Up to when the cancellations that each controller may have confirmed are known.
    cancellation_watermarks: Mutex<CancellationWatermarks>,
    /// Changed when heartbeats are to be sent at once.
    immediate_heartbeats: watch::Sender<()>,
}

impl Peers {
    /// `members`: the other controllers. `abstention`: for how long each leader's
    /// heartbeat keeps this one from renewing workers' leases. `incarnation`:
    /// of this process.
    pub fn new(members: Vec<String>, abstention: Duration, incarnation: u64) -> Self {
        let abstentions = RenewalAbstentions::new(members, incarnation, abstention, Instant::now());
        Self {
            statuses: Mutex::default(),
            abstentions: Mutex::new(abstentions),
            cancellation_watermarks: Mutex::default(),
            immediate_heartbeats: watch::Sender::new(()),
        }
    }

    /// A term as leader begins: only abstentions from now on count.
    pub fn begin_term(&self) {
        lock(&self.abstentions).begin_term();
    }

    /// The identity of the next heartbeat to a member, and what it acknowledges.
    pub fn next_heartbeat(&self, receiver: &str) -> OutgoingHeartbeat {
        lock(&self.abstentions).next_heartbeat(receiver, Instant::now())
    }

    /// Whether this controller may renew workers' leases as a follower: no abstention
    /// binds it.
    pub fn may_renew(&self, now: Instant) -> bool {
        lock(&self.abstentions).may_renew(now)
    }

    /// Since when certainly no other controller has answered worker heartbeats, or none
    /// if one might be answering now.
    pub fn sole_renewer_since(&self, now: Instant) -> Option<Instant> {
        lock(&self.abstentions).sole_renewer_since(now)
    }

    /// Records a read of the state service that was requested at this moment.
    pub fn record_read(&self, requested_at: Instant) {
        lock(&self.cancellation_watermarks).record_read(requested_at);
    }

    /// When the latest read of the state service was requested.
    pub fn last_read_at(&self) -> Option<Instant> {
        lock(&self.cancellation_watermarks).last_read_at()
    }

    /// The moment up to which every cancellation that any of `members` may have
    /// confirmed is known.
    pub fn cancellations_known_until<'a>(
        &self,
        members: impl Iterator<Item = &'a str>,
    ) -> Option<Instant> {
        lock(&self.cancellation_watermarks).known_until(members)
    }

    /// Records a heartbeat. `revision`: what this node's watch cache has reached,
    /// with the cancellations of the heartbeat in it.
    pub fn record_heartbeat(&self, heartbeat: ControllerHeartbeat, revision: u64) {
        let received_at = Instant::now();
        let leads = heartbeat.leads.then_some(heartbeat.revision);
        let sent = lock(&self.abstentions).receive(
            &heartbeat.member,
            heartbeat.id,
            leads,
            heartbeat.acknowledged,
            received_at,
        );
        let notice = heartbeat.cancellations.as_ref();
        let is_complete = notice.is_some_and(|notice| notice.complete && notice.since <= revision);
        if let Some(sent) = sent.filter(|_| is_complete) {
            lock(&self.cancellation_watermarks).record_complete_notice(&heartbeat.member, sent);
        }
        let member = heartbeat.member.clone();
        self.update(&member, |status| {
            status.latest_heartbeat = Some(ReceivedHeartbeat { heartbeat, received_at });
        });
    }

    /// Records the features of a member's version, for good.
    pub fn record_features(&self, member: &str, features: Features) {
        self.update(member, |status| status.supports_small_pages |= features.small_pages);
    }

    /// Records the longest frame that a member receives, in bytes.
    pub fn record_frame_limit(&self, member: &str, frame_limit: usize) {
        self.update(member, |status| status.frame_limit = frame_limit);
    }

    /// Records whether a member, as a leader, receives its workers' heartbeats.
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

    /// Whether a member reported within this time that it leads and receives hardly
    /// any worker heartbeats.
    pub fn reported_lost_workers(&self, member: &str, within: Duration) -> bool {
        let lost_workers_at = lock(&self.statuses).get(member).and_then(|s| s.lost_workers_at);
        lost_workers_at.is_some_and(|at| at.elapsed() < within)
    }

    /// Has the next heartbeat to every member sent at once.
    pub fn request_immediate_heartbeats(&self) {
        self.immediate_heartbeats.send_replace(());
    }

    /// Changes whenever heartbeats are to be sent at once.
    pub fn immediate_heartbeats(&self) -> watch::Receiver<()> {
        self.immediate_heartbeats.subscribe()
    }

    /// The longest frame that a member certainly receives, in bytes.
    pub fn frame_limit(&self, member: &str) -> usize {
        lock(&self.statuses).get(member).map_or(MIN_FRAME_LIMIT, |status| status.frame_limit)
    }

    /// Whether every one of these members supports small pages.
    pub fn all_support_small_pages<'a>(&self, members: impl IntoIterator<Item = &'a str>) -> bool {
        let statuses = lock(&self.statuses);
        members
            .into_iter()
            .all(|member| statuses.get(member).is_some_and(|status| status.supports_small_pages))
    }

    /// Whether this process has received a heartbeat of this member, but none for
    /// so long.
    pub fn fell_silent(&self, member: &str, silence: Duration) -> bool {
        let statuses = lock(&self.statuses);
        let latest = statuses.get(member).and_then(|status| status.latest_heartbeat.as_ref());
        latest.is_some_and(|latest| latest.received_at.elapsed() >= silence)
    }

    /// Whether a heartbeat of another controller that was received within this
    /// time, the latest of its sender, fulfils the condition.
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
