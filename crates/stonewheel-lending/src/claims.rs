//! All claims as last read. A record is parsed again only when its version changed.

use std::collections::HashMap;

use stonewheel_coordination::Records;

use crate::claim::{ActiveClaim, ClaimId, ClaimRecord, claim_key, claims_prefix};

/// A claim's record and its version.
#[derive(Clone, Debug)]
struct StoredClaim {
    version: u64,
    /// None if the record can't be parsed; it is then ignored.
    record: Option<ClaimRecord>,
}

/// All stored claims.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    stored: HashMap<ClaimId, StoredClaim>,
    active: Vec<ActiveClaim>,
}

impl Claims {
    /// Updates the claims from the current records.
    pub fn refresh(&mut self, records: &Records) {
        let prefix = claims_prefix();
        let mut changed = false;
        let mut count = 0;
        for id in records.key_suffixes(&prefix) {
            count += 1;
            let version = records.version(&claim_key(id));
            if self.stored.get(id).is_none_or(|stored| stored.version != version) {
                let record = records.get::<ClaimRecord>(&claim_key(id)).map(|stored| stored.value);
                self.stored.insert(ClaimId::from(id), StoredClaim { version, record });
                changed = true;
            }
        }
        if count != self.stored.len() {
            self.stored.retain(|id, _| records.version(&claim_key(id)) > 0);
            changed = true;
        }
        if changed {
            self.sort_active();
        }
    }

    /// Rebuilds the list of active claims in admission order.
    fn sort_active(&mut self) {
        let active = self.stored.iter().filter_map(|(id, stored)| match &stored.record {
            Some(ClaimRecord::Active(claim)) => Some(ActiveClaim {
                id: id.clone(),
                claim: claim.clone(),
                admission_order: stored.version,
            }),
            _ => None,
        });
        self.active = active.collect();
        self.active.sort_by(|a, b| (a.admission_order, &a.id).cmp(&(b.admission_order, &b.id)));
    }

    /// Returns the active claims in admission order.
    pub fn active(&self) -> &[ActiveClaim] {
        &self.active
    }

    /// Returns a claim's record and version.
    pub fn get(&self, id: &str) -> Option<(&ClaimRecord, u64)> {
        let stored = self.stored.get(id)?;
        stored.record.as_ref().map(|record| (record, stored.version))
    }

    /// Returns the finished claims with the versions of their records.
    pub fn finished(&self) -> impl Iterator<Item = (&ClaimId, u64)> {
        let is_finished = |stored: &&StoredClaim| {
            matches!(stored.record, Some(ClaimRecord::Withdrawn | ClaimRecord::Done))
        };
        let stored = self.stored.iter();
        stored
            .filter(move |(_, stored)| is_finished(stored))
            .map(|(id, stored)| (id, stored.version))
    }
}
