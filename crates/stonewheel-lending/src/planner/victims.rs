//! Victim selection: which runs are preempted for a claim. Whole ones, with the least lost
//! work.

use super::plan_builder::PlanBuilder;
use crate::{
    accounts::ClaimAccount,
    claim::{MachineName, Work},
    ledger::Entry,
};

/// Runs to stop.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Victims {
    /// Their claims' places.
    pub runs: Vec<usize>,
    /// Machines that the claim gets of them.
    pub machines: u32,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    run: usize,
    machines: u32,
    /// Seconds of work lost, a machine.
    loss_s: f64,
}

/// Runs that may be stopped, the least lost work first. Made once a plan, and only if
/// any claim needs one.
#[derive(Debug, Default)]
pub(super) struct Candidates(Option<Vec<Candidate>>);

/// Whose runs may be taken.
#[derive(Clone, Copy, PartialEq)]
enum Lenders {
    OwnTeam,
    AllTeams,
}

/// Runs chosen so far, and their machines: those of the claim's own team count against
/// its ceiling already.
#[derive(Debug, Default)]
struct Chosen {
    runs: Vec<Candidate>,
    own: u32,
    others: u32,
}

impl Chosen {
    /// Machines that the claim may take of these.
    fn machines(&self, headroom: u32) -> u32 {
        self.own + self.others.min(headroom)
    }
}

impl Candidates {
    /// Runs for so many machines, of which `headroom` may come from other teams.
    pub fn choose(
        &mut self,
        builder: &PlanBuilder<'_>,
        at: usize,
        lacking: u32,
        headroom: u32,
    ) -> Victims {
        if lacking == 0 {
            return Victims::default();
        }
        let ranked = self.0.get_or_insert_with(|| rank(builder));
        // What was chosen for an earlier claim is leaving.
        ranked.retain(|candidate| builder.accounts.claims[candidate.run].leaving.is_empty());
        let mut chosen = Chosen::default();
        // What the ceiling leaves to the team's own work comes from there.
        let own_only = lacking.saturating_sub(headroom);
        take(builder, at, ranked, &mut chosen, Lenders::OwnTeam, |chosen| chosen.own >= own_only);
        let enough = |chosen: &Chosen| chosen.machines(headroom) >= lacking;
        take(builder, at, ranked, &mut chosen, Lenders::AllTeams, enough);
        put_back(builder, at, &mut chosen, lacking, headroom);
        let machines = chosen.machines(headroom).min(lacking);
        Victims { runs: chosen.runs.iter().map(|candidate| candidate.run).collect(), machines }
    }
}

fn is_own(builder: &PlanBuilder<'_>, at: usize, candidate: &Candidate) -> bool {
    builder.active(candidate.run).claim.team == builder.active(at).claim.team
}

/// Takes runs in their order until it is enough.
fn take(
    builder: &PlanBuilder<'_>,
    at: usize,
    ranked: &[Candidate],
    chosen: &mut Chosen,
    lenders: Lenders,
    enough: impl Fn(&Chosen) -> bool,
) {
    for candidate in ranked {
        if enough(chosen) {
            return;
        }
        let own = is_own(builder, at, candidate);
        let taken = chosen.runs.iter().any(|c| c.run == candidate.run);
        if taken || (lenders == Lenders::OwnTeam && !own) {
            continue;
        }
        let count = if own { &mut chosen.own } else { &mut chosen.others };
        *count += candidate.machines;
        chosen.runs.push(*candidate);
    }
}

/// Removes victims that are not needed after all, those with the most lost work first.
fn put_back(
    builder: &PlanBuilder<'_>,
    at: usize,
    chosen: &mut Chosen,
    lacking: u32,
    headroom: u32,
) {
    for place in (0..chosen.runs.len()).rev() {
        let candidate = chosen.runs[place];
        let mut without = Chosen { runs: Vec::new(), own: chosen.own, others: chosen.others };
        let own = is_own(builder, at, &candidate);
        let count = if own { &mut without.own } else { &mut without.others };
        *count -= candidate.machines;
        if without.machines(headroom) >= lacking {
            (chosen.own, chosen.others) = (without.own, without.others);
            chosen.runs.remove(place);
        }
    }
}

/// Work outside its guarantee that saves in time and that nothing has stopped yet.
fn rank(builder: &PlanBuilder<'_>) -> Vec<Candidate> {
    let accounts = builder.accounts.claims.iter().enumerate();
    let lendable = accounts.filter(|(_, account)| {
        let runs = account.leaving.is_empty() && !account.held.is_empty();
        !account.inside && account.revocable && runs
    });
    let candidate = |(run, account): (usize, &ClaimAccount)| Candidate {
        run,
        machines: account.held.len() as u32,
        loss_s: loss_s(builder, run, account.held.iter()),
    };
    let mut ranked: Vec<Candidate> = lendable.map(candidate).collect();
    // Of equals the latest in admission order.
    ranked.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s).then(b.run.cmp(&a.run)));
    ranked
}

/// Seconds of work that stopping a run loses, a machine. An unreachable machine
/// may take its lease's time to be proven empty, and counts as that.
fn loss_s<'a>(
    builder: &PlanBuilder<'_>,
    run: usize,
    machines: impl Iterator<Item = &'a MachineName>,
) -> f64 {
    let Work::Batch { save_s, .. } = builder.active(run).claim.work else { return f64::INFINITY };
    let each = |machine: &MachineName| {
        let Some(entry) = builder.entry(machine) else { return 0.0 };
        machine_loss_s(builder, machine, entry, save_s)
    };
    machines.map(each).fold(0.0, f64::max)
}

fn machine_loss_s(
    builder: &PlanBuilder<'_>,
    machine: &MachineName,
    entry: &Entry,
    save_s: f64,
) -> f64 {
    let view = builder.input.machines.get(machine);
    let Some(view) = view.filter(|view| view.usable()) else {
        return builder.input.settings.times.worker_lease_s;
    };
    match view.live_run(entry.loan) {
        None => 0.0,
        // It joins the checkpoint that is under way.
        Some(run) if run.checkpointing => save_s,
        Some(run) => run.unsaved_s.min(save_s),
    }
}
