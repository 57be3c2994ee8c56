//! Victim selection: chooses the runs that are preempted for a claim. Runs are preempted on all
//! their machines, those with the least lost work first.

use super::plan_builder::PlanBuilder;
use crate::{
    accounts::ClaimAccount,
    claim::{MachineName, Work},
    ledger::Entry,
};

/// Runs to preempt for a claim.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Victims {
    /// Indexes of the claims whose runs are preempted.
    pub claim_indexes: Vec<usize>,
    /// The number of machines that the claim gets from these runs.
    pub machines: u32,
}

/// A run that may be preempted.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    claim_index: usize,
    machines: u32,
    /// Seconds of work lost per machine.
    loss_s: f64,
}

/// Runs that may be preempted, those with the least lost work first. Ranked once per plan, when the
/// first claim needs victims.
#[derive(Debug, Default)]
pub(super) struct Candidates(Option<Vec<Candidate>>);

/// The teams whose runs may be chosen.
#[derive(Clone, Copy, PartialEq)]
enum VictimScope {
    SameTeam,
    AllTeams,
}

/// Runs chosen so far, and their machines. Machines of the claim's own team count against the
/// team's ceiling already, so they don't reduce its headroom.
#[derive(Debug, Default)]
struct Chosen {
    runs: Vec<Candidate>,
    same_team: u32,
    other_teams: u32,
}

impl Chosen {
    /// Returns the number of these machines that the claim may take.
    fn machines(&self, headroom: u32) -> u32 {
        self.same_team + self.other_teams.min(headroom)
    }
}

impl Candidates {
    /// Chooses runs that free `needed` machines, of which at most `headroom` come from other teams.
    pub fn choose(
        &mut self,
        builder: &PlanBuilder<'_>,
        claim_index: usize,
        needed: u32,
        headroom: u32,
    ) -> Victims {
        if needed == 0 {
            return Victims::default();
        }
        let ranked = self.0.get_or_insert_with(|| rank(builder));
        // Runs chosen for an earlier claim of this plan are stopping already.
        ranked
            .retain(|candidate| builder.accounts.claims[candidate.claim_index].stopping.is_empty());
        let mut chosen = Chosen::default();
        // Machines beyond the headroom can come only from the team's own runs.
        let same_team_only = needed.saturating_sub(headroom);
        choose_until(builder, claim_index, ranked, &mut chosen, VictimScope::SameTeam, |chosen| {
            chosen.same_team >= same_team_only
        });
        let enough = |chosen: &Chosen| chosen.machines(headroom) >= needed;
        choose_until(builder, claim_index, ranked, &mut chosen, VictimScope::AllTeams, enough);
        drop_unneeded(builder, claim_index, &mut chosen, needed, headroom);
        let machines = chosen.machines(headroom).min(needed);
        Victims {
            claim_indexes: chosen.runs.iter().map(|candidate| candidate.claim_index).collect(),
            machines,
        }
    }
}

fn is_same_team(builder: &PlanBuilder<'_>, claim_index: usize, candidate: &Candidate) -> bool {
    builder.active(candidate.claim_index).claim.team == builder.active(claim_index).claim.team
}

/// Chooses runs in ranking order until `enough` holds.
fn choose_until(
    builder: &PlanBuilder<'_>,
    claim_index: usize,
    ranked: &[Candidate],
    chosen: &mut Chosen,
    scope: VictimScope,
    enough: impl Fn(&Chosen) -> bool,
) {
    for candidate in ranked {
        if enough(chosen) {
            return;
        }
        let same_team = is_same_team(builder, claim_index, candidate);
        let already_chosen = chosen.runs.iter().any(|c| c.claim_index == candidate.claim_index);
        if already_chosen || (scope == VictimScope::SameTeam && !same_team) {
            continue;
        }
        let count = if same_team { &mut chosen.same_team } else { &mut chosen.other_teams };
        *count += candidate.machines;
        chosen.runs.push(*candidate);
    }
}

/// Removes chosen runs without which the claim still gets its machines, those with the most lost
/// work first.
fn drop_unneeded(
    builder: &PlanBuilder<'_>,
    claim_index: usize,
    chosen: &mut Chosen,
    needed: u32,
    headroom: u32,
) {
    for position in (0..chosen.runs.len()).rev() {
        let candidate = chosen.runs[position];
        let mut without = Chosen {
            runs: Vec::new(),
            same_team: chosen.same_team,
            other_teams: chosen.other_teams,
        };
        let same_team = is_same_team(builder, claim_index, &candidate);
        let count = if same_team { &mut without.same_team } else { &mut without.other_teams };
        *count -= candidate.machines;
        if without.machines(headroom) >= needed {
            (chosen.same_team, chosen.other_teams) = (without.same_team, without.other_teams);
            chosen.runs.remove(position);
        }
    }
}

/// Ranks the runs outside their guarantees that save within the grace period and are not stopping.
fn rank(builder: &PlanBuilder<'_>) -> Vec<Candidate> {
    let accounts = builder.accounts.claims.iter().enumerate();
    let lendable = accounts.filter(|(_, account)| {
        let runs = account.stopping.is_empty() && !account.assigned.is_empty();
        !account.inside && account.revocable && runs
    });
    let candidate = |(claim_index, account): (usize, &ClaimAccount)| Candidate {
        claim_index,
        machines: account.assigned.len() as u32,
        loss_s: loss_s(builder, claim_index, account.assigned.iter()),
    };
    let mut ranked: Vec<Candidate> = lendable.map(candidate).collect();
    // Among equal losses, the claim that was admitted last comes first.
    ranked.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s).then(b.claim_index.cmp(&a.claim_index)));
    ranked
}

/// Returns the seconds of work lost per machine if a run is preempted: the largest loss among its
/// machines. For an unreachable machine the loss is the worker lease, since it may take that long
/// to prove that the machine is empty.
fn loss_s<'a>(
    builder: &PlanBuilder<'_>,
    claim_index: usize,
    machines: impl Iterator<Item = &'a MachineName>,
) -> f64 {
    let Work::Batch { save_s, .. } = builder.active(claim_index).claim.work else {
        return f64::INFINITY;
    };
    let machine_loss = |machine: &MachineName| {
        let Some(entry) = builder.entry(machine) else { return 0.0 };
        machine_loss_s(builder, machine, entry, save_s)
    };
    machines.map(machine_loss).fold(0.0, f64::max)
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
        // The halt waits for the periodic checkpoint in progress.
        Some(run) if run.checkpointing => save_s,
        Some(run) => run.unsaved_s.min(save_s),
    }
}
