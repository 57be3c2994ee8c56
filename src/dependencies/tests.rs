use super::*;

fn id(number: u32) -> JobId {
    format!("j-{number:06}").into()
}

fn ids(numbers: &[u32]) -> Vec<JobId> {
    numbers.iter().copied().map(id).collect()
}

/// Adds a job whose dependencies have not ended.
fn add(graph: &mut DependencyGraph, job: u32, priority: Priority, needs: &[u32]) -> Effects {
    graph.insert(&id(job), priority, &ids(needs), |_| None)
}

fn sorted(mut jobs: Vec<JobId>) -> Vec<JobId> {
    jobs.sort();
    jobs
}

/// 1 <- 2, 1 <- 3, and 4 needs both.
fn diamond() -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, Priority::BestEffort, &[]);
    add(&mut graph, 2, Priority::BestEffort, &[1]);
    add(&mut graph, 3, Priority::Standard, &[1]);
    add(&mut graph, 4, Priority::High, &[2, 3]);
    graph
}

#[test]
fn a_job_is_ready_when_the_last_job_that_it_needs_is_done() {
    let mut graph = diamond();
    assert!(
        !graph.is_waiting("j-000001")
            && graph.is_waiting("j-000002")
            && graph.is_waiting("j-000004")
    );
    assert_eq!(sorted(graph.end(&id(1), Outcome::Done).ready), ids(&[2, 3]));
    assert_eq!(graph.end(&id(2), Outcome::Done).ready, ids(&[]));
    assert!(graph.is_waiting("j-000004"));
    assert_eq!(graph.end(&id(3), Outcome::Done).ready, ids(&[4]));
    assert!(!graph.is_waiting("j-000004"));
}

#[test]
fn a_cancellation_reaches_all_dependants_once() {
    let mut graph = diamond();
    graph.end(&id(1), Outcome::Done);
    let effects = graph.end(&id(2), Outcome::Cancelled);
    assert_eq!(effects.cancelled, ids(&[4]));
    assert!(graph.is_cancelled("j-000004") && !graph.is_cancelled("j-000003"));
    // Its other dependency may still end either way.
    assert_eq!(graph.end(&id(3), Outcome::Done).ready, ids(&[]));
    assert!(graph.is_waiting("j-000004"), "a cancelled job never becomes ready");
    assert_eq!(graph.end(&id(4), Outcome::Cancelled), Effects::default());
}

#[test]
fn a_job_that_names_a_cancelled_one_is_cancelled_with_it() {
    let mut graph = DependencyGraph::default();
    let cancelled = |job: &JobId| (*job == id(1)).then_some(Outcome::Cancelled);
    let effects = graph.insert(&id(2), Priority::High, &ids(&[1]), cancelled);
    assert_eq!(effects.cancelled, ids(&[2]));
    // Through a job that is cancelled only with another, too.
    let effects = graph.insert(&id(3), Priority::High, &ids(&[2]), cancelled);
    assert_eq!(effects.cancelled, ids(&[3]));
}

#[test]
fn records_may_be_read_in_any_order() {
    // The dependant's id sorts before that of the job which it needs.
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, Priority::High, &[2]);
    assert!(graph.is_waiting("j-000001"), "a job that is not known yet is not done");
    let cancelled = |job: &JobId| (*job == id(9)).then_some(Outcome::Cancelled);
    let effects = graph.insert(&id(2), Priority::Standard, &ids(&[9]), cancelled);
    assert_eq!(sorted(effects.cancelled), ids(&[1, 2]));
}

#[test]
fn priority_is_inherited_through_all_stages_also_from_a_late_last_one() {
    let mut graph = diamond();
    for job in ["j-000001", "j-000002", "j-000003"] {
        assert_eq!(graph.effective_priority(job), Some(Priority::High), "{job}");
    }
    let effects = add(&mut graph, 5, Priority::Production, &[2]);
    assert_eq!(sorted(effects.priority_changed), ids(&[1, 2]));
    assert_eq!(graph.effective_priority("j-000003"), Some(Priority::High));
    // Who is cancelled needs nothing any more.
    graph.end(&id(5), Outcome::Cancelled);
    assert_eq!(graph.effective_priority("j-000001"), Some(Priority::High));
    graph.end(&id(4), Outcome::Cancelled);
    assert_eq!(graph.effective_priority("j-000001"), Some(Priority::Standard));
    assert_eq!(graph.effective_priority("j-000002"), Some(Priority::BestEffort));
}

#[test]
fn a_dependency_that_is_done_already_does_not_hold_a_job() {
    let mut graph = DependencyGraph::default();
    let effects = graph.insert(&id(2), Priority::High, &ids(&[1]), |_| Some(Outcome::Done));
    assert_eq!(effects, Effects::default());
    assert!(!graph.is_waiting("j-000002"));
}

#[test]
fn nothing_is_kept_of_jobs_that_ended() {
    let mut graph = diamond();
    for job in 1..=4 {
        graph.end(&id(job), Outcome::Done);
    }
    assert!(graph.nodes.is_empty() && graph.dependants.is_empty());
}

#[test]
fn a_job_that_the_graph_does_not_know_waits() {
    let graph = diamond();
    assert!(graph.is_waiting("j-000099"));
}
