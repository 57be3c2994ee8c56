//! Parsing of the sections of the operators' file, key by key, with errors that name the
//! invalid key, and validators that several parts share.
//!
//! A *part* is an optional component of the service that its sections enable: activation
//! (scale to zero), rollout, or lending.

#![warn(missing_docs)]

mod checks;
mod error;
mod part;
mod section;

pub use checks::{
    MAX_TIME_S, MIN_TIME_S, at_least, at_most, known_priority, url_path, whole_number,
};
pub use error::FieldError;
pub use part::{Part, PartSections};
pub use section::{Section, check_name};
