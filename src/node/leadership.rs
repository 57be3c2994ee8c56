//! The current term of a node: its beginning, its end, and access to its leader.

use std::collections::BTreeMap;

use tokio::time::{Duration, Instant};
use tracing::warn;

use super::{instance::Node, term::Term};
use crate::{
    controller::{Leader, LendingView, WorkCounters},
    fencing::TermTokens,
    protocol::MachineId,
    scheduler::Reservation,
    state::lock,
};

impl Node {
    /// Begins a term: this node gets a leader's share of the state service's rate limits.
    pub fn begin_term(&self, version: u64, tokens: TermTokens) {
        self.peers.begin_term();
        *lock(&self.term) = Some(Term::new(version, tokens));
        let limits = self.settings.state_limits();
        self.request_budget.set_rate(self.settings.leader_share(limits.requests_per_s));
        self.writer.set_write_rate(self.settings.leader_share(limits.writes_per_s));
    }

    /// Ends a term: this node gets a follower's share of the rate limits again.
    pub fn end_term(&self, version: u64) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.version == version) {
            *term = None;
        }
        let limits = self.settings.state_limits();
        self.request_budget.set_rate(self.settings.follower_share(limits.requests_per_s));
        self.writer.set_write_rate(self.settings.follower_share(limits.writes_per_s));
    }

    /// Ends the term because a worker has seen a higher fencing token, which proves that
    /// another controller was elected.
    pub(super) fn step_down(&self, term: &mut Option<Term>) {
        if let Some(current_term) = term.take() {
            warn!(
                token = current_term.tokens.first(),
                "stepped down: a worker has seen a higher fencing token"
            );
            self.leadership_changed.notify_one();
        }
    }

    /// Records that the leader lease was renewed by a request made at `requested_at`.
    pub fn record_renewal(&self, version: u64, requested_at: Instant) {
        if let Some(term) = lock(&self.term).as_mut().filter(|t| t.version == version) {
            term.record_renewal(requested_at);
        }
    }

    /// Whether, by the watch cache and this node's own state, the term is still the current
    /// one and this node its leader.
    pub fn holds_term(&self, version: u64) -> bool {
        let is_recorded_leader =
            lock(&self.watch_cache).leader.as_ref().is_some_and(|record| record.version == version);
        is_recorded_leader && lock(&self.term).as_ref().is_some_and(|t| t.version == version)
    }

    /// Whether this node holds a term as the leader.
    pub(super) fn is_leader(&self) -> bool {
        lock(&self.term).is_some()
    }

    /// Whether this node has no term, or the leader lease of its term may have expired so
    /// that another controller may lead.
    pub(super) fn lease_may_have_expired(&self) -> bool {
        let leader_lease = self.settings.leader_lease();
        lock(&self.term)
            .as_ref()
            .is_none_or(|t| t.lease_may_have_expired(Instant::now(), leader_lease))
    }

    /// Whether the workers live but their heartbeats don't reach this leader: most workers
    /// are silent here, while another controller received worker heartbeats within the last
    /// two heartbeat intervals.
    pub fn is_isolated_from_workers(&self, version: u64) -> bool {
        let workers_silent = self
            .with_leader(version, |leader| leader.is_isolated_from_workers(Instant::now()))
            .unwrap_or(false);
        let window = self.settings.heartbeat_interval() * 2;
        workers_silent
            && (self.rejected_heartbeats.any_remote(window)
                || self.peers.any_recent(window, |heartbeat| heartbeat.rejected_heartbeats))
    }

    /// Calls the leader of this term. Returns None if the term has ended or its leader is
    /// not built yet.
    pub(super) fn with_leader<T>(
        &self,
        version: u64,
        call: impl FnOnce(&mut Leader) -> T,
    ) -> Option<T> {
        let mut term = lock(&self.term);
        let current_term = term.as_mut().filter(|t| t.version == version)?;
        current_term.leader.as_mut().map(call)
    }

    /// Counters of the work that this node did as the leader in the current term, if it is
    /// the leader.
    pub fn leader_counters(&self) -> Option<WorkCounters> {
        lock(&self.term).as_ref()?.leader.as_ref().map(|leader| leader.counters)
    }

    /// The machines and waiting jobs that lending decides on, if this node is the leader.
    /// `grace_s`: the longest save that lending waits for, in seconds. `min_wait`: how long a
    /// job must have waited before machines are reclaimed for it.
    pub fn lending_view(&self, grace_s: f64, min_wait: Duration) -> Option<LendingView> {
        let term = lock(&self.term);
        let leader = term.as_ref()?.leader.as_ref()?;
        Some(leader.lending_view(grace_s, min_wait, Instant::now()))
    }

    /// Replaces the set of reserved machines, each for one job, if this node is the leader.
    pub fn reserve(&self, reservations: BTreeMap<MachineId, Reservation>) {
        let mut term = lock(&self.term);
        let leader = term.as_mut().and_then(|term| term.leader.as_mut());
        if leader.is_some_and(|leader| leader.reserve(reservations)) {
            self.tick_requested.notify_one();
        }
    }
}
