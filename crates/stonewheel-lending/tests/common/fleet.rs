//! Stand-in machines: they run, save and forget work, refuse whoever was replaced, and
//! tell an observer of every start and exit. Pure: time comes from the caller.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stonewheel_lending::{
    CommandKind, Exit, HostError, MachineCommand, MachineReport, Observation, RunReport, RunState,
    claim::{ClaimId, MachineName},
    ledger::LoanId,
};

/// What happened on a machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Started(ClaimId),
    /// A start met work of another loan that still ran.
    StartedOver(ClaimId, ClaimId),
    /// A halt reached work that ran.
    Halted(ClaimId),
    /// A save was ended before its grace was over.
    CutShort(ClaimId),
    /// The machine and all on it are gone.
    Lost(Option<ClaimId>),
}

/// How work of a claim behaves; unknown claims never end and save at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Seconds until it is done, without interruptions; none: never.
    pub work_s: Option<f64>,
    pub checkpoint_s: f64,
    pub save_s: f64,
    /// Its saves never end.
    pub hangs: bool,
    /// Every start of it fails.
    pub fails: bool,
}

#[derive(Clone, Debug)]
struct Run {
    loan: LoanId,
    claim: ClaimId,
    machines: u32,
    state: RunState,
    saves_until: Option<Duration>,
    /// Until when the halt lets it save.
    grace_until: Duration,
}

#[derive(Clone, Debug, Default)]
struct Machine {
    zone: u8,
    session: u64,
    tick: u64,
    token: u64,
    run: Option<Run>,
    heard: Duration,
    unreachable_until: Duration,
    leaving: bool,
    /// The next report of an end is lost on its way.
    hides_end: Option<Duration>,
}

impl Run {
    fn is_live(&self) -> bool {
        !matches!(self.state, RunState::Ended(_))
    }

    fn new(loan: LoanId, claim: ClaimId, machines: u32, state: RunState) -> Self {
        Self { loan, claim, machines, state, saves_until: None, grace_until: Duration::ZERO }
    }
}

/// A claim's work, wherever it runs.
#[derive(Clone, Debug, Default)]
struct Progress {
    done_s: f64,
    saved_s: f64,
    since: Option<Duration>,
}

/// All machines.
#[derive(Default)]
pub struct Fleet {
    pub behaviours: BTreeMap<ClaimId, Behaviour>,
    machines: BTreeMap<MachineName, Machine>,
    gone: BTreeSet<MachineName>,
    progress: BTreeMap<ClaimId, Progress>,
    pub events: Vec<Event>,
    /// Halts of work that ran, by claim and loan.
    pub halts: BTreeMap<(ClaimId, LoanId), u32>,
    pub starts: u32,
    /// Orders of holders that were replaced.
    pub refused: u32,
    /// Seconds of work that machines lost, each one's counted.
    pub lost_s: f64,
    /// Machines check no token: a fault that the checker must find.
    pub unfenced: bool,
    now: Duration,
}

impl Fleet {
    pub fn new(machines: usize, zones: usize) -> Self {
        let machine =
            |at: usize| Machine { zone: (at % zones) as u8, session: 1, ..Machine::default() };
        let named = (0..machines).map(|at| (MachineName::from(format!("n-{at:04}")), machine(at)));
        Self { machines: named.collect(), ..Self::default() }
    }

    pub fn names(&self) -> Vec<MachineName> {
        self.machines.keys().cloned().collect()
    }

    /// Machines that are there and stay.
    pub fn staying(&self) -> u32 {
        self.machines.values().filter(|machine| !machine.leaving).count() as u32
    }

    /// What runs where, saving included.
    pub fn running(&self) -> impl Iterator<Item = (&MachineName, &ClaimId)> {
        let machines = self.machines.iter();
        let live = |run: &&Run| !matches!(run.state, RunState::Ended(_));
        machines
            .filter_map(move |(m, machine)| Some((m, &machine.run.as_ref().filter(live)?.claim)))
    }

    /// Machines on which a claim's work runs and isn't being stopped.
    pub fn runs(&self, claim: &str) -> u32 {
        let runs = |run: &Run| &*run.claim == claim && run.state == RunState::Running;
        self.machines.values().filter(|m| m.run.as_ref().is_some_and(runs)).count() as u32
    }

    /// Machines of batch that was stopped, each time counted.
    pub fn batch_halts(&self) -> u32 {
        let halts = self.halts.iter();
        halts.filter(|((claim, _), _)| claim.starts_with("b-")).map(|(_, count)| count).sum()
    }

    pub fn machine_of(&self, claim: &str) -> Option<MachineName> {
        self.running().find(|(_, running)| &***running == claim).map(|(machine, _)| machine.clone())
    }

    fn behaviour(&self, claim: &ClaimId) -> Behaviour {
        self.behaviours.get(claim).copied().unwrap_or_default()
    }

    /// Lets time pass: work goes on, saves and runs end.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let now = self.now;
        let claims: BTreeSet<ClaimId> = self.running().map(|(_, claim)| claim.clone()).collect();
        for claim in &claims {
            self.advance_claim(claim);
        }
        for machine in self.machines.values_mut() {
            let Some(run) = machine.run.as_mut() else { continue };
            if run.state == RunState::Saving && run.saves_until.is_some_and(|at| at <= now) {
                run.state = RunState::Ended(Exit::Saved);
                machine.tick += 1;
                let progress = self.progress.entry(run.claim.clone()).or_default();
                progress.saved_s = progress.done_s;
            }
        }
    }

    /// A gang goes on only while all its machines run.
    fn advance_claim(&mut self, claim: &ClaimId) {
        let behaviour = self.behaviour(claim);
        let runs = self.machines.values().filter_map(|m| m.run.as_ref());
        let gang = runs.filter(|run| run.claim == *claim).map(|run| run.machines).max();
        let whole = self.runs(claim) >= gang.unwrap_or(1);
        let now = self.now;
        let progress = self.progress.entry(claim.clone()).or_default();
        if let Some(since) = progress.since {
            progress.done_s += (now - since).as_secs_f64();
            if behaviour.checkpoint_s > 0.0 {
                let saved = (progress.done_s / behaviour.checkpoint_s).floor();
                progress.saved_s = progress.saved_s.max(saved * behaviour.checkpoint_s);
            }
        }
        progress.since = whole.then_some(now);
        if whole && behaviour.work_s.is_some_and(|work_s| progress.done_s >= work_s) {
            self.end_claim(claim, Exit::Done);
        }
    }

    fn end_claim(&mut self, claim: &ClaimId, exit: Exit) {
        for machine in self.machines.values_mut() {
            let Some(run) = machine.run.as_mut().filter(|run| run.claim == *claim) else {
                continue;
            };
            if !matches!(run.state, RunState::Ended(_)) {
                run.state = RunState::Ended(exit);
                machine.tick += 1;
            }
        }
        if let Some(progress) = self.progress.get_mut(claim) {
            progress.since = None;
        }
    }

    /// Work that goes without having been saved goes on from its last checkpoint.
    fn lose_progress(&mut self, claim: &ClaimId) {
        self.advance_claim(claim);
        let machines = f64::from(self.runs(claim).max(1));
        // Serving has nothing that could be lost.
        let batch = self.behaviours.contains_key(claim);
        if let Some(progress) = self.progress.get_mut(claim) {
            if batch {
                self.lost_s += (progress.done_s - progress.saved_s) * machines;
            }
            progress.done_s = progress.saved_s;
            progress.since = None;
        }
    }

    /// What machines that can be reached report once they saw this token.
    pub fn observe(&mut self, token: u64) -> Observation {
        let now = self.now;
        let mut reports = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.unreachable_until <= now {
                machine.token = machine.token.max(token);
                machine.tick += 1;
                machine.heard = now;
            }
            let claim = machine.run.as_ref().map(|run| run.claim.clone());
            let progress = claim.and_then(|claim| self.progress.get(&claim));
            let mut report = report(name, machine, progress, now);
            if machine.hides_end.is_some_and(|until| now < until) {
                // The report that shows the end does not arrive.
                report.run = report.run.map(|run| RunReport { state: RunState::Saving, ..run });
            }
            reports.push(report);
        }
        Observation { reports, gone: self.gone.clone(), unmanaged_workloads: Vec::new() }
    }

    /// Carries out an order.
    pub fn order(&mut self, order: &MachineCommand) -> Result<(), HostError> {
        let now = self.now;
        let behaviour = match &order.kind {
            CommandKind::Start { claim, .. } => self.behaviour(claim),
            _ => Behaviour::default(),
        };
        let Some(machine) = self.machines.get_mut(&order.machine) else {
            return Err(HostError::Unavailable("gone".into()));
        };
        let stale = order.token < machine.token && !self.unfenced;
        if stale || order.session != machine.session {
            self.refused += u32::from(stale);
            return Err(HostError::Stale);
        }
        machine.token = machine.token.max(order.token);
        match &order.kind {
            CommandKind::Start { claim, machines } => {
                let held = machine.run.as_ref();
                if held.is_some_and(|run| run.loan >= order.loan) {
                    return Ok(());
                }
                if let Some(run) = held.filter(|run| run.is_live()) {
                    self.events.push(Event::StartedOver(claim.clone(), run.claim.clone()));
                    return Err(HostError::Busy);
                }
                let state =
                    if behaviour.fails { RunState::Ended(Exit::Failed) } else { RunState::Running };
                let claim = claim.clone();
                machine.run = Some(Run::new(order.loan, claim.clone(), *machines, state));
                machine.tick += 1;
                self.starts += 1;
                if !behaviour.fails {
                    self.events.push(Event::Started(claim));
                }
            }
            CommandKind::Halt { grace } => self.halt(order, *grace),
            CommandKind::Terminate => self.end(order),
        }
        self.advance(now);
        Ok(())
    }

    fn halt(&mut self, order: &MachineCommand, grace: Duration) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&order.machine) else { return };
        if machine.run.as_ref().is_none_or(|run| run.loan < order.loan) {
            // A tombstone: no start of this loan has any effect from now on.
            let void = RunState::Ended(Exit::NeverStarted);
            let claim = ClaimId::from("");
            let (loan, machines, saves_until, grace_until) = (order.loan, 1, None, now);
            machine.run =
                Some(Run { loan, claim, machines, state: void, saves_until, grace_until });
            machine.tick += 1;
            return;
        }
        let Some(run) = machine.run.as_ref().filter(|run| run.loan == order.loan) else { return };
        if run.state != RunState::Running {
            return;
        }
        let claim = run.claim.clone();
        let behaviour = self.behaviour(&claim);
        self.events.push(Event::Halted(claim.clone()));
        *self.halts.entry((claim.clone(), order.loan)).or_default() += 1;
        if behaviour.checkpoint_s <= 0.0 || grace.as_secs_f64() < behaviour.save_s {
            self.end(order);
            return;
        }
        self.advance_claim(&claim);
        let done_s = self.progress.get(&claim).map_or(0.0, |progress| progress.done_s);
        // A periodic checkpoint that is under way is joined: only its rest is to come.
        let since_checkpoint = done_s % behaviour.checkpoint_s;
        let joined = done_s >= behaviour.checkpoint_s && since_checkpoint < behaviour.save_s;
        let takes = if joined { behaviour.save_s - since_checkpoint } else { behaviour.save_s };
        let until = now + Duration::from_secs_f64(takes);
        let Some(machine) = self.machines.get_mut(&order.machine) else { return };
        machine.tick += 1;
        if let Some(run) = machine.run.as_mut() {
            run.state = RunState::Saving;
            run.saves_until = (!behaviour.hangs).then_some(until);
            run.grace_until = now + grace;
        }
        self.advance_claim(&claim);
    }

    fn end(&mut self, order: &MachineCommand) {
        let Some(machine) = self.machines.get(&order.machine) else { return };
        let Some(run) = machine.run.as_ref().filter(|run| run.loan == order.loan) else { return };
        if matches!(run.state, RunState::Ended(_)) {
            return;
        }
        let claim = run.claim.clone();
        if run.state == RunState::Saving && self.now < run.grace_until {
            self.events.push(Event::CutShort(claim.clone()));
        }
        self.lose_progress(&claim);
        if let Some(machine) = self.machines.get_mut(&order.machine) {
            machine.tick += 1;
            if let Some(run) = machine.run.as_mut() {
                run.state = RunState::Ended(Exit::Lost);
            }
        }
    }

    /// The machine and all on it are gone.
    pub fn lose(&mut self, name: &MachineName) {
        let Some(machine) = self.machines.remove(name) else { return };
        self.gone.insert(name.clone());
        let live = machine.run.filter(Run::is_live);
        let claim = live.map(|run| run.claim);
        if let Some(claim) = &claim {
            self.lose_progress(claim);
        }
        self.events.push(Event::Lost(claim));
    }

    /// Returns a machine.
    pub fn retire(&mut self, name: &MachineName, token: u64) -> Result<(), HostError> {
        if self.machines.get(name).is_some_and(|machine| token < machine.token) {
            return Err(HostError::Stale);
        }
        self.lose(name);
        Ok(())
    }

    /// Nothing reaches the machine for a while; what runs there goes on.
    pub fn silence(&mut self, name: &MachineName, time: Duration) {
        let until = self.now + time;
        self.with(name, |machine| machine.unreachable_until = until);
    }

    pub fn reaches(&self, name: &MachineName) -> bool {
        self.machines.get(name).is_none_or(|machine| machine.unreachable_until <= self.now)
    }

    /// The cloud will take the machine.
    pub fn give_notice(&mut self, name: &MachineName) {
        self.with(name, |machine| machine.leaving = true);
    }

    /// The reports that show an end are lost for a while.
    pub fn hide_end(&mut self, name: &MachineName, time: Duration) {
        let until = self.now + time;
        self.with(name, |machine| machine.hides_end = Some(until));
    }

    /// The machine forgets its work, and is in a new session.
    pub fn restart(&mut self, name: &MachineName) {
        let claim =
            self.machines.get(name).and_then(|m| m.run.as_ref()).map(|run| run.claim.clone());
        if let Some(claim) = claim {
            self.lose_progress(&claim);
        }
        self.with(name, |machine| {
            (machine.session, machine.tick, machine.run) = (machine.session + 1, 0, None);
        });
    }

    fn with(&mut self, name: &MachineName, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.machines.get_mut(name) {
            change(machine);
        }
    }

    /// Whether a claim's work is complete.
    pub fn is_done(&self, claim: &ClaimId) -> bool {
        let work_s = self.behaviour(claim).work_s;
        let done_s = self.progress.get(claim).map_or(0.0, |progress| progress.done_s);
        work_s.is_some_and(|work_s| done_s >= work_s)
    }

    /// Seconds of work that were done and not lost, by claim.
    pub fn done_s(&self, claim: &str) -> f64 {
        self.progress.get(claim).map_or(0.0, |progress| progress.done_s)
    }
}

fn report(
    name: &MachineName,
    machine: &Machine,
    progress: Option<&Progress>,
    now: Duration,
) -> MachineReport {
    let unsaved_s = progress.map_or(0.0, |progress| progress.done_s - progress.saved_s);
    let run = machine.run.as_ref().map(|run| RunReport {
        loan: run.loan,
        claim: run.claim.clone(),
        state: run.state,
        unsaved_s,
        checkpointing: false,
    });
    MachineReport {
        machine: name.clone(),
        zone: machine.zone,
        session: machine.session,
        sequence: machine.tick,
        token: machine.token,
        heartbeat_age: now - machine.heard,
        leaving: machine.leaving,
        run,
    }
}
