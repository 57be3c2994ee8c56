//! The error of all settings.

use thiserror::Error;

/// A mistake in the settings: which field, and what is wrong with it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct FieldError {
    /// The path of a key, or its section and name.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

impl FieldError {
    /// A mistake in this field.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { field: field.into(), reason: reason.into() }
    }

    /// A section that the file has more than once.
    pub fn duplicate_section(section: &str) -> Self {
        Self { field: section.into(), reason: "stands twice".into() }
    }
}
