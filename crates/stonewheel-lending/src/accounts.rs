//! Who is inside a guarantee, and what teams hold.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    claim::{ActiveClaim, ClaimId, MachineName, TeamName},
    ledger::{Entry, LoanState},
    settings::{LendingSettings, Teams},
};

/// Which claims are inside their teams' guarantees: those that fit together with all
/// before them, the ones that can't be stopped first, each group in admission order.
pub fn inside_guarantee(claims: &[ActiveClaim], teams: &Teams, grace_s: f64) -> Vec<bool> {
    let mut inside = vec![false; claims.len()];
    let mut asked: HashMap<&TeamName, u32> = HashMap::new();
    for revocable in [false, true] {
        for (index, active) in claims.iter().enumerate() {
            let claim = &active.claim;
            if claim.is_revocable(grace_s) != revocable {
                continue;
            }
            let asked = asked.entry(&claim.team).or_default();
            *asked = asked.saturating_add(claim.machines);
            inside[index] = teams.get(&claim.team).is_some_and(|team| *asked <= team.guarantee);
        }
    }
    inside
}

/// What each team's claims inside its guarantee ask for.
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

/// What one claim has.
#[derive(Clone, Debug, Default)]
pub struct ClaimAccount {
    /// It is inside its team's guarantee.
    pub inside: bool,
    /// Its machines can be taken back within the grace period.
    pub revocable: bool,
    /// Machines that its work may run on.
    pub assigned: BTreeSet<MachineName>,
    /// Machines that its work is to leave.
    pub stopping: BTreeSet<MachineName>,
    /// Machines that are reclaimed for it.
    pub incoming: BTreeSet<MachineName>,
}

/// What a team uses, in machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamAccount {
    /// Machines that its work may be on, those included that it is to leave.
    pub used: u32,
    /// Machines that are reclaimed for it from other teams' work.
    pub incoming: u32,
    /// Machines that claims inside its guarantee may run on.
    pub inside_assigned: u32,
}

/// All that is held, kept up to date as entries change.
#[derive(Clone, Debug)]
pub struct Accounts {
    /// One for each claim, in admission order.
    pub claims: Vec<ClaimAccount>,
    index_by_claim: HashMap<ClaimId, usize>,
    claim_teams: Vec<TeamName>,
    teams: HashMap<TeamName, TeamAccount>,
    /// Machines that outside work which can't be stopped runs on, or still leaves.
    pub outside_irrevocable: u32,
    /// Machines that work is to leave, and that have no claimant.
    pub unclaimed: BTreeSet<MachineName>,
    /// Machines that are lent, by the team in whose name.
    pub lent: HashMap<TeamName, BTreeSet<MachineName>>,
}

/// Whether an entry is added to the accounts or taken out.
#[derive(Clone, Copy, PartialEq)]
enum Sign {
    Add,
    Remove,
}

impl Accounts {
    /// Nothing held yet.
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

    /// The index of an active claim.
    pub fn index_of(&self, claim: &str) -> Option<usize> {
        self.index_by_claim.get(claim).copied()
    }

    /// What a team uses.
    pub fn team(&self, team: &TeamName) -> TeamAccount {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Machines of a team's guarantee that it holds, or that are lent in its name.
    pub fn covered(&self, team: &TeamName) -> u32 {
        let lent = self.lent.get(team).map_or(0, BTreeSet::len);
        self.team(team).inside_assigned + lent as u32
    }

    /// Takes an entry into account.
    pub fn add(&mut self, machine: &MachineName, entry: &Entry) {
        self.account(machine, entry, Sign::Add);
    }

    /// Takes an entry out again.
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
            // Until it is proven gone it covers nobody's guarantee.
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
        // A machine that the same team leaves is counted already.
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
