use super::*;
use crate::settings::Team;

fn teams() -> Teams {
    [(TeamName::from("blue"), Team { guarantee: 10, ceiling: 20 })].into()
}

fn note(reserve: &mut Reserve, at: Instant, asked: u32) -> u32 {
    reserve.record(at, &[(TeamName::from("blue"), asked)].into());
    reserve.machines(&teams())["blue"]
}

fn reserve() -> Reserve {
    let seconds = Duration::from_secs;
    Reserve::new(seconds(60), seconds(600), seconds(20))
}

#[test]
fn what_a_team_gave_back_is_kept_for_a_while() {
    let (mut reserve, start) = (reserve(), Instant::now());
    let at = |s: u64| start + Duration::from_secs(s);
    assert_eq!(note(&mut reserve, at(0), 8), 0);
    assert_eq!(note(&mut reserve, at(10), 2), 6, "it fell by six");
    assert_eq!(note(&mut reserve, at(50), 2), 6);
    assert_eq!(note(&mut reserve, at(71), 2), 0, "and stayed there");
}

#[test]
fn a_rise_within_a_reclaim_is_expected_again_up_to_the_guarantee() {
    let (mut reserve, start) = (reserve(), Instant::now());
    let at = |s: u64| start + Duration::from_secs(s);
    note(&mut reserve, at(0), 1);
    assert_eq!(note(&mut reserve, at(5), 5), 4, "it rose by four");
    assert_eq!(note(&mut reserve, at(100), 8), 2, "no more than the guarantee lacks");
    assert_eq!(note(&mut reserve, at(200), 1), 4);
    assert_eq!(note(&mut reserve, at(900), 1), 0, "forgotten");
}

#[test]
fn a_slow_rise_is_no_reason_for_a_reserve() {
    let (mut reserve, start) = (reserve(), Instant::now());
    let kept = (0..8).map(|n| note(&mut reserve, start + Duration::from_secs(30 * n), n as u32));
    assert_eq!(kept.max(), Some(0));
}
