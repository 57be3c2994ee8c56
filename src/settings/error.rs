//! The error of all settings files.

use stonewheel_settings::FieldError;
use thiserror::Error;

/// A mistake in a settings file: one line that names the file, the field and the reason.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {field}: {reason}")]
pub struct SettingsError {
    /// The file as it was named on the command line.
    pub file: String,
    /// The path of the key, or the section and key.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl SettingsError {
    /// A mistake in a field of this file.
    pub(super) fn new(file: &str, error: FieldError) -> Self {
        Self { file: file.into(), field: error.field, reason: error.reason }
    }
}
