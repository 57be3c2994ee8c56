//! Submission, withdrawal and status of claims, at any controller.

use stonewheel_coordination::put;
use stonewheel_protocol::Condition;
use stonewheel_state::{StateError, lock};

use super::{
    api::{ClaimFailure, ClaimStatus},
    state::Executor,
};
use crate::{
    claim::{ActiveClaim, Claim, ClaimError, ClaimRecord, claim_key},
    holder::{HOLDER_KEY, HolderRecord},
};

/// How often a write of a claim with an unknown outcome is tried.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// What a claim's record leaves to do.
enum ClaimWrite {
    /// Nothing: its record says this already.
    AlreadyWritten,
    /// It is to be written.
    Needed,
    /// Another claim has the id.
    IdTaken,
}

impl Executor {
    /// Submits a claim. When this returns it is durable, whatever becomes of this
    /// controller. A repeat has no further effect.
    pub async fn submit(&self, id: &str, claim: &Claim) -> Result<(), ClaimFailure> {
        claim.check(id, &self.settings)?;
        let record = ClaimRecord::Active(claim.clone());
        self.write_claim(id, &record, |stored| match stored {
            None => ClaimWrite::Needed,
            Some(ClaimRecord::Active(stored)) if stored != claim => ClaimWrite::IdTaken,
            Some(_) => ClaimWrite::AlreadyWritten,
        })
        .await
    }

    /// Withdraws a claim. A submission that is still on its way has no effect
    /// afterwards.
    pub async fn withdraw(&self, id: &str) -> Result<(), ClaimFailure> {
        self.write_claim(id, &ClaimRecord::Withdrawn, |stored| match stored {
            Some(ClaimRecord::Withdrawn | ClaimRecord::Done) => ClaimWrite::AlreadyWritten,
            None | Some(ClaimRecord::Active(_)) => ClaimWrite::Needed,
        })
        .await
    }

    async fn write_claim(
        &self,
        id: &str,
        record: &ClaimRecord,
        decide: impl Fn(Option<&ClaimRecord>) -> ClaimWrite,
    ) -> Result<(), ClaimFailure> {
        let key = claim_key(id);
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let (version, stored) = {
                let records = self.coordinator.records();
                if !records.loaded() {
                    return Err(ClaimFailure::Unavailable);
                }
                (records.version(&key), records.get::<ClaimRecord>(&key))
            };
            match decide(stored.as_ref().map(|stored| &stored.value)) {
                ClaimWrite::AlreadyWritten => return Ok(()),
                ClaimWrite::IdTaken => return Err(ClaimError::IdTaken.into()),
                ClaimWrite::Needed => {}
            }
            let write = put(key.clone(), record, None).map_err(|_| ClaimFailure::Unknown)?;
            let condition = Condition { key: key.clone(), version };
            match self.coordinator.commit(vec![condition], vec![write]).await {
                Ok(_) => return Ok(()),
                Err(StateError::Refused(_)) => return Err(ClaimFailure::Unavailable),
                // It shows in the records whether it was carried out.
                Err(_) => self.coordinator.refresh().await,
            }
        }
        Err(ClaimFailure::Unknown)
    }

    /// The status of a claim.
    pub fn status(&self, id: &str) -> ClaimStatus {
        let records = self.coordinator.records();
        match records.get::<ClaimRecord>(&claim_key(id)).map(|stored| stored.value) {
            None => return ClaimStatus::Unknown,
            Some(ClaimRecord::Withdrawn | ClaimRecord::Done) => return ClaimStatus::Finished,
            Some(ClaimRecord::Active(_)) => {}
        }
        let holder = records.get::<HolderRecord>(HOLDER_KEY);
        let holder = holder.and_then(|stored| Some(stored.value.owner?.member));
        drop(records);
        match lock(&self.term).as_ref() {
            Some(term) => ClaimStatus::Active(term.reasons.get(id).copied()),
            None => ClaimStatus::HeldElsewhere { holder },
        }
    }

    /// Active claims, as last read.
    pub fn active_claims(&self) -> Vec<ActiveClaim> {
        lock(&self.claims).active().to_vec()
    }
}
