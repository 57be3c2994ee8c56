//! Checks that several parts share, as functions for `garde`.

/// The shortest time of a setting, in seconds: nothing is measured more finely.
pub const MIN_TIME_S: f64 = 0.001;
/// The longest time of a setting, in seconds: a day. Longer waits are mistakes.
pub const MAX_TIME_S: f64 = 86_400.0;
/// Priorities of jobs, in the submission's terms.
const PRIORITIES: [&str; 4] = ["production", "high", "standard", "best_effort"];

/// A check: one of the priorities of jobs.
pub fn known_priority(value: &str, _: &()) -> garde::Result {
    if PRIORITIES.contains(&value) {
        return Ok(());
    }
    Err(garde::Error::new(format!("must be one of {}", PRIORITIES.join(", "))))
}

/// A check: the path of a URL.
pub fn url_path(value: &str, _: &()) -> garde::Result {
    if value.starts_with('/') && value.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(garde::Error::new("must begin with / and hold no spaces"))
}

/// A check: a whole number.
pub fn whole_number(value: &f64, _: &()) -> garde::Result {
    if value.fract() == 0.0 { Ok(()) } else { Err(garde::Error::new("must be a whole number")) }
}

/// A check: a number that is not below the one of another setting, `field`.
pub fn at_least(field: &'static str, minimum: f64) -> impl FnOnce(&f64, &()) -> garde::Result {
    move |value, &()| {
        if *value >= minimum {
            return Ok(());
        }
        Err(garde::Error::new(format!("must be at least {field}, which is {minimum}")))
    }
}

/// A check: a number that is not above the one of another setting, `field`.
pub fn at_most(field: &'static str, maximum: f64) -> impl FnOnce(&f64, &()) -> garde::Result {
    move |value, &()| {
        if *value <= maximum {
            return Ok(());
        }
        Err(garde::Error::new(format!("must be at most {field}, which is {maximum}")))
    }
}
