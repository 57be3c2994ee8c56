use super::*;

fn id(number: u32) -> JobId {
    format!("j-{number:06}").into()
}

fn ids(numbers: &[u32]) -> Vec<JobId> {
    numbers.iter().copied().map(id).collect()
}

/// Adds a job whose dependencies have not ended.
fn add(graph: &mut DependencyGraph, job: u32, priority: Priority, dependencies: &[u32]) -> Effects {
    graph.insert(&id(job), priority, &ids(dependencies), |_| None)
}

fn sorted(mut jobs: Vec<JobId>) -> Vec<JobId> {
    jobs.sort();
    jobs
}

/// A graph in which jobs 2 and 3 depend on job 1, and job 4 depends on jobs 2 and 3.
fn diamond() -> DependencyGraph {
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, Priority::BestEffort, &[]);
    add(&mut graph, 2, Priority::BestEffort, &[1]);
    add(&mut graph, 3, Priority::Standard, &[1]);
    add(&mut graph, 4, Priority::High, &[2, 3]);
    graph
}

#[test]
fn job_is_ready_when_its_last_dependency_is_done() {
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
fn cancellation_reaches_each_dependant_once() {
    let mut graph = diamond();
    graph.end(&id(1), Outcome::Done);
    let effects = graph.end(&id(2), Outcome::Cancelled);
    assert_eq!(effects.cancelled, ids(&[4]));
    assert!(graph.is_cancelled("j-000004") && !graph.is_cancelled("j-000003"));
    // The other dependency of job 4 may still end either way.
    assert_eq!(graph.end(&id(3), Outcome::Done).ready, ids(&[]));
    assert!(graph.is_waiting("j-000004"), "a cancelled job never becomes ready");
    assert_eq!(graph.end(&id(4), Outcome::Cancelled), Effects::default());
}

#[test]
fn job_with_a_cancelled_dependency_is_cancelled() {
    let mut graph = DependencyGraph::default();
    let cancelled = |job: &JobId| (*job == id(1)).then_some(Outcome::Cancelled);
    let effects = graph.insert(&id(2), Priority::High, &ids(&[1]), cancelled);
    assert_eq!(effects.cancelled, ids(&[2]));
    // Job 2 has no recorded end and is cancelled only with job 1: job 3 is cancelled too.
    let effects = graph.insert(&id(3), Priority::High, &ids(&[2]), cancelled);
    assert_eq!(effects.cancelled, ids(&[3]));
}

#[test]
fn dependants_may_be_added_before_their_dependencies() {
    // The dependant's id sorts before that of its dependency, so its record can be read
    // first.
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, Priority::High, &[2]);
    assert!(graph.is_waiting("j-000001"), "a job that is not in the graph yet is not done");
    let cancelled = |job: &JobId| (*job == id(9)).then_some(Outcome::Cancelled);
    let effects = graph.insert(&id(2), Priority::Standard, &ids(&[9]), cancelled);
    assert_eq!(sorted(effects.cancelled), ids(&[1, 2]));
}

#[test]
fn priority_is_inherited_through_all_stages_and_from_late_dependants() {
    let mut graph = diamond();
    for job in ["j-000001", "j-000002", "j-000003"] {
        assert_eq!(graph.effective_priority(job), Some(Priority::High), "{job}");
    }
    let effects = add(&mut graph, 5, Priority::Production, &[2]);
    assert_eq!(sorted(effects.priority_changed), ids(&[1, 2]));
    assert_eq!(graph.effective_priority("j-000003"), Some(Priority::High));
    // A cancelled dependant no longer raises the priority of its dependencies.
    graph.end(&id(5), Outcome::Cancelled);
    assert_eq!(graph.effective_priority("j-000001"), Some(Priority::High));
    graph.end(&id(4), Outcome::Cancelled);
    assert_eq!(graph.effective_priority("j-000001"), Some(Priority::Standard));
    assert_eq!(graph.effective_priority("j-000002"), Some(Priority::BestEffort));
}

#[test]
fn job_does_not_wait_for_a_dependency_that_is_already_done() {
    let mut graph = DependencyGraph::default();
    let effects = graph.insert(&id(2), Priority::High, &ids(&[1]), |_| Some(Outcome::Done));
    assert_eq!(effects, Effects::default());
    assert!(!graph.is_waiting("j-000002"));
}

#[test]
fn ended_jobs_leave_no_nodes_or_edges() {
    let mut graph = diamond();
    for job in 1..=4 {
        graph.end(&id(job), Outcome::Done);
    }
    assert!(graph.nodes.is_empty() && graph.dependants.is_empty());
}

#[test]
fn job_that_is_not_in_the_graph_waits() {
    let graph = diamond();
    assert!(graph.is_waiting("j-000099"));
}
