//! Coordination between controllers: a session for each controller, the records that the
//! controllers share, and fenced writes, which fail once the writer has lost its session.
//!
//! A session is a key attached to a lease, as in etcd: the key exists as long as its holder
//! renews the lease, and the other controllers observe its deletion.
//!
//! All keys begin with [`PREFIX`], so that one watch and one session serve all parts of a
//! controller that are coordinated (activation, lending and rollout):
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `sp/c/{member}` | [`Session`] of a controller | attached to that controller's lease |
//! | `sp/{part}/...` | records of a part | see the crate of the part |

#![warn(missing_docs)]

mod coordinator;
mod records;
mod session;
mod store;
mod succession;

pub use coordinator::Coordinator;
pub use records::Records;
pub use session::{HeldSession, Owner, Session, Timing, session_key};
pub use stonewheel_state::Versioned;
pub use store::{Store, put};
pub use succession::{ADOPTION_DELAY_DIVISOR, Succession};

/// The prefix of the keys of all coordinated parts.
pub const PREFIX: &str = "sp/";
