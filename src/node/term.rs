//! One term of leadership, as its holder keeps it.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};
use tracing::warn;

use crate::{controller::Leader, fencing::TermTokens, protocol::MachineId};

/// The leader's part of a node, while it leads.
pub(super) struct Term {
    /// The version of the leader record. It identifies the term.
    pub(super) version: u64,
    /// The fencing tokens of the term.
    pub(super) tokens: TermTokens,
    /// Built once the watch cache is as new as the leadership.
    pub(super) leader: Option<Leader>,
    /// When the latest successful renewal of the leader lease was requested.
    renewal_requested_at: Instant,
    /// When each worker was last sent to probe for another leader, since the last
    /// renewal.
    probes_sent_at: HashMap<MachineId, Instant>,
    /// Workers' leases are not renewed, since cancellations may be unknown.
    withholds_renewals: bool,
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
            withholds_renewals: false,
        }
    }

    /// The leader lease was renewed by a request that was made at this moment: nobody
    /// else led until then.
    pub(super) fn record_renewal(&mut self, requested_at: Instant) {
        self.renewal_requested_at = requested_at;
        self.probes_sent_at.clear();
    }

    /// Whether the leader lease may have expired, so that another controller may lead.
    pub(super) fn is_in_doubt(&self, now: Instant, leader_lease: Duration) -> bool {
        now.saturating_duration_since(self.renewal_requested_at) > leader_lease
    }

    /// Whether to send a worker to probe for another leader, while the term is in
    /// doubt: a worker that stays with this one would never learn of the other. Once
    /// in an interval; if nobody else leads, the worker is back well within its lease.
    pub(super) fn sends_probe(
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

    /// Records whether workers' leases are renewed at present.
    pub(super) fn set_withholds_renewals(&mut self, withholds: bool) {
        if withholds && !self.withholds_renewals {
            warn!(
                token = self.tokens.first(),
                "lease renewals withheld: cancellations may be unknown for too long"
            );
        }
        self.withholds_renewals = withholds;
    }
}
