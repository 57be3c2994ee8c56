//! Direct start commands that a worker may still carry out.
//!
//! A worker carries out a request, also a copy of one that it has answered, for as long as the
//! token and the incarnation of the request match its own. It ignores the start of an attempt
//! that it lists, and starts an attempt again that it has forgotten. This module maintains two
//! invariants:
//!
//! - **A direct start stays open until the request that carried it is answered, the worker
//!   reports a higher token than that of the request, or the worker's incarnation ends.** While
//!   a start is open, the absence of the task from a heartbeat is no proof of termination, the
//!   worker is not told to forget the task's exit, and no other attempt of the task is placed
//!   on that machine. An answer to another request does not close the start, even if both
//!   requests carry the same start.
//! - **An answered start may be repeated until the worker has a higher token than its
//!   request.** So a message with forget commands carries a higher token than all requests
//!   with starts before it.

use std::collections::{BTreeMap, HashMap, hash_map::Entry};

use super::task_key::TaskKey;

/// One attempt to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskAttempt {
    /// The task.
    pub key: TaskKey,
    /// The attempt number, which never decreases within a job.
    pub attempt: u64,
}

/// The start commands of one request, and the token that the request carries.
#[derive(Debug)]
struct SentStarts {
    token: u64,
    starts: Vec<TaskAttempt>,
}

/// The unanswered requests with start commands to the current incarnation of one worker.
#[derive(Debug, Default)]
pub struct OpenStarts {
    requests: BTreeMap<u64, SentStarts>,
    /// The number of open requests that carry each start.
    request_counts: HashMap<TaskAttempt, u32>,
    /// The highest token of all requests with starts, answered ones included.
    highest_sent_token: Option<u64>,
}

impl OpenStarts {
    /// Records that a request with these starts is sent now.
    pub fn record_sent(&mut self, request: u64, token: u64, starts: Vec<TaskAttempt>) {
        for start in &starts {
            *self.request_counts.entry(start.clone()).or_default() += 1;
        }
        if !starts.is_empty() {
            self.highest_sent_token = self.highest_sent_token.max(Some(token));
            self.requests.insert(request, SentStarts { token, starts });
        }
    }

    /// Closes a request that was carried out or refused, or was never delivered.
    pub fn close(&mut self, request: u64) {
        let starts = self.requests.remove(&request).map(|sent| sent.starts);
        for start in starts.into_iter().flatten() {
            if let Entry::Occupied(mut requests) = self.request_counts.entry(start) {
                *requests.get_mut() -= 1;
                if *requests.get() == 0 {
                    requests.remove();
                }
            }
        }
    }

    /// Closes the requests with a lower token than `token`, which the worker has seen: it
    /// refuses them from now on.
    pub fn fence(&mut self, token: u64) {
        let lower = self.requests.iter().filter(|(_, sent)| sent.token < token);
        let refused: Vec<u64> = lower.map(|(request, _)| *request).collect();
        for request in refused {
            self.close(request);
        }
    }

    /// Whether a request carries starts and is still unanswered.
    pub fn is_open(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    /// Closes all requests, since a new incarnation of the worker refuses commands that were
    /// addressed to the previous one.
    pub fn end_incarnation(&mut self) {
        self.requests.clear();
        self.request_counts.clear();
        self.highest_sent_token = None;
    }

    /// Whether a worker whose highest known token is `token` would carry out a copy of a
    /// request with starts.
    pub fn copies_are_valid_at(&self, token: u64) -> bool {
        self.highest_sent_token.is_some_and(|sent| sent >= token)
    }

    /// Whether an open request may still start an attempt.
    pub fn contains(&self, key: &TaskKey, attempt: u64) -> bool {
        !self.request_counts.is_empty()
            && self.request_counts.contains_key(&TaskAttempt { key: key.clone(), attempt })
    }

    /// Whether an open request may still start any attempt of a task.
    pub fn contains_task(&self, key: &TaskKey) -> bool {
        self.request_counts.keys().any(|open| open.key == *key)
    }

    /// Whether an open request may still start any task of a job.
    pub fn contains_job(&self, job: &str) -> bool {
        self.request_counts.keys().any(|open| *open.key.job == *job)
    }

    /// The number of attempts that may still be started.
    pub fn len(&self) -> usize {
        self.request_counts.len()
    }

    /// Whether no start is open.
    pub fn is_empty(&self) -> bool {
        self.request_counts.is_empty()
    }
}

#[cfg(test)]
mod tests;
