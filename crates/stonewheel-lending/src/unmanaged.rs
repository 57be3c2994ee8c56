//! Work that a scheduler placed on machines without asking is as good as lent there.

use std::collections::BTreeMap;

use crate::{
    claim::{ActiveClaim, Claim, ClaimId, MachineName, TeamName},
    host::{RunReport, RunState, UnmanagedWorkload},
    ledger::{Entry, Ledger, LoanId, Transition, Why},
    planner::MachineView,
};

/// No claim's id begins so: it has a character that names don't have.
const PREFIX: &str = "resident:";

/// Whether a claim stands for work that a scheduler placed.
pub(crate) fn is_unmanaged(claim: &str) -> bool {
    claim.starts_with(PREFIX)
}

/// What a plan is made from, residents included.
pub(crate) struct CombinedState {
    pub claims: Vec<ActiveClaim>,
    pub ledger: Ledger,
    pub next_number: u64,
}

/// Adds a claim outside all guarantees and a loan for each resident of a machine that
/// has no entry. `next_number`: the number of the holder's next loan.
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
        if ledger.get(machine).is_some() || !ledger.takes(machine) {
            continue;
        }
        let loan = LoanId { epoch, number: combined.next_number };
        combined.next_number += 1;
        let claim = ClaimId::from(format!("{PREFIX}{machine}"));
        view.run = Some(RunReport {
            loan,
            claim: claim.clone(),
            state: RunState::Running,
            unsaved_s: workload.unsaved_s,
            checkpointing: false,
        });
        let entry = Entry::lend(loan, None, workload.team.clone(), claim.clone(), Why::Free);
        combined.ledger.set(&Transition { machine: machine.clone(), after: Some(entry) });
        // Of no team that was promised anything, so outside, and after all others.
        let (team, work) = (TeamName::from(""), workload.work);
        let claim_of_it = Claim { team, machines: 1, gpus: 0.0, work };
        combined.claims.push(ActiveClaim { id: claim, claim: claim_of_it, order: u64::MAX });
    }
    combined
}
