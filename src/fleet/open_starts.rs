//! Direct start commands without an answer, which a worker may still carry out.
//!
//! A request without an answer may still be carried out for as long as token and
//! incarnation match, and a worker that has forgotten an attempt starts it again. So
//! this module owns one invariant: **a start that was sent directly stays open until its
//! own request is answered, the worker shows a higher token than the request has, or the
//! worker's incarnation ends.** While it is open, the task's absence proves nothing, its
//! exit is not forgotten, and no other attempt of the task is placed on that machine. An
//! answer to another request, even one that carries the same start, settles nothing of it.

use std::collections::{BTreeMap, HashMap, hash_map::Entry};

use super::task_key::TaskKey;

/// One attempt to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskAttempt {
    /// The task.
    pub key: TaskKey,
    /// The number of the attempt; it only rises within a job.
    pub attempt: u64,
}

/// The starts of one request, and the token that it was sent with.
#[derive(Debug)]
struct SentStarts {
    token: u64,
    starts: Vec<TaskAttempt>,
}

/// Requests with starts that no answer has come for, of a worker's present
/// incarnation.
#[derive(Debug, Default)]
pub struct OpenStarts {
    requests: BTreeMap<u64, SentStarts>,
    /// In how many of them each start is.
    starts: HashMap<TaskAttempt, u32>,
}

impl OpenStarts {
    /// Records that a request with these starts leaves now.
    pub fn record_sent(&mut self, request: u64, token: u64, starts: Vec<TaskAttempt>) {
        for start in &starts {
            *self.starts.entry(start.clone()).or_default() += 1;
        }
        if !starts.is_empty() {
            self.requests.insert(request, SentStarts { token, starts });
        }
    }

    /// Closes a request that was carried out or refused, or never left.
    pub fn close(&mut self, request: u64) {
        let starts = self.requests.remove(&request).map(|sent| sent.starts);
        for start in starts.into_iter().flatten() {
            if let Entry::Occupied(mut requests) = self.starts.entry(start) {
                *requests.get_mut() -= 1;
                if *requests.get() == 0 {
                    requests.remove();
                }
            }
        }
    }

    /// The worker has seen this token, and takes no commands with a lower one: closes
    /// the requests that carry one.
    pub fn fence(&mut self, token: u64) {
        let lower = self.requests.iter().filter(|(_, sent)| sent.token < token);
        let void: Vec<u64> = lower.map(|(request, _)| *request).collect();
        for request in void {
            self.close(request);
        }
    }

    /// Whether a request has starts and no answer yet.
    pub fn is_open(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    /// Commands name an incarnation, and are void in the next one: closes all.
    pub fn end_incarnation(&mut self) {
        self.requests.clear();
        self.starts.clear();
    }

    /// Whether an attempt may still be started by a request in flight.
    pub fn contains(&self, key: &TaskKey, attempt: u64) -> bool {
        !self.starts.is_empty()
            && self.starts.contains_key(&TaskAttempt { key: key.clone(), attempt })
    }

    /// Whether any attempt of a task may still be started.
    pub fn contains_task(&self, key: &TaskKey) -> bool {
        self.starts.keys().any(|open| open.key == *key)
    }

    /// Whether any task of a job may still be started.
    pub fn contains_job(&self, job: &str) -> bool {
        self.starts.keys().any(|open| *open.key.job == *job)
    }

    /// The number of attempts that may still be started.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no start is open.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}

#[cfg(test)]
mod tests;
