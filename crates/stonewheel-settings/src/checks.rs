//! Validators that several parts share, as functions for `garde`.

/// The minimum of a duration setting, in seconds: the resolution of all times in the service.
pub const MIN_TIME_S: f64 = 0.001;
/// The maximum of a duration setting, in seconds: one day. Longer waits are mistakes.
pub const MAX_TIME_S: f64 = 86_400.0;
/// The priorities of jobs, by their names in submissions.
const PRIORITIES: [&str; 4] = ["production", "high", "standard", "best_effort"];

/// Checks that a value is one of the priorities of jobs.
pub fn known_priority(value: &str, _: &()) -> garde::Result {
    if PRIORITIES.contains(&value) {
        return Ok(());
    }
    Err(garde::Error::new(format!("must be one of {}", PRIORITIES.join(", "))))
}

/// Checks that a value is the path of a URL: it begins with `/` and has only visible ASCII
/// characters.
pub fn url_path(value: &str, _: &()) -> garde::Result {
    if value.starts_with('/') && value.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(garde::Error::new("must begin with / and hold no spaces"))
}

/// Checks that a value is a whole number.
pub fn whole_number(value: &f64, _: &()) -> garde::Result {
    if value.fract() == 0.0 { Ok(()) } else { Err(garde::Error::new("must be a whole number")) }
}

/// Returns a validator of numbers that are at least `minimum`, the value of the setting `field`.
pub fn at_least(field: &'static str, minimum: f64) -> impl FnOnce(&f64, &()) -> garde::Result {
    move |value, &()| {
        if *value >= minimum {
            return Ok(());
        }
        Err(garde::Error::new(format!("must be at least {field}, which is {minimum}")))
    }
}

/// Returns a validator of numbers that are at most `maximum`, the value of the setting `field`.
pub fn at_most(field: &'static str, maximum: f64) -> impl FnOnce(&f64, &()) -> garde::Result {
    move |value, &()| {
        if *value <= maximum {
            return Ok(());
        }
        Err(garde::Error::new(format!("must be at most {field}, which is {maximum}")))
    }
}
