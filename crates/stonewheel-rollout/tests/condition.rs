//! The operators' promotion condition: the figures that a script may use, and its limits.

use std::time::Duration;

use stonewheel_rollout::{ConditionError, PromotionCondition, StepFigures};

const FIGURES: StepFigures =
    StepFigures { probes: 100, failures: 2, answering: 12, level: 10, step: 2, steps: 3 };

/// Longer than the evaluation of any of these scripts takes.
const GENEROUS_TIMEOUT: Duration = Duration::from_secs(60);

fn evaluate(text: &str) -> Result<bool, ConditionError> {
    PromotionCondition::parse(text).expect("a script").holds(&FIGURES, GENEROUS_TIMEOUT)
}

fn parse_error(text: &str) -> String {
    PromotionCondition::parse(text).expect_err(text).to_string()
}

#[test]
fn condition_reads_the_figures_of_the_step() {
    assert_eq!(evaluate("failures * 50 <= looks"), Ok(true));
    assert_eq!(evaluate("failures * 51 <= looks"), Ok(false));
    assert_eq!(evaluate("answering > level && step < steps"), Ok(true));
    assert_eq!(evaluate("if step == 1 { failures == 0 } else { failures < 5 }"), Ok(true));
}

#[test]
fn invalid_scripts_and_unknown_names_are_refused_when_parsed() {
    for text in ["failures <", "errors == 0", "fn", "eval(\"true\")", "import \"a\" as a"] {
        assert!(!parse_error(text).is_empty(), "{text}");
    }
    assert!(parse_error("errors == 0").contains("errors"), "{}", parse_error("errors == 0"));
    assert_eq!(parse_error(&" ".repeat(2000)), "must be at most 1024 bytes");
    // Expressions nested this deeply could overflow the stack of the process.
    parse_error(&format!("{}true{}", "(".repeat(200), ")".repeat(200)));
}

#[test]
fn failing_or_non_boolean_script_is_an_error() {
    for text in ["failures", "looks / (step - 2) > 1", "failures = 0; true", "nothing(looks)"] {
        let outcome = evaluate(text);
        assert!(matches!(outcome, Err(ConditionError::Failed(_))), "{text}: {outcome:?}");
    }
}

#[test]
fn endless_script_is_stopped() {
    assert_eq!(evaluate("loop { }"), Err(ConditionError::TooSlow));
    assert_eq!(evaluate("let x = 0; while x >= 0 { x += 1; } true"), Err(ConditionError::TooSlow));
    let endless = evaluate("fn f(x) { f(x + 1) } f(0)");
    assert!(matches!(endless, Err(ConditionError::Failed(_))), "{endless:?}");
    let growing = evaluate("let s = \"a\"; while true { s += s; } true");
    assert!(growing.is_err(), "{growing:?}");
}

#[test]
fn script_that_exceeds_its_timeout_is_stopped() {
    let condition = PromotionCondition::parse("let x = 0; while x < 100 { x += 1; } true");
    let condition = condition.expect("a script");
    assert_eq!(condition.holds(&FIGURES, GENEROUS_TIMEOUT), Ok(true));
    assert_eq!(condition.holds(&FIGURES, Duration::ZERO), Err(ConditionError::TooSlow));
}
