//! Room for requests that wait for a model: bounded in number and bytes.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How much of the room is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderUsage {
    /// Requests held.
    pub requests: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

/// The room of one controller, for all its models.
#[derive(Debug)]
pub(crate) struct Holder {
    requests: Arc<Semaphore>,
    bytes: Arc<Semaphore>,
    most: HolderUsage,
}

/// The room that one request takes while it is held.
#[derive(Debug)]
pub(crate) struct HeldRoom {
    _request: OwnedSemaphorePermit,
    _bytes: OwnedSemaphorePermit,
}

impl Holder {
    pub fn new(requests: usize, bytes: usize) -> Self {
        let bytes = bytes.min(Semaphore::MAX_PERMITS);
        Self {
            requests: Arc::new(Semaphore::new(requests)),
            bytes: Arc::new(Semaphore::new(bytes)),
            most: HolderUsage { requests, bytes },
        }
    }

    /// Room for a request with a body of so many bytes, or none: refuse it now.
    pub fn enter(&self, bytes: usize) -> Option<HeldRoom> {
        let bytes = u32::try_from(bytes).ok()?;
        let request = self.requests.clone().try_acquire_owned().ok()?;
        let bytes = self.bytes.clone().try_acquire_many_owned(bytes).ok()?;
        Some(HeldRoom { _request: request, _bytes: bytes })
    }

    pub fn usage(&self) -> HolderUsage {
        HolderUsage {
            requests: self.most.requests - self.requests.available_permits(),
            bytes: self.most.bytes - self.bytes.available_permits(),
        }
    }
}
