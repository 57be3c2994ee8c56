//! The holder's observations of the machines. They are kept in memory: the next holder starts
//! without any.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use rand::rngs::StdRng;
use tokio::time::{Duration, Instant};

use crate::{
    backoff::Backoff,
    claim::MachineName,
    host::{Exit, MachineReport, Observation, RunState},
    ledger::{Entry, Ledger, LoanId, LoanState},
    planner::MachineView,
    settings::Times,
};

/// A machine without a heartbeat for this number of probe intervals counts as unreachable.
const STALE_INTERVALS: u32 = 3;
/// How long a machine that failed to start a run is quarantined, in worker leases.
const QUARANTINE_LEASES: u32 = 10;

/// A machine's latest report, and when its heartbeat was received.
#[derive(Debug)]
struct ReceivedReport {
    report: MachineReport,
    received_at: Instant,
}

/// A loan's state, and when this holder first observed the loan in it.
#[derive(Clone, Copy, Debug)]
struct StateSince {
    state: LoanState,
    since: Instant,
}

/// The observations of one holder during its term.
#[derive(Debug)]
pub(crate) struct MachineObservations {
    times: Times,
    pub epoch: u64,
    pub began_at: Instant,
    reports: BTreeMap<MachineName, ReceivedReport>,
    gone: BTreeSet<MachineName>,
    retired: BTreeSet<MachineName>,
    halted: HashSet<LoanId>,
    loan_states: HashMap<LoanId, StateSince>,
    quarantined_until: HashMap<MachineName, Instant>,
    backoffs: HashMap<MachineName, Backoff>,
    in_flight: HashSet<MachineName>,
}

impl MachineObservations {
    pub fn new(times: Times, epoch: u64, now: Instant) -> Self {
        Self {
            times,
            epoch,
            began_at: now,
            reports: BTreeMap::new(),
            gone: BTreeSet::new(),
            retired: BTreeSet::new(),
            halted: HashSet::new(),
            loan_states: HashMap::new(),
            quarantined_until: HashMap::new(),
            backoffs: HashMap::new(),
            in_flight: HashSet::new(),
        }
    }

    /// Records the reports of the machines.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        self.gone = observation.gone;
        for report in observation.reports {
            self.record_report(report, now);
        }
        let (gone, retired) = (&self.gone, &self.retired);
        self.reports.retain(|name, _| !gone.contains(name) && !retired.contains(name));
        self.quarantined_until.retain(|_, until| *until > now);
    }

    fn record_report(&mut self, report: MachineReport, now: Instant) {
        // A copy of an earlier report may arrive late and must not replace a newer one.
        let newest =
            self.reports.get(&report.machine).map(|s| (s.report.session, s.report.sequence));
        if newest.is_some_and(|newest| newest > (report.session, report.sequence)) {
            return;
        }
        let failed = |run: &crate::host::RunReport| run.state == RunState::Ended(Exit::Failed);
        if report.run.as_ref().is_some_and(failed) {
            let until = now + self.times.worker_lease() * QUARANTINE_LEASES;
            self.quarantined_until.entry(report.machine.clone()).or_insert(until);
        }
        let received_at = now.checked_sub(report.heartbeat_age).unwrap_or(now);
        self.reports.insert(report.machine.clone(), ReceivedReport { report, received_at });
    }

    /// Returns the machines that are known to be gone: reported as gone, or returned by this
    /// holder.
    pub fn gone(&self) -> BTreeSet<MachineName> {
        self.gone.union(&self.retired).cloned().collect()
    }

    /// Records when each loan entered its current state, and forgets loans that are no longer in
    /// the ledger.
    pub fn track_loans(&mut self, ledger: &Ledger, now: Instant) {
        let mut loan_states = HashMap::with_capacity(ledger.len());
        for (_, entry) in ledger.entries() {
            let known = self.state_since(entry);
            loan_states
                .insert(entry.loan, known.unwrap_or(StateSince { state: entry.state, since: now }));
        }
        self.loan_states = loan_states;
        let current = &self.loan_states;
        self.halted.retain(|loan| current.contains_key(loan));
    }

    /// Returns how long a loan has been in its state, counted from when this holder first observed
    /// it.
    pub fn age(&self, entry: &Entry, now: Instant) -> Duration {
        let known = self.state_since(entry);
        known.map_or(Duration::ZERO, |known| now.saturating_duration_since(known.since))
    }

    fn state_since(&self, entry: &Entry) -> Option<StateSince> {
        self.loan_states.get(&entry.loan).copied().filter(|known| known.state == entry.state)
    }

    /// Returns the planner's view of each reported machine.
    pub fn views(&self, now: Instant) -> BTreeMap<MachineName, MachineView> {
        let stale_after = self.times.probe_interval() * STALE_INTERVALS;
        let view = |(name, received): (&MachineName, &ReceivedReport)| {
            let view = MachineView {
                zone: received.report.zone,
                session: received.report.session,
                reachable: now.saturating_duration_since(received.received_at) < stale_after,
                confirmed: received.report.token == self.epoch,
                leaving: received.report.leaving,
                quarantined: self.quarantined_until.contains_key(name),
                run: received.report.run.clone(),
            };
            (name.clone(), view)
        };
        self.reports.iter().map(view).collect()
    }

    /// Returns the machines with a ledger entry whose worker lease expired: no heartbeat arrived
    /// for a lease's time, counted at the earliest from the start of this holder's term.
    pub fn expired_leases(&self, ledger: &Ledger, now: Instant) -> Vec<MachineName> {
        let lease = self.times.worker_lease();
        let is_expired = |machine: &MachineName| {
            let last_received =
                self.reports.get(machine).map_or(self.began_at, |received| received.received_at);
            now >= last_received.max(self.began_at) + lease
        };
        let machines = ledger.entries().map(|(machine, _)| machine);
        let is_present = |m: &&MachineName| !self.gone.contains(*m) && !self.retired.contains(*m);
        machines.filter(is_present).filter(|machine| is_expired(machine)).cloned().collect()
    }

    /// Returns the loans whose work this holder has sent a halt command to.
    pub fn halted(&self) -> &HashSet<LoanId> {
        &self.halted
    }

    /// Records that a halt is about to be sent. It may take effect even if the call fails.
    pub fn record_halt(&mut self, loan: LoanId) {
        self.halted.insert(loan);
    }

    /// Returns whether a call to a machine may begin now, and if so records it as in flight. A call
    /// waits for the back-off, for the call in flight to the same machine, and while `max_calls`
    /// calls are in flight.
    pub fn begin_call(&mut self, machine: &MachineName, max_calls: usize, now: Instant) -> bool {
        let due = self.backoffs.get(machine).is_none_or(|backoff| backoff.due(now));
        let available = self.in_flight.len() < max_calls && !self.in_flight.contains(machine);
        due && available && self.in_flight.insert(machine.clone())
    }

    /// Records the end of a call. A failed call delays the next one to the same machine.
    pub fn end_call(&mut self, machine: &MachineName, failed: bool, rng: &mut StdRng) {
        self.in_flight.remove(machine);
        if failed {
            let now = Instant::now();
            let backoff = self.backoffs.entry(machine.clone()).or_insert(Backoff::new(now));
            backoff.failed(now, &self.times, rng);
        } else {
            self.backoffs.remove(machine);
        }
    }

    /// Records that the return of a machine was confirmed.
    pub fn record_retired(&mut self, machine: MachineName) {
        self.reports.remove(&machine);
        self.retired.insert(machine);
    }
}
