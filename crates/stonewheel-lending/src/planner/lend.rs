//! Serves the claims outside their teams' guarantees: lends them the free machines that exceed
//! the reserve.

use super::{
    model::WaitReason, plan_builder::PlanBuilder, serve::GuaranteedSupply,
    settle::release_incomplete_gang,
};
use crate::{
    claim::{MachineName, TeamName},
    ledger::{ChangeReason, Entry},
    settings::Team,
};

/// Lends machines to claims outside their guarantees, in admission order. Lends nothing while a
/// claim inside its guarantee can't get all its machines.
pub(super) fn lend(builder: &mut PlanBuilder<'_>, supply: GuaranteedSupply) {
    let guaranteed = builder.input.settings.guaranteed();
    let covered = builder.usable >= guaranteed;
    reclaim_uncovered(builder);
    let lending_allowed =
        covered && supply == GuaranteedSupply::Sufficient && builder.input.may_lend;
    for index in 0..builder.input.claims.len() {
        if !builder.accounts.claims[index].inside {
            let reason = lend_to_claim(builder, index, lending_allowed);
            builder.set_wait_reason(index, reason);
        }
    }
}

/// Requests the reclaim of machines that are needed to cover the guarantees, but are assigned to
/// irrevocable work outside its guarantee. This happens after machines were lost. Machines on which
/// the work already runs stay assigned; on the others the work must not start (again).
fn reclaim_uncovered(builder: &mut PlanBuilder<'_>) {
    let guaranteed = builder.input.settings.guaranteed();
    for index in (0..builder.input.claims.len()).rev() {
        let account = &builder.accounts.claims[index];
        if account.inside || account.revocable {
            continue;
        }
        let assigned: Vec<MachineName> = account.assigned.iter().cloned().collect();
        for machine in assigned {
            let uncovered = builder.usable < guaranteed + builder.accounts.outside_irrevocable;
            let Some(entry) = builder.entry(&machine).cloned().filter(|_| uncovered) else { break };
            let view = builder.input.machines.get(&machine).filter(|view| view.confirmed);
            if view.is_some_and(|view| view.live_run(entry.loan).is_none()) {
                builder.change(&machine, entry.request(None, 0, ChangeReason::Uncovered));
            }
        }
    }
}

fn lend_to_claim(builder: &mut PlanBuilder<'_>, index: usize, lending_allowed: bool) -> WaitReason {
    let account = &builder.accounts.claims[index];
    let (stopping, revocable) = (!account.stopping.is_empty(), account.revocable);
    let need = builder.missing_machines(index);
    if need == 0 && !stopping {
        return WaitReason::Served;
    }
    let gang = builder.active(index).claim.is_gang();
    if need == 0 || (gang && stopping) {
        return WaitReason::Stopping;
    }
    if !lending_allowed {
        return WaitReason::NotLending;
    }
    if builder.is_full() {
        return WaitReason::Queued;
    }
    let headroom = builder.headroom(index);
    let capacity = if revocable {
        lendable_machines(builder)
    } else {
        lendable_machines(builder).min(uncommitted_machines(builder))
    };
    let count = need.min(headroom).min(capacity);
    if gang && count < need {
        release_incomplete_gang(builder, index);
    }
    if count == 0 || (gang && count < need) {
        let at_ceiling = headroom < need && (gang || headroom == 0);
        return if at_ceiling { WaitReason::AtCeiling } else { WaitReason::NoFreeMachine };
    }
    for _ in 0..count {
        lend_machine(builder, index, revocable);
    }
    if count < need { WaitReason::NoFreeMachine } else { WaitReason::Served }
}

/// Returns the number of free machines beyond those reserved for teams whose demand may rise.
fn lendable_machines(builder: &PlanBuilder<'_>) -> u32 {
    let reserve: u32 = builder.input.reserve.values().sum();
    (builder.free.len() as u32).saturating_sub(reserve)
}

/// Returns the number of usable machines that neither cover a guarantee nor run irrevocable work
/// outside its guarantee. Only these may be granted to such work: any other machine covers a
/// guarantee, and could not be reclaimed in time from irrevocable work.
fn uncommitted_machines(builder: &PlanBuilder<'_>) -> u32 {
    let guaranteed = builder.input.settings.guaranteed();
    builder.usable.saturating_sub(guaranteed + builder.accounts.outside_irrevocable)
}

fn lend_machine(builder: &mut PlanBuilder<'_>, index: usize, revocable: bool) {
    // Lends from the end of the set: claims inside their guarantees take from the front.
    let Some(machine) = builder.free.pop_last() else { return };
    let active = builder.active(index);
    let (team, id) = (active.claim.team.clone(), active.id.clone());
    let loan = builder.next_loan();
    let entry = if revocable {
        let lender = lender(builder);
        Entry::lend(loan, lender, team, id, ChangeReason::Free)
    } else {
        Entry::grant(loan, team, id, ChangeReason::Free)
    };
    builder.set(&machine, Some(entry));
}

/// Returns the team with the largest uncovered part of its guarantee: machines that are neither
/// assigned to the team's claims inside the guarantee nor lent on its behalf. None if all
/// guarantees are covered.
fn lender(builder: &PlanBuilder<'_>) -> Option<TeamName> {
    let teams = builder.input.settings.teams.iter();
    let uncovered_guarantee = |(name, team): (&TeamName, &Team)| {
        let covered = builder.accounts.covered(name);
        (team.guarantee.saturating_sub(covered), name.clone())
    };
    let largest =
        teams.map(uncovered_guarantee).max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)))?;
    (largest.0 > 0).then_some(largest.1)
}
