//! A section of an INI file that is read key by key.

use std::collections::BTreeMap;

use crate::error::FieldError;

/// The maximum length in bytes of a name that is part of a state service key.
const MAX_NAME_BYTES: usize = 64;

/// A section with the keys that have not been read yet.
pub struct Section<'a> {
    name: &'a str,
    keys: BTreeMap<&'a str, &'a str>,
}

impl<'a> Section<'a> {
    /// Creates a section. Fails if a key is set twice.
    pub fn new(name: &'a str, pairs: &[(&'a str, &'a str)]) -> Result<Self, FieldError> {
        let mut section = Self { name, keys: BTreeMap::new() };
        for (key, value) in pairs {
            if section.keys.insert(key, value).is_some() {
                return Err(section.error(key, "is set twice"));
            }
        }
        Ok(section)
    }

    /// Creates the error for a mistake in one of the section's keys.
    pub fn error(&self, key: &str, reason: &str) -> FieldError {
        FieldError { field: format!("{}.{key}", self.name), reason: reason.into() }
    }

    /// Reads the text of a key. Returns the default if the key is absent, and fails if there is
    /// no default either.
    pub fn text(&mut self, key: &str, default: Option<&str>) -> Result<String, FieldError> {
        match self.keys.remove(key).or(default) {
            Some(value) => Ok(value.to_owned()),
            None => Err(self.error(key, "is missing")),
        }
    }

    /// Reads the finite number of a key. Returns the default if the key is absent, and fails if
    /// there is no default either.
    pub fn number(&mut self, key: &str, default: Option<f64>) -> Result<f64, FieldError> {
        match (self.keys.remove(key), default) {
            (Some(text), _) => {
                let number = text.parse::<f64>().ok().filter(|number| number.is_finite());
                number.ok_or_else(|| self.error(key, "must be a finite number"))
            }
            (None, Some(default)) => Ok(default),
            (None, None) => Err(self.error(key, "is missing")),
        }
    }

    /// Fails if the section has a key that was not read, for instance a mistyped one.
    pub fn reject_unknown_keys(self) -> Result<(), FieldError> {
        match self.keys.keys().next() {
            Some(key) => Err(self.error(key, "unknown key")),
            None => Ok(()),
        }
    }
}

/// Checks that a name can be part of a state service key. Errors name `section` as the field.
pub fn check_name(section: &str, name: &str) -> Result<(), FieldError> {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let reason = "a name has 1 to 64 of a to z, 0 to 9, '-', '_' and '.'";
    Err(FieldError { field: section.into(), reason: reason.into() })
}
