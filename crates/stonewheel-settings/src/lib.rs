//! Sections of the operators' file: read key by key, with every mistake named, and the
//! checks that several parts share.

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
