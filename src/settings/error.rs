//! The error type of the settings files.

use stonewheel_settings::FieldError;
use thiserror::Error;

/// A mistake in a settings file: one line that names the file, the field and the reason.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    /// The path of the file as given on the command line.
    pub file: String,
    /// The path of the key (TOML), or the section and the key (INI).
    pub field: String,
    /// The reason why the field is invalid.
    pub reason: String,
}

impl SettingsError {
    /// Creates the error for a mistake in a field of this file.
    pub(super) fn new(file: &str, error: FieldError) -> Self {
        Self { file: file.into(), field: error.field, reason: error.reason }
    }
}
