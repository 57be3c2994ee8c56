//! The leader's duty: a state machine that takes reports, changes of the
//! records and answers of the cloud, and gives orders, writes and rentals.
//!
//! It does no I/O. What it decides becomes real in this order: the page
//! record with a binding is committed first, and only then does the order to
//! start leave; an exit is committed first, and only then is it cleared from
//! the worker.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
};

use tokio::time::{Duration, Instant};
use tracing::{debug, info, warn};

use crate::{
    cloud::{DELETE_LIMIT, RENT_LIMIT},
    fleet::{Fleet, Freshness, Machine, TaskKey, parse_task, task_name},
    protocol::{
        Cause, Condition, DirectOrders, JobId, JobSpec, JobState, MachineId, MachineType, Op,
        Order, Rental, Report, Shape, TaskReport, TaskState, Write,
    },
    scheduler::{self, BoundView, JobView, MachineView, Resources, Snapshot, TeamUse},
    settings::Settings,
    state::IN_FLIGHT,
    store::{self, Change, End, Page, Picture},
};

/// Boots usually end within one and a half of the type's boot time.
const OVERDUE_BOOTS: f64 = 1.6;

/// A start counts for its job's aims unless the task is stopped by command
/// within this time, so nothing is moved before then.
const SETTLED_S: f64 = 30.0;

/// A pass may take up to one in so many parts of the time: the rest is for
/// reports, answers and the renewal of the lease.
const PASS_PARTS: u32 = 8;

/// What the duty has cost so far, in operations rather than seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Effort {
    pub reports: u64,
    /// Bound or reported tasks looked at for them.
    pub reviewed: u64,
    /// Looks over all machines and jobs for what time alone brings.
    pub rounds_of_care: u64,
    pub passes: u64,
    /// Places weighed in them.
    pub weighed: u64,
}

/// A task on its machine, until proof that it is gone.
#[derive(Clone, Debug)]
struct Binding {
    machine: MachineId,
    attempt: u64,
    session: u64,
    zone: u8,
    /// The record that binds it is committed.
    durable: bool,
    /// Answers that carried its start order and were not followed by it.
    sent: u32,
    /// A report showed it on the machine.
    seen: bool,
    running_since: Option<Instant>,
    stop: Option<Stop>,
}

#[derive(Clone, Copy, Debug)]
struct Stop {
    since: Instant,
    grace_s: f64,
}

struct Job {
    spec: Arc<JobSpec>,
    arrival: u64,
    /// When this leader came to know it.
    known_since: Instant,
    ended: Option<Instant>,
    bound: BTreeMap<u32, Binding>,
    done: HashSet<u32>,
    /// No task below this one is pending, apart from `returned`.
    next: u32,
    /// Tasks that came back from a machine undone.
    returned: BTreeSet<u32>,
    attempt: u64,
    width: u32,
    /// Failures in a row, and the wait they earned the job.
    failures: u32,
    held_until: Option<Instant>,
    avoid: Vec<MachineId>,
    pages: BTreeSet<u32>,
    ending: bool,
}

impl Job {
    fn new(spec: Arc<JobSpec>, arrival: u64, now: Instant) -> Self {
        Self {
            spec,
            arrival,
            known_since: now,
            ended: None,
            bound: BTreeMap::new(),
            done: HashSet::new(),
            next: 0,
            returned: BTreeSet::new(),
            attempt: 0,
            width: 0,
            failures: 0,
            held_until: None,
            avoid: Vec::new(),
            pages: BTreeSet::new(),
            ending: false,
        }
    }

    fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len() as u32
    }

    /// The lowest tasks that could start, up to `limit`.
    fn pending(&self, limit: usize) -> Vec<u32> {
        // A returned task may lie beyond `next`, and named twice it would be
        // placed twice.
        let fresh = (self.next..self.spec.tasks).filter(|t| {
            !self.done.contains(t) && !self.bound.contains_key(t) && !self.returned.contains(t)
        });
        self.returned.iter().copied().chain(fresh).take(limit).collect()
    }

    /// Whether a page holds places whose start waits for its record.
    fn awaits_record(&self, page: u32, size: u32) -> bool {
        let range = page * size..(page + 1).saturating_mul(size);
        self.bound.range(range).any(|(_, b)| !b.durable)
    }

    fn page(&self, page: u32, size: u32) -> Page {
        let range = page * size..(page + 1).saturating_mul(size).min(self.spec.tasks);
        let bound = self
            .bound
            .range(range.clone())
            .map(|(t, b)| (*t, b.attempt, b.machine.clone(), b.session, b.zone))
            .collect();
        let mut done: Vec<(u32, u32)> = Vec::new();
        for task in range.filter(|t| self.done.contains(t)) {
            match done.last_mut() {
                Some((first, n)) if *first + *n == task => *n += 1,
                _ => done.push((task, 1)),
            }
        }
        let width = (page == 0 && self.width > 0).then_some(self.width);
        Page { attempt: self.attempt, width, bound, done }
    }

    fn grace_s(&self) -> f64 {
        // A little above what the job needs: the order takes its time.
        if self.spec.checkpoint_s > 0.0 { self.spec.save_s * 1.5 } else { 0.0 }
    }
}

/// One write for the committer.
#[derive(Debug)]
pub struct Commit {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
    pub kind: CommitKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CommitKind {
    Page {
        job: JobId,
        page: u32,
        content: Page,
    },
    /// The job's end, or the dropping of an ended job's records.
    End {
        job: JobId,
    },
    Types,
}

/// The report shows a higher token: someone else leads.
#[derive(Debug, PartialEq)]
pub struct Deposed;

pub struct Leader {
    settings: Arc<Settings>,
    pub token: u64,
    pub lead_version: u64,
    types: Arc<Vec<MachineType>>,
    types_stored: bool,
    jobs: HashMap<JobId, Job>,
    order: BTreeMap<(u64, JobId), ()>,
    fleet: Fleet,
    usage: HashMap<Arc<str>, TeamUse>,
    dirty: BTreeSet<(JobId, u32)>,
    inflight: BTreeSet<(JobId, u32)>,
    ending: BTreeSet<JobId>,
    /// Kinds the cloud refused: not asked again before then.
    refused: HashMap<(usize, u8, bool), Instant>,
    rentals: Vec<Rental>,
    renting: Vec<Rental>,
    /// The load of work that may use spot machines, over the last boot time.
    spot_loads: VecDeque<(Instant, f64)>,
    /// Machines with orders that should not wait for the next report.
    prompt: BTreeSet<MachineId>,
    deletions: Vec<MachineId>,
    rental_count: u64,
    next_round: Instant,
    next_care: Instant,
    next_pass: Instant,
    pub effort: Effort,
    round_due: bool,
    changed: bool,
    started: Instant,
    /// Since when the state service has answered without a break.
    unpaused: Option<Instant>,
}

impl Leader {
    /// Rebuilds the duty from the records. The picture must be as new as the
    /// leadership itself, so that no former leader's write is missing.
    pub fn new(
        settings: Arc<Settings>,
        lead_version: u64,
        token: u64,
        picture: &Picture,
        now: Instant,
    ) -> Self {
        let mut leader = Self {
            settings,
            token,
            lead_version,
            types: Arc::default(),
            types_stored: true,
            jobs: HashMap::new(),
            order: BTreeMap::new(),
            fleet: Fleet::default(),
            usage: HashMap::new(),
            dirty: BTreeSet::new(),
            inflight: BTreeSet::new(),
            ending: BTreeSet::new(),
            refused: HashMap::new(),
            rentals: Vec::new(),
            renting: Vec::new(),
            spot_loads: VecDeque::new(),
            prompt: BTreeSet::new(),
            deletions: Vec::new(),
            rental_count: 0,
            next_round: now,
            next_care: now,
            next_pass: now,
            effort: Effort::default(),
            round_due: true,
            changed: true,
            started: now,
            unpaused: None,
        };
        if let Some((_, types)) = &picture.types {
            leader.types = types.clone();
        }
        for id in picture.jobs.keys() {
            leader.add_job(id, picture, now);
        }
        leader
    }

    fn add_job(&mut self, id: &JobId, picture: &Picture, now: Instant) {
        let Some(entry) = picture.jobs.get(id) else { return };
        if self.jobs.contains_key(id) {
            return;
        }
        let mut job = Job::new(entry.spec.clone(), entry.version, now);
        job.ended = picture.ends.contains_key(id).then_some(now);
        for (number, entry) in picture.pages.get(id).into_iter().flatten() {
            let page: Page = match serde_json::from_str(entry.raw.get()) {
                Ok(page) => page,
                Err(e) => {
                    warn!(job = %id, page = number, error = %e, "a page can't be read");
                    continue;
                }
            };
            job.pages.insert(*number);
            job.attempt = job.attempt.max(page.attempt);
            job.width = job.width.max(page.width.unwrap_or(0));
            for (first, n) in page.done {
                job.done.extend(first..first.saturating_add(n).min(job.spec.tasks));
            }
            for (task, attempt, machine, session, zone) in page.bound {
                let known = self.fleet.machines.entry(machine.clone()).or_insert_with(|| {
                    let zone = self.settings.cluster.zones.get(usize::from(zone)).cloned();
                    // The type is learned from the list or the first report.
                    Machine::new(Arc::from(""), zone.unwrap_or_default(), false, now)
                });
                known.bound.insert((id.clone(), task));
                // What a former leader fetched there is known by what runs.
                known.note_image(&job.spec.image, job.spec.image_gb, f64::INFINITY, &[]);
                let binding = Binding {
                    machine,
                    attempt,
                    session,
                    zone,
                    durable: true,
                    sent: 0,
                    seen: false,
                    running_since: None,
                    stop: None,
                };
                job.bound.insert(task, binding);
                use_team(&mut self.usage, &job.spec, 1.0);
            }
        }
        if job.ended.is_some() || job.remaining() == 0 {
            self.ending.insert(id.clone());
        }
        self.order.insert((job.arrival, id.clone()), ());
        self.jobs.insert(id.clone(), job);
        self.changed = true;
        self.round_due = true;
    }

    /// Takes in what the watch brought.
    pub fn on_changes(&mut self, changes: &[Change], picture: &Picture, now: Instant) {
        for change in changes {
            match change {
                Change::Arrived(id) => self.add_job(id, picture, now),
                Change::Ended(id) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.ended.get_or_insert(now);
                        self.prompt.extend(job.bound.values().map(|b| b.machine.clone()));
                        self.ending.insert(id.clone());
                        self.changed = true;
                        self.round_due = true;
                    }
                }
                Change::Lead | Change::Stray => {}
            }
        }
    }

    pub fn on_types(&mut self, types: Vec<MachineType>) {
        // Prices move all the time; they are no reason to write.
        let shape = |types: &[MachineType]| -> Vec<MachineType> {
            let plain = |t: &MachineType| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() };
            types.iter().map(plain).collect()
        };
        if types.is_empty() {
            return;
        }
        self.types_stored &= shape(&types) == shape(&self.types);
        self.types = Arc::new(types);
        self.changed = true;
    }

    // Reports.

    /// Takes a report and answers with orders.
    pub fn on_report(&mut self, report: &Report, now: Instant) -> Result<Vec<Order>, Deposed> {
        let orders = self.take_report(report, false, now)?;
        for order in orders.iter().filter(|o| o.op == Op::Start) {
            if let Some(key) = parse_task(&order.task)
                && let Some(binding) =
                    self.jobs.get_mut(&key.0).and_then(|j| j.bound.get_mut(&key.1))
            {
                binding.sent += 1;
            }
        }
        Ok(orders)
    }

    /// Takes a report and tells which orders are due. As the answer to direct
    /// orders it proves no absence: the worker may still be waiting for an
    /// answer to its last own report, with a start order in it.
    fn take_report(
        &mut self,
        report: &Report,
        direct: bool,
        now: Instant,
    ) -> Result<Vec<Order>, Deposed> {
        if report.token > self.token {
            return Err(Deposed);
        }
        let was_ready = self.is_ready(&report.machine, now);
        let lease = self.settings.worker_lease();
        match self.fleet.note_report(report, self.token, lease, now) {
            Freshness::Stale => return Ok(Vec::new()),
            Freshness::NewSession => self.lose_sessions(&report.machine, report.session, now),
            Freshness::Newer => {}
        }
        let reported: HashMap<TaskKey, &TaskReport> =
            report.tasks.iter().filter_map(|t| parse_task(&t.task).map(|key| (key, t))).collect();
        let bound: Vec<TaskKey> = self
            .fleet
            .machines
            .get(&report.machine)
            .map(|m| m.bound.iter().cloned().collect())
            .unwrap_or_default();
        self.effort.reports += 1;
        self.effort.reviewed += (bound.len() + reported.len()) as u64;
        let mut orders = Vec::new();
        for key in bound {
            self.review(&key, reported.get(&key).copied(), report, direct, &mut orders, now);
        }
        self.review_strangers(&reported, report, &mut orders);
        if self.is_ready(&report.machine, now) != was_ready {
            self.changed = true;
        }
        let mine = self.fleet.machines.get(&report.machine).is_some_and(|m| m.mine);
        // A worker that has not shown this token yet may still carry out
        // older orders; it is told the token first, and orders next time.
        Ok(if mine { orders } else { Vec::new() })
    }

    fn is_ready(&self, machine: &MachineId, now: Instant) -> bool {
        self.fleet.machines.get(machine).is_some_and(|m| m.ready(now, self.settings.report()))
    }

    /// One bound task against what the report says of it.
    fn review(
        &mut self,
        key: &TaskKey,
        reported: Option<&TaskReport>,
        report: &Report,
        direct: bool,
        orders: &mut Vec<Order>,
        now: Instant,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&report.machine) else { return };
        let mine = machine.mine;
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let ended = job.ended.is_some();
        let Some(binding) = job.bound.get_mut(&key.1) else { return };
        if binding.session != report.session {
            return;
        }
        let unsure = direct || machine.unsure.contains(&(key.clone(), binding.attempt));
        match reported.filter(|t| t.attempt == binding.attempt) {
            Some(task) if task.state == TaskState::Exited => {
                machine.deaf = 0;
                let cause = task.cause.unwrap_or(Cause::Error);
                self.exited(key, cause, now);
            }
            Some(task) => {
                machine.deaf = 0;
                binding.sent = 0;
                binding.seen = true;
                if task.state == TaskState::Running && binding.running_since.is_none() {
                    binding.running_since = Some(now);
                }
                let stop =
                    if ended { Some(Stop { since: now, grace_s: 0.0 }) } else { binding.stop };
                if let Some(stop) = stop {
                    let late = now > stop.since + Duration::from_secs_f64(stop.grace_s * 2.0);
                    if task.state != TaskState::Saving || ended || late {
                        orders.push(Order {
                            op: Op::Stop,
                            task: task.task.clone(),
                            attempt: task.attempt,
                            grace_s: Some(if late { 0.0 } else { stop.grace_s }),
                        });
                    }
                }
            }
            // Orders in answers are never carried out late, so a newer report
            // at this token that lacks the task is proof, unless a direct
            // order may still start it.
            None if mine && !unsure && (ended || binding.stop.is_some()) => self.gone(key, now),
            None if mine && !unsure && binding.sent >= 2 => {
                // Told twice and still not there: the answers don't arrive.
                machine.deaf += 1;
                machine.shunned_until = Some(now + self.settings.worker_lease());
                info!(machine = %report.machine, task = ?key, "the machine does not carry out orders");
                self.gone(key, now);
            }
            None if mine
                && binding.durable
                && reported.is_none()
                && !ended
                && binding.stop.is_none() =>
            {
                orders.push(Order {
                    op: Op::Start,
                    task: task_name(&key.0, key.1),
                    attempt: binding.attempt,
                    grace_s: None,
                });
            }
            None => {}
        }
    }

    /// Tasks on the machine that are not bound there: exited ones are cleared
    /// once their outcome is durable, others are stopped.
    fn review_strangers(
        &mut self,
        reported: &HashMap<TaskKey, &TaskReport>,
        report: &Report,
        orders: &mut Vec<Order>,
    ) {
        let mut strangers = Resources::default();
        for (key, task) in reported {
            let job = self.jobs.get(&key.0);
            let bound = job.and_then(|j| j.bound.get(&key.1)).is_some_and(|b| {
                b.machine == report.machine
                    && b.session == report.session
                    && b.attempt == task.attempt
            });
            if bound {
                continue;
            }
            if task.state == TaskState::Exited {
                let page = (key.0.clone(), key.1 / self.settings.page_tasks());
                // A job's last exit is durable only with the job's end.
                let finishing = job.is_some_and(|j| j.remaining() == 0);
                // While it is listed, a late start order has no effect.
                let unsure = self
                    .fleet
                    .machines
                    .get(&report.machine)
                    .is_some_and(|m| m.unsure.contains(&(key.clone(), task.attempt)));
                if !finishing
                    && !unsure
                    && !self.dirty.contains(&page)
                    && !self.inflight.contains(&page)
                {
                    orders.push(Order {
                        op: Op::Forget,
                        task: task.task.clone(),
                        attempt: task.attempt,
                        grace_s: None,
                    });
                }
            } else {
                if let Some(job) = job {
                    strangers.add(&Resources::of_task(&job.spec));
                }
                orders.push(Order {
                    op: Op::Stop,
                    task: task.task.clone(),
                    attempt: task.attempt,
                    grace_s: Some(0.0),
                });
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.strangers = strangers;
        }
    }

    fn exited(&mut self, key: &TaskKey, cause: Cause, now: Instant) {
        debug!(job = %key.0, task = key.1, ?cause, "task exited");
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let Some(binding) = job.bound.get(&key.1) else { return };
        let id = binding.machine.clone();
        match cause {
            Cause::Done => {
                job.done.insert(key.1);
                job.failures = 0;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.failed_jobs.clear();
                    machine.shunned_until = None;
                }
            }
            Cause::Error => self.failed(key, &id, now),
            Cause::NoRoom | Cause::Busy => {
                // Our picture of the machine is off; its reports will mend it.
                let until = now + self.settings.report() * 4;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.shunned_until = Some(until);
                }
            }
            Cause::Unknown => job.held_until = Some(now + self.settings.report() * 2),
            Cause::Stopped | Cause::Peers | Cause::Alone => {}
        }
        self.gone(key, now);
    }

    /// A task failed. Mostly the machine is at fault, but a job with a mistake
    /// fails everywhere; each is judged by how many of the other it met.
    fn failed(&mut self, key: &TaskKey, id: &MachineId, now: Instant) {
        let report = self.settings.report();
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.failures += 1;
        if !job.avoid.contains(id) {
            job.avoid.push(id.clone());
        }
        // Failed on several machines: the job itself waits longer and longer,
        // and the machines are not held responsible.
        let mistaken = job.avoid.len() >= 3;
        if mistaken {
            let wait = report * 2_u32.saturating_pow(job.failures.min(6));
            job.held_until = Some(now + wait);
            info!(job = %key.0, failures = job.failures, wait_s = wait.as_secs_f64(), "fails on every machine: waits");
            for machine in std::mem::take(&mut job.avoid) {
                if let Some(machine) = self.fleet.machines.get_mut(&machine) {
                    machine.failed_jobs.remove(&key.0);
                    machine.shunned_until = None;
                }
            }
        } else if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.failed_jobs.insert(key.0.clone());
            let wait = report * 5 * machine.failed_jobs.len() as u32;
            machine.shunned_until = Some(now + wait);
            info!(machine = %id, task = %task_name(&key.0, key.1), "a task failed: the machine rests");
        }
    }

    /// There is proof that the task is not on its machine.
    fn gone(&mut self, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let Some(binding) = job.bound.remove(&key.1) else { return };
        let done = job.done.contains(&key.1);
        if !done {
            job.returned.insert(key.1);
        }
        use_team(&mut self.usage, &job.spec, -1.0);
        self.dirty.insert((key.0.clone(), key.1 / self.settings.page_tasks()));
        if let Some(machine) = self.fleet.machines.get_mut(&binding.machine) {
            machine.bound.remove(key);
            if machine.bound.is_empty() {
                machine.idle_since = Some(now);
            }
        }
        if job.spec.shape == Shape::Gang && !done {
            // The rest of a broken gang can't go on; the next attempt starts
            // when all of this one are gone.
            let grace_s = job.grace_s();
            for other in job.bound.values_mut() {
                other.stop.get_or_insert(Stop { since: now, grace_s });
            }
        }
        if job.ended.is_some() || job.remaining() == 0 {
            self.ending.insert(key.0.clone());
        }
        self.changed = true;
        self.round_due = true;
    }

    /// All tasks of sessions before `session` are gone from a machine.
    fn lose_sessions(&mut self, id: &MachineId, session: u64, now: Instant) {
        let Some(machine) = self.fleet.machines.get(id) else { return };
        let bound: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in bound {
            let lost = self
                .jobs
                .get(&key.0)
                .and_then(|j| j.bound.get(&key.1))
                .is_some_and(|b| b.session < session);
            if lost {
                info!(job = %key.0, task = key.1, machine = %id, "task lost with its machine's session");
                self.gone(&key, now);
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.idle_since.get_or_insert(now);
        }
    }

    // Time.

    /// Called whenever something happened, and several times per report
    /// interval. What needs a look over all machines or jobs is done a few
    /// times per report interval only, since reports come far more often.
    /// `alone`: since when surely no other controller has answered workers.
    pub fn tick(&mut self, now: Instant, paused: bool, alone: Option<Instant>) {
        let care = now >= self.next_care;
        if care {
            self.effort.rounds_of_care += 1;
            self.next_care = now + self.settings.report() / 8;
            self.expire_sessions(now, alone);
            self.drain(now);
        }
        // Without the state service nothing new can be made durable, and an
        // old picture is no ground for returning machines.
        if paused {
            self.unpaused = None;
            return;
        }
        // Whether the proof by lease can be had. After an outage the others'
        // promises need their time first, which is no ground for anything.
        let lease = self.settings.worker_lease();
        let unpaused = *self.unpaused.get_or_insert(now);
        if care {
            self.stop_ended(now);
            let provable =
                alone.is_some_and(|since| now > since + lease) || now < unpaused + lease * 2;
            self.return_machines(now, provable);
            for job in self.jobs.values_mut().filter(|j| j.held_until.is_some_and(|t| t <= now)) {
                job.held_until = None;
                self.changed = true;
            }
        }
        if now < self.next_pass {
            return;
        }
        // While a job waits, each round looks again: a boot may be overdue by
        // then, or the cloud have room again.
        let waiting = |j: &Job| j.ended.is_none() && j.bound.is_empty();
        let round = now >= self.next_round && (self.round_due || self.jobs.values().any(waiting));
        if self.changed || round {
            self.changed = false;
            self.schedule(round, now);
        }
    }

    /// How long the last tick took: the next pass keeps its distance, so that
    /// passes never crowd out reports, however large the fleet.
    pub fn took(&mut self, now: Instant, took: Duration) {
        self.next_pass = now + took * PASS_PARTS;
    }

    /// Sessions that ended by themselves, with proof of it.
    fn expire_sessions(&mut self, now: Instant, alone: Option<Instant>) {
        let lease = self.settings.worker_lease();
        // A machine that this leader never heard has the sessions that the
        // records name.
        let recorded = |key: &TaskKey| Some(self.jobs.get(&key.0)?.bound.get(&key.1)?.session);
        let over: Vec<(MachineId, u64)> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.lease_over(now, lease, alone))
            .filter_map(|(id, m)| {
                let recorded = m.bound.iter().filter_map(recorded).max();
                let session = m.seen.0.max(recorded.unwrap_or(0));
                (session > m.dead_session).then(|| (id.clone(), session))
            })
            .collect();
        for (id, session) in over {
            info!(machine = %id, session, "silent past its lease: its tasks are gone");
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.dead_session = session;
            }
            self.lose_sessions(&id, session + 1, now);
        }
    }

    /// Stops tasks on machines that will be taken back, in time to save.
    fn drain(&mut self, now: Instant) {
        let report = self.settings.report();
        let mut stops = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(until) = machine.notice_until else { continue };
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.0) else { continue };
                let needed = Duration::from_secs_f64(job.grace_s()) + report * 4;
                // A notice may run half as long as it says.
                if job.spec.checkpoint_s <= 0.0
                    || (until.saturating_duration_since(now)) / 2 < needed
                {
                    stops.push(key.clone());
                }
            }
        }
        for key in stops {
            self.stop(&key, false, now);
        }
    }

    /// Decides to stop a task; of a gang, all tasks.
    fn stop(&mut self, key: &TaskKey, at_once: bool, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let grace_s = if at_once { 0.0 } else { job.grace_s() };
        let stop = Stop { since: now, grace_s };
        let gang = job.spec.shape == Shape::Gang;
        for (task, binding) in &mut job.bound {
            if (gang || *task == key.1) && binding.stop.is_none() {
                binding.stop = Some(stop);
                self.prompt.insert(binding.machine.clone());
            }
        }
    }

    /// A cancelled job's tasks must be gone in time, even from a machine that
    /// can't be reached: then the machine itself goes.
    fn stop_ended(&mut self, now: Instant) {
        let limit = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s / 2.0);
        let mut late = Vec::new();
        for job in self.jobs.values() {
            if job.ended.is_some_and(|at| now > at + limit) {
                late.extend(job.bound.values().map(|b| b.machine.clone()));
            }
        }
        for id in late {
            self.delete(&id, "a cancelled task can't be stopped", now);
        }
    }

    fn return_machines(&mut self, now: Instant, provable: bool) {
        let types = self.types.clone();
        let boot = |kind: &str| types.iter().find(|t| &*t.name == kind).map_or(60.0, |t| t.boot_s);
        for (id, reason) in self.fleet.to_delete(&self.settings, boot, provable, now) {
            self.delete(&id, reason, now);
        }
        self.note_spot_load(now);
        let (spare, spare_spot) = (self.spare_machines(), self.spare_spot());
        let mut idle: Vec<(bool, Instant, MachineId)> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.bound.is_empty() && !m.deleting && m.heard())
            .filter_map(|(id, m)| {
                let since = m.idle_since?;
                let wait = boot(&m.machine_type) * self.settings.operator.idle_boots;
                (now > since + Duration::from_secs_f64(wait)).then(|| (!m.spot, since, id.clone()))
            })
            .collect();
        idle.sort();
        let ordinary = idle.iter().filter(|(ordinary, ..)| *ordinary).count();
        let mut keep = [spare_spot.min(idle.len() - ordinary), spare.min(ordinary)];
        for (ordinary, _, id) in idle.into_iter().rev() {
            let keep = &mut keep[usize::from(ordinary)];
            if *keep > 0 {
                *keep -= 1;
                continue;
            }
            self.delete(&id, "it is idle", now);
        }
        let keep = Duration::from_secs_f64(self.settings.cluster.cloud.list_lag_s * 10.0)
            + self.settings.worker_lease() * 10;
        self.fleet.forget_gone(now, keep);
    }

    /// Room on ordinary machines kept ready for what may come: empty machines
    /// for tasks that need most of one, and room anywhere, in machines, for
    /// the rest. Arrivals and departures of work whose class has an aim on
    /// waiting make its load swing by about the root of it, and a boot is too
    /// long to wait for. Waiting work counts, or a fleet that starts from
    /// nothing would have no room for boots that take several times as long.
    fn spare(&self) -> (usize, f64) {
        let (mut whole, mut partial) = (0.0, 0.0);
        for job in self.jobs.values() {
            if job.spec.spot || self.wait_aim(&job.spec).is_none() {
                continue;
            }
            let need = Resources::of_task(&job.spec);
            let shares = self.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
            let share = shares.fold(f64::INFINITY, f64::min).min(1.0);
            let load = share * f64::from(job.remaining());
            if share > 0.5 {
                whole += load;
            } else {
                partial += load;
            }
        }
        let headroom = self.settings.operator.headroom;
        ((whole.sqrt() * headroom).round() as usize, partial.sqrt() * headroom)
    }

    /// Empty spot machines kept ready for work that may use them and has an
    /// aim; as many more as they are cheaper than ordinary ones, since what a
    /// late start costs is the same. While that work grows, what it grew by
    /// within the last boot is likely to come again within the next: rented
    /// only when it has come, all of it would wait for a boot.
    fn spare_spot(&self) -> usize {
        let cheaper =
            |t: &MachineType| if t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
        let cheaper = self.types.iter().map(cheaper).fold(1.0, f64::max);
        let load = self.spot_load();
        let before = self.spot_loads.front().map_or(load, |(_, load)| *load);
        let swing = load.sqrt() * self.settings.operator.headroom * cheaper;
        (swing + (load - before).max(0.0)).round() as usize
    }

    /// The work, in machines, that may use spot machines and has an aim.
    fn spot_load(&self) -> f64 {
        let aims = &self.settings.cluster.objectives;
        self.jobs
            .values()
            .filter(|job| job.spec.spot && job.ended.is_none())
            .filter(|job| aims.iter().any(|o| o.class.as_ref() == Some(&job.spec.class)))
            .map(|job| {
                let need = Resources::of_task(&job.spec);
                let shares = self.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
                shares.fold(f64::INFINITY, f64::min).min(1.0) * f64::from(job.remaining())
            })
            .sum()
    }

    /// Notes the load, for as long as a boot takes.
    fn note_spot_load(&mut self, now: Instant) {
        let boot_s = self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let boot = Duration::from_secs_f64(boot_s);
        self.spot_loads.push_back((now, self.spot_load()));
        while self.spot_loads.front().is_some_and(|(at, _)| now > *at + boot) {
            self.spot_loads.pop_front();
        }
    }

    /// How many empty ordinary machines that takes.
    fn spare_machines(&self) -> usize {
        let (empty, room) = self.spare();
        empty + (room - self.partial_room()).max(0.0).round() as usize
    }

    /// Free room on ordinary machines that hold tasks, in machines.
    fn partial_room(&self) -> f64 {
        let free = |m: &Machine| {
            let kind = self.types.iter().find(|t| t.name == m.machine_type)?;
            let mut used = Resources::default();
            for (id, _) in &m.bound {
                let job = self.jobs.get(id)?;
                used.add(&Resources::of_task(&job.spec));
            }
            Some((1.0 - used.share_of(&Resources::of_type(kind))).max(0.0))
        };
        let held = self.fleet.machines.values().filter(|m| !m.spot && !m.bound.is_empty());
        held.filter_map(free).sum()
    }

    /// Within how many seconds a job's tasks should start, if its class has an
    /// aim for that.
    fn wait_aim(&self, spec: &JobSpec) -> Option<f64> {
        let aims = &self.settings.cluster.objectives;
        aims.iter()
            .find(|o| o.kind == "wait" && o.class.as_ref().is_some_and(|c| *c == spec.class))
            .and_then(|o| o.within_s)
    }

    fn delete(&mut self, id: &MachineId, reason: &str, now: Instant) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if machine.deleting {
            return;
        }
        machine.deleting = true;
        info!(
            machine = %id, zone = %machine.zone, spot = machine.spot, reason,
            silent_s = machine.silence(now).as_secs_f64(), "returning a machine"
        );
        self.deletions.push(id.clone());
    }

    // Deciding.

    fn schedule(&mut self, round: bool, now: Instant) {
        if self.types.is_empty() {
            return;
        }
        if round {
            self.round_due = false;
            self.next_round = now + Duration::from_secs_f64(self.settings.operator.round_s);
        }
        let types = self.types.clone();
        let settings = self.settings.clone();
        let settled = self.settled(now);
        self.refused.retain(|_, until| *until > now);
        let machines = self.machine_views(now);
        let index: HashMap<&MachineId, usize> =
            machines.iter().enumerate().map(|(at, m)| (&m.id, at)).collect();
        let jobs: Vec<JobView> = self
            .order
            .keys()
            .filter_map(|(_, id)| self.jobs.get(id))
            .filter(|job| job.ended.is_none() && job.remaining() > 0)
            .map(|job| self.job_view(job, &index, now))
            .collect();
        let snapshot = Snapshot {
            settings: &settings,
            types: &types,
            machines,
            jobs,
            usage: self.usage.clone(),
            refused: self.refused.keys().copied().collect(),
            spare: self.spare_machines(),
            spare_spot: self.spare_spot(),
            spare_room: {
                let (empty, room) = self.spare();
                empty as f64 + room
            },
            round,
            weighed: Cell::new(0),
        };
        let decisions = scheduler::decide(snapshot);
        self.effort.passes += 1;
        self.effort.weighed += decisions.weighed;
        for (id, width) in decisions.widths {
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.width != width) {
                info!(job = %id, from = job.width, to = width, "width");
                job.width = width;
                self.dirty.insert((id, 0));
            }
        }
        self.bind(decisions.place);
        // What the workers have not told yet looks like a lack of machines.
        if !settled {
            self.round_due = true;
            return;
        }
        for stopping in decisions.stop {
            info!(job = %stopping.job, task = stopping.task, at_once = stopping.at_once, "stopped to make room");
            self.stop(&(stopping.job, stopping.task), stopping.at_once, now);
        }
        for id in decisions.awaited {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.idle_since = machine.heard().then_some(now);
            }
        }
        self.rent(decisions.rent);
    }

    /// Whether a new leader has heard what it should: all machines that hold
    /// tasks, as far as they report within the usual time.
    fn settled(&self, now: Instant) -> bool {
        let machines = self.fleet.machines.values();
        now > self.started + self.settings.worker_lease() / 2
            || machines.filter(|m| !m.bound.is_empty()).all(Machine::heard)
    }

    fn machine_views(&self, now: Instant) -> Vec<MachineView> {
        let report = self.settings.report();
        let mut views = Vec::new();
        for (id, machine) in &self.fleet.machines {
            let Some(kind) = self.types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let Some(zone) = self.settings.zone_index(&machine.zone) else { continue };
            let ready = machine.ready(now, report);
            // A boot that is overdue may take several times as long, or never
            // end: nothing should count on it any more.
            let due = Duration::from_secs_f64(self.types[kind].boot_s * OVERDUE_BOOTS);
            let booting = machine.unborn() && machine.silence(now) < due;
            let coming = (booting || self.fleet.comes_back(machine)) && !machine.deleting;
            if !ready && !coming {
                continue;
            }
            let mut free = Resources::of_type(&self.types[kind]);
            free.sub(&machine.strangers);
            let mut stopping = machine.strangers;
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.0) else { continue };
                let need = Resources::of_task(&job.spec);
                free.sub(&need);
                let stops = job.bound.get(&key.1).is_some_and(|b| b.stop.is_some());
                if stops || job.ended.is_some() {
                    stopping.add(&need);
                }
            }
            views.push(MachineView {
                id: id.clone(),
                kind,
                zone,
                spot: machine.spot,
                free,
                stopping,
                ready,
                empty: machine.bound.is_empty(),
                awaited: false,
                images: machine.images.iter().map(|(image, _)| image.clone()).collect(),
            });
        }
        views
    }

    fn job_view(&self, job: &Job, index: &HashMap<&MachineId, usize>, now: Instant) -> JobView {
        // Enough for any width the fleet could hold.
        let limit = index.len() * 64 + 512;
        let bound = job
            .bound
            .iter()
            .map(|(&task, b)| {
                let ran = b.running_since.map_or(0.0, |at| (now - at).as_secs_f64());
                let lost = if job.spec.checkpoint_s > 0.0 { job.spec.save_s } else { ran };
                BoundView {
                    task,
                    machine: index.get(&b.machine).copied(),
                    zone: b.zone,
                    stopping: b.stop.is_some(),
                    settled: ran > SETTLED_S,
                    loss_s: lost,
                }
            })
            .collect();
        JobView {
            id: job.spec.id.clone(),
            spec: job.spec.clone(),
            arrival: job.arrival,
            pending: job.pending(limit),
            remaining: job.remaining(),
            bound,
            width: job.width,
            patience_s: self.wait_aim(&job.spec).map(|aim| {
                let waited = (now - job.known_since).as_secs_f64();
                if job.attempt > 0 { 0.0 } else { aim - waited }
            }),
            // Known only once all jobs of the team are seen together.
            guaranteed: false,
            held: job.held_until.is_some(),
            avoid: job.avoid.clone(),
        }
    }

    fn bind(&mut self, places: Vec<(JobId, u32, MachineId)>) {
        let mut raised: Option<JobId> = None;
        for (id, task, machine_id) in places {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            // Whatever was decided, a bound task is never bound again.
            if job.bound.contains_key(&task) || job.done.contains(&task) {
                continue;
            }
            let Some(machine) = self.fleet.machines.get_mut(&machine_id) else { continue };
            let Some(zone) = self.settings.zone_index(&machine.zone) else { continue };
            // All tasks of a gang's attempt share its number; elsewhere a
            // number is never used twice.
            if job.spec.shape != Shape::Gang || raised.as_ref() != Some(&id) {
                job.attempt += 1;
            }
            raised = Some(id.clone());
            let binding = Binding {
                machine: machine_id.clone(),
                attempt: job.attempt,
                session: machine.seen.0,
                zone,
                durable: false,
                sent: 0,
                seen: false,
                running_since: None,
                stop: None,
            };
            debug!(job = %id, task, machine = %machine_id, attempt = job.attempt, "bound");
            job.bound.insert(task, binding);
            job.returned.remove(&task);
            while job.next < job.spec.tasks
                && (job.done.contains(&job.next)
                    || job.bound.contains_key(&job.next)
                    || job.returned.contains(&job.next))
            {
                job.next += 1;
            }
            use_team(&mut self.usage, &job.spec, 1.0);
            machine.bound.insert((id.clone(), task));
            machine.idle_since = None;
            let spec = job.spec.clone();
            let kind = self.types.iter().find(|t| t.name == machine.machine_type);
            let cache_gb = kind.map_or(f64::INFINITY, |t| t.cache_gb);
            let here = machine.bound.iter().filter_map(|(job, _)| self.jobs.get(job));
            let used: Vec<Arc<str>> = here.map(|job| job.spec.image.clone()).collect();
            machine.note_image(&spec.image, spec.image_gb, cache_gb, &used);
            self.dirty.insert((id, task / self.settings.page_tasks()));
        }
    }

    fn rent(&mut self, wanted: Vec<(usize, u8, bool, u32)>) {
        for (kind, zone, spot, count) in wanted {
            let (Some(t), Some(zone)) =
                (self.types.get(kind), self.settings.cluster.zones.get(usize::from(zone)))
            else {
                continue;
            };
            // One request per kind at a time: its answer changes the picture.
            let same = |r: &Rental| r.machine_type == t.name && r.zone == *zone && r.spot == spot;
            if self.rentals.iter().chain(&self.renting).any(same) {
                continue;
            }
            self.rental_count += 1;
            let rental = Rental {
                // The token is this leadership's alone, so no name is used twice.
                request: format!("r-{}-{}", self.token, self.rental_count),
                machine_type: t.name.clone(),
                zone: zone.clone(),
                spot,
                count: count.min(RENT_LIMIT),
            };
            info!(request = %rental.request, zone = %rental.zone, spot, count, "renting");
            self.rentals.push(rental);
        }
    }

    // Direct orders.

    /// Orders for machines that should not wait for their next report: the
    /// address, and what to send there.
    pub fn take_direct(&mut self, now: Instant) -> Vec<(MachineId, String, DirectOrders)> {
        let mut direct = Vec::new();
        let report = self.settings.report();
        for id in std::mem::take(&mut self.prompt) {
            let Some(machine) = self.fleet.machines.get_mut(&id) else { continue };
            if !machine.usable(now, report) && machine.notice_until.is_none() || !machine.mine {
                continue;
            }
            if machine.prompting {
                self.prompt.insert(id);
                continue;
            }
            let session = machine.seen.0;
            let mut orders = Vec::new();
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.0) else { continue };
                let Some(binding) = job.bound.get(&key.1) else { continue };
                if binding.session != session || !binding.durable {
                    continue;
                }
                let stop =
                    if job.ended.is_some() { Some(0.0) } else { binding.stop.map(|s| s.grace_s) };
                let start = stop.is_none() && !binding.seen;
                if start {
                    machine.unsure.insert((key.clone(), binding.attempt));
                } else if stop.is_none() || !binding.seen {
                    continue;
                }
                orders.push(Order {
                    op: if start { Op::Start } else { Op::Stop },
                    task: task_name(&key.0, key.1),
                    attempt: binding.attempt,
                    grace_s: stop,
                });
            }
            if !orders.is_empty() && !machine.addr.is_empty() {
                machine.prompting = true;
                let orders = DirectOrders { token: self.token, session, orders };
                direct.push((id, machine.addr.clone(), orders));
            }
        }
        direct
    }

    /// The answer to direct orders, or none.
    pub fn on_direct(
        &mut self,
        id: &MachineId,
        orders: &DirectOrders,
        answer: Option<&Report>,
        now: Instant,
    ) -> Result<(), Deposed> {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return Ok(()) };
        machine.prompting = false;
        let Some(report) = answer.filter(|r| r.machine == *id) else { return Ok(()) };
        if machine.seen.0 == orders.session {
            for order in &orders.orders {
                if let Some(key) = parse_task(&order.task) {
                    machine.unsure.remove(&(key, order.attempt));
                }
            }
        }
        self.take_report(report, true, now).map(|_| ())
    }

    // The cloud's side.

    pub fn take_rentals(&mut self) -> Vec<Rental> {
        let rentals = std::mem::take(&mut self.rentals);
        self.renting.extend(rentals.iter().cloned());
        rentals
    }

    /// The cloud answered: machines, or none for now.
    pub fn rented(&mut self, rental: &Rental, machines: Option<Vec<MachineId>>, now: Instant) {
        self.renting.retain(|r| r.request != rental.request);
        let machines = machines.unwrap_or_default();
        if machines.len() < rental.count as usize {
            let kind = self.types.iter().position(|t| t.name == rental.machine_type);
            let zone = self.settings.zone_index(&rental.zone);
            if let (Some(kind), Some(zone)) = (kind, zone) {
                let wait = Duration::from_secs_f64(self.types[kind].boot_s / 4.0);
                info!(zone = %rental.zone, spot = rental.spot, "the cloud has no more of these");
                self.refused.insert((kind, zone, rental.spot), now + wait);
            }
        }
        for id in machines {
            if self.fleet.gone.contains_key(&id) {
                continue;
            }
            self.fleet.machines.entry(id).or_insert_with(|| {
                let (kind, zone) = (rental.machine_type.clone(), rental.zone.clone());
                Machine::new(kind, zone, rental.spot, now)
            });
        }
        self.changed = true;
        self.round_due = true;
    }

    pub fn take_deletions(&mut self) -> Vec<MachineId> {
        let count = self.deletions.len().min(DELETE_LIMIT);
        self.deletions.drain(..count).collect()
    }

    /// The cloud answered a deletion: proof for everything on the machines.
    pub fn deleted(&mut self, machines: &[MachineId], now: Instant) {
        for id in machines {
            self.lose_sessions(id, u64::MAX, now);
            self.fleet.machines.remove(id);
            self.fleet.gone.insert(id.clone(), now);
        }
        self.changed = true;
    }

    /// No answer to a deletion: asked again.
    pub fn not_deleted(&mut self, machines: Vec<MachineId>) {
        self.deletions.extend(machines);
    }

    pub fn on_list(&mut self, list: &[crate::protocol::ListedMachine], now: Instant) {
        for listed in list {
            // Bindings from the records name machines before their type is known.
            if let Some(machine) = self.fleet.machines.get_mut(&listed.id) {
                if machine.machine_type.is_empty() {
                    machine.machine_type = listed.machine_type.clone();
                    machine.spot = listed.spot;
                    self.changed = true;
                }
            } else {
                self.changed = true;
            }
        }
        self.fleet.note_list(list, now);
    }

    /// Whether this node alone seems cut off from the workers. Found out late,
    /// a successor would have no time left to be found by them within their
    /// lease: they look for it only after an answer has failed to come.
    pub fn deserted(&self, now: Instant) -> bool {
        now > self.started + self.settings.worker_lease()
            && self.fleet.mostly_silent(now, self.settings.report() * 5 / 2)
    }

    // Writing.

    /// Writes that are due, as many as may be under way at once: after a loss
    /// of hundreds of tasks the budget decides who comes back first, so ends go
    /// first, then pages with new places by priority and arrival, then the
    /// rest. A page leaves only once at a time, so what it says of a task is
    /// never overtaken by an older version.
    pub fn take_commits(&mut self, picture: &Picture) -> Vec<Commit> {
        let mut commits = Vec::new();
        let lead = Condition { key: store::LEAD.into(), version: self.lead_version };
        for id in std::mem::take(&mut self.ending) {
            if let Some(commit) = self.end_commit(&id, &lead, picture) {
                commits.push(commit);
            }
        }
        if !self.types_stored && !self.types.is_empty() {
            self.types_stored = true;
            let version = picture.types.as_ref().map_or(0, |(v, _)| *v);
            if let Ok(value) = store::value(&*self.types) {
                let key = store::TYPES.to_owned();
                commits.push(Commit {
                    conditions: vec![lead.clone(), Condition { key: key.clone(), version }],
                    writes: vec![Write::Put { key, value, lease: None }],
                    kind: CommitKind::Types,
                });
            }
        }
        for key in self.due_pages() {
            commits.extend(self.page_commit(key, &lead, picture));
        }
        commits
    }

    fn writes_under_way(&self) -> usize {
        self.settings.cluster.state.txn_ops * IN_FLIGHT
    }

    /// The pages that should be written next.
    fn due_pages(&self) -> Vec<(JobId, u32)> {
        let room = self.writes_under_way().saturating_sub(self.inflight.len());
        if room == 0 {
            return Vec::new();
        }
        let size = self.settings.page_tasks();
        let mut due: Vec<_> = self
            .dirty
            .iter()
            .filter(|key| !self.inflight.contains(*key))
            .map(|key| {
                let job = self.jobs.get(&key.0);
                let places = job.is_some_and(|j| j.awaits_record(key.1, size));
                let rank = job.map(|j| (std::cmp::Reverse(j.spec.priority), j.arrival));
                (!places, rank, key)
            })
            .collect();
        due.sort();
        due.truncate(room);
        due.into_iter().map(|(.., key)| key.clone()).collect()
    }

    fn page_commit(
        &mut self,
        key: (JobId, u32),
        lead: &Condition,
        picture: &Picture,
    ) -> Option<Commit> {
        self.dirty.remove(&key);
        let job = self.jobs.get_mut(&key.0)?;
        // An ended job's pages only matter while tasks are bound.
        if (job.ended.is_some() && job.bound.is_empty()) || job.remaining() == 0 {
            return None;
        }
        let content = job.page(key.1, self.settings.page_tasks());
        let value = store::value(&content).ok()?;
        job.pages.insert(key.1);
        let page = store::page_key(&key.0, key.1);
        let version =
            picture.pages.get(&key.0).and_then(|p| p.get(&key.1)).map_or(0, |p| p.version);
        self.inflight.insert(key.clone());
        Some(Commit {
            conditions: vec![lead.clone(), Condition { key: page.clone(), version }],
            writes: vec![Write::Put { key: page, value, lease: None }],
            kind: CommitKind::Page { job: key.0, page: key.1, content },
        })
    }

    /// Creates the end record of a job whose tasks are all done, and drops
    /// the bulky records of one that has ended and left every machine.
    fn end_commit(&mut self, id: &JobId, lead: &Condition, picture: &Picture) -> Option<Commit> {
        let job = self.jobs.get_mut(id)?;
        let finished = job.remaining() == 0;
        if job.ending || !job.bound.is_empty() || !(finished || job.ended.is_some()) {
            return None;
        }
        if self.inflight.range((id.clone(), 0)..=(id.clone(), u32::MAX)).next().is_some() {
            // Asked again when that write is through.
            return None;
        }
        job.ending = true;
        let mut conditions = vec![lead.clone()];
        let mut writes = Vec::new();
        if job.ended.is_none() {
            let key = store::end_key(id);
            let end = End { state: JobState::Done, done: job.spec.tasks };
            conditions.push(Condition { key: key.clone(), version: 0 });
            writes.push(Write::Put { key, value: store::value(&end).ok()?, lease: None });
        }
        let limit = self.settings.cluster.state.txn_ops;
        let pages = picture.pages.get(id);
        for page in pages.into_iter().flat_map(|p| p.keys()) {
            if writes.len() + 1 >= limit {
                break;
            }
            writes.push(Write::Delete { key: store::page_key(id, *page) });
        }
        if pages.map_or(0, |p| p.len()) <= writes.len() {
            writes.push(Write::Delete { key: store::job_key(id) });
        }
        Some(Commit { conditions, writes, kind: CommitKind::End { job: id.clone() } })
    }

    /// A write is durable. The picture has it already.
    pub fn committed(&mut self, kind: &CommitKind, picture: &Picture, now: Instant) {
        match kind {
            CommitKind::Page { job: id, page, content } => {
                self.inflight.remove(&(id.clone(), *page));
                let Some(job) = self.jobs.get_mut(id) else { return };
                for (task, attempt, ..) in &content.bound {
                    if let Some(binding) = job.bound.get_mut(task)
                        && binding.attempt == *attempt
                    {
                        binding.durable = true;
                        if !binding.seen {
                            self.prompt.insert(binding.machine.clone());
                        }
                    }
                }
                if job.ended.is_some() || job.remaining() == 0 {
                    self.ending.insert(id.clone());
                }
            }
            CommitKind::End { job: id } => {
                let Some(job) = self.jobs.get_mut(id) else { return };
                job.ending = false;
                if picture.ends.contains_key(id) {
                    job.ended.get_or_insert(now);
                }
                if picture.jobs.contains_key(id) {
                    // More pages than one transaction drops.
                    self.ending.insert(id.clone());
                } else {
                    let arrival = job.arrival;
                    info!(job = %id, "ended");
                    self.jobs.remove(id);
                    self.order.remove(&(arrival, id.clone()));
                }
            }
            CommitKind::Types => {}
        }
    }

    /// A write did not happen, as far as the fresh picture tells: again.
    pub fn not_committed(&mut self, kind: CommitKind, picture: &Picture, now: Instant) {
        match kind {
            CommitKind::Page { job, page, .. } => {
                self.inflight.remove(&(job.clone(), page));
                // If the job is over by now, its end replaces the page.
                self.ending.insert(job.clone());
                self.dirty.insert((job, page));
            }
            CommitKind::End { job: id } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.ending = false;
                    // Cancelled in the meantime: the first end wins.
                    if picture.ends.contains_key(&id) {
                        job.ended.get_or_insert(now);
                    }
                    self.ending.insert(id);
                }
            }
            CommitKind::Types => self.types_stored = false,
        }
    }

    pub fn has_writes(&self) -> bool {
        !self.dirty.is_empty() || !self.ending.is_empty() || !self.types_stored
    }

    /// One line for the operator.
    pub fn summary(&self, now: Instant) -> String {
        let report = self.settings.report();
        let (mut ready, mut idle, mut booting) = (0, 0, 0);
        // GPUs in use and held, on spot machines [0] and ordinary ones [1];
        // and what work that may use spot machines has of the latter.
        let (mut used, mut held, mut misplaced) = ([0.0; 2], [0.0; 2], 0.0);
        for machine in self.fleet.machines.values() {
            if !machine.heard() {
                booting += 1;
                continue;
            }
            ready += u32::from(machine.ready(now, report));
            idle += u32::from(machine.bound.is_empty());
            let at = usize::from(!machine.spot);
            held[at] +=
                self.types.iter().find(|t| t.name == machine.machine_type).map_or(0.0, |t| t.gpus);
            for spec in machine.bound.iter().filter_map(|(job, _)| Some(&self.jobs.get(job)?.spec))
            {
                used[at] += spec.gpus;
                if spec.spot && !machine.spot {
                    misplaced += spec.gpus;
                }
            }
        }
        let waiting =
            self.jobs.values().filter(|j| j.bound.is_empty() && j.ended.is_none()).count();
        format!(
            "jobs {} (waiting {waiting}), GPUs {} of {} ordinary ({misplaced} by work for spot) and {} of {} spot, machines {} (booting {booting}, ready {ready}, idle {idle}), {:?}",
            self.jobs.len(),
            used[1],
            held[1],
            used[0],
            held[0],
            self.fleet.machines.len(),
            self.effort
        )
    }
}

fn use_team(usage: &mut HashMap<Arc<str>, TeamUse>, spec: &JobSpec, sign: f64) {
    let team = usage.entry(spec.team.clone()).or_default();
    team.cpus += sign * spec.cpus;
    team.gpus += sign * spec.gpus;
}
