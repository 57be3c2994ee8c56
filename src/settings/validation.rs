//! Validation of the platform's file, and of the operators' file against it.

use stonewheel_lending::LendingSettings;
use stonewheel_settings::FieldError;

use super::{error::SettingsError, limits::MIN_TRANSACTION_WRITES, platform::Settings};

/// The maximum length in bytes of a member's name in a key that contains another name too.
const MAX_KEY_PART_BYTES: usize = 64;
/// The maximum number of zones: records store a zone's index as one byte.
const MAX_ZONES: usize = u8::MAX as usize;
const MIN_FD_LIMIT: u32 = 32;
/// The largest factor by which `value_kb` may shrink. A page sized for the present limit must
/// fit the coming limit while few of its tasks are bound: its completed tasks take about a tenth
/// of the space that bound ones do.
const MAX_VALUE_SHRINK_FACTOR: f64 = 8.0;

impl Settings {
    /// Checks the requirements of the enabled optional parts (activation, rollout, lending) on
    /// the deployment. Errors name `file`, the operators' file.
    pub fn check_parts(&self, file: &str) -> Result<(), SettingsError> {
        self.check_parts_fields().map_err(|error| SettingsError::new(file, error))
    }

    fn check_parts_fields(&self) -> Result<(), FieldError> {
        self.check_part_teams()?;
        if let Some(lending) = &self.operator.lending {
            self.check_lending(lending)?;
        }
        match self.first_part() {
            Some(part) => self.check_members_fit_keys(part),
            None => Ok(()),
        }
    }

    /// Returns the name of the first enabled optional part, for errors that concern all parts.
    fn first_part(&self) -> Option<&'static str> {
        let operator = &self.operator;
        let parts = [
            ("activation", operator.activation.is_some()),
            ("rollout", operator.rollout.is_some()),
            ("lending", operator.lending.is_some()),
        ];
        parts.into_iter().find(|(_, is_enabled)| *is_enabled).map(|(part, _)| part)
    }

    /// Checks that the teams of all models and services are in the platform's file.
    fn check_part_teams(&self) -> Result<(), FieldError> {
        let operator = &self.operator;
        let models = operator.activation.iter().flat_map(|part| &part.models);
        let models = models.map(|(name, model)| (format!("model {name}"), &model.team));
        let services = operator.rollout.iter().flat_map(|part| &part.services);
        let services = services.map(|(name, service)| (format!("service {name}"), &service.team));
        for (section, team) in models.chain(services) {
            if self.team(team).is_none() {
                let reason = format!("cluster.teams has no {team}");
                return Err(FieldError::new(format!("{section}.team"), reason));
            }
        }
        Ok(())
    }

    /// Checks that lending guarantees no team more GPUs than the platform's file does.
    fn check_lending(&self, lending: &LendingSettings) -> Result<(), FieldError> {
        for (name, team) in &lending.teams {
            let field = format!("lending-team {name}");
            let Some(platform_team) = self.team(name) else {
                return Err(FieldError::new(field, format!("cluster.teams has no {name}")));
            };
            let gpus = f64::from(team.guarantee) * lending.times.machine_gpus;
            if platform_team.gpus > 0.0 && gpus > platform_team.gpus {
                let reason = format!("{gpus} GPUs are more than cluster.teams guarantees");
                return Err(FieldError::new(format!("{field}.guarantee"), reason));
            }
        }
        Ok(())
    }

    /// Checks that the members' names can be used in keys, and that one transaction can have a
    /// condition for each member. The optional parts need both.
    fn check_members_fit_keys(&self, part: &str) -> Result<(), FieldError> {
        let conditions = self.state_limits().transaction_conditions();
        if !stonewheel_activation::conditions_fit_transaction(self.members.len() + 1, conditions) {
            let reason = format!("a transaction of {conditions} conditions can't name all members");
            return Err(FieldError::new(part, reason));
        }
        let names = self.members.iter().map(|other| &other.member).chain([&self.member]);
        for name in names {
            if !is_key_part(name) {
                return Err(FieldError::new(part, format!("{name:?} can't be part of a key")));
            }
        }
        Ok(())
    }

    /// Checks the platform's file and returns the first mistake.
    pub(super) fn check(&self) -> Result<(), FieldError> {
        self.check_amounts()?;
        self.check_members()?;
        self.check_cluster()?;
        self.check_state()?;
        if self.cluster.quota.fd_limit < MIN_FD_LIMIT {
            return Err(FieldError::new("cluster.quota.fd_limit", "must be at least 32"));
        }
        self.check_teams()
    }

    fn check_amounts(&self) -> Result<(), FieldError> {
        let cluster = &self.cluster;
        let positive = [
            ("cluster.workers.report_s", cluster.workers.report_s),
            ("cluster.workers.lease_s", cluster.workers.lease_s),
            ("cluster.workers.gang_wait_s", cluster.workers.gang_wait_s),
            ("cluster.workers.gang_peer_s", cluster.workers.gang_peer_s),
            ("cluster.workers.cancel_s", cluster.workers.cancel_s),
            ("cluster.state.rps", cluster.state.rps),
            ("cluster.state.write_rps", cluster.state.write_rps),
            ("cluster.state.value_kb", cluster.state.value_kb),
            ("cluster.cloud.rps", cluster.cloud.rps),
            ("cluster.quota.core_share", cluster.quota.core_share),
            ("cluster.quota.mem_mb", cluster.quota.mem_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(FieldError::new(field, "must be more than 0"));
            }
        }
        if is_invalid_amount(cluster.cloud.list_lag_s) {
            return Err(FieldError::new("cluster.cloud.list_lag_s", "must be at least 0"));
        }
        Ok(())
    }

    fn check_members(&self) -> Result<(), FieldError> {
        if self.member.is_empty() {
            return Err(FieldError::new("member", "must not be empty"));
        }
        if self.members.iter().any(|other| other.member == self.member) {
            return Err(FieldError::new("members", "must list the other controllers only"));
        }
        Ok(())
    }

    fn check_cluster(&self) -> Result<(), FieldError> {
        if self.cluster.size == 0 {
            return Err(FieldError::new("cluster.size", "must be at least 1"));
        }
        let zones = &self.cluster.zones;
        if zones.is_empty() || zones.len() > MAX_ZONES {
            return Err(FieldError::new("cluster.zones", "must name 1 to 255 zones"));
        }
        Ok(())
    }

    fn check_state(&self) -> Result<(), FieldError> {
        let state = &self.cluster.state;
        if state.txn_ops < MIN_TRANSACTION_WRITES {
            return Err(FieldError::new("cluster.state.txn_ops", "must be at least 4"));
        }
        state.next.check()?;
        if state.next.value_kb.is_some_and(|kb| kb < state.value_kb / MAX_VALUE_SHRINK_FACTOR) {
            let reason = "must be at least an eighth of value_kb, or stored pages would not fit";
            return Err(FieldError::new("cluster.state.next.value_kb", reason));
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), FieldError> {
        for team in &self.cluster.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.into_iter().any(is_invalid_amount) {
                return Err(FieldError::new("cluster.teams", "amounts must be at least 0"));
            }
        }
        Ok(())
    }
}

/// Whether a value is not a valid amount: below 0, infinite, or NaN.
fn is_invalid_amount(amount: f64) -> bool {
    !amount.is_finite() || amount < 0.0
}

/// Whether a name can be a segment between the slashes of a key.
fn is_key_part(name: &str) -> bool {
    let fits = name.len() <= MAX_KEY_PART_BYTES && name.bytes().all(|b| b.is_ascii_graphic());
    fits && !name.contains('/')
}
