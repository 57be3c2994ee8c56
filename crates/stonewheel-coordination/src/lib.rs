//! Coordination between controllers: each controller's session, the records that they
//! share, and writes that are refused once their writer was replaced.
//!
//! A session is a key under a lease, as in etcd: it is there as long as its holder
//! renews the lease, and others see it end.
//!
//! All keys begin with [`PREFIX`], so that one watch and one session serve all parts:
//!
//! | key | value | held by |
//! | --- | --- | --- |
//! | `sp/c/{member}` | [`Session`] of a controller | that controller's lease |
//! | `sp/{part}/...` | whatever a part keeps there | see the part |

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

/// All keys of coordinated parts begin with this.
pub const PREFIX: &str = "sp/";
