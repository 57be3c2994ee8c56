//! The planner and the orders over stand-in machines in steps of time, without
//! controllers: what is planned is committed at once.

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

pub struct Simulation {
    pub settings: LendingSettings,
    pub fleet: Fleet,
    pub ledger: Ledger,
    pub claims: Vec<ActiveClaim>,
    pub checker: Checker,
    pub reserve: BTreeMap<TeamName, u32>,
    pub reasons: BTreeMap<ClaimId, WaitReason>,
    /// Halts don't leave.
    pub holds_halts: bool,
    pub now: Duration,
    halted: HashSet<LoanId>,
    since: HashMap<LoanId, (LoanState, Duration)>,
    accepted: u64,
    next_number: u64,
}

impl Simulation {
    pub fn new(settings: LendingSettings, machines: usize) -> Self {
        let look = settings.times.probe_interval();
        // Twice what one pass after the other takes, for losses that come together.
        let bound = (settings.times.grace_period() + settings.times.worker_lease()) * 2 + look * 16;
        Self {
            checker: Checker::new(settings.clone(), look * 3, bound),
            settings,
            fleet: Fleet::new(machines, 2),
            ledger: Ledger::new(64, 8192),
            claims: Vec::new(),
            reserve: BTreeMap::new(),
            reasons: BTreeMap::new(),
            holds_halts: false,
            now: Duration::ZERO,
            halted: HashSet::new(),
            since: HashMap::new(),
            accepted: 0,
            next_number: 1,
        }
    }

    pub fn submit(&mut self, id: &str, claim: Claim) {
        self.accepted += 1;
        self.claims.push(ActiveClaim { id: id.into(), claim, admission_order: self.accepted });
    }

    pub fn withdraw(&mut self, id: &str) {
        self.claims.retain(|standing| &*standing.id != id);
    }

    fn views(&mut self) -> (BTreeMap<MachineName, MachineView>, BTreeSet<MachineName>) {
        let observation = self.fleet.observe(EPOCH);
        let stale = self.settings.times.probe_interval() * 3;
        let views = observation.reports.into_iter().map(|report| {
            let view = MachineView {
                zone: report.zone,
                session: report.session,
                reachable: report.heartbeat_age < stale,
                confirmed: report.token == EPOCH,
                leaving: report.leaving,
                quarantined: false,
                run: report.run,
            };
            (report.machine, view)
        });
        (views.collect(), observation.gone)
    }

    /// A plan from things as they stand.
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

    /// Plans, commits and gives orders until nothing more is to be done at this moment.
    pub fn settle(&mut self) {
        for _ in 0..20 {
            let plan = self.plan();
            self.next_number = plan.next_number;
            self.reasons = plan.reasons;
            self.claims.retain(|standing| !plan.done.contains(&standing.id));
            for transition in &plan.transitions {
                self.ledger.set(transition);
            }
            self.note_ages();
            let orders = self.orders();
            let rest = plan.transitions.is_empty() && plan.done.is_empty();
            self.carry_out(&orders);
            self.check();
            if rest {
                return;
            }
        }
        panic!("the planner does not come to rest: {:#?}", self.plan());
    }

    fn note_ages(&mut self) {
        let now = self.now;
        let old = std::mem::take(&mut self.since);
        for (_, entry) in self.ledger.entries() {
            let known = old.get(&entry.loan).filter(|(state, _)| *state == entry.state);
            self.since.insert(entry.loan, known.copied().unwrap_or((entry.state, now)));
        }
    }

    fn orders(&mut self) -> Vec<MachineCommand> {
        let (machines, _) = self.views();
        let age = |entry: &Entry| self.now - self.since.get(&entry.loan).map_or(self.now, |s| s.1);
        due_commands(&CommandInput {
            settings: &self.settings,
            claims: &self.claims,
            ledger: &self.ledger,
            machines: &machines,
            age: &age,
            epoch: EPOCH,
        })
    }

    fn carry_out(&mut self, orders: &[MachineCommand]) {
        for order in orders {
            if !self.fleet.reaches(&order.machine) {
                continue;
            }
            if matches!(order.kind, CommandKind::Halt { .. }) {
                if self.holds_halts {
                    continue;
                }
                self.halted.insert(order.loan);
            }
            let _ = self.fleet.order(order);
            self.check();
        }
    }

    pub fn check(&mut self) {
        self.checker.check(self.now, &self.claims, &mut self.fleet);
    }

    /// Lets time pass in looks.
    pub fn pass(&mut self, looks: u32) {
        for _ in 0..looks {
            self.now += self.settings.times.probe_interval();
            self.fleet.advance(self.now);
            self.check();
            self.return_silent();
            self.settle();
        }
    }

    /// Machines that are silent past their lease are returned.
    fn return_silent(&mut self) {
        let lease = self.settings.times.worker_lease();
        let reports = self.fleet.observe(EPOCH).reports;
        let silent = reports.iter().filter(|report| report.heartbeat_age >= lease);
        for report in silent.filter(|report| self.ledger.get(&report.machine).is_some()) {
            let _ = self.fleet.retire(&report.machine, EPOCH);
        }
        self.check();
    }

    pub fn state_of(&self, claim: &str) -> Vec<LoanState> {
        let entries = self.ledger.entries().filter(|(_, entry)| &*entry.claim == claim);
        entries.map(|(_, entry)| entry.state).collect()
    }

    /// Machines whose work is to go.
    pub fn leaving(&self) -> usize {
        self.ledger.entries().filter(|(_, entry)| entry.is_stopping()).count()
    }
}
