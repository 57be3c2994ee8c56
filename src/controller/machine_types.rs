//! The cloud's machine types, and whether their record is up to date.

use std::sync::Arc;

use crate::{protocol::MachineType, scheduler::Resources};

/// The boot time that is assumed for an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// The machine types of the cloud.
pub(super) struct MachineTypes {
    types: Arc<Vec<MachineType>>,
    /// Whether the record holds these types, regardless of prices.
    stored: bool,
}

impl MachineTypes {
    /// Creates the types from their record, if there is one.
    pub(super) fn from_record(types: Option<Arc<Vec<MachineType>>>) -> Self {
        Self { types: types.unwrap_or_default(), stored: true }
    }

    /// Replaces the types by those that the cloud offers now. An empty list changes nothing and
    /// returns false.
    pub(super) fn update(&mut self, types: Vec<MachineType>) -> bool {
        if types.is_empty() {
            return false;
        }
        self.stored &= without_prices(&types) == without_prices(&self.types);
        self.types = Arc::new(types);
        true
    }

    /// Returns the types to write and marks them as stored. None if the record is up to date.
    pub(super) fn take_unstored(&mut self) -> Option<Arc<Vec<MachineType>>> {
        if self.stored || self.types.is_empty() {
            return None;
        }
        self.stored = true;
        Some(self.types.clone())
    }

    /// Records that the write of the record failed, so that it is repeated.
    pub(super) fn mark_unstored(&mut self) {
        self.stored = false;
    }

    /// Whether the record holds the types.
    pub(super) fn is_stored(&self) -> bool {
        self.stored
    }

    /// Returns all types in the cloud's order.
    pub(super) fn all(&self) -> Arc<Vec<MachineType>> {
        self.types.clone()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &MachineType> {
        self.types.iter()
    }

    /// Returns the type at an index.
    pub(super) fn get(&self, index: usize) -> Option<&MachineType> {
        self.types.get(index)
    }

    /// Returns the type with a name.
    pub(super) fn by_name(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| &*t.name == name)
    }

    /// Returns the index of the type with a name.
    pub(super) fn index_of(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| &*t.name == name)
    }

    /// Returns the usual boot time of a type, in seconds.
    pub(super) fn boot_s(&self, name: &str) -> f64 {
        self.by_name(name).map_or(DEFAULT_BOOT_S, |t| t.boot_s)
    }

    /// Returns the share of a machine that a task takes, as the minimum over all types and at
    /// most 1.
    pub(super) fn smallest_share(&self, need: &Resources) -> f64 {
        let shares = self.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
        shares.fold(f64::INFINITY, f64::min).min(1.0)
    }
}

/// Returns the types with all prices set to 0. Prices change too often to write the record for
/// each change.
fn without_prices(types: &[MachineType]) -> Vec<MachineType> {
    let without_price = |t: &MachineType| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() };
    types.iter().map(without_price).collect()
}
