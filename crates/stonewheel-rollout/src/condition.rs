//! The operators' promotion condition: a small script over the figures of the health gate,
//! evaluated at the end of a step's soak time. The rollout goes on only if it holds.
//!
//! A script that fails, takes too many operations or too long, or whose value is not
//! a boolean counts as unhealthy: the rollout is rolled back.

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

/// Bytes of the longest script that is accepted.
const MAX_SCRIPT_BYTES: usize = 1024;
/// Operations that one evaluation may take.
const MAX_OPERATIONS: u64 = 10_000;
/// How deeply expressions may be nested; deeper ones could overflow the stack.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// How deeply function calls may be nested.
const MAX_CALL_DEPTH: usize = 8;
/// The length of the longest string, array and map that a script may build.
const MAX_COLLECTION_LENGTH: usize = 256;

/// The figures of a step that a script may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepFigures {
    /// Probes of new replicas within the soak time.
    pub probes: u32,
    /// How many of the probes went unanswered.
    pub failures: u32,
    /// Replicas that take requests and answer, of any version.
    pub answering: u32,
    /// Replicas that answered when the rollout began.
    pub level: u32,
    /// The number of the step, from 1.
    pub step: u32,
    /// How many steps the rollout has.
    pub steps: u32,
}

/// Why a script is refused, or why its evaluation has no result.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConditionError {
    /// The script has a syntax error or uses an unknown name.
    #[error("{0}")]
    InvalidScript(String),
    /// The script is too long.
    #[error("must be at most {MAX_SCRIPT_BYTES} bytes")]
    TooLong,
    /// The evaluation failed, or its value is not a boolean.
    #[error("the promotion condition fails: {0}")]
    Failed(String),
    /// The evaluation exceeded its operations or its time and was stopped.
    #[error("the promotion condition takes too long")]
    TooSlow,
}

/// A parsed script.
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
    /// Parses a script. Unknown names are refused here, not during a rollout.
    pub fn parse(text: &str) -> Result<Self, ConditionError> {
        if text.len() > MAX_SCRIPT_BYTES {
            return Err(ConditionError::TooLong);
        }
        let script = limited_engine()
            .compile_with_scope(&figures_scope(&StepFigures::default()), text)
            .map_err(|error| ConditionError::InvalidScript(error.to_string()))?;
        Ok(Self { text: text.to_owned(), script: Arc::new(script) })
    }

    /// Evaluates whether the condition holds. An evaluation that takes longer than
    /// `timeout` is stopped.
    pub fn holds(&self, figures: &StepFigures, timeout: Duration) -> Result<bool, ConditionError> {
        let mut engine = limited_engine();
        let started_at = Instant::now();
        engine.on_progress(move |_| (started_at.elapsed() >= timeout).then(|| ().into()));
        engine
            .eval_ast_with_scope::<bool>(&mut figures_scope(figures), &self.script)
            .map_err(|error| condition_error(&error))
    }
}

/// Returns an engine with arithmetic and comparisons alone, and with all limits set.
fn limited_engine() -> Engine {
    let mut engine = Engine::new_raw();
    engine.register_global_module(ArithmeticPackage::new().as_shared_module());
    engine.register_global_module(LogicPackage::new().as_shared_module());
    engine.set_strict_variables(true);
    // The optimizer would replace the figures by the constants that the script is parsed
    // with, which are all zero.
    engine.set_optimization_level(OptimizationLevel::None);
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_call_levels(MAX_CALL_DEPTH);
    engine.set_max_string_size(MAX_COLLECTION_LENGTH);
    engine.set_max_array_size(MAX_COLLECTION_LENGTH);
    engine.set_max_map_size(MAX_COLLECTION_LENGTH);
    engine.disable_symbol("eval");
    engine.disable_symbol("import");
    engine
}

fn figures_scope(figures: &StepFigures) -> Scope<'static> {
    let mut scope = Scope::new();
    scope.push_constant("looks", i64::from(figures.probes));
    scope.push_constant("failures", i64::from(figures.failures));
    scope.push_constant("answering", i64::from(figures.answering));
    scope.push_constant("level", i64::from(figures.level));
    scope.push_constant("step", i64::from(figures.step));
    scope.push_constant("steps", i64::from(figures.steps));
    scope
}

fn condition_error(error: &EvalAltResult) -> ConditionError {
    match error {
        EvalAltResult::ErrorTerminated(..) | EvalAltResult::ErrorTooManyOperations(..) => {
            ConditionError::TooSlow
        }
        other => ConditionError::Failed(other.to_string()),
    }
}
