//! Reading of request bodies. A body is buffered completely before its request is
//! handled. Reading is limited by a time-out and by a budget of bytes for all bodies,
//! so that callers can't fill the memory of a small machine by sending large bodies
//! on all connections at the same time.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use thiserror::Error;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Duration, timeout},
};

use crate::protocol::BODY_LIMIT;

/// Bodies up to this size reserve nothing from the budget: the limit on connections
/// already bounds the memory that they take.
const MAX_UNRESERVED_BODY_BYTES: usize = 4 * 1024;

/// The memory of the process divided by this is the budget for the bodies of workers'
/// heartbeats. The budget for the bodies of all other requests has the same size.
const MEMORY_DIVISOR: f64 = 8.0;

/// The reason why a body was not read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than `BODY_LIMIT`, or the connection failed.
    #[error("the body can't be read")]
    Unreadable,
    /// The body did not arrive within the time-out.
    #[error("the body did not come in time")]
    TooSlow,
    /// The budget for this kind of sender has too few free bytes.
    #[error("too many large bodies at once")]
    BudgetExhausted,
}

/// The kind of sender of a body. Workers have a separate budget, since their leases
/// expire when their heartbeats are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A worker that sends a heartbeat.
    Worker,
    /// A user or the load balancer.
    Other,
}

/// A completely received body. Its reservation in the budget is released on drop.
#[derive(Debug)]
pub struct BufferedBody {
    /// The content of the body.
    pub bytes: Bytes,
    _reservation: Option<OwnedSemaphorePermit>,
}

/// Limits on the memory that the bodies of all requests in progress may take.
pub struct BodyBudget {
    /// Free bytes for workers' heartbeats.
    workers: Arc<Semaphore>,
    /// Free bytes for all other requests.
    others: Arc<Semaphore>,
    /// How long a body may take to arrive.
    timeout: Duration,
}

impl BodyBudget {
    /// Creates the budgets of both kinds of senders. `memory_bytes`: the memory that the
    /// process may use. `timeout`: how long a body may take to arrive.
    pub fn new(memory_bytes: f64, timeout: Duration) -> Self {
        // Each budget admits at least one body of the largest size.
        let bytes = ((memory_bytes / MEMORY_DIVISOR) as usize).max(BODY_LIMIT);
        Self {
            workers: Arc::new(Semaphore::new(bytes)),
            others: Arc::new(Semaphore::new(bytes)),
            timeout,
        }
    }

    /// Reads a complete body. Fails immediately if the budget has too few free bytes.
    ///
    /// # Errors
    /// The body is too long, did not arrive in time, or exceeds the budget.
    pub async fn read<B>(&self, sender: Sender, body: B) -> Result<BufferedBody, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        // A body of unknown length reserves the largest size.
        let length = body.size_hint().exact().unwrap_or(BODY_LIMIT as u64);
        let length = usize::try_from(length).map_err(|_| BodyError::Unreadable)?;
        if length > BODY_LIMIT {
            return Err(BodyError::Unreadable);
        }
        let reservation = if length > MAX_UNRESERVED_BODY_BYTES {
            Some(self.reserve(sender, length)?)
        } else {
            None
        };
        let body = timeout(self.timeout, collect(body, length)).await;
        let bytes = body.map_err(|_| BodyError::TooSlow)??;
        Ok(BufferedBody { bytes, _reservation: reservation })
    }

    /// Reserves bytes in the budget of a kind of sender.
    fn reserve(&self, sender: Sender, length: usize) -> Result<OwnedSemaphorePermit, BodyError> {
        let budget = match sender {
            Sender::Worker => &self.workers,
            Sender::Other => &self.others,
        };
        let length = u32::try_from(length).map_err(|_| BodyError::Unreadable)?;
        budget.clone().try_acquire_many_owned(length).map_err(|_| BodyError::BudgetExhausted)
    }
}

/// Receives all frames of a body. `length`: the expected size, for the allocation.
async fn collect<B>(body: B, length: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, BODY_LIMIT));
    let mut first_frame: Option<Bytes> = None;
    let mut joined_frames = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Unreadable)?.into_data() else { continue };
        match &first_frame {
            // Most bodies arrive in a single frame, which is returned without a copy.
            None => first_frame = Some(data),
            Some(first) => {
                if joined_frames.is_empty() {
                    joined_frames.reserve(length);
                    joined_frames.extend_from_slice(first);
                }
                joined_frames.extend_from_slice(&data);
            }
        }
    }
    Ok(if joined_frames.is_empty() {
        first_frame.unwrap_or_default()
    } else {
        joined_frames.freeze()
    })
}

#[cfg(test)]
mod tests;
