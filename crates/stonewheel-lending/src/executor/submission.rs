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

/// The maximum number of attempts to write a claim while the outcome is unknown.
const MAX_CLAIM_ATTEMPTS: u32 = 8;

/// Whether a claim's record has to be written.
enum ClaimWrite {
    /// The stored record already has the requested content or a later state.
    AlreadyWritten,
    /// The record has to be written.
    Needed,
    /// A different claim has the id.
    IdTaken,
}

impl Executor {
    /// Submits a claim. Once this returns `Ok`, the claim is durable even if this controller fails.
    /// Repeating the call has no further effect.
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

    /// Withdraws a claim. A submission of the same id that is still in flight has no effect
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
                // The outcome is unknown; the refreshed records show whether the write was carried
                // out.
                Err(_) => self.coordinator.refresh().await,
            }
        }
        Err(ClaimFailure::Unknown)
    }

    /// Returns the status of a claim.
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

    /// Returns the active claims as last read, in admission order.
    pub fn active_claims(&self) -> Vec<ActiveClaim> {
        lock(&self.claims).active().to_vec()
    }
}
