//! Limits on the requests that are held for models: their number and the bytes of their
//! bodies.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The part of the limits that held requests take up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderUsage {
    /// Number of held requests.
    pub requests: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

/// The limits of one controller, shared by all its models.
#[derive(Debug)]
pub(crate) struct Holder {
    requests: Arc<Semaphore>,
    bytes: Arc<Semaphore>,
    capacity: HolderUsage,
}

/// The capacity that one held request takes up, released when this is dropped.
#[derive(Debug)]
pub(crate) struct HoldPermit {
    _request: OwnedSemaphorePermit,
    _bytes: OwnedSemaphorePermit,
}

impl Holder {
    pub fn new(requests: usize, bytes: usize) -> Self {
        let bytes = bytes.min(Semaphore::MAX_PERMITS);
        Self {
            requests: Arc::new(Semaphore::new(requests)),
            bytes: Arc::new(Semaphore::new(bytes)),
            capacity: HolderUsage { requests, bytes },
        }
    }

    /// Takes capacity for a request with a body of this many bytes. None if a limit is
    /// reached: the request is to be refused immediately.
    pub fn try_acquire(&self, bytes: usize) -> Option<HoldPermit> {
        let bytes = u32::try_from(bytes).ok()?;
        let request = self.requests.clone().try_acquire_owned().ok()?;
        let bytes = self.bytes.clone().try_acquire_many_owned(bytes).ok()?;
        Some(HoldPermit { _request: request, _bytes: bytes })
    }

    pub fn usage(&self) -> HolderUsage {
        HolderUsage {
            requests: self.capacity.requests - self.requests.available_permits(),
            bytes: self.capacity.bytes - self.bytes.available_permits(),
        }
    }
}
