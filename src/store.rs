//! The durable records, and the watch cache in which every node keeps them current.
//!
//! All records share one prefix, so one watch gives one total order:
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `sw/lead` | the leader, attached to its lease | a candidate |
//! | `sw/token` | the last fencing token, never leased | a candidate |
//! | `sw/types` | the machine types last seen | the leader |
//! | `sw/stray` | which controller rejected worker heartbeats while it could not reach the leader | any node |
//! | `sw/j/{job}` | the job as submitted, never changed | any node |
//! | `sw/p/{job}/{page}` | placements and progress of a page of tasks | the leader |
//! | `sw/e/{job}` | how the job ended, created once, kept for ever | leader (done), any node (cancelled) |

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
