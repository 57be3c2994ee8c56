//! Request bodies: read whole before a request is handled, within a time, and
//! within a budget of bytes, so that callers can't fill the memory of a small
//! machine by sending large bodies on all connections at once.

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

/// Bodies up to this size in bytes take nothing of the budget: the number of sockets
/// bounds what they hold.
const SMALL_BODY: usize = 4 * 1024;

/// The bodies of workers' heartbeats may take this part of the memory, and those of all
/// other requests as much again.
const MEMORY_PARTS: f64 = 8.0;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than `BODY_LIMIT`, or the connection failed.
    #[error("the body can't be read")]
    Unreadable,
    /// It did not arrive within the time-out.
    #[error("the body did not come in time")]
    TooSlow,
    /// The budget of its sender is used up.
    #[error("too many large bodies at once")]
    NoRoom,
}

/// Who sends a body. Workers have a budget of their own: their leases depend on
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A worker, with a heartbeat.
    Worker,
    /// A user, or the load balancer.
    Other,
}

/// A whole body, which holds its share of the budget until it is dropped.
#[derive(Debug)]
pub struct ReadBody {
    /// The body.
    pub bytes: Bytes,
    _reservation: Option<OwnedSemaphorePermit>,
}

/// Bytes that bodies may hold at once.
pub struct BodyBudget {
    workers: Arc<Semaphore>,
    others: Arc<Semaphore>,
    timeout: Duration,
}

impl BodyBudget {
    /// `memory`: all the bytes that the process may hold. `timeout`: how long a
    /// body may take to arrive.
    pub fn new(memory: f64, timeout: Duration) -> Self {
        // One body always has room.
        let bytes = ((memory / MEMORY_PARTS) as usize).max(BODY_LIMIT);
        Self {
            workers: Arc::new(Semaphore::new(bytes)),
            others: Arc::new(Semaphore::new(bytes)),
            timeout,
        }
    }

    /// Reads a body whole, or fails at once if there is no room for it.
    ///
    /// # Errors
    /// The body is too long, did not arrive in time, or exceeds the budget.
    pub async fn read<B>(&self, sender: Sender, body: B) -> Result<ReadBody, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        // A body of unknown length may become as long as any.
        let length = body.size_hint().exact().unwrap_or(BODY_LIMIT as u64);
        let length = usize::try_from(length).map_err(|_| BodyError::Unreadable)?;
        if length > BODY_LIMIT {
            return Err(BodyError::Unreadable);
        }
        let reservation =
            if length > SMALL_BODY { Some(self.reserve(sender, length)?) } else { None };
        let body = timeout(self.timeout, collect(body, length)).await;
        let bytes = body.map_err(|_| BodyError::TooSlow)??;
        Ok(ReadBody { bytes, _reservation: reservation })
    }

    fn reserve(&self, sender: Sender, length: usize) -> Result<OwnedSemaphorePermit, BodyError> {
        let budget = match sender {
            Sender::Worker => &self.workers,
            Sender::Other => &self.others,
        };
        let length = u32::try_from(length).map_err(|_| BodyError::Unreadable)?;
        budget.clone().try_acquire_many_owned(length).map_err(|_| BodyError::NoRoom)
    }
}

async fn collect<B>(body: B, length: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, BODY_LIMIT));
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Unreadable)?.into_data() else { continue };
        match &first {
            // Most bodies come in one piece, which is handed on as it is.
            None => first = Some(data),
            Some(begin) => {
                if rest.is_empty() {
                    rest.reserve(length);
                    rest.extend_from_slice(begin);
                }
                rest.extend_from_slice(&data);
            }
        }
    }
    Ok(if rest.is_empty() { first.unwrap_or_default() } else { rest.freeze() })
}

#[cfg(test)]
mod tests;
