//! The state of one term of leadership on the node that leads.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};
use tracing::warn;

use crate::{controller::Leader, fencing::TermTokens, protocol::MachineId};

/// The state that a node has only during its term as the leader.
pub(super) struct Term {
    /// The version of the leader record, which identifies the term.
    pub(super) version: u64,
    /// The range of fencing tokens of the term.
    pub(super) tokens: TermTokens,
    /// The leader. It is built once the watch cache has every write of earlier leaders.
    pub(super) leader: Option<Leader>,
    /// When the latest successful renewal of the leader lease was requested, or when the term
    /// began.
    renewal_requested_at: Instant,
    /// When each worker was last redirected to probe for another leader, since the latest
    /// renewal of the leader lease.
    probes_sent_at: HashMap<MachineId, Instant>,
    /// Whether workers' leases are not renewed at present, because other controllers may have
    /// confirmed cancellations that this node doesn't know.
    renewals_withheld: bool,
}

impl Term {
    /// A term that begins now.
    pub(super) fn new(version: u64, tokens: TermTokens) -> Self {
        Self {
            version,
            tokens,
            leader: None,
            renewal_requested_at: Instant::now(),
            probes_sent_at: HashMap::new(),
            renewals_withheld: false,
        }
    }

    /// Records that the leader lease was renewed by a request made at `requested_at`: no
    /// other controller led before that time.
    pub(super) fn record_renewal(&mut self, requested_at: Instant) {
        self.renewal_requested_at = requested_at;
        self.probes_sent_at.clear();
    }

    /// Whether the leader lease may have expired, so that another controller may lead.
    pub(super) fn lease_may_have_expired(&self, now: Instant, leader_lease: Duration) -> bool {
        now.saturating_duration_since(self.renewal_requested_at) > leader_lease
    }

    /// Whether to redirect a worker now so that it probes for another leader, while the
    /// leader lease may have expired. A worker that stays with this node would never learn of
    /// the other leader. True at most once per `interval` for each worker. If there is no
    /// other leader, the worker returns well within its lease.
    pub(super) fn start_probe_if_due(
        &mut self,
        machine: &MachineId,
        now: Instant,
        interval: Duration,
    ) -> bool {
        let sent_at =
            self.probes_sent_at.entry(machine.clone()).or_insert(self.renewal_requested_at);
        let is_due = now.saturating_duration_since(*sent_at) > interval;
        if is_due {
            *sent_at = now;
        }
        is_due
    }

    /// Sets whether renewals of workers' leases are withheld, and logs when that begins.
    pub(super) fn set_renewals_withheld(&mut self, withheld: bool) {
        if withheld && !self.renewals_withheld {
            warn!(
                token = self.tokens.first(),
                "worker lease renewals withheld: cancellations may have been unknown for too long"
            );
        }
        self.renewals_withheld = withheld;
    }
}
