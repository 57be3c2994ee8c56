use super::*;
use crate::claim::{Claim, ClaimError, Work};

const GENERAL: [(&str, &str); 3] =
    [("grace_s", "20"), ("worker_lease_s", "11"), ("machine_gpus", "8")];

/// The keys and values of a section.
type Pairs<'a> = &'a [(&'a str, &'a str)];

fn parse(general: Pairs<'_>, team: Pairs<'_>) -> Result<Option<LendingSettings>, FieldError> {
    let general: Vec<_> = GENERAL
        .iter()
        .filter(|(key, _)| !general.iter().any(|(overridden, _)| overridden == key))
        .chain(general)
        .copied()
        .collect();
    let sections = [("lending", general), ("lending-team blue", team.to_vec()), ("other", vec![])];
    parse_sections(sections.into_iter())
}

const TEAM: [(&str, &str); 2] = [("guarantee", "4"), ("ceiling", "8")];

fn error_text(general: &[(&str, &str)], team: &[(&str, &str)]) -> String {
    parse(general, team).expect_err("invalid settings").to_string()
}

#[test]
fn defaults_derive_from_the_given_settings() {
    let settings = parse(&[], &TEAM).expect("valid").expect("lending is enabled");
    assert_eq!(settings.times.look_s, 1.0);
    assert_eq!((settings.times.order_s, settings.times.spread_s), (2.0, 10.0));
    assert_eq!((settings.times.settle_s, settings.times.memory_s), (80.0, 800.0));
    assert_eq!(settings.teams["blue"], Team { guarantee: 4, ceiling: 8 });
    assert_eq!(settings.guaranteed(), 4);
}

#[test]
fn missing_section_disables_lending() {
    assert_eq!(parse_sections([("other", vec![])].into_iter()), Ok(None));
    let team_only = parse_sections([("lending-team blue", TEAM.to_vec())].into_iter());
    let error = team_only.expect_err("team section without a general section");
    assert_eq!(error.to_string(), "lending-team blue: needs a section [lending]");
}

#[test]
fn errors_name_the_field_and_the_reason() {
    let cases: [(Pairs<'_>, Pairs<'_>, &str); 10] = [
        (
            &[],
            &[("guarantee", "9"), ("ceiling", "8")],
            "lending-team blue.guarantee: 9 is above the ceiling of 8",
        ),
        (
            &[],
            &[("guarantee", "-1"), ("ceiling", "8")],
            "lending-team blue.guarantee: must be a whole number of at least 0",
        ),
        (
            &[],
            &[("guarantee", "1.5"), ("ceiling", "8")],
            "lending-team blue.guarantee: must be a whole number of at least 0",
        ),
        (&[], &[("guarantee", "1")], "lending-team blue.ceiling: is missing"),
        (&[("grace_s", "0.5")], &TEAM, "lending.grace_s: must be at least look_s, which is 1"),
        (
            &[("worker_lease_s", "2")],
            &TEAM,
            "lending.worker_lease_s: must be at least three times look_s, which is 3",
        ),
        (&[("settle_s", "5")], &TEAM, "lending.settle_s: must be at least grace_s, which is 20"),
        (&[("memory_s", "7")], &TEAM, "lending.memory_s: must be at least settle_s, which is 80"),
        (&[("grace_s", "inf")], &TEAM, "lending.grace_s: must be a finite number"),
        (&[("reserve", "5")], &TEAM, "lending.reserve: unknown key"),
    ];
    for (general, team, expected) in cases {
        assert_eq!(error_text(general, team), expected);
    }
}

#[test]
fn unservable_claims_are_rejected() {
    let settings = parse(&[], &TEAM).expect("valid").expect("lending is enabled");
    let claim = |team: &str, machines, gpus, save_s| Claim {
        team: team.into(),
        machines,
        gpus,
        work: Work::Batch { checkpoint_s: 10.0, save_s },
    };
    let rejection = |id: &str, claim: Claim| claim.check(id, &settings).expect_err("rejected");
    assert_eq!(claim("blue", 8, 8.0, 2.0).check("c-1", &settings), Ok(()));
    let unknown = rejection("c-1", claim("green", 1, 8.0, 2.0));
    assert_eq!(unknown, ClaimError::UnknownTeam("green".into()));
    let above_ceiling = rejection("c-1", claim("blue", 9, 8.0, 2.0));
    assert_eq!(
        above_ceiling.to_string(),
        "machines: 9 are more than the ceiling of 8 of team blue"
    );
    assert_eq!(rejection("c-1", claim("blue", 0, 8.0, 2.0)), ClaimError::NoMachines);
    let too_many_gpus = rejection("c-1", claim("blue", 1, 9.0, 2.0));
    assert_eq!(too_many_gpus.to_string(), "gpus: 9 fit no machine of 8");
    let not_a_number = rejection("c-1", claim("blue", 1, 8.0, f64::NAN));
    assert_eq!(not_a_number, ClaimError::NotAnAmount("save_s"));
    assert!(matches!(rejection("a b", claim("blue", 1, 8.0, 2.0)), ClaimError::Id(_)));
    assert!(matches!(rejection(&"c".repeat(33), claim("blue", 1, 8.0, 2.0)), ClaimError::Id(_)));
}
