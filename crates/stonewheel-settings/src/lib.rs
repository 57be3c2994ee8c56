//! Sections of the operators' file: read key by key, with every mistake named, and the
//! checks that several parts share.

#![warn(missing_docs)]

use std::collections::BTreeMap;

use thiserror::Error;

/// The longest name that becomes part of a key.
const LONGEST_NAME: usize = 64;
/// Priorities of jobs, in the submission's terms.
const PRIORITIES: [&str; 4] = ["production", "high", "standard", "best_effort"];

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

    /// A section that stands more than once.
    pub fn stands_twice(section: &str) -> Self {
        Self { field: section.into(), reason: "stands twice".into() }
    }
}

/// The keys of one section that nobody has asked for yet.
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

    /// A value as it stands, or the default; without one the key must be there.
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

    /// Whoever mistypes a key is told: no key is left that nobody asked for.
    pub fn end(self) -> Result<(), FieldError> {
        match self.keys.keys().next() {
            Some(key) => Err(self.error(key, "unknown key")),
            None => Ok(()),
        }
    }
}

/// Whether a name fits a key: `section` is where it stands.
pub fn check_name(section: &str, name: &str) -> Result<(), FieldError> {
    let fits =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= LONGEST_NAME && name.bytes().all(fits) {
        return Ok(());
    }
    let reason = "a name has 1 to 64 of a to z, 0 to 9, '-', '_' and '.'";
    Err(FieldError { field: section.into(), reason: reason.into() })
}

/// A check: one of the priorities of jobs.
pub fn known_priority(value: &str, _: &()) -> garde::Result {
    if PRIORITIES.contains(&value) {
        return Ok(());
    }
    Err(garde::Error::new(format!("must be one of {}", PRIORITIES.join(", "))))
}

/// A check: the path of a URL.
pub fn path(value: &str, _: &()) -> garde::Result {
    if value.starts_with('/') && value.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(garde::Error::new("must begin with / and hold no spaces"))
}

/// A check: a whole number.
pub fn whole(value: &f64, _: &()) -> garde::Result {
    if value.fract() == 0.0 { Ok(()) } else { Err(garde::Error::new("must be a whole number")) }
}
