//! The sections of one optional part of the service: a general section, which enables the part,
//! and one named section for each model, service or team that the part manages.

use std::collections::BTreeMap;

use crate::{
    error::FieldError,
    section::{Section, check_name},
};

/// The names of a part's sections.
#[derive(Clone, Copy, Debug)]
pub struct PartSections {
    /// The name of the general section, with the settings of the whole part.
    pub general: &'static str,
    /// The prefix of the names of all other sections, including the space ("model ").
    pub prefix: &'static str,
    /// The field of the validated settings that maps names to the named sections.
    pub table: &'static str,
}

/// The settings of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Part<G, N> {
    /// The settings of the general section.
    pub general: G,
    /// The settings of the named sections, by name without the prefix; at least one.
    pub named: BTreeMap<String, N>,
}

impl PartSections {
    /// Whether a section belongs to this part.
    pub fn contains(&self, section: &str) -> bool {
        section == self.general || section.starts_with(self.prefix)
    }

    /// Reads the sections of this part from all sections of an INI file, and ignores the other
    /// sections. Returns `None` if the file has no section of this part.
    pub fn read<'a, G, N>(
        &self,
        sections: impl Iterator<Item = (&'a str, Vec<(&'a str, &'a str)>)>,
        read_general: impl Fn(Section<'a>) -> Result<G, FieldError>,
        read_named: impl Fn(&'a str, Section<'a>) -> Result<N, FieldError>,
    ) -> Result<Option<Part<G, N>>, FieldError> {
        let mut general = None;
        let mut named = BTreeMap::new();
        for (section, pairs) in sections {
            let is_duplicate = if section == self.general {
                general.replace(read_general(Section::new(section, &pairs)?)?).is_some()
            } else if let Some(name) = section.strip_prefix(self.prefix) {
                check_name(section, name)?;
                let settings = read_named(name, Section::new(section, &pairs)?)?;
                named.insert(name.to_owned(), settings).is_some()
            } else {
                false
            };
            if is_duplicate {
                return Err(FieldError::duplicate_section(section));
            }
        }
        self.complete(general, named)
    }

    /// Checks that the file has both the general section and a named one, or neither.
    fn complete<G, N>(
        &self,
        general: Option<G>,
        named: BTreeMap<String, N>,
    ) -> Result<Option<Part<G, N>>, FieldError> {
        let missing_section = |field: String, section: String| {
            Err(FieldError::new(field, format!("needs a section [{section}]")))
        };
        match (general, named.keys().next()) {
            (Some(general), Some(_)) => Ok(Some(Part { general, named })),
            (Some(_), None) => missing_section(self.general.into(), format!("{}NAME", self.prefix)),
            (None, Some(name)) => {
                missing_section(format!("{}{name}", self.prefix), self.general.into())
            }
            (None, None) => Ok(None),
        }
    }

    /// Converts a validation error of the whole part into an error that names the section and
    /// the key of the file.
    pub fn validation_error(&self, found: Option<&(garde::Path, garde::Error)>) -> FieldError {
        let Some((path, error)) = found else {
            return FieldError::new(self.general, "is invalid");
        };
        let path = path.to_string();
        let in_table = path.strip_prefix(self.table).and_then(|rest| rest.strip_prefix('.'));
        let field = match in_table.and_then(|rest| rest.rsplit_once('.')) {
            Some((name, key)) => {
                format!("{}{}.{key}", self.prefix, name.trim_matches(['[', ']', '"']))
            }
            None => {
                let key = path.rsplit('.').next().unwrap_or(&path);
                format!("{}.{key}", self.general)
            }
        };
        FieldError::new(field, error.message())
    }
}
