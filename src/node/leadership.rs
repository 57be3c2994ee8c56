//! The term that a node holds: its beginning and end, and access to its leader.

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
    /// A term begins: this node has a leader's share of the state service's limits.
    pub fn begin_term(&self, version: u64, tokens: TermTokens) {
        self.peers.begin_term();
        *lock(&self.term) = Some(Term::new(version, tokens));
        let limits = self.settings.state_limits();
        self.request_budget.set_rate(self.settings.leader_share(limits.requests_per_s));
        self.writer.set_write_rate(self.settings.leader_share(limits.writes_per_s));
    }

    /// The term is over: this node has a follower's share of the limits again.
    pub fn end_term(&self, version: u64) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.version == version) {
            *term = None;
        }
        let limits = self.settings.state_limits();
        self.request_budget.set_rate(self.settings.follower_share(limits.requests_per_s));
        self.writer.set_write_rate(self.settings.follower_share(limits.writes_per_s));
    }

    /// Gives up leadership, since a worker has seen a higher fencing token.
    pub(super) fn step_down(&self, term: &mut Option<Term>) {
        if let Some(held) = term.take() {
            warn!(token = held.tokens.first(), "stepped down: a worker has seen a higher token");
            self.leadership_changed.notify_one();
        }
    }

    /// The leader lease was renewed by a request that was made at this moment.
    pub fn record_renewal(&self, version: u64, requested_at: Instant) {
        if let Some(term) = lock(&self.term).as_mut().filter(|t| t.version == version) {
            term.record_renewal(requested_at);
        }
    }

    /// Whether this node still holds the term, as far as it knows.
    pub fn holds_term(&self, version: u64) -> bool {
        let held =
            lock(&self.watch_cache).leader.as_ref().is_some_and(|held| held.version == version);
        held && lock(&self.term).as_ref().is_some_and(|t| t.version == version)
    }

    /// Whether this node leads.
    pub(super) fn leads(&self) -> bool {
        lock(&self.term).is_some()
    }

    /// Whether the leader lease may have expired, so that another controller may lead.
    pub(super) fn is_in_doubt(&self) -> bool {
        let leader_lease = self.settings.leader_lease();
        lock(&self.term).as_ref().is_none_or(|t| t.is_in_doubt(Instant::now(), leader_lease))
    }

    /// Whether the workers live, but their heartbeats don't reach this leader.
    pub fn is_isolated_from_workers(&self, version: u64) -> bool {
        let is_silent = self
            .with_leader(version, |leader| leader.is_isolated_from_workers(Instant::now()))
            .unwrap_or(false);
        let lately = self.settings.heartbeat_interval() * 2;
        is_silent
            && (self.rejected_heartbeats.any_remote(lately)
                || self.peers.any_recent(lately, |heartbeat| heartbeat.rejected_heartbeats))
    }

    /// Calls the leader of this term. None if the term is over or has no leader yet.
    pub(super) fn with_leader<T>(
        &self,
        version: u64,
        call: impl FnOnce(&mut Leader) -> T,
    ) -> Option<T> {
        let mut term = lock(&self.term);
        let held = term.as_mut().filter(|t| t.version == version)?;
        held.leader.as_mut().map(call)
    }

    /// What this node has done as the leader so far, if it leads.
    pub fn leader_counters(&self) -> Option<WorkCounters> {
        lock(&self.term).as_ref()?.leader.as_ref().map(|leader| leader.counters)
    }

    /// What lending may act on, if this node leads.
    pub fn lending_view(&self, grace_s: f64, waited: Duration) -> Option<LendingView> {
        let term = lock(&self.term);
        let leader = term.as_ref()?.leader.as_ref()?;
        Some(leader.lending_view(grace_s, waited, Instant::now()))
    }

    /// Sets which machines are kept for one job each, if this node leads.
    pub fn reserve(&self, reservations: BTreeMap<MachineId, Reservation>) {
        let mut term = lock(&self.term);
        let leader = term.as_mut().and_then(|term| term.leader.as_mut());
        if leader.is_some_and(|leader| leader.reserve(reservations)) {
            self.tick_requested.notify_one();
        }
    }
}
