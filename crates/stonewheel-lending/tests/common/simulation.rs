//! A simulation of the planner and its commands on simulated machines, in steps of time and without
//! controllers: each plan is committed immediately.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use stonewheel_lending::{
    CommandKind, LendingSettings, MachineCommand,
    claim::{ActiveClaim, Claim, ClaimId, MachineName, TeamName},
    ledger::{Entry, Ledger, LoanId, LoanState},
    orders::{CommandInput, due_commands},
    planner::{MachineView, Plan, PlannerInput, WaitReason, plan},
};

use super::{checker::Checker, fleet::Fleet};

const EPOCH: u64 = 1;

/// The fleet, the ledger and the claims of a simulation.
pub struct Simulation {
    pub settings: LendingSettings,
    pub fleet: Fleet,
    pub ledger: Ledger,
    pub claims: Vec<ActiveClaim>,
    pub checker: Checker,
    pub reserve: BTreeMap<TeamName, u32>,
    pub reasons: BTreeMap<ClaimId, WaitReason>,
    /// Whether halt commands are withheld.
    pub halts_withheld: bool,
    pub now: Duration,
    halted: HashSet<LoanId>,
    loan_states: HashMap<LoanId, (LoanState, Duration)>,
    admitted: u64,
    next_number: u64,
}

impl Simulation {
    pub fn new(settings: LendingSettings, machines: usize) -> Self {
        let probe_interval = settings.times.probe_interval();
        // Twice the time of one reclaim, since machines that are lost at the same time may require
        // a second reclaim after the first.
        let bound = (settings.times.grace_period() + settings.times.worker_lease()) * 2
            + probe_interval * 16;
        Self {
            checker: Checker::new(settings.clone(), probe_interval * 3, bound),
            settings,
            fleet: Fleet::new(machines, 2),
            ledger: Ledger::new(64, 8192),
            claims: Vec::new(),
            reserve: BTreeMap::new(),
            reasons: BTreeMap::new(),
            halts_withheld: false,
            now: Duration::ZERO,
            halted: HashSet::new(),
            loan_states: HashMap::new(),
            admitted: 0,
            next_number: 1,
        }
    }

    pub fn submit(&mut self, id: &str, claim: Claim) {
        self.admitted += 1;
        self.claims.push(ActiveClaim { id: id.into(), claim, admission_order: self.admitted });
    }

    pub fn withdraw(&mut self, id: &str) {
        self.claims.retain(|active| &*active.id != id);
    }

    fn views(&mut self) -> (BTreeMap<MachineName, MachineView>, BTreeSet<MachineName>) {
        let observation = self.fleet.observe(EPOCH);
        let stale_after = self.settings.times.probe_interval() * 3;
        let views = observation.reports.into_iter().map(|report| {
            let view = MachineView {
                zone: report.zone,
                session: report.session,
                reachable: report.heartbeat_age < stale_after,
                confirmed: report.token == EPOCH,
                leaving: report.leaving,
                quarantined: false,
                run: report.run,
            };
            (report.machine, view)
        });
        (views.collect(), observation.gone)
    }

    /// Returns a plan for the current state.
    pub fn plan(&mut self) -> Plan {
        let (machines, gone) = self.views();
        plan(&PlannerInput {
            settings: &self.settings,
            claims: &self.claims,
            ledger: &self.ledger,
            machines: &machines,
            gone: &gone,
            halted: &self.halted,
            reserve: &self.reserve,
            may_lend: true,
            epoch: EPOCH,
            next_number: self.next_number,
            max_changes: usize::MAX,
        })
    }

    /// Plans, commits and executes commands until a plan contains no changes, without advancing the
    /// time.
    pub fn plan_until_stable(&mut self) {
        for _ in 0..20 {
            let plan = self.plan();
            self.next_number = plan.next_number;
            self.reasons = plan.reasons;
            self.claims.retain(|active| !plan.done.contains(&active.id));
            for transition in &plan.transitions {
                self.ledger.set(transition);
            }
            self.track_loan_states();
            let commands = self.commands();
            let stable = plan.transitions.is_empty() && plan.done.is_empty();
            self.execute(&commands);
            self.check();
            if stable {
                return;
            }
        }
        panic!("planner still makes changes after 20 plans: {:#?}", self.plan());
    }

    fn track_loan_states(&mut self) {
        let now = self.now;
        let previous = std::mem::take(&mut self.loan_states);
        for (_, entry) in self.ledger.entries() {
            let known = previous.get(&entry.loan).filter(|(state, _)| *state == entry.state);
            self.loan_states.insert(entry.loan, known.copied().unwrap_or((entry.state, now)));
        }
    }

    fn commands(&mut self) -> Vec<MachineCommand> {
        let (machines, _) = self.views();
        let age = |entry: &Entry| {
            self.now - self.loan_states.get(&entry.loan).map_or(self.now, |known| known.1)
        };
        due_commands(&CommandInput {
            settings: &self.settings,
            claims: &self.claims,
            ledger: &self.ledger,
            machines: &machines,
            age: &age,
            epoch: EPOCH,
        })
    }

    fn execute(&mut self, commands: &[MachineCommand]) {
        for command in commands {
            if !self.fleet.is_reachable(&command.machine) {
                continue;
            }
            if matches!(command.kind, CommandKind::Halt { .. }) {
                if self.halts_withheld {
                    continue;
                }
                self.halted.insert(command.loan);
            }
            let _ = self.fleet.execute(command);
            self.check();
        }
    }

    pub fn check(&mut self) {
        self.checker.check(self.now, &self.claims, &mut self.fleet);
    }

    /// Advances the time by a number of probe intervals, with a plan after each.
    pub fn advance(&mut self, probe_intervals: u32) {
        for _ in 0..probe_intervals {
            self.now += self.settings.times.probe_interval();
            self.fleet.advance(self.now);
            self.check();
            self.retire_expired();
            self.plan_until_stable();
        }
    }

    /// Returns the machines whose worker lease expired to the cloud.
    fn retire_expired(&mut self) {
        let lease = self.settings.times.worker_lease();
        let reports = self.fleet.observe(EPOCH).reports;
        let expired = reports.iter().filter(|report| report.heartbeat_age >= lease);
        for report in expired.filter(|report| self.ledger.get(&report.machine).is_some()) {
            let _ = self.fleet.retire(&report.machine, EPOCH);
        }
        self.check();
    }

    /// Returns the states of the ledger entries of a claim.
    pub fn loan_states_of(&self, claim: &str) -> Vec<LoanState> {
        let entries = self.ledger.entries().filter(|(_, entry)| &*entry.claim == claim);
        entries.map(|(_, entry)| entry.state).collect()
    }

    /// Returns the number of machines whose work has to stop.
    pub fn stopping_machines(&self) -> usize {
        self.ledger.entries().filter(|(_, entry)| entry.is_stopping()).count()
    }
}
