//! The operators' own settings (INI).

use stonewheel_activation::ActivationSettings;
use stonewheel_lending::LendingSettings;
use stonewheel_rollout::Rollouts;
use stonewheel_settings::FieldError;

use super::error::SettingsError;

/// What operators may set for themselves, with the project's defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Seconds between two rounds of the autoscaler (the design's Δ).
    pub round_s: f64,
    /// A running width changes only for at least this share more in total.
    pub resize_gain: f64,
    /// A gang's factor at width k is k / (1 + slope (k - 1)).
    pub gang_slope: f64,
    /// Idle machines are returned after this share of their type's boot time.
    pub idle_boots: f64,
    /// Empty machines kept ready, as a share of the root of the load of
    /// classes with an aim on waiting.
    pub headroom: f64,
    /// Machines that the fleet may have, or 0 if nobody has said. Nothing is
    /// refused beyond it: it serves to check the other settings.
    pub expected_machines: f64,
    /// Models that scale to zero, if that is switched on.
    pub activation: Option<ActivationSettings>,
    /// Services that are rolled out in steps, if that is switched on.
    pub rollout: Option<Rollouts>,
    /// Lending machines to batch work, if that is switched on.
    pub lending: Option<LendingSettings>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            round_s: 4.0,
            resize_gain: 0.05,
            gang_slope: 0.1,
            idle_boots: 0.25,
            headroom: 0.4,
            expected_machines: 0.0,
            activation: None,
            rollout: None,
            lending: None,
        }
    }
}

impl OperatorSettings {
    /// Reads the INI file; unknown sections and keys are mistakes here, since
    /// an operator who mistypes a key would otherwise never learn of it.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        Self::parse_fields(text).map_err(|error| SettingsError::new(file, error))
    }

    fn parse_fields(text: &str) -> Result<Self, FieldError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|error| FieldError::new("syntax", error.to_string()))?;
        let sections =
            || ini.iter().filter_map(|(name, keys)| Some((name?, keys.iter().collect())));
        let mut operator = Self {
            activation: stonewheel_activation::parse_sections(sections())?,
            rollout: stonewheel_rollout::parse_sections(sections())?,
            lending: stonewheel_lending::parse_sections(sections())?,
            ..Self::default()
        };
        for (section, keys) in ini.iter().filter(|(name, _)| !name.is_some_and(is_of_a_part)) {
            for (key, value) in keys.iter() {
                operator.set(&format!("{}.{key}", section.unwrap_or("")), value)?;
            }
        }
        if operator.round_s <= 0.0 {
            return Err(FieldError::new("scheduler.round_s", "must be more than 0"));
        }
        Ok(operator)
    }

    /// Sets the number that `field`, a section and key, stands for.
    fn set(&mut self, field: &str, value: &str) -> Result<(), FieldError> {
        let slot = match field {
            "scheduler.round_s" => &mut self.round_s,
            "scheduler.resize_gain" => &mut self.resize_gain,
            "scheduler.gang_slope" => &mut self.gang_slope,
            "fleet.idle_boots" => &mut self.idle_boots,
            "fleet.headroom" => &mut self.headroom,
            "fleet.expected_machines" => &mut self.expected_machines,
            _ => return Err(FieldError::new(field, "unknown key")),
        };
        let number = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        *slot = number.ok_or_else(|| FieldError::new(field, "must be a number of at least 0"))?;
        Ok(())
    }
}

/// Whether a section is read by a part of its own.
fn is_of_a_part(section: &str) -> bool {
    stonewheel_activation::is_section(section)
        || stonewheel_rollout::is_section(section)
        || stonewheel_lending::is_section(section)
}
