//! The operators' own condition for the next step of a rollout: a small script over
//! what the health gate counted, asked once a step was watched for its time.
//!
//! A script that fails, takes too many operations or too long, or whose value is not
//! a boolean counts as not healthy: the rollout turns back.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use rhai::{
    AST, Engine, EvalAltResult, OptimizationLevel, Scope,
    packages::{ArithmeticPackage, LogicPackage, Package},
};
use thiserror::Error;

/// The longest script, in bytes.
const MOST_BYTES: usize = 1024;
/// Operations that one evaluation may take.
const MOST_OPERATIONS: u64 = 10_000;
/// How deeply expressions may be nested.
const MOST_DEPTH: usize = 32;
/// Calls of functions within functions.
const MOST_CALLS: usize = 8;
/// The longest string, array and map that a script may build.
const MOST_ELEMENTS: usize = 256;

/// What a script may ask of the step that was watched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepFigures {
    /// Probes of new replicas within the soak.
    pub probes: u32,
    /// How many of them went unanswered.
    pub failures: u32,
    /// Replicas that take requests and answer, of any version.
    pub answering: u32,
    /// Replicas that answered when the rollout began.
    pub level: u32,
    /// The step, from 1.
    pub step: u32,
    /// How many steps there are.
    pub steps: u32,
}

/// Why a script is refused, or does not say that the step is healthy.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConditionError {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// It is longer than it may be.
    #[error("must be at most {MOST_BYTES} bytes")]
    TooLong,
    /// It failed, or its value is not a boolean.
    #[error("the promotion condition fails: {0}")]
    Failed(String),
    /// It was given up.
    #[error("the promotion condition takes too long")]
    TooSlow,
}

/// A script that was read.
#[derive(Clone)]
pub struct PromotionCondition {
    text: String,
    script: Arc<AST>,
}

impl fmt::Debug for PromotionCondition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("PromotionCondition").field(&self.text).finish()
    }
}

impl PartialEq for PromotionCondition {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl PromotionCondition {
    /// Reads a script. Names that it can't know are refused here, not in a rollout.
    pub fn parse(text: &str) -> Result<Self, ConditionError> {
        if text.len() > MOST_BYTES {
            return Err(ConditionError::TooLong);
        }
        let script = limited_engine()
            .compile_with_scope(&scope(&StepFigures::default()), text)
            .map_err(|error| ConditionError::Unreadable(error.to_string()))?;
        Ok(Self { text: text.to_owned(), script: Arc::new(script) })
    }

    /// Whether the condition holds. An evaluation that takes longer than `limit` is
    /// given up.
    pub fn holds(&self, figures: &StepFigures, limit: Duration) -> Result<bool, ConditionError> {
        let mut engine = limited_engine();
        let began = Instant::now();
        engine.on_progress(move |_| (began.elapsed() >= limit).then(|| ().into()));
        engine
            .eval_ast_with_scope::<bool>(&mut scope(figures), &self.script)
            .map_err(|error| reason_of(&error))
    }
}

/// An engine that can compute and compare, and no more.
fn limited_engine() -> Engine {
    let mut engine = Engine::new_raw();
    engine.register_global_module(ArithmeticPackage::new().as_shared_module());
    engine.register_global_module(LogicPackage::new().as_shared_module());
    engine.set_strict_variables(true);
    // The optimizer would put the figures that a script is read with, all zero, in
    // place of those that it is asked with.
    engine.set_optimization_level(OptimizationLevel::None);
    engine.set_max_operations(MOST_OPERATIONS);
    engine.set_max_expr_depths(MOST_DEPTH, MOST_DEPTH);
    engine.set_max_call_levels(MOST_CALLS);
    engine.set_max_string_size(MOST_ELEMENTS);
    engine.set_max_array_size(MOST_ELEMENTS);
    engine.set_max_map_size(MOST_ELEMENTS);
    engine.disable_symbol("eval");
    engine.disable_symbol("import");
    engine
}

fn scope(figures: &StepFigures) -> Scope<'static> {
    let mut scope = Scope::new();
    scope.push_constant("looks", i64::from(figures.probes));
    scope.push_constant("failures", i64::from(figures.failures));
    scope.push_constant("answering", i64::from(figures.answering));
    scope.push_constant("level", i64::from(figures.level));
    scope.push_constant("step", i64::from(figures.step));
    scope.push_constant("steps", i64::from(figures.steps));
    scope
}

fn reason_of(error: &EvalAltResult) -> ConditionError {
    match error {
        EvalAltResult::ErrorTerminated(..) | EvalAltResult::ErrorTooManyOperations(..) => {
            ConditionError::TooSlow
        }
        other => ConditionError::Failed(other.to_string()),
    }
}
