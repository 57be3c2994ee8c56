use super::*;

fn page(job: &str, page: u32) -> PageKey {
    PageKey { job: job.into(), page }
}

#[test]
fn page_changed_during_its_write_is_due_only_after_the_write() {
    let mut writes = PendingWrites::default();
    writes.mark_changed(page("a", 0));
    writes.clear_dirty(&page("a", 0));
    writes.begin_write(page("a", 0));
    assert!(writes.has_unwritten_changes(&page("a", 0)) && writes.has_page_in_flight(&"a".into()));
    writes.mark_changed(page("a", 0));
    assert_eq!(writes.due().count(), 0, "one write at a time");
    writes.finish_write(&page("a", 0));
    assert_eq!(writes.due().collect::<Vec<_>>(), [&page("a", 0)]);
}

#[test]
fn oversized_page_has_unwritten_changes_until_it_changes_and_is_written() {
    let mut writes = PendingWrites::default();
    let task = TaskKey { job: "a".into(), task: 3 };
    writes.mark_oversized(page("a", 0), [task.clone()].into_iter());
    assert!(writes.has_unwritten_changes(&page("a", 0)));
    assert!(writes.take_tasks_to_stop().contains(&task));
    writes.mark_changed(page("a", 0));
    writes.clear_dirty(&page("a", 0));
    assert!(!writes.has_unwritten_changes(&page("a", 0)));
}

#[test]
fn forget_job_keeps_pages_of_other_jobs() {
    let mut writes = PendingWrites::default();
    for job in ["a", "b", "c"] {
        writes.mark_changed(page(job, 0));
        writes.mark_changed(page(job, u32::MAX));
    }
    writes.forget_job(&"b".into());
    let jobs: Vec<&str> = writes.due().map(|page| &*page.job).collect();
    assert_eq!(jobs, ["a", "a", "c", "c"]);
}

#[test]
fn begin_cancellation_limits_cancellations_in_flight() {
    let mut writes = PendingWrites::default();
    assert!(writes.begin_cancellation(&"a".into(), 1));
    assert!(!writes.begin_cancellation(&"b".into(), 1));
    writes.finish_cancellation(&"a".into());
    assert!(writes.begin_cancellation(&"b".into(), 1));
}
