//! The operators' settings (INI).

use stonewheel_activation::ActivationSettings;
use stonewheel_lending::LendingSettings;
use stonewheel_rollout::Rollouts;
use stonewheel_settings::FieldError;

use super::error::SettingsError;

/// The settings that operators choose themselves, with defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// The time between two rounds, the leader's full scheduling passes, in seconds.
    pub round_s: f64,
    /// The minimum relative gain in total throughput for which the widths of running jobs
    /// change.
    pub resize_gain: f64,
    /// The slope of the throughput scaling factor of gangs: the factor at width k is
    /// k / (1 + slope (k - 1)).
    pub gang_slope: f64,
    /// Idle machines are returned after this share of their type's boot time.
    pub idle_boots: f64,
    /// Empty machines kept ready, as a multiple of the square root of the load of the classes
    /// that have an objective for waiting.
    pub headroom: f64,
    /// The number of machines that the fleet is expected to have, or 0 if unknown. It does not
    /// limit the fleet; the warnings use it to check the other settings.
    pub expected_machines: f64,
    /// Models that scale to zero; none if activation is disabled.
    pub activation: Option<ActivationSettings>,
    /// Services that are rolled out in steps; none if rollouts are disabled.
    pub rollout: Option<Rollouts>,
    /// Lending of machines to batch work; none if lending is disabled.
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
    /// Parses the INI file. Unknown sections and keys are errors, since a mistyped key would
    /// otherwise be ignored without notice.
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
        for (section, keys) in ini.iter().filter(|(name, _)| !name.is_some_and(is_part_section)) {
            for (key, value) in keys.iter() {
                operator.set(&format!("{}.{key}", section.unwrap_or("")), value)?;
            }
        }
        if operator.round_s <= 0.0 {
            return Err(FieldError::new("scheduler.round_s", "must be more than 0"));
        }
        Ok(operator)
    }

    /// Sets the number named by `field`, which is a section and a key ("scheduler.round_s").
    fn set(&mut self, field: &str, value: &str) -> Result<(), FieldError> {
        let setting = match field {
            "scheduler.round_s" => &mut self.round_s,
            "scheduler.resize_gain" => &mut self.resize_gain,
            "scheduler.gang_slope" => &mut self.gang_slope,
            "fleet.idle_boots" => &mut self.idle_boots,
            "fleet.headroom" => &mut self.headroom,
            "fleet.expected_machines" => &mut self.expected_machines,
            _ => return Err(FieldError::new(field, "unknown key")),
        };
        let number = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        *setting =
            number.ok_or_else(|| FieldError::new(field, "must be a number of at least 0"))?;
        Ok(())
    }
}

/// Whether a section belongs to an optional part, which parses the section itself.
fn is_part_section(section: &str) -> bool {
    stonewheel_activation::is_section(section)
        || stonewheel_rollout::is_section(section)
        || stonewheel_lending::is_section(section)
}
