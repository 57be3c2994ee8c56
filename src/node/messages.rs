//! What this node sends the other controllers, and what it learns from them.

use tokio::{sync::watch, time::Instant};
use tracing::warn;

use super::instance::Node;
use crate::{
    lease_renewal::{LeaderHeartbeat, OutgoingHeartbeat},
    peers::{LinkTiming, Message, MessageHandler, max_cancellations_per_frame},
    protocol::{CancellationNotice, ControllerHeartbeat, JobState, WorkerContact, Write},
    state::lock,
    store::{self, JobEnd, WatchCache},
};

impl MessageHandler for Node {
    fn link_timing(&self) -> LinkTiming {
        LinkTiming {
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

    fn immediate_heartbeats(&self) -> watch::Receiver<()> {
        self.peers.immediate_heartbeats()
    }
}

impl Node {
    /// The message for another controller now.
    pub fn message(&self, receiver: &str) -> Message {
        let lost = self.has_lost_workers();
        let heartbeat = self.controller_heartbeat(receiver);
        let message = Message::new(heartbeat, self.settings.frame_limit());
        Message { worker_contact: WorkerContact { lost }, ..message }
    }

    /// Whether this node leads and receives hardly any worker heartbeats.
    fn has_lost_workers(&self) -> bool {
        let term = lock(&self.term);
        let leader = term.as_ref().and_then(|term| term.leader.as_ref());
        leader.is_some_and(|leader| leader.is_isolated_from_workers(Instant::now()))
    }

    /// Records that a worker heartbeat was rejected, or answered in a leader's stead. A
    /// leader that lost its workers waits for just this to give way, and their leases
    /// run meanwhile: the first one is reported at once.
    pub(super) fn record_rejected_heartbeat(&self) {
        let was_reported = self.rejects_heartbeats();
        self.rejected_heartbeats.record_here();
        if !was_reported {
            self.peers.request_immediate_heartbeats();
        }
    }

    /// The heartbeat for another controller now.
    pub fn controller_heartbeat(&self, receiver: &str) -> ControllerHeartbeat {
        let OutgoingHeartbeat { id, acknowledged } = self.peers.next_heartbeat(receiver);
        let (leads, state_ok) = (self.leads(), self.state_ok());
        let watch_cache = lock(&self.watch_cache);
        // A watch cache that was never read holds nothing of what a former process of
        // this member confirmed.
        let cancellations = acknowledged
            .filter(|_| watch_cache.loaded)
            .map(|acknowledged| self.cancellation_notice(receiver, acknowledged, &watch_cache));
        ControllerHeartbeat {
            member: self.settings.member.clone(),
            id,
            acknowledged: acknowledged.map(|acknowledged| acknowledged.id),
            leads,
            token: watch_cache.token.value,
            state_ok,
            // The same to every member: counted once for whoever received it first, it
            // never reached the leader that needed it.
            rejected_heartbeats: self.rejects_heartbeats(),
            revision: watch_cache.revision,
            cancellations,
        }
    }

    /// The cancellations that a leader may not know, as many as it can receive.
    fn cancellation_notice(
        &self,
        receiver: &str,
        acknowledged: LeaderHeartbeat,
        watch_cache: &WatchCache,
    ) -> CancellationNotice {
        let since = acknowledged.revision;
        // A frame that is longer than the receiver's limit would be lost as a whole.
        let receivable = max_cancellations_per_frame(self.peers.frame_limit(receiver));
        let max = self.settings.max_cancellations_per_heartbeat().min(receivable);
        watch_cache.cancelled_since(since, max)
    }

    /// Whether this node rejected a worker heartbeat lately.
    fn rejects_heartbeats(&self) -> bool {
        self.rejected_heartbeats.any_here(self.settings.heartbeat_interval() * 2)
    }

    /// Whether workers send their heartbeats to another controller, but not to this one.
    pub fn workers_reach_only_others(&self) -> bool {
        let lately = self.settings.heartbeat_interval() * 2;
        !self.rejects_heartbeats()
            && self.peers.any_recent(lately, |heartbeat| heartbeat.rejected_heartbeats)
    }

    /// Whether the controller that workers try after this one is silent. If such a
    /// leader loses its workers, they wait for two time-outs in a row before they
    /// come to a controller that answers, which is about all of their lease. A
    /// process that just started knows nothing of it: where all start at once
    /// nobody should wait.
    pub fn next_controller_is_silent(&self) -> bool {
        let own = self.settings.member.as_str();
        // Workers go through the controllers in the order of their names.
        let after_own = self.other_members().filter(|name| *name > own).min();
        let next = after_own.or_else(|| self.other_members().min());
        let lately = self.settings.leader_lease() / 2;
        next.is_some_and(|next| self.peers.fell_silent(next, lately))
    }

    /// Lets a leader know through the state service that workers live, if no
    /// controller heartbeat can: connections between the controllers may be refused
    /// while the leader loses its workers.
    pub async fn announce_rejected_heartbeats(&self) {
        let lately = self.settings.leader_lease();
        let reaches_leader = self.peers.any_recent(lately, |heartbeat| heartbeat.leads);
        if reaches_leader || !self.rejects_heartbeats() || !self.state_ok() {
            return;
        }
        if let Ok(value) = store::value(&self.settings.member) {
            let put = Write::Put { key: store::REJECTED_HEARTBEATS_KEY.into(), value, lease: None };
            let _ = self.writer.commit(Vec::new(), vec![put]).await;
        }
    }

    /// Processes another controller's message.
    pub fn on_message(&self, message: Message) {
        let member = &message.heartbeat.member;
        self.peers.record_features(member, message.features);
        self.peers.record_frame_limit(member, message.frame_limit);
        self.peers.record_worker_contact(member, message.worker_contact);
        self.on_controller_heartbeat(message.heartbeat);
    }

    fn on_controller_heartbeat(&self, heartbeat: ControllerHeartbeat) {
        self.step_down_if_superseded(&heartbeat);
        let leads = self.leads();
        let workers_live = heartbeat.rejected_heartbeats;
        self.apply_cancellation_notice(heartbeat.cancellations.as_ref());
        let revision = lock(&self.watch_cache).revision;
        self.peers.record_heartbeat(heartbeat, revision);
        // Whether to resign is decided now, not with the next renewal.
        if leads && workers_live {
            self.leadership_changed.notify_one();
        }
    }

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

    /// Applies what another controller may have confirmed to users: those ends are
    /// durable, though the state service may not let this node see them.
    fn apply_cancellation_notice(&self, notice: Option<&CancellationNotice>) {
        let mut changes = Vec::new();
        for job in notice.into_iter().flat_map(|notice| &notice.jobs) {
            let end = JobEnd { state: JobState::Cancelled, done: job.done };
            if let Ok(value) = store::value(&end) {
                let key = store::end_key(&job.id);
                changes.extend(lock(&self.watch_cache).put(&key, value, job.version));
            }
        }
        self.dispatch(&changes);
    }
}
