//! One section of an INI file, read key by key.

use std::collections::BTreeMap;

use crate::error::FieldError;

/// The longest name that becomes part of a key, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The keys of one section that have not been read yet.
pub struct Section<'a> {
    name: &'a str,
    keys: BTreeMap<&'a str, &'a str>,
}

impl<'a> Section<'a> {
    /// The keys of a section, each set once.
    pub fn new(name: &'a str, pairs: &[(&'a str, &'a str)]) -> Result<Self, FieldError> {
        let mut section = Self { name, keys: BTreeMap::new() };
        for (key, value) in pairs {
            if section.keys.insert(key, value).is_some() {
                return Err(section.error(key, "is set twice"));
            }
        }
        Ok(section)
    }

    /// A mistake in one of its keys.
    pub fn error(&self, key: &str, reason: &str) -> FieldError {
        FieldError { field: format!("{}.{key}", self.name), reason: reason.into() }
    }

    /// The text of a value, or the default; without one the key must be there.
    pub fn text(&mut self, key: &str, default: Option<&str>) -> Result<String, FieldError> {
        match self.keys.remove(key).or(default) {
            Some(value) => Ok(value.to_owned()),
            None => Err(self.error(key, "is missing")),
        }
    }

    /// A finite number, or the default; without one the key must be there.
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

    /// Mistyped keys are reported: each key must have been read.
    pub fn reject_unknown_keys(self) -> Result<(), FieldError> {
        match self.keys.keys().next() {
            Some(key) => Err(self.error(key, "unknown key")),
            None => Ok(()),
        }
    }
}

/// Whether a name fits a key: `section` is the field in errors.
pub fn check_name(section: &str, name: &str) -> Result<(), FieldError> {
    let fits =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(fits) {
        return Ok(());
    }
    let reason = "a name has 1 to 64 of a to z, 0 to 9, '-', '_' and '.'";
    Err(FieldError { field: section.into(), reason: reason.into() })
}
