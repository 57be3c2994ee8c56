//! The node as a candidate for leadership.

use std::sync::{Arc, Mutex};

use rand::RngExt;
use tokio::{
    sync::Notify,
    time::{Duration, Instant},
};
use tokio_util::sync::CancellationToken;

use super::{instance::Node, leading};
use crate::{
    election::Candidate,
    fencing::TermTokens,
    protocol::Write,
    replies::Unavailable,
    settings::Settings,
    state::{Budget, StateApi, lock},
    store::WatchCache,
};

impl Candidate for Node {
    fn settings(&self) -> &Settings {
        &self.settings
    }

    fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn state(&self) -> &dyn StateApi {
        &*self.state
    }

    fn requests(&self) -> &Budget {
        &self.request_budget
    }

    fn watch_cache(&self) -> &Mutex<WatchCache> {
        &self.watch_cache
    }

    fn leadership_changed(&self) -> &Notify {
        &self.leadership_changed
    }

    fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(lock(&self.rng).random_range(0.0..1.0))
    }

    fn apply_committed(&self, writes: &[Write], revision: u64) {
        Node::apply_committed(self, writes, revision);
    }

    fn refresh(&self) -> impl Future<Output = Result<(), Unavailable>> + Send {
        Node::refresh(self)
    }

    fn workers_reach_only_others(&self) -> bool {
        Node::workers_reach_only_others(self)
    }

    fn next_controller_is_silent(&self) -> bool {
        Node::next_controller_is_silent(self)
    }

    fn announce_rejected_heartbeats(&self) -> impl Future<Output = ()> + Send {
        Node::announce_rejected_heartbeats(self)
    }

    fn begin_term(&self, version: u64, tokens: TermTokens) {
        Node::begin_term(self, version, tokens);
    }

    fn run_term(
        self: Arc<Self>,
        version: u64,
        stop: CancellationToken,
    ) -> impl Future<Output = ()> + Send + 'static {
        leading::run_term(self, version, stop)
    }

    fn record_renewal(&self, version: u64, requested_at: Instant) {
        Node::record_renewal(self, version, requested_at);
    }

    fn holds_term(&self, version: u64) -> bool {
        Node::holds_term(self, version)
    }

    fn is_isolated_from_workers(&self, version: u64) -> bool {
        Node::is_isolated_from_workers(self, version)
    }

    fn end_term(&self, version: u64) {
        Node::end_term(self, version);
    }
}
