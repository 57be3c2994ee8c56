//! Simulated machines: they run work, save checkpoints, lose work on faults, reject commands with a
//! stale fencing token, and record each start and halt as an event for the checker. The caller
//! supplies the time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use stonewheel_lending::{
    CommandKind, Exit, HostError, MachineCommand, MachineReport, Observation, RunReport, RunState,
    claim::{ClaimId, MachineName},
    ledger::LoanId,
};

/// An event on a machine, as recorded for the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Work of the claim started.
    Started(ClaimId),
    /// A start of the first claim arrived while work of the second one still ran under another
    /// loan.
    StartedOnBusyMachine(ClaimId, ClaimId),
    /// A halt arrived at running work.
    Halted(ClaimId),
    /// A checkpoint was terminated before its grace period ended.
    SaveCutShort(ClaimId),
    /// The machine is gone, together with the work of the claim if any ran there.
    MachineLost(Option<ClaimId>),
}

/// How the work of a claim behaves. By default it never completes and saves no checkpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Seconds of uninterrupted work until it is complete; None: never complete.
    pub work_s: Option<f64>,
    /// Seconds of work between checkpoints; 0 if the work never saves checkpoints.
    pub checkpoint_s: f64,
    /// Seconds that saving a checkpoint takes.
    pub save_s: f64,
    /// Whether a checkpoint that a halt requests never completes.
    pub save_hangs: bool,
    /// Whether every start fails.
    pub start_fails: bool,
}

/// The latest run on a machine.
#[derive(Clone, Debug)]
struct Run {
    loan: LoanId,
    claim: ClaimId,
    machines: u32,
    state: RunState,
    /// When the checkpoint in progress completes; None if it never does or none is in progress.
    save_ends_at: Option<Duration>,
    /// The end of the grace period of the halt.
    grace_ends_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Machine {
    zone: u8,
    session: u64,
    report_sequence: u64,
    token: u64,
    run: Option<Run>,
    last_heartbeat_at: Duration,
    unreachable_until: Duration,
    leaving: bool,
    /// Until when reports that show the end of a run are lost.
    end_hidden_until: Option<Duration>,
}

impl Run {
    fn is_live(&self) -> bool {
        !matches!(self.state, RunState::Ended(_))
    }

    fn new(loan: LoanId, claim: ClaimId, machines: u32, state: RunState) -> Self {
        Self { loan, claim, machines, state, save_ends_at: None, grace_ends_at: Duration::ZERO }
    }
}

/// The progress of a claim's work on all its machines.
#[derive(Clone, Debug, Default)]
struct Progress {
    done_s: f64,
    saved_s: f64,
    /// The time up to which progress is counted; None while the work doesn't run.
    counted_until: Option<Duration>,
}

/// All simulated machines.
#[derive(Default)]
pub struct Fleet {
    pub behaviours: BTreeMap<ClaimId, Behaviour>,
    machines: BTreeMap<MachineName, Machine>,
    gone: BTreeSet<MachineName>,
    progress: BTreeMap<ClaimId, Progress>,
    pub events: Vec<Event>,
    /// The number of halts of running work, by claim and loan.
    pub halts: BTreeMap<(ClaimId, LoanId), u32>,
    /// The number of executed start commands.
    pub starts: u32,
    /// The number of rejected commands with a stale fencing token.
    pub rejected_stale_commands: u32,
    /// Seconds of batch work lost, summed over the machines.
    pub lost_s: f64,
    /// Whether machines accept stale fencing tokens, a fault that the checker must detect.
    pub fencing_disabled: bool,
    now: Duration,
}

impl Fleet {
    pub fn new(machines: usize, zones: usize) -> Self {
        let machine = |index: usize| Machine {
            zone: (index % zones) as u8,
            session: 1,
            ..Machine::default()
        };
        let named =
            (0..machines).map(|index| (MachineName::from(format!("n-{index:04}")), machine(index)));
        Self { machines: named.collect(), ..Self::default() }
    }

    pub fn machine_names(&self) -> Vec<MachineName> {
        self.machines.keys().cloned().collect()
    }

    /// Returns the number of machines that are present and not about to be taken out of service.
    pub fn remaining_machines(&self) -> u32 {
        self.machines.values().filter(|machine| !machine.leaving).count() as u32
    }

    /// Returns the machines with work that has not ended, which includes saving, with their claims.
    pub fn running(&self) -> impl Iterator<Item = (&MachineName, &ClaimId)> {
        let machines = self.machines.iter();
        let is_live = |run: &&Run| !matches!(run.state, RunState::Ended(_));
        machines
            .filter_map(move |(m, machine)| Some((m, &machine.run.as_ref().filter(is_live)?.claim)))
    }

    /// Returns the number of machines on which a claim's work runs and is not being stopped.
    pub fn running_machines(&self, claim: &str) -> u32 {
        let runs = |run: &Run| &*run.claim == claim && run.state == RunState::Running;
        self.machines.values().filter(|m| m.run.as_ref().is_some_and(runs)).count() as u32
    }

    /// Returns the number of halts of batch work, counted per machine.
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

    /// Advances the time: work progresses, and checkpoints and runs complete.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let now = self.now;
        let claims: BTreeSet<ClaimId> = self.running().map(|(_, claim)| claim.clone()).collect();
        for claim in &claims {
            self.advance_claim(claim);
        }
        for machine in self.machines.values_mut() {
            let Some(run) = machine.run.as_mut() else { continue };
            if run.state == RunState::Saving && run.save_ends_at.is_some_and(|end| end <= now) {
                run.state = RunState::Ended(Exit::Saved);
                machine.report_sequence += 1;
                let progress = self.progress.entry(run.claim.clone()).or_default();
                progress.saved_s = progress.done_s;
            }
        }
    }

    /// Updates the progress of a claim. A gang progresses only while it runs on all its machines.
    fn advance_claim(&mut self, claim: &ClaimId) {
        let behaviour = self.behaviour(claim);
        let runs = self.machines.values().filter_map(|m| m.run.as_ref());
        let gang_size = runs.filter(|run| run.claim == *claim).map(|run| run.machines).max();
        let complete = self.running_machines(claim) >= gang_size.unwrap_or(1);
        let now = self.now;
        let progress = self.progress.entry(claim.clone()).or_default();
        if let Some(counted_until) = progress.counted_until {
            progress.done_s += (now - counted_until).as_secs_f64();
            if behaviour.checkpoint_s > 0.0 {
                let saved = (progress.done_s / behaviour.checkpoint_s).floor();
                progress.saved_s = progress.saved_s.max(saved * behaviour.checkpoint_s);
            }
        }
        progress.counted_until = complete.then_some(now);
        if complete && behaviour.work_s.is_some_and(|work_s| progress.done_s >= work_s) {
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
                machine.report_sequence += 1;
            }
        }
        if let Some(progress) = self.progress.get_mut(claim) {
            progress.counted_until = None;
        }
    }

    /// Resets the progress of a claim to its last checkpoint, since its work stopped without
    /// saving.
    fn lose_progress(&mut self, claim: &ClaimId) {
        self.advance_claim(claim);
        let machines = f64::from(self.running_machines(claim).max(1));
        // Replicas have no progress that could be lost.
        let batch = self.behaviours.contains_key(claim);
        if let Some(progress) = self.progress.get_mut(claim) {
            if batch {
                self.lost_s += (progress.done_s - progress.saved_s) * machines;
            }
            progress.done_s = progress.saved_s;
            progress.counted_until = None;
        }
    }

    /// Returns the reports of all machines. A reachable machine sends a new heartbeat that confirms
    /// the token. The report of an unreachable machine shows its current run, but with the token
    /// and the age of its last heartbeat.
    pub fn observe(&mut self, token: u64) -> Observation {
        let now = self.now;
        let mut reports = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.unreachable_until <= now {
                machine.token = machine.token.max(token);
                machine.report_sequence += 1;
                machine.last_heartbeat_at = now;
            }
            let claim = machine.run.as_ref().map(|run| run.claim.clone());
            let progress = claim.and_then(|claim| self.progress.get(&claim));
            let mut report = report(name, machine, progress, now);
            if machine.end_hidden_until.is_some_and(|until| now < until) {
                // The observer still sees the run saving.
                report.run = report.run.map(|run| RunReport { state: RunState::Saving, ..run });
            }
            reports.push(report);
        }
        Observation { reports, gone: self.gone.clone(), unmanaged_workloads: Vec::new() }
    }

    /// Executes a command.
    pub fn execute(&mut self, command: &MachineCommand) -> Result<(), HostError> {
        let now = self.now;
        let behaviour = match &command.kind {
            CommandKind::Start { claim, .. } => self.behaviour(claim),
            _ => Behaviour::default(),
        };
        let Some(machine) = self.machines.get_mut(&command.machine) else {
            return Err(HostError::Unavailable("gone".into()));
        };
        let stale = command.token < machine.token && !self.fencing_disabled;
        if stale || command.session != machine.session {
            self.rejected_stale_commands += u32::from(stale);
            return Err(HostError::Stale);
        }
        machine.token = machine.token.max(command.token);
        match &command.kind {
            CommandKind::Start { claim, machines } => {
                let latest = machine.run.as_ref();
                if latest.is_some_and(|run| run.loan >= command.loan) {
                    return Ok(());
                }
                if let Some(run) = latest.filter(|run| run.is_live()) {
                    self.events.push(Event::StartedOnBusyMachine(claim.clone(), run.claim.clone()));
                    return Err(HostError::Busy);
                }
                let state = if behaviour.start_fails {
                    RunState::Ended(Exit::Failed)
                } else {
                    RunState::Running
                };
                let claim = claim.clone();
                machine.run = Some(Run::new(command.loan, claim.clone(), *machines, state));
                machine.report_sequence += 1;
                self.starts += 1;
                if !behaviour.start_fails {
                    self.events.push(Event::Started(claim));
                }
            }
            CommandKind::Halt { grace } => self.halt(command, *grace),
            CommandKind::Terminate => self.terminate(command),
        }
        self.advance(now);
        Ok(())
    }

    fn halt(&mut self, command: &MachineCommand, grace: Duration) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&command.machine) else { return };
        if machine.run.as_ref().is_none_or(|run| run.loan < command.loan) {
            // Records the loan as ended, so that a start of this loan that arrives later has no
            // effect.
            let never_started = RunState::Ended(Exit::NeverStarted);
            let claim = ClaimId::from("");
            let (loan, machines, save_ends_at, grace_ends_at) = (command.loan, 1, None, now);
            machine.run = Some(Run {
                loan,
                claim,
                machines,
                state: never_started,
                save_ends_at,
                grace_ends_at,
            });
            machine.report_sequence += 1;
            return;
        }
        let Some(run) = machine.run.as_ref().filter(|run| run.loan == command.loan) else { return };
        if run.state != RunState::Running {
            return;
        }
        let claim = run.claim.clone();
        let behaviour = self.behaviour(&claim);
        self.events.push(Event::Halted(claim.clone()));
        *self.halts.entry((claim.clone(), command.loan)).or_default() += 1;
        if behaviour.checkpoint_s <= 0.0 || grace.as_secs_f64() < behaviour.save_s {
            self.terminate(command);
            return;
        }
        self.advance_claim(&claim);
        let done_s = self.progress.get(&claim).map_or(0.0, |progress| progress.done_s);
        // If a periodic checkpoint is in progress, the halt waits only for its remaining time.
        let since_checkpoint = done_s % behaviour.checkpoint_s;
        let checkpointing = done_s >= behaviour.checkpoint_s && since_checkpoint < behaviour.save_s;
        let duration_s =
            if checkpointing { behaviour.save_s - since_checkpoint } else { behaviour.save_s };
        let save_ends_at = now + Duration::from_secs_f64(duration_s);
        let Some(machine) = self.machines.get_mut(&command.machine) else { return };
        machine.report_sequence += 1;
        if let Some(run) = machine.run.as_mut() {
            run.state = RunState::Saving;
            run.save_ends_at = (!behaviour.save_hangs).then_some(save_ends_at);
            run.grace_ends_at = now + grace;
        }
        self.advance_claim(&claim);
    }

    fn terminate(&mut self, command: &MachineCommand) {
        let Some(machine) = self.machines.get(&command.machine) else { return };
        let Some(run) = machine.run.as_ref().filter(|run| run.loan == command.loan) else { return };
        if matches!(run.state, RunState::Ended(_)) {
            return;
        }
        let claim = run.claim.clone();
        if run.state == RunState::Saving && self.now < run.grace_ends_at {
            self.events.push(Event::SaveCutShort(claim.clone()));
        }
        self.lose_progress(&claim);
        if let Some(machine) = self.machines.get_mut(&command.machine) {
            machine.report_sequence += 1;
            if let Some(run) = machine.run.as_mut() {
                run.state = RunState::Ended(Exit::Lost);
            }
        }
    }

    /// Removes a machine and everything on it.
    pub fn lose_machine(&mut self, name: &MachineName) {
        let Some(machine) = self.machines.remove(name) else { return };
        self.gone.insert(name.clone());
        let live = machine.run.filter(Run::is_live);
        let claim = live.map(|run| run.claim);
        if let Some(claim) = &claim {
            self.lose_progress(claim);
        }
        self.events.push(Event::MachineLost(claim));
    }

    /// Returns a machine to the cloud, unless the token is stale.
    pub fn retire(&mut self, name: &MachineName, token: u64) -> Result<(), HostError> {
        if self.machines.get(name).is_some_and(|machine| token < machine.token) {
            return Err(HostError::Stale);
        }
        self.lose_machine(name);
        Ok(())
    }

    /// Makes a machine unreachable for some time; work on it continues.
    pub fn make_unreachable(&mut self, name: &MachineName, time: Duration) {
        let until = self.now + time;
        self.update_machine(name, |machine| machine.unreachable_until = until);
    }

    pub fn is_reachable(&self, name: &MachineName) -> bool {
        self.machines.get(name).is_none_or(|machine| machine.unreachable_until <= self.now)
    }

    /// Announces that the cloud will take the machine out of service.
    pub fn announce_removal(&mut self, name: &MachineName) {
        self.update_machine(name, |machine| machine.leaving = true);
    }

    /// Loses the reports that show the end of a run for some time.
    pub fn hide_end_reports(&mut self, name: &MachineName, time: Duration) {
        let until = self.now + time;
        self.update_machine(name, |machine| machine.end_hidden_until = Some(until));
    }

    /// Restarts a machine: its work is lost, and a new session begins.
    pub fn restart(&mut self, name: &MachineName) {
        let claim =
            self.machines.get(name).and_then(|m| m.run.as_ref()).map(|run| run.claim.clone());
        if let Some(claim) = claim {
            self.lose_progress(&claim);
        }
        self.update_machine(name, |machine| {
            (machine.session, machine.report_sequence, machine.run) =
                (machine.session + 1, 0, None);
        });
    }

    fn update_machine(&mut self, name: &MachineName, change: impl FnOnce(&mut Machine)) {
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

    /// Returns the seconds of work of a claim that were done and not lost.
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
        sequence: machine.report_sequence,
        token: machine.token,
        heartbeat_age: now - machine.last_heartbeat_at,
        leaving: machine.leaving,
        run,
    }
}
