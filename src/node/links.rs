//! What this node tells the other controllers and learns from them.

use tokio::{sync::watch, time::Instant};
use tracing::warn;

use super::Node;
use crate::{
    lease_renewal::OutgoingHeartbeat,
    peers::{LinkTiming, Message, MessageHandler, max_cancellations_per_frame},
    protocol::{CancellationNotice, ControllerHeartbeat, JobState, WorkerContact, Write},
    state::lock,
    store::{self, JobEnd},
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
    /// All that this node tells another controller now.
    pub fn message(&self, to: &str) -> Message {
        let lost = self.hears_hardly_any_worker();
        let message = Message::new(self.controller_heartbeat(to), self.settings.frame_limit());
        Message { worker_contact: WorkerContact { lost }, ..message }
    }

    /// Whether this node leads and its workers seem lost to it.
    fn hears_hardly_any_worker(&self) -> bool {
        let term = lock(&self.term);
        let leader = term.as_ref().and_then(|term| term.leader.as_ref());
        leader.is_some_and(|leader| leader.is_isolated_from_workers(Instant::now()))
    }

    /// Notes that a heartbeat was turned away or answered in a leader's stead. A
    /// leader that lost its workers waits for just this to give way, and their
    /// leases run meanwhile: the first one is told at once.
    pub(super) fn note_rejected_heartbeat(&self) {
        let told_already = self.rejected_heartbeats();
        *lock(&self.heartbeat_rejected_at) = Some(Instant::now());
        if !told_already {
            self.peers.request_immediate_heartbeats();
        }
    }

    pub fn controller_heartbeat(&self, to: &str) -> ControllerHeartbeat {
        let OutgoingHeartbeat { id, acknowledged } =
            lock(&self.peers.abstentions).next_heartbeat(to, Instant::now());
        let (leads, state_ok) = (lock(&self.term).is_some(), self.state_ok());
        let watch_cache = lock(&self.watch_cache);
        // A watch cache that was never read knows nothing of what a former process
        // of this member told.
        let told = acknowledged.filter(|_| watch_cache.loaded).map(|acknowledged| {
            let since = acknowledged.revision;
            // More than the receiver can hear would cost the whole frame.
            let most = self.settings.noticed_cancellations();
            let most = most.min(max_cancellations_per_frame(self.peers.frame_limit(to)));
            let (jobs, all) = watch_cache.cancelled_since(since, most);
            CancellationNotice { since, all, jobs }
        });
        ControllerHeartbeat {
            member: self.settings.member.clone(),
            id,
            acknowledged: acknowledged.map(|acknowledged| acknowledged.id),
            leads,
            token: watch_cache.token.1,
            state_ok,
            // Said to every member alike: counted once for whoever was told
            // first, it never reached the leader that needed it.
            rejected_heartbeats: self.rejected_heartbeats(),
            revision: watch_cache.revision,
            cancellations: told,
        }
    }

    /// Whether this node turned a heartbeat away lately.
    fn rejected_heartbeats(&self) -> bool {
        lock(&self.heartbeat_rejected_at)
            .is_some_and(|at| at.elapsed() < self.settings.heartbeat_interval() * 2)
    }

    /// Whether workers report to another controller, but not to this one.
    pub fn workers_reach_only_others(&self) -> bool {
        !self.rejected_heartbeats()
            && self.peers.any_recent(self.settings.heartbeat_interval() * 2, |heartbeat| {
                heartbeat.rejected_heartbeats
            })
    }

    /// Whether the controller that workers try after this one is silent. If such a
    /// leader loses its workers, they wait for two time-outs in a row before they
    /// come to a controller that answers, which is about all of their lease. A
    /// process that just started knows nothing of it: where all start at once
    /// nobody should wait.
    pub fn next_controller_is_silent(&self) -> bool {
        let own = &self.settings.member;
        let names = self.settings.members.iter().map(|m| &m.member);
        // Workers go through the controllers in the order of their names.
        let next = names.clone().filter(|name| *name > own).min().or_else(|| names.min());
        let lately = self.settings.leader_lease() / 2;
        next.is_some_and(|next| self.peers.fell_silent(next, lately))
    }

    /// Tells a leader through the state service that workers live, if no
    /// heartbeat can: connections between the controllers may be refused while
    /// the leader loses its workers.
    pub async fn announce_rejected_heartbeats(&self) {
        let heard =
            self.peers.any_recent(self.settings.leader_lease(), |heartbeat| heartbeat.leads);
        if heard || !self.rejected_heartbeats() || !self.state_ok() {
            return;
        }
        if let Ok(value) = store::value(&self.settings.member) {
            let put = Write::Put { key: store::REJECTED_HEARTBEATS_KEY.into(), value, lease: None };
            let _ = self.writer.commit(Vec::new(), vec![put]).await;
        }
    }

    /// Takes in what another controller says.
    pub fn on_message(&self, message: Message) {
        let member = &message.heartbeat.member;
        self.peers.record_features(member, message.features);
        self.peers.record_frame_limit(member, message.frame_limit);
        self.peers.record_worker_contact(member, message.worker_contact);
        self.on_heartbeat(message.heartbeat);
    }

    pub fn on_heartbeat(&self, heartbeat: ControllerHeartbeat) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.tokens.last() < heartbeat.token) {
            warn!(member = %heartbeat.member, token = heartbeat.token, "another controller leads");
            *term = None;
            self.leadership_changed.notify_one();
        }
        let leads = term.is_some();
        drop(term);
        let workers_live = heartbeat.rejected_heartbeats;
        self.take_cancellation_notice(heartbeat.cancellations.as_ref());
        let revision = lock(&self.watch_cache).revision;
        self.peers.record_heartbeat(heartbeat, revision);
        // Whether to give way is asked now, not with the next renewal.
        if leads && workers_live {
            self.leadership_changed.notify_one();
        }
    }

    /// Takes in what another controller may have told users: those ends are
    /// durable, though the state service may not let this one see them.
    fn take_cancellation_notice(&self, told: Option<&CancellationNotice>) {
        let mut changes = Vec::new();
        for (id, version, done) in told.into_iter().flat_map(|told| &told.jobs) {
            let end = JobEnd { state: JobState::Cancelled, done: *done };
            if let Ok(value) = store::value(&end) {
                changes.extend(lock(&self.watch_cache).put(&store::end_key(id), value, *version));
            }
        }
        self.dispatch(&changes);
    }
}
