//! The leader's duty: a state machine that takes reports, changes of the
//! records and answers of the cloud, and gives commands, writes and rentals.
//!
//! It does no I/O. What it decides becomes real in this order: the page
//! record with a binding is committed first, and only then does the order to
//! start leave; an exit is committed first, and only then is it cleared from
//! the worker.
//!
//! `reconciliation` reviews what workers say, `direct_commands` sends commands to their own
//! addresses, `cancellations` sees to it that cancelled tasks go in time, `planner` makes scheduling passes,
//! `writes` and `pages` make them durable, `autoscaler` rents and returns
//! machines, `lending` says what may be reclaimed, `job` holds one job, `summary` tells the
//! operator how it goes; here is what they share, and the time.

mod autoscaler;
mod cancellations;
mod direct_commands;
mod job;
mod lending;
mod pages;
mod planner;
mod reconciliation;
mod summary;
mod writes;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};

use tokio::time::{Duration, Instant};
use tracing::{info, warn};

use cancellations::Ended;
use direct_commands::CommandQueue;
pub use direct_commands::{DirectOutcome, DirectRequest, OpenStarts};
use job::{Binding, Job, Stop};
pub use lending::{LendableMachine, LendingView, LentWork, WaitingJob};
pub use summary::WorkCounters;
pub use writes::{Commit, CommitKind};

use crate::{
    fencing::TermTokens,
    fleet::{Fleet, LeaseProof, Machine, TaskKey},
    protocol::{JobId, JobSpec, MachineId, MachineType, ProvisionRequest, Shape},
    scheduler::{Reservation, TeamUse},
    settings::Settings,
    store::{BoundTask, Change, Page, TaskRange, WatchCache},
};

/// A pass may take up to one in so many parts of the time: the rest is for
/// reports, answers and the renewal of the lease.
const PASS_PARTS: u32 = 8;

/// The heartbeat shows a higher token: someone else leads.
#[derive(Debug, PartialEq)]
pub struct Superseded;

pub struct Leader {
    settings: Arc<Settings>,
    pub tokens: TermTokens,
    pub lead_version: u64,
    types: Arc<Vec<MachineType>>,
    types_stored: bool,
    jobs: HashMap<JobId, Job>,
    order: BTreeMap<(u64, JobId), ()>,
    fleet: Fleet,
    usage: HashMap<Arc<str>, TeamUse>,
    dirty: BTreeSet<(JobId, u32)>,
    /// Pages that are too large to be written, until a task leaves them.
    oversized: BTreeSet<(JobId, u32)>,
    /// Tasks to stop so that such a page can be written.
    stop_later: BTreeSet<TaskKey>,
    /// Every member knows pages of smaller ranges, see `pages`.
    small_pages: bool,
    inflight: BTreeSet<(JobId, u32)>,
    ending: BTreeSet<JobId>,
    /// Jobs cancelled with another one whose own end records are under way.
    cancelling: BTreeSet<JobId>,
    /// Kinds the cloud refused: not asked again before then.
    refused: HashMap<(usize, u8, bool), Instant>,
    rentals: Vec<ProvisionRequest>,
    renting: Vec<ProvisionRequest>,
    /// The load of work that may use spot machines, over the last boot time.
    spot_loads: VecDeque<(Instant, f64)>,
    /// Machines that are kept for one job each, since they are reclaimed for it.
    reservations: BTreeMap<MachineId, Reservation>,
    /// Machines with commands that should not wait for the next report.
    needs_command: CommandQueue,
    /// Direct requests under way, and how many were sent in this term.
    calls: BTreeSet<u64>,
    requests_sent: u64,
    /// Whether work may be started, see `allow_starts`.
    starts_allowed: bool,
    deletions: Vec<MachineId>,
    rental_count: u64,
    next_round: Instant,
    next_sweep: Instant,
    next_pass: Instant,
    pub counters: WorkCounters,
    outnumbered: bool,
    round_due: bool,
    /// Something changed that the next pass has to consider.
    changed: bool,
    /// The same since the last tick, see `needs_tick`.
    needs_tick: bool,
    started: Instant,
    /// Since when the state service has answered without a break.
    unpaused: Option<Instant>,
}

impl Leader {
    /// Rebuilds the duty from the records. The watch cache must be as new as the
    /// leadership itself, so that no former leader's write is missing.
    pub fn new(
        settings: Arc<Settings>,
        lead_version: u64,
        tokens: TermTokens,
        watch_cache: &WatchCache,
        now: Instant,
    ) -> Self {
        let mut leader = Self {
            settings,
            tokens,
            lead_version,
            types: Arc::default(),
            types_stored: true,
            jobs: HashMap::new(),
            order: BTreeMap::new(),
            fleet: Fleet::default(),
            usage: HashMap::new(),
            dirty: BTreeSet::new(),
            oversized: BTreeSet::new(),
            stop_later: BTreeSet::new(),
            small_pages: false,
            inflight: BTreeSet::new(),
            ending: BTreeSet::new(),
            cancelling: BTreeSet::new(),
            refused: HashMap::new(),
            rentals: Vec::new(),
            renting: Vec::new(),
            spot_loads: VecDeque::new(),
            reservations: BTreeMap::new(),
            needs_command: CommandQueue::default(),
            calls: BTreeSet::new(),
            requests_sent: 0,
            starts_allowed: true,
            deletions: Vec::new(),
            rental_count: 0,
            next_round: now,
            next_sweep: now,
            next_pass: now,
            counters: WorkCounters::default(),
            outnumbered: false,
            round_due: true,
            changed: true,
            needs_tick: true,
            started: now,
            unpaused: None,
        };
        if let Some(types) = &watch_cache.machine_types {
            leader.types = types.value.clone();
        }
        for id in watch_cache.jobs.keys() {
            leader.add_job(id, watch_cache, now);
        }
        leader
    }

    fn add_job(&mut self, id: &JobId, watch_cache: &WatchCache, now: Instant) {
        let Some(entry) = watch_cache.jobs.get(id) else { return };
        if self.jobs.contains_key(id) {
            // All records were read again: what it waits for may be over.
            self.follow_dependencies(id, watch_cache, now);
            return;
        }
        let page_tasks = pages::tasks_per_page(&self.settings, &entry.spec, self.small_pages);
        let mut job = Job::new(entry.spec.clone(), entry.version, page_tasks, now);
        let known = watch_cache.pages.get(id).is_some_and(|pages| !pages.is_empty());
        if known {
            // Pages written before keep their layout.
            job.page_tasks = self.settings.page_tasks();
        }
        let ended =
            watch_cache.ended_jobs.contains(id) || watch_cache.dependencies.is_cancelled(id);
        job.ended = ended.then(|| Ended::learned(now));
        job.waits_for_others = watch_cache.dependencies.is_waiting(id);
        job.priority = watch_cache.dependencies.effective_priority(id).unwrap_or(job.priority);
        for (number, entry) in watch_cache.pages.get(id).into_iter().flatten() {
            let page: Page = match serde_json::from_str(entry.raw.get()) {
                Ok(page) => page,
                Err(e) => {
                    warn!(job = %id, page = number, error = %e, "a page can't be read");
                    continue;
                }
            };
            job.pages.insert(*number);
            job.page_tasks = page.tasks.filter(|tasks| *tasks > 0).unwrap_or(job.page_tasks);
            job.attempt = job.attempt.max(page.attempt);
            job.width = job.width.max(page.width.unwrap_or(0));
            for TaskRange { first, count } in page.done {
                job.done.extend(first..first.saturating_add(count).min(job.spec.tasks));
            }
            for BoundTask { task, attempt, machine, incarnation, zone } in page.bound {
                let known = self.fleet.machines.entry(machine.clone()).or_insert_with(|| {
                    let zone = self.settings.cluster.zones.get(usize::from(zone)).cloned();
                    // The type is learned from the list or the first report.
                    Machine::new(Arc::from(""), zone.unwrap_or_default(), false, now)
                });
                known.bound.insert((id.clone(), task));
                // What a former leader fetched there is known by what runs.
                known.images.note(&job.spec.image, job.spec.image_gb, f64::INFINITY, |_| true);
                let binding = Binding {
                    machine,
                    attempt,
                    incarnation,
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
        job.give_up_part_of_a_gang(now);
        if job.ended.is_some() || job.remaining() == 0 {
            self.ending.insert(id.clone());
        }
        self.order.insert((job.arrival, id.clone()), ());
        self.jobs.insert(id.clone(), job);
        self.note_change();
        self.round_due = true;
    }

    /// Takes in what the watch brought.
    pub fn on_changes(&mut self, changes: &[Change], watch_cache: &WatchCache, now: Instant) {
        for change in changes {
            match change {
                Change::Arrived(id) => self.add_job(id, watch_cache, now),
                Change::Ready(id) | Change::PriorityChanged(id) => {
                    self.follow_dependencies(id, watch_cache, now);
                }
                Change::Ended(id) => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.ended.get_or_insert(Ended::learned(now));
                        for binding in job.bound.values() {
                            self.needs_command.push(binding.machine.clone());
                        }
                        self.ending.insert(id.clone());
                        self.note_change();
                        self.round_due = true;
                    }
                }
                Change::Leader | Change::HeartbeatsRejected => {}
            }
        }
    }

    /// Takes over what the watch cache says of a job's dependencies and dependants.
    fn follow_dependencies(&mut self, id: &JobId, watch_cache: &WatchCache, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.priority = watch_cache.dependencies.effective_priority(id).unwrap_or(job.priority);
        let waits = watch_cache.dependencies.is_waiting(id);
        let waited = std::mem::replace(&mut job.waits_for_others, waits);
        if waited && !waits {
            info!(job = %id, "all that it depends on is done");
            // Waits are counted from here.
            job.known_since = now;
            self.round_due = true;
            self.note_change();
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
        self.note_change();
    }

    fn note_change(&mut self) {
        self.changed = true;
        self.needs_tick = true;
    }

    /// Whether something happened since the last tick that should not wait for
    /// the next sweep. Most reports only say that all is as it was, and a tick
    /// for each of those would cost more than the heartbeat itself.
    pub fn needs_tick(&self) -> bool {
        self.needs_tick
    }

    /// When the next tick is due if nothing happens until then.
    pub fn next_tick(&self) -> Instant {
        // While the state service is away no pass is made.
        let pass_pending = self.changed && self.unpaused.is_some();
        if pass_pending { self.next_sweep.min(self.next_pass) } else { self.next_sweep }
    }

    /// Called when something happened, and when `next_tick` says so. What needs
    /// a look over all machines or jobs is done a few times per heartbeat interval
    /// only, since events come far more often.
    /// `alone`: since when surely no other controller has answered workers.
    pub fn tick(&mut self, now: Instant, paused: bool, alone: Option<Instant>) {
        self.needs_tick = false;
        self.counters.ticks += 1;
        let care = now >= self.next_sweep;
        if care {
            self.counters.sweeps += 1;
            self.next_sweep = now + self.settings.heartbeat_interval() / 8;
            self.expire_incarnations(now, alone);
            self.drain(now);
            self.stop_cancelled_directly(now);
            for key in std::mem::take(&mut self.stop_later) {
                self.stop(&key, false, now);
            }
            self.delete_machines_with_cancelled_tasks(now, paused);
        }
        // Without the state service nothing new can be made durable, and an
        // old watch cache is no ground for returning machines.
        if paused {
            self.unpaused = None;
            return;
        }
        // Whether the proof by lease can be had. After an outage the others'
        // promises need their time first, which is no ground for anything.
        let lease = self.settings.worker_lease();
        let unpaused = *self.unpaused.get_or_insert(now);
        if care {
            let provable =
                alone.is_some_and(|since| now > since + lease) || now < unpaused + lease * 2;
            self.return_machines(now, LeaseProof { provable, alone });
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
        let waiting = |j: &Job| j.is_active() && j.bound.is_empty();
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

    /// Incarnations that ended by themselves, with proof of it.
    fn expire_incarnations(&mut self, now: Instant, alone: Option<Instant>) {
        let lease = self.settings.worker_lease();
        // A machine that this leader never heard has the incarnations that the
        // records name.
        let recorded = |key: &TaskKey| Some(self.jobs.get(&key.0)?.bound.get(&key.1)?.incarnation);
        let over: Vec<(MachineId, u64)> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.lease_over(now, lease, alone))
            .filter_map(|(id, m)| {
                let recorded = m.bound.iter().filter_map(recorded).max();
                let incarnation = m.seen.0.max(recorded.unwrap_or(0));
                (incarnation > m.dead_incarnation).then(|| (id.clone(), incarnation))
            })
            .collect();
        for (id, incarnation) in over {
            info!(machine = %id, incarnation, "silent past its lease: its tasks are gone");
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.dead_incarnation = incarnation;
            }
            self.lose_incarnations(&id, incarnation + 1, now);
        }
    }

    /// Stops tasks on machines that will be taken back, in time to save.
    fn drain(&mut self, now: Instant) {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let mut stops = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(until) = machine.notice_until else { continue };
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.0) else { continue };
                let needed = Duration::from_secs_f64(job.grace_s()) + heartbeat_interval * 4;
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
                self.needs_command.push(binding.machine.clone());
            }
        }
    }

    /// Whether work may be started from now on: not while the leadership is in
    /// doubt or cancellations may be unknown. Renewing a worker's lease needs
    /// less, since the lease bounds what it keeps alive.
    pub fn allow_starts(&mut self, allowed: bool) {
        self.starts_allowed = allowed;
    }

    /// Whether there are more machines than connections to hear them by. Told
    /// once a term.
    pub fn outnumbered(&mut self) -> bool {
        let more = self.fleet.machines.len() > self.settings.public_sockets();
        more && !std::mem::replace(&mut self.outnumbered, true)
    }
}

fn use_team(usage: &mut HashMap<Arc<str>, TeamUse>, spec: &JobSpec, sign: f64) {
    let team = usage.entry(spec.team.clone()).or_default();
    team.cpus += sign * spec.cpus;
    team.gpus += sign * spec.gpus;
}
