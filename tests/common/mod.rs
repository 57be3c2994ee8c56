//! Simulated deployment in memory, under paused time: controllers, state service, cloud, workers
//! and the network between them.

mod assertions;
mod cloud;
mod command_cost;
mod deployment;
pub mod invariants;
pub mod leader_harness;
mod network;
mod repeated;
mod rules;
mod samples;
mod settings;
mod users;
mod workers;

use std::sync::Mutex;

pub use re_exports::*;

/// Items that tests import from this module; each test binary uses only some of them.
#[allow(unused_imports)]
mod re_exports {
    pub use super::{
        assertions::{assert_no_violation, seconds, state},
        cloud::{address_of, machine_at},
        deployment::TestDeployment,
        repeated::RepeatedKind,
        samples::{job, machine_type},
        settings::{SETTINGS, scale_settings, settings, settings_with_coming_limits},
    };
    pub use stonewheel_testing::{LateCommands, MemState, RepeatedDeliveries};
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("not poisoned")
}
