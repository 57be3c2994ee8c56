//! The durable records in the state service, and the watch cache: the copy of them
//! that every controller keeps in memory.
//!
//! All records share one key prefix, so that a single watch delivers all changes in
//! one total order:
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `sw/lead` | the current leader, attached to the leader's lease | a candidate |
//! | `sw/token` | the highest fencing token assigned to a term so far, never attached to a lease | a candidate |
//! | `sw/types` | the machine types that the cloud offered last | the leader |
//! | `sw/stray` | the controller that last rejected worker heartbeats while it could not reach the leader | any controller |
//! | `sw/j/{job}` | the job as submitted, never changed | any controller |
//! | `sw/p/{job}/{page}` | placements and progress of one page of the job's tasks | the leader |
//! | `sw/e/{job}` | how the job ended, created once, never changed or deleted | the leader (done), any controller (cancelled) |

mod changes;
mod ended_jobs;
mod entries;
mod full_reading;
mod keys;
mod queries;
mod recent_cancellations;
mod records;
mod watch_cache;

pub use changes::Change;
pub use ended_jobs::EndedJobs;
pub use entries::{JobEntry, PageEntry};
pub use keys::{
    KEY_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY, REJECTED_HEARTBEATS_KEY, TOKEN_KEY, end_key,
    job_key, page_key,
};
pub use recent_cancellations::{Cancellation, CancellationsSince, RecentCancellations};
pub use records::{BoundTask, JobEnd, LeaderRecord, Page, TaskRange, to_raw_value};
pub use watch_cache::WatchCache;

#[cfg(test)]
mod tests;
