//! Limits of the state service: the present ones, and those that come into force later.

use serde::Deserialize;
use stonewheel_settings::FieldError;

/// Conditions that the state service accepts for each write that a transaction may have.
const CONDITIONS_PER_WRITE: usize = 4;
/// The minimum of `txn_ops`: a job's end and the removal of its records must fit one transaction.
pub(super) const MIN_TRANSACTION_WRITES: usize = 4;
/// The minimum of `value_kb`: a submission with names of usual length must fit one value.
const MIN_VALUE_KB: f64 = 0.5;
pub(super) const BYTES_PER_KB: f64 = 1024.0;

/// The present limits of the state service, and the limits that it will have later.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB of one value.
    pub value_kb: f64,
    /// Puts and deletes of one transaction.
    pub txn_ops: usize,
    /// Limits that come into force at an unannounced moment.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Limits that the state service will have later. An absent limit does not change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    pub write_rps: Option<f64>,
    /// KiB of one value.
    pub value_kb: Option<f64>,
    /// Puts and deletes of one transaction.
    pub txn_ops: Option<usize>,
}

/// Limits of the state service that are valid now and later: the smaller of the present and the
/// coming value of each limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveLimits {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Puts and deletes a second.
    pub writes_per_s: f64,
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Puts and deletes of one transaction.
    pub transaction_writes: usize,
}

impl EffectiveLimits {
    /// Returns the maximum number of conditions in one transaction.
    pub fn transaction_conditions(&self) -> usize {
        self.transaction_writes * CONDITIONS_PER_WRITE
    }
}

impl NextStateLimits {
    /// Checks each limit separately.
    pub(super) fn check(&self) -> Result<(), FieldError> {
        let rates = [
            ("cluster.state.next.rps", self.rps),
            ("cluster.state.next.write_rps", self.write_rps),
        ];
        for (field, rate) in rates {
            if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
                return Err(FieldError::new(field, "must be more than 0"));
            }
        }
        if self.value_kb.is_some_and(|kb| !kb.is_finite() || kb < MIN_VALUE_KB) {
            return Err(FieldError::new("cluster.state.next.value_kb", "must be at least 0.5"));
        }
        if self.txn_ops.is_some_and(|writes| writes < MIN_TRANSACTION_WRITES) {
            return Err(FieldError::new("cluster.state.next.txn_ops", "must be at least 4"));
        }
        Ok(())
    }
}

impl StateLimits {
    /// Returns the limits that are valid at any time, whenever the coming ones take effect.
    pub fn effective(&self) -> EffectiveLimits {
        let next = &self.next;
        let value_kb = self.value_kb.min(next.value_kb.unwrap_or(f64::INFINITY));
        EffectiveLimits {
            requests_per_s: self.rps.min(next.rps.unwrap_or(f64::INFINITY)),
            writes_per_s: self.write_rps.min(next.write_rps.unwrap_or(f64::INFINITY)),
            value_bytes: (value_kb * BYTES_PER_KB) as usize,
            transaction_writes: self.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX)),
        }
    }
}
