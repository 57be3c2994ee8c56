//! Messages to and from the other controllers, and the state derived from them.

use tokio::{sync::watch, time::Instant};
use tracing::warn;

use super::instance::Node;
use crate::{
    lease_renewal::{LeaderHeartbeat, OutgoingHeartbeat, ReplicationClaim},
    peers::{LinkSettings, Message, MessageHandler, SyncedHeartbeat, max_cancellations_per_frame},
    protocol::{
        CancellationNotice, CancellationSync, ControllerHeartbeat, JobState, WorkerContact, Write,
    },
    state::lock,
    store::{self, JobEnd, WatchCache},
};

impl MessageHandler for Node {
    fn link_settings(&self) -> LinkSettings {
        LinkSettings {
            members: self.settings.members.len(),
            frame_limit: self.settings.frame_limit(),
            receive_timeout: self.settings.worker_lease(),
            heartbeat_interval: self.settings.leader_lease() / 4,
        }
    }

    fn message(&self, receiver: &str) -> Message {
        Node::message(self, receiver)
    }

    fn on_message(&self, message: Message) {
        Node::on_message(self, message);
    }

    fn immediate_heartbeats(&self, receiver: &str) -> Option<watch::Receiver<()>> {
        self.peers.immediate_heartbeats(receiver)
    }
}

impl Node {
    /// Builds the next message to another controller.
    pub fn message(&self, receiver: &str) -> Message {
        let lost = self.has_lost_workers();
        let heartbeat = self.controller_heartbeat(receiver);
        let cancellation_sync = self.cancellation_sync(receiver, &heartbeat);
        let message = Message::new(heartbeat, self.settings.frame_limit());
        Message { worker_contact: WorkerContact { lost }, cancellation_sync, ..message }
    }

    /// Builds the cancellation sync of a message that contains this heartbeat. None if the receiver
    /// is not a member.
    fn cancellation_sync(
        &self,
        receiver: &str,
        heartbeat: &ControllerHeartbeat,
    ) -> Option<CancellationSync> {
        let now = Instant::now();
        let position = self.peers.replication_position();
        let synced = self.peers.latest_synced(receiver);
        let in_heartbeat = heartbeat.cancellations.as_ref().map_or(0, |notice| notice.jobs.len());
        let limit = self.max_cancellations_for(receiver).saturating_sub(in_heartbeat);
        let since = synced.map_or(0, |synced| synced.revision);
        let notice = lock(&self.watch_cache).unfinished_cancellations_since(since, limit);
        if notice.complete {
            let receiver_incarnation = synced.map(|synced| synced.id.incarnation);
            self.peers.record_sent_notice(heartbeat.id, position, receiver_incarnation);
        }
        let ReplicationClaim { covered_for, hold_promised, reply_requested } =
            self.peers.replication_claim(receiver, now)?;
        Some(CancellationSync {
            received: synced.map(|synced| synced.id),
            notice,
            known: self.peers.known_cancellations(now),
            covered_for_ms: covered_for.as_millis() as u64,
            hold_promised,
            reply_requested,
        })
    }

    /// How many cancellations fit one message to this member. The receiver drops a frame that
    /// exceeds its length limit, with the whole message.
    fn max_cancellations_for(&self, receiver: &str) -> usize {
        let max_per_frame = max_cancellations_per_frame(self.peers.frame_limit(receiver));
        self.settings.max_cancellations_per_heartbeat().min(max_per_frame)
    }

    /// Whether this node is the leader and most workers have been silent for too long.
    fn has_lost_workers(&self) -> bool {
        let term = lock(&self.term);
        let leader = term.as_ref().and_then(|term| term.leader.as_ref());
        leader.is_some_and(|leader| leader.is_isolated_from_workers(Instant::now()))
    }

    /// Records that a worker heartbeat was rejected, or that the worker's lease was renewed
    /// by this node as a follower.
    ///
    /// A leader that lost its workers resigns only when another controller reports such a
    /// heartbeat, and the workers' leases run out meanwhile. So the first one within the
    /// reporting window is reported to the other controllers immediately.
    pub(super) fn record_rejected_heartbeat(&self) {
        let was_reported = self.rejected_heartbeat_recently();
        self.rejected_heartbeats.record_local();
        if !was_reported {
            self.peers.request_immediate_heartbeats();
        }
    }

    /// Builds the next heartbeat to another controller.
    pub fn controller_heartbeat(&self, receiver: &str) -> ControllerHeartbeat {
        let OutgoingHeartbeat { id, acknowledged } = self.peers.next_heartbeat(receiver);
        let (leads, state_ok) = (self.is_leader(), self.state_service_reachable());
        let token = self.last_known_token();
        let watch_cache = lock(&self.watch_cache);
        // Before the records are loaded, the watch cache has none of the cancellations that
        // an earlier process of this member confirmed, so a notice could be incomplete.
        let cancellations = acknowledged
            .filter(|_| watch_cache.loaded)
            .map(|acknowledged| self.cancellation_notice(receiver, acknowledged, &watch_cache));
        ControllerHeartbeat {
            member: self.settings.member.clone(),
            id,
            acknowledged: acknowledged.map(|acknowledged| acknowledged.id),
            leads,
            token,
            state_ok,
            // Every member gets the same value. If a rejection were reported only to the
            // member that is sent the next heartbeat, the leader might never learn of it.
            rejected_heartbeats: self.rejected_heartbeat_recently(),
            revision: watch_cache.revision,
            cancellations,
        }
    }

    /// The cancellations that the receiver, a leader, may not know: those after the revision
    /// of its acknowledged heartbeat, limited to the number that the receiver can decode.
    fn cancellation_notice(
        &self,
        receiver: &str,
        acknowledged: LeaderHeartbeat,
        watch_cache: &WatchCache,
    ) -> CancellationNotice {
        let since = acknowledged.revision;
        watch_cache.cancelled_since(since, self.max_cancellations_for(receiver))
    }

    /// Whether this node rejected a worker heartbeat within the last two heartbeat
    /// intervals.
    fn rejected_heartbeat_recently(&self) -> bool {
        self.rejected_heartbeats.any_local(self.settings.heartbeat_interval() * 2)
    }

    /// Whether workers sent heartbeats to another controller within the last two heartbeat
    /// intervals, but none to this one.
    pub fn workers_reach_only_others(&self) -> bool {
        let window = self.settings.heartbeat_interval() * 2;
        !self.rejected_heartbeat_recently()
            && self.peers.any_recent(window, |heartbeat| heartbeat.rejected_heartbeats)
    }

    /// Whether the controller that workers try after this one has become silent.
    ///
    /// If this node leads and loses its workers, they wait for two time-outs in a row, here
    /// and at the silent controller, before they reach one that answers. That takes nearly
    /// all of their lease. False if this process has received no heartbeat of that
    /// controller yet: when all controllers start at the same time, none should delay its
    /// candidacy.
    pub fn next_controller_is_silent(&self) -> bool {
        let this_member = self.settings.member.as_str();
        // Workers try the controllers in the order of their names, and the first one again
        // after the last.
        let following = self.other_members().filter(|name| *name > this_member).min();
        let next = following.or_else(|| self.other_members().min());
        let window = self.settings.leader_lease() / 2;
        next.is_some_and(|next| self.peers.fell_silent(next, window))
    }

    /// Announces through the state service that this node rejected worker heartbeats, if it
    /// receives no heartbeats of a leader. The links between the controllers may fail at the
    /// same time as the leader loses its workers, and the leader must still learn that the
    /// workers live.
    pub async fn announce_rejected_heartbeats(&self) {
        let window = self.settings.leader_lease();
        let receives_leader_heartbeats = self.peers.any_recent(window, |heartbeat| heartbeat.leads);
        if receives_leader_heartbeats
            || !self.rejected_heartbeat_recently()
            || !self.state_service_reachable()
        {
            return;
        }
        if let Ok(value) = store::to_raw_value(&self.settings.member) {
            let put = Write::Put { key: store::REJECTED_HEARTBEATS_KEY.into(), value, lease: None };
            let _ = self.writer.commit(Vec::new(), vec![put]).await;
        }
    }

    /// Processes a message from another controller.
    pub fn on_message(&self, message: Message) {
        let member = &message.heartbeat.member;
        self.peers.record_features(member, message.features);
        self.peers.record_frame_limit(member, message.frame_limit);
        self.peers.record_worker_contact(member, message.worker_contact);
        let (member, id) = (member.clone(), message.heartbeat.id);
        let synced = SyncedHeartbeat { id, revision: message.heartbeat.revision };
        self.on_controller_heartbeat(message.heartbeat);
        match message.cancellation_sync {
            Some(sync) => self.on_cancellation_sync(&member, synced, &sync),
            None => self.peers.record_missing_sync(&member),
        }
    }

    /// Processes the cancellation sync of another controller's message.
    fn on_cancellation_sync(&self, member: &str, synced: SyncedHeartbeat, sync: &CancellationSync) {
        self.apply_cancellation_notice(Some(&sync.notice));
        let revision = lock(&self.watch_cache).revision;
        self.peers.record_sync(member, synced, sync, revision);
    }

    /// Processes a heartbeat from another controller.
    fn on_controller_heartbeat(&self, heartbeat: ControllerHeartbeat) {
        self.step_down_if_superseded(&heartbeat);
        let is_leader = self.is_leader();
        let workers_live = heartbeat.rejected_heartbeats;
        self.apply_cancellation_notice(heartbeat.cancellations.as_ref());
        let revision = lock(&self.watch_cache).revision;
        self.peers.record_heartbeat(heartbeat, revision);
        // Wakes the election task: it decides now whether to resign, instead of at the next
        // lease renewal.
        if is_leader && workers_live {
            self.leadership_changed.notify_one();
        }
    }

    /// Ends this node's term if the sender knows a fencing token of a later term.
    fn step_down_if_superseded(&self, heartbeat: &ControllerHeartbeat) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.tokens.last() < heartbeat.token) {
            warn!(
                member = %heartbeat.member,
                token = heartbeat.token,
                "stepped down: another controller leads"
            );
            *term = None;
            self.leadership_changed.notify_one();
        }
    }

    /// Applies cancellations that another controller may have confirmed to users. The end
    /// records are durable even while this node can't read them from the state service.
    fn apply_cancellation_notice(&self, notice: Option<&CancellationNotice>) {
        let mut changes = Vec::new();
        for job in notice.into_iter().flat_map(|notice| &notice.jobs) {
            let end = JobEnd { state: JobState::Cancelled, done: job.done };
            if let Ok(value) = store::to_raw_value(&end) {
                let key = store::end_key(&job.id);
                changes.extend(lock(&self.watch_cache).put(&key, value, job.version));
            }
        }
        self.dispatch(&changes);
    }
}
