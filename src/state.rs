//! The state service's client and writer, configured from the deployment's settings.

use std::sync::Arc;

pub use stonewheel_state::{
    Budget, HttpState, MAX_IN_FLIGHT, Reserve, StateApi, StateError, Versioned, Writer,
    WriterLimits, lock,
};

use crate::settings::Settings;

/// Returns a client for the state service endpoint in the settings.
pub fn http_state(settings: &Settings) -> HttpState {
    HttpState::new(settings.services.state, settings.state_timeout(), settings.worker_lease())
}

/// Returns a writer that stays within this controller's share of the state service's
/// limits.
pub fn writer(api: Arc<dyn StateApi>, settings: &Settings, requests: Arc<Budget>) -> Writer {
    let limits = settings.state_limits();
    let writer_limits = WriterLimits {
        own_writes_per_s: settings.follower_share(limits.writes_per_s),
        all_writes_per_s: limits.writes_per_s,
        transaction_writes: limits.transaction_writes,
        transaction_conditions: limits.transaction_conditions(),
        timeout: settings.state_timeout(),
    };
    Writer::new(api, writer_limits, requests)
}
