//! The operators' condition for the next step: what it may ask, and its limits.

use std::time::Duration;

use stonewheel_rollout::{ConditionError, PromotionCondition, StepFigures};

const FIGURES: StepFigures =
    StepFigures { probes: 100, failures: 2, answering: 12, level: 10, step: 2, steps: 3 };

/// Longer than any of these takes.
const PATIENCE: Duration = Duration::from_secs(60);

fn holds(text: &str) -> Result<bool, ConditionError> {
    PromotionCondition::parse(text).expect("a script").holds(&FIGURES, PATIENCE)
}

fn refusal(text: &str) -> String {
    PromotionCondition::parse(text).expect_err(text).to_string()
}

#[test]
fn a_condition_speaks_of_what_was_counted() {
    assert_eq!(holds("failures * 50 <= looks"), Ok(true));
    assert_eq!(holds("failures * 51 <= looks"), Ok(false));
    assert_eq!(holds("answering > level && step < steps"), Ok(true));
    assert_eq!(holds("if step == 1 { failures == 0 } else { failures < 5 }"), Ok(true));
}

#[test]
fn what_cannot_be_read_or_known_is_refused_before_any_rollout() {
    for text in ["failures <", "errors == 0", "fn", "eval(\"true\")", "import \"a\" as a"] {
        assert!(!refusal(text).is_empty(), "{text}");
    }
    assert!(refusal("errors == 0").contains("errors"), "{}", refusal("errors == 0"));
    assert_eq!(refusal(&" ".repeat(2000)), "must be at most 1024 bytes");
    // Nested beyond any use, it could overflow the stack of the process.
    refusal(&format!("{}true{}", "(".repeat(200), ")".repeat(200)));
}

#[test]
fn a_script_that_fails_or_is_no_condition_does_not_hold() {
    for text in ["failures", "looks / (step - 2) > 1", "failures = 0; true", "nothing(looks)"] {
        let told = holds(text);
        assert!(matches!(told, Err(ConditionError::Failed(_))), "{text}: {told:?}");
    }
}

#[test]
fn a_script_without_an_end_is_given_up() {
    assert_eq!(holds("loop { }"), Err(ConditionError::TooSlow));
    assert_eq!(holds("let x = 0; while x >= 0 { x += 1; } true"), Err(ConditionError::TooSlow));
    let endless = holds("fn f(x) { f(x + 1) } f(0)");
    assert!(matches!(endless, Err(ConditionError::Failed(_))), "{endless:?}");
    let text = holds("let s = \"a\"; while true { s += s; } true");
    assert!(text.is_err(), "{text:?}");
}

#[test]
fn a_script_that_takes_longer_than_it_may_is_given_up() {
    let condition = PromotionCondition::parse("let x = 0; while x < 100 { x += 1; } true");
    let condition = condition.expect("a script");
    assert_eq!(condition.holds(&FIGURES, PATIENCE), Ok(true));
    assert_eq!(condition.holds(&FIGURES, Duration::ZERO), Err(ConditionError::TooSlow));
}
