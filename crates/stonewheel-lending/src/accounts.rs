//! Accounting: which claims are inside their teams' guarantees, and which machines claims and teams
//! use.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    claim::{ActiveClaim, ClaimId, MachineName, TeamName},
    ledger::{Entry, LoanState},
    settings::{LendingSettings, Teams},
};

/// Returns, for each claim, whether it is inside its team's guarantee. A claim is inside if it fits
/// into the guarantee together with all claims of the team that are counted before it. Irrevocable
/// claims are counted first, then revocable ones, each group in admission order.
pub fn inside_guarantee(claims: &[ActiveClaim], teams: &Teams, grace_s: f64) -> Vec<bool> {
    let mut inside = vec![false; claims.len()];
    let mut requested: HashMap<&TeamName, u32> = HashMap::new();
    for revocable in [false, true] {
        for (index, active) in claims.iter().enumerate() {
            let claim = &active.claim;
            if claim.is_revocable(grace_s) != revocable {
                continue;
            }
            let requested = requested.entry(&claim.team).or_default();
            *requested = requested.saturating_add(claim.machines);
            inside[index] = teams.get(&claim.team).is_some_and(|team| *requested <= team.guarantee);
        }
    }
    inside
}

/// Returns the number of machines that each team's claims inside its guarantee request.
pub fn entitlements(
    claims: &[ActiveClaim],
    inside: &[bool],
    teams: &Teams,
) -> BTreeMap<TeamName, u32> {
    let mut entitlements: BTreeMap<TeamName, u32> =
        teams.keys().map(|team| (team.clone(), 0)).collect();
    for (active, _) in claims.iter().zip(inside).filter(|(_, inside)| **inside) {
        *entitlements.entry(active.claim.team.clone()).or_default() += active.claim.machines;
    }
    entitlements
}

/// The machines of one claim.
#[derive(Clone, Debug, Default)]
pub struct ClaimAccount {
    /// Whether the claim is inside its team's guarantee.
    pub inside: bool,
    /// Whether the claim's machines can be reclaimed within the grace period.
    pub revocable: bool,
    /// Machines that the claim's work may run on.
    pub assigned: BTreeSet<MachineName>,
    /// Machines on which the claim's work has to stop.
    pub stopping: BTreeSet<MachineName>,
    /// Machines that are being reclaimed for the claim.
    pub incoming: BTreeSet<MachineName>,
}

/// The numbers of machines that a team uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamAccount {
    /// Machines that the team's work may be on, including those on which it has to stop.
    pub used: u32,
    /// Machines that are being reclaimed for the team from work of other teams, or are released for
    /// it.
    pub incoming: u32,
    /// Machines that the team's claims inside its guarantee may run on.
    pub inside_assigned: u32,
}

/// The accounts of all claims and teams, updated whenever a ledger entry changes.
#[derive(Clone, Debug)]
pub struct Accounts {
    /// The accounts of all active claims, in admission order.
    pub claims: Vec<ClaimAccount>,
    index_by_claim: HashMap<ClaimId, usize>,
    claim_teams: Vec<TeamName>,
    teams: HashMap<TeamName, TeamAccount>,
    /// The number of machines with irrevocable work outside its guarantee, including machines on
    /// which that work is still stopping.
    pub outside_irrevocable: u32,
    /// Machines on which work has to stop and that have no claimant.
    pub unclaimed: BTreeSet<MachineName>,
    /// Lent machines, by the team whose guarantee they cover.
    pub lent: HashMap<TeamName, BTreeSet<MachineName>>,
}

/// Whether an entry is added to the accounts or removed.
#[derive(Clone, Copy, PartialEq)]
enum Sign {
    Add,
    Remove,
}

impl Accounts {
    /// Creates the accounts of a set of claims, without any machines.
    pub fn new(claims: &[ActiveClaim], settings: &LendingSettings) -> Self {
        let grace_s = settings.times.grace_s;
        let inside = inside_guarantee(claims, &settings.teams, grace_s);
        let account = |(active, inside): (&ActiveClaim, bool)| ClaimAccount {
            inside,
            revocable: active.claim.is_revocable(grace_s),
            ..ClaimAccount::default()
        };
        Self {
            claims: claims.iter().zip(inside).map(account).collect(),
            index_by_claim: claims
                .iter()
                .enumerate()
                .map(|(index, c)| (c.id.clone(), index))
                .collect(),
            claim_teams: claims.iter().map(|active| active.claim.team.clone()).collect(),
            teams: HashMap::new(),
            outside_irrevocable: 0,
            unclaimed: BTreeSet::new(),
            lent: HashMap::new(),
        }
    }

    /// Returns the index of an active claim.
    pub fn index_of(&self, claim: &str) -> Option<usize> {
        self.index_by_claim.get(claim).copied()
    }

    /// Returns the account of a team.
    pub fn team(&self, team: &TeamName) -> TeamAccount {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns how many machines of a team's guarantee are assigned to its claims inside the
    /// guarantee or lent on its behalf.
    pub fn covered(&self, team: &TeamName) -> u32 {
        let lent = self.lent.get(team).map_or(0, BTreeSet::len);
        self.team(team).inside_assigned + lent as u32
    }

    /// Adds a ledger entry to the accounts.
    pub fn add(&mut self, machine: &MachineName, entry: &Entry) {
        self.account(machine, entry, Sign::Add);
    }

    /// Removes a ledger entry from the accounts.
    pub fn remove(&mut self, machine: &MachineName, entry: &Entry) {
        self.account(machine, entry, Sign::Remove);
    }

    fn account(&mut self, machine: &MachineName, entry: &Entry, sign: Sign) {
        let borrower = self.index_of(&entry.claim);
        if entry.state != LoanState::Released {
            update_count(&mut self.teams.entry(entry.borrower.clone()).or_default().used, sign);
        }
        if let Some(lender) = entry.lender.as_ref().filter(|_| entry.may_run()) {
            update_set(self.lent.entry(lender.clone()).or_default(), machine, sign);
        }
        if entry.is_stopping() && entry.claimant.is_none() {
            update_set(&mut self.unclaimed, machine, sign);
        }
        if let Some(index) = borrower {
            let account = &mut self.claims[index];
            let (inside, irrevocable) = (account.inside, !account.inside && !account.revocable);
            // Until the work has provably ended, the machine covers no guarantee.
            if irrevocable && entry.state != LoanState::Released {
                update_count(&mut self.outside_irrevocable, sign);
            }
            if entry.may_run() {
                update_set(&mut account.assigned, machine, sign);
                if inside {
                    let team = self.teams.entry(entry.borrower.clone()).or_default();
                    update_count(&mut team.inside_assigned, sign);
                }
            } else if entry.is_stopping() {
                update_set(&mut account.stopping, machine, sign);
            }
        }
        self.account_claimant(machine, entry, sign);
    }

    fn account_claimant(&mut self, machine: &MachineName, entry: &Entry, sign: Sign) {
        let Some(index) = entry.claimant.as_ref().and_then(|claimant| self.index_of(claimant))
        else {
            return;
        };
        update_set(&mut self.claims[index].incoming, machine, sign);
        // A machine on which work of the same team is stopping is already counted as used.
        let team = &self.claim_teams[index];
        if entry.state == LoanState::Released || *team != entry.borrower {
            update_count(&mut self.teams.entry(team.clone()).or_default().incoming, sign);
        }
    }
}

fn update_count(count: &mut u32, sign: Sign) {
    *count = if sign == Sign::Add { *count + 1 } else { count.saturating_sub(1) };
}

fn update_set(machines: &mut BTreeSet<MachineName>, machine: &MachineName, sign: Sign) {
    if sign == Sign::Add {
        machines.insert(machine.clone());
    } else {
        machines.remove(machine);
    }
}
