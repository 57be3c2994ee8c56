//! The error type of all settings.

use thiserror::Error;

/// A mistake in the settings: the field and the reason why it is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {reason}")]
pub struct FieldError {
    /// The path of the key (TOML), or the section and the key (INI).
    pub field: String,
    /// The reason why the field is invalid.
    pub reason: String,
}

impl FieldError {
    /// Creates the error for a mistake in this field.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { field: field.into(), reason: reason.into() }
    }

    /// Creates the error for a section that the file contains more than once.
    pub fn duplicate_section(section: &str) -> Self {
        Self { field: section.into(), reason: "stands twice".into() }
    }
}
