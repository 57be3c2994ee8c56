//! Serves the claims inside their teams' guarantees: from free machines first, then by reclaiming
//! lent machines.

use super::{
    model::WaitReason,
    plan_builder::PlanBuilder,
    settle::{grace_ms, release_incomplete_gang, withdraw_requests},
    victims::Candidates,
};
use crate::{
    claim::{MachineName, TeamName},
    ledger::{ChangeReason, Entry},
};

/// Whether all claims inside their guarantees have their machines, or will have them once
/// reclaims are complete.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum GuaranteedSupply {
    Sufficient,
    Insufficient,
}

/// Serves the claims inside their guarantees, in admission order.
pub(super) fn serve(builder: &mut PlanBuilder<'_>) -> GuaranteedSupply {
    let inside =
        (0..builder.input.claims.len()).filter(|index| builder.accounts.claims[*index].inside);
    let inside: Vec<usize> = inside.collect();
    for &index in &inside {
        prefer_free_machines(builder, index);
    }
    withdraw_requests(builder);
    let mut supply = GuaranteedSupply::Sufficient;
    let mut candidates = Candidates::default();
    for index in inside {
        let reason = serve_claim(builder, index, &mut candidates);
        if matches!(reason, WaitReason::InsufficientCapacity | WaitReason::Queued) {
            supply = GuaranteedSupply::Insufficient;
        }
        builder.set_wait_reason(index, reason);
    }
    supply
}

/// Grants free machines in place of machines that are still being reclaimed, so that reclaim
/// requests whose halt has not been sent can be withdrawn.
fn prefer_free_machines(builder: &mut PlanBuilder<'_>, index: usize) {
    let incoming: Vec<MachineName> =
        builder.accounts.claims[index].incoming.iter().cloned().collect();
    for machine in incoming {
        let Some(entry) = builder.entry(&machine).cloned() else { continue };
        let waits = entry.is_stopping() && !builder.input.halted.contains(&entry.loan);
        // A gang starts only once it has all its machines, so replacing one pending reclaim doesn't
        // let it start earlier while others are pending.
        if !waits || builder.active(index).claim.is_gang() || builder.free.is_empty() {
            continue;
        }
        builder.set(&machine, Some(entry.without_claimant()));
        if builder.headroom(index) > 0 {
            grant_free(builder, index, 1);
        } else {
            builder.set(&machine, Some(entry));
        }
    }
}

fn serve_claim(
    builder: &mut PlanBuilder<'_>,
    index: usize,
    candidates: &mut Candidates,
) -> WaitReason {
    let active = builder.active(index);
    let account = &builder.accounts.claims[index];
    let (gang, stopping) = (active.claim.is_gang(), !account.stopping.is_empty());
    if gang && stopping {
        return WaitReason::Stopping;
    }
    let mut need = builder.missing_machines(index);
    if need > 0 && builder.is_full() {
        return WaitReason::Queued;
    }
    need -= adopt_unclaimed_reclaims(builder, index, need);
    let headroom = builder.headroom(index);
    let free = need.min(builder.free.len() as u32).min(headroom);
    let to_reclaim = need - free;
    let victims = candidates.choose(builder, index, to_reclaim, headroom - free);
    if gang && victims.machines < to_reclaim {
        release_incomplete_gang(builder, index);
        return if headroom < need {
            WaitReason::AtCeiling
        } else {
            WaitReason::InsufficientCapacity
        };
    }
    grant_free(builder, index, free);
    reclaim(builder, index, to_reclaim, &victims.claim_indexes);
    wait_reason(builder, index, headroom)
}

fn wait_reason(builder: &PlanBuilder<'_>, index: usize, headroom: u32) -> WaitReason {
    let account = &builder.accounts.claims[index];
    if builder.missing_machines(index) > 0 {
        return if headroom == 0 {
            WaitReason::AtCeiling
        } else {
            WaitReason::InsufficientCapacity
        };
    }
    match (account.incoming.len() as u32, account.stopping.is_empty()) {
        (0, true) => WaitReason::Served,
        (0, false) => WaitReason::Stopping,
        (machines, _) => WaitReason::Reclaiming { machines },
    }
}

fn grant_free(builder: &mut PlanBuilder<'_>, index: usize, count: u32) {
    for _ in 0..count {
        let Some(machine) = builder.free.pop_first() else { return };
        let active = builder.active(index);
        let (team, id) = (active.claim.team.clone(), active.id.clone());
        let entry = Entry::grant(builder.next_loan(), team, id, ChangeReason::Free);
        builder.set(&machine, Some(entry));
    }
}

/// Makes the claim the claimant of pending reclaims that have none, so that fewer further runs have
/// to be preempted. Returns the number of machines.
fn adopt_unclaimed_reclaims(builder: &mut PlanBuilder<'_>, index: usize, need: u32) -> u32 {
    if need == 0 {
        return 0;
    }
    let input = builder.input;
    let unclaimed = builder.accounts.unclaimed.iter().filter(|machine| {
        let of_other_claim =
            builder.entry(machine).is_some_and(|e| e.claim != builder.active(index).id);
        of_other_claim && input.machines.get(*machine).is_some_and(|v| v.usable() && !v.quarantined)
    });
    let unclaimed: Vec<MachineName> = unclaimed.take(need as usize).cloned().collect();
    let mut adopted = 0;
    for machine in unclaimed {
        let Some(entry) = builder.entry(&machine).cloned() else { continue };
        let active = builder.active(index);
        if builder.headroom(index) == 0 && entry.borrower != active.claim.team {
            continue;
        }
        let claimant = Some(active.id.clone());
        builder.set(&machine, Some(Entry { claimant, ..entry }));
        adopted += 1;
    }
    adopted
}

/// Requests the reclaim of whole runs, and makes the claim the claimant of as many of their
/// machines as it needs and its ceiling allows.
fn reclaim(builder: &mut PlanBuilder<'_>, index: usize, to_reclaim: u32, victim_indexes: &[usize]) {
    let grace_ms = grace_ms(builder);
    let id = builder.active(index).id.clone();
    let team = builder.active(index).claim.team.clone();
    let mut wanted = to_reclaim;
    for &victim in victim_indexes {
        let machines: Vec<MachineName> =
            builder.accounts.claims[victim].assigned.iter().cloned().collect();
        for machine in machines {
            let Some(entry) = builder.entry(&machine).cloned() else { continue };
            reassign_lender(builder, &entry, &team);
            let fits = builder.headroom(index) > 0 || entry.borrower == team;
            let claimant = (wanted > 0 && fits).then(|| id.clone());
            wanted -= u32::from(claimant.is_some());
            builder.change(&machine, entry.request(claimant, grace_ms, ChangeReason::Claimed));
        }
    }
}

/// Keeps the lender's guarantee covered when a machine lent on behalf of another team is reclaimed
/// for this team: a machine lent on behalf of this team counts for the other team from now on.
fn reassign_lender(builder: &mut PlanBuilder<'_>, entry: &Entry, team: &TeamName) {
    let Some(other) = entry.lender.as_ref().filter(|lender| *lender != team) else { return };
    let lent = builder.accounts.lent.get(team).and_then(|machines| machines.first().cloned());
    let Some(machine) = lent else { return };
    if let Some(lent) = builder.entry(&machine).cloned() {
        builder.set(&machine, Some(Entry { lender: Some(other.clone()), ..lent }));
    }
}
