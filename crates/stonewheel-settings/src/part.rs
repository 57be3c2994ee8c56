//! The sections of one part of the service: a general one, which switches the part on, and
//! a named one for each of its subjects.

use std::collections::BTreeMap;

use crate::{
    error::FieldError,
    section::{Section, check_name},
};

/// How the sections of a part are called.
#[derive(Clone, Copy, Debug)]
pub struct PartSections {
    /// The section with what holds for the whole part.
    pub general: &'static str,
    /// What the names of the other sections begin with, up to and with the space.
    pub prefix: &'static str,
    /// The field of the validated settings that maps names to the other sections.
    pub table: &'static str,
}

/// The settings of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct Part<G, N> {
    /// What its general section says.
    pub general: G,
    /// What its named sections say, by name; there is at least one.
    pub named: BTreeMap<String, N>,
}

impl PartSections {
    /// Whether a section belongs to this part.
    pub fn contains(&self, section: &str) -> bool {
        section == self.general || section.starts_with(self.prefix)
    }

    /// Reads the sections of this part out of an INI file's. None if there is none of
    /// them. Sections of other parts are passed over.
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

    /// A part has a general section and a named one, or none of both.
    fn complete<G, N>(
        &self,
        general: Option<G>,
        named: BTreeMap<String, N>,
    ) -> Result<Option<Part<G, N>>, FieldError> {
        let needs = |field: String, section: String| {
            Err(FieldError::new(field, format!("needs a section [{section}]")))
        };
        match (general, named.keys().next()) {
            (Some(general), Some(_)) => Ok(Some(Part { general, named })),
            (Some(_), None) => needs(self.general.into(), format!("{}NAME", self.prefix)),
            (None, Some(name)) => needs(format!("{}{name}", self.prefix), self.general.into()),
            (None, None) => Ok(None),
        }
    }

    /// A mistake that the validation of the whole part found, in the file's terms.
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
