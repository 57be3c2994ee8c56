//! Shared by the tests of lending: settings and claims, simulated machines, a deployment of three
//! controllers, and the checker of the guarantees.

pub mod checker;
pub mod fleet;
pub mod simulation;
pub mod world;

use stonewheel_lending::{
    LendingSettings, Team,
    claim::{Claim, Work},
    parse_sections,
};

/// Returns settings with these teams, each given as name, guarantee and ceiling.
pub fn settings(teams: &[(&str, u32, u32)]) -> LendingSettings {
    let general =
        [("look_s", "0.5"), ("grace_s", "8"), ("worker_lease_s", "6"), ("machine_gpus", "8")];
    let general = general.into_iter().chain([("expected_machines", "64")]);
    let sections = [
        ("lending", general.collect()),
        ("lending-team any", vec![("guarantee", "0"), ("ceiling", "0")]),
    ];
    let mut settings =
        parse_sections(sections.into_iter()).expect("valid settings").expect("lending is enabled");
    let team = |(name, guarantee, ceiling): &(&str, u32, u32)| {
        ((*name).into(), Team { guarantee: *guarantee, ceiling: *ceiling })
    };
    settings.teams = teams.iter().map(team).collect();
    settings
}

/// Returns a claim of replicas, which are irrevocable.
pub fn serving(team: &str, machines: u32) -> Claim {
    Claim { team: team.into(), machines, gpus: 8.0, work: Work::Serving }
}

/// Returns a claim of batch work that saves a checkpoint every 10 s, in 2 s.
pub fn batch(team: &str, machines: u32) -> Claim {
    batch_with_save_time(team, machines, 2.0)
}

/// Returns a claim of batch work that saves a checkpoint every 10 s, in `save_s` seconds.
pub fn batch_with_save_time(team: &str, machines: u32, save_s: f64) -> Claim {
    let work = Work::Batch { checkpoint_s: 10.0, save_s };
    Claim { team: team.into(), machines, gpus: 8.0, work }
}

/// Returns a claim of batch work that never saves checkpoints.
pub fn irrevocable_batch(team: &str, machines: u32) -> Claim {
    let work = Work::Batch { checkpoint_s: 0.0, save_s: 0.0 };
    Claim { team: team.into(), machines, gpus: 8.0, work }
}
