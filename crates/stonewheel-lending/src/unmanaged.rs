//! Unmanaged workloads: work that a scheduler placed on a machine without a claim. For a
//! plan it counts as a loan of that machine.

use std::collections::BTreeMap;

use crate::{
    claim::{ActiveClaim, Claim, ClaimId, MachineName, TeamName},
    host::{RunReport, RunState, UnmanagedWorkload},
    ledger::{ChangeReason, Entry, Ledger, LoanId, Transition},
    planner::MachineView,
};

/// The ids of claims for unmanaged workloads begin with this, and no other: names don't
/// have a colon. Ids are stored with the loans that are reclaimed, so it never changes.
const UNMANAGED_CLAIM_PREFIX: &str = "resident:";

/// Whether a claim represents an unmanaged workload.
pub(crate) fn is_unmanaged(claim: &str) -> bool {
    claim.starts_with(UNMANAGED_CLAIM_PREFIX)
}

/// Claims and ledger for a plan, unmanaged workloads included.
pub(crate) struct CombinedState {
    pub claims: Vec<ActiveClaim>,
    pub ledger: Ledger,
    pub next_number: u64,
}

/// Adds a claim outside all guarantees and a loan for each unmanaged workload on a machine
/// that has no entry. `next_number`: the number of the holder's next loan.
pub(crate) fn combine(
    claims: &[ActiveClaim],
    ledger: &Ledger,
    unmanaged: &[UnmanagedWorkload],
    views: &mut BTreeMap<MachineName, MachineView>,
    epoch: u64,
    next_number: u64,
) -> CombinedState {
    let mut combined =
        CombinedState { claims: claims.to_vec(), ledger: ledger.clone(), next_number };
    for workload in unmanaged {
        let machine = &workload.machine;
        let Some(view) = views.get_mut(machine) else { continue };
        if ledger.get(machine).is_some() || !ledger.can_write(machine) {
            continue;
        }
        let loan = LoanId { epoch, number: combined.next_number };
        combined.next_number += 1;
        let claim = ClaimId::from(format!("{UNMANAGED_CLAIM_PREFIX}{machine}"));
        view.run = Some(RunReport {
            loan,
            claim: claim.clone(),
            state: RunState::Running,
            unsaved_s: workload.unsaved_s,
            checkpointing: false,
        });
        let entry =
            Entry::lend(loan, None, workload.team.clone(), claim.clone(), ChangeReason::Free);
        combined.ledger.set(&Transition { machine: machine.clone(), after: Some(entry) });
        // Of a team without a guarantee, so outside of one, and after all others.
        let (team, work) = (TeamName::from(""), workload.work);
        let unmanaged_claim = Claim { team, machines: 1, gpus: 0.0, work };
        combined.claims.push(ActiveClaim {
            id: claim,
            claim: unmanaged_claim,
            admission_order: u64::MAX,
        });
    }
    combined
}
