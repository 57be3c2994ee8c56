use super::*;
use crate::settings::Team;

fn teams() -> Teams {
    [(TeamName::from("blue"), Team { guarantee: 10, ceiling: 20 })].into()
}

fn record(reserve: &mut Reserve, recorded_at: Instant, machines: u32) -> u32 {
    reserve.record(recorded_at, &[(TeamName::from("blue"), machines)].into());
    reserve.machines(&teams())["blue"]
}

fn reserve() -> Reserve {
    let seconds = Duration::from_secs;
    Reserve::new(seconds(60), seconds(600), seconds(20))
}

#[test]
fn released_machines_stay_reserved_for_the_retention_period() {
    let (mut reserve, start) = (reserve(), Instant::now());
    let after = |s: u64| start + Duration::from_secs(s);
    assert_eq!(record(&mut reserve, after(0), 8), 0);
    assert_eq!(record(&mut reserve, after(10), 2), 6, "demand fell by six");
    assert_eq!(record(&mut reserve, after(50), 2), 6);
    assert_eq!(record(&mut reserve, after(71), 2), 0, "retention has passed");
}

#[test]
fn rise_within_reclaim_time_reserves_up_to_the_guarantee() {
    let (mut reserve, start) = (reserve(), Instant::now());
    let after = |s: u64| start + Duration::from_secs(s);
    record(&mut reserve, after(0), 1);
    assert_eq!(record(&mut reserve, after(5), 5), 4, "demand rose by four");
    assert_eq!(
        record(&mut reserve, after(100), 8),
        2,
        "at most what demand is below the guarantee"
    );
    assert_eq!(record(&mut reserve, after(200), 1), 4);
    assert_eq!(record(&mut reserve, after(900), 1), 0, "rise retention has passed");
}

#[test]
fn slow_rise_reserves_nothing() {
    let (mut reserve, start) = (reserve(), Instant::now());
    let reserved = (0..8)
        .map(|step| record(&mut reserve, start + Duration::from_secs(30 * step), step as u32));
    assert_eq!(reserved.max(), Some(0));
}
