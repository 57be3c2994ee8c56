//! Every order of events within bounds: two controllers, one model, messages that
//! arrive late, twice or never, controllers that end, and sessions that lapse while
//! their holder still believes in them. The steps are those of the real planner.
//!
//! The same exploration has to find the fault in variants without a guard.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

use stonewheel_activation::{
    planner::{ElapsedTimers, Facts, Observed, Requested, Step, decide},
    record::ActivationRecord,
};
use stonewheel_coordination::Owner;

const NODES: usize = 2;
const ATTEMPTS: u32 = 2;
/// An exploration that meets more states is given up.
const MOST_STATES: usize = 10_000_000;

/// What is explored, and which guards are in place.
#[derive(Clone, Copy)]
struct Bounds {
    /// Requests that arrive, at either controller.
    requests: u8,
    /// Controllers that end, sessions that lapse, replicas that die and starts that
    /// are rejected.
    faults: u8,
    /// Messages that get no answer, and may still arrive.
    lost: u8,
    /// Jobs that are named: further wakes and attempts are left out.
    jobs: u8,
    /// Changes of the record: without a clock a model may drain and be called back
    /// for ever.
    writes: u8,
    /// A start is refused once the record has moved on.
    fenced_starts: bool,
    /// A stop of a job that was never started keeps it from starting later.
    stop_bans: bool,
    /// A model drains only while no use marker exists.
    drain_checks_use: bool,
    /// A start is asked for only once the record that names it stands.
    record_before_start: bool,
}

const GUARDED: Bounds = Bounds {
    requests: 1,
    faults: 1,
    lost: 1,
    jobs: 2,
    writes: 9,
    fenced_starts: true,
    stop_bans: false,
    drain_checks_use: true,
    record_before_start: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum JobState {
    Lives,
    Dead,
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    record: ActivationRecord,
    version: u8,
    /// The session that it believes to hold.
    session: Option<u8>,
    marked: bool,
    wanted: u8,
    /// The job that its requests in progress are at.
    forwards_to: Option<String>,
    requested: Requested,
    observed: Observed,
    stopped: bool,
    /// It waits for the answer to a message.
    waits: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Body {
    Write { version: u8, session: u8, record: RecordText, unless_used: bool },
    Mark { version: u8, session: u8 },
    Unmark { session: u8 },
    Start { version: u8, job: String },
    Stop { job: String },
}

/// Records have no order of their own, and messages are kept in a set.
type RecordText = String;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: usize,
    /// Whether its sender still waits for the answer.
    awaited: bool,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    record: ActivationRecord,
    version: u8,
    sessions: [Option<u8>; NODES],
    markers: [bool; NODES],
    nodes: [Node; NODES],
    messages: BTreeSet<Message>,
    jobs: BTreeMap<String, JobState>,
    named: u8,
    requests: u8,
    faults: u8,
    lost: u8,
}

fn owner(at: usize) -> Owner {
    Owner { member: format!("m-{at}"), incarnation: 1 }
}

impl World {
    fn first(bounds: Bounds) -> Self {
        let node = |at: usize| Node {
            up: true,
            record: ActivationRecord::default(),
            version: 0,
            session: Some(at as u8),
            marked: false,
            wanted: 0,
            forwards_to: None,
            requested: Requested::No,
            observed: Observed::Unknown,
            stopped: false,
            waits: false,
        };
        Self {
            record: ActivationRecord::default(),
            version: 0,
            sessions: [Some(0), Some(1)],
            markers: [false; NODES],
            nodes: [node(0), node(1)],
            messages: BTreeSet::new(),
            jobs: BTreeMap::new(),
            named: 0,
            requests: bounds.requests,
            faults: bounds.faults,
            lost: bounds.lost,
        }
    }

    /// What breaks a rule in this state.
    fn broken(&self) -> Option<String> {
        let live: Vec<&String> =
            self.jobs.iter().filter(|(_, s)| **s == JobState::Lives).map(|(j, _)| j).collect();
        if live.len() > 1 {
            return Some(format!("two starts live: {live:?}"));
        }
        let cut_off = self.nodes.iter().filter(|node| node.up).find_map(|node| {
            let job = node.forwards_to.as_ref()?;
            (self.jobs.get(job) == Some(&JobState::Stopped)).then_some(job)
        });
        cut_off.map(|job| format!("{job} was stopped with a request in progress"))
    }

    /// The node reads the records.
    fn refresh(&mut self, at: usize) {
        let (record, version) = (self.record.clone(), self.version);
        let (session, marked) = (self.sessions[at], self.markers[at]);
        let node = &mut self.nodes[at];
        let key = |r: &ActivationRecord| (r.generation, r.epoch, r.activation().map(|a| a.attempt));
        if key(&node.record) != key(&record) {
            node.observed = Observed::Unknown;
            node.stopped = false;
            node.requested = Requested::No;
        }
        let lost = node.session != session;
        node.session = session.filter(|_| !lost);
        node.marked = marked && !lost;
        (node.record, node.version) = (record, version);
    }

    /// A message takes effect, or is refused.
    fn deliver(&mut self, message: &Message, bounds: Bounds) -> bool {
        let at = message.from;
        match &message.body {
            Body::Write { version, session, record, unless_used } => {
                let used = *unless_used && bounds.drain_checks_use && self.markers.contains(&true);
                if *version != self.version || self.sessions[at] != Some(*session) || used {
                    return false;
                }
                self.record = serde_json::from_str(record).expect("a record");
                self.version += 1;
            }
            Body::Mark { version, session } => {
                if *version != self.version || self.sessions[at] != Some(*session) {
                    return false;
                }
                self.markers[at] = true;
            }
            Body::Unmark { session } => {
                if self.sessions[at] != Some(*session) || !self.markers[at] {
                    return false;
                }
                self.markers[at] = false;
            }
            Body::Start { version, job } => {
                if bounds.fenced_starts && *version != self.version {
                    return false;
                }
                self.jobs.entry(job.clone()).or_insert(JobState::Lives);
            }
            Body::Stop { job } => match self.jobs.get_mut(job) {
                Some(state) if *state == JobState::Lives => *state = JobState::Stopped,
                None if bounds.stop_bans => {
                    self.jobs.insert(job.clone(), JobState::Stopped);
                }
                _ => {}
            },
        }
        true
    }

    /// A message arrives and is answered.
    fn answered(&self, message: &Message, bounds: Bounds) -> Self {
        let mut next = self.clone();
        next.messages.remove(message);
        let done = next.deliver(message, bounds);
        let at = message.from;
        if next.nodes[at].up && message.awaited {
            next.nodes[at].waits = false;
            match &message.body {
                Body::Start { .. } if done => next.nodes[at].requested = Requested::Yes,
                Body::Stop { .. } if done => next.nodes[at].stopped = true,
                _ => next.refresh(at),
            }
        }
        next
    }

    /// A start is rejected, as by a controller with other settings than its peers.
    fn rejected(&self, message: &Message) -> Option<Self> {
        let at = message.from;
        let is_start = matches!(message.body, Body::Start { .. });
        let heard = message.awaited && self.nodes[at].up;
        let mut next = (is_start && heard && self.faults > 0).then(|| self.clone())?;
        next.messages.remove(message);
        next.faults -= 1;
        next.nodes[at].waits = false;
        next.nodes[at].requested = Requested::Rejected("other settings".into());
        Some(next)
    }

    fn send(&mut self, at: usize, body: Body) {
        self.nodes[at].waits = true;
        self.messages.insert(Message { from: at, awaited: true, body });
    }

    /// The states that the planner of one node leads to, over the waits that may be
    /// over.
    fn planned(&self, at: usize, bounds: Bounds, next: &mut Vec<Self>) {
        let node = &self.nodes[at];
        let me = owner(at);
        let new_job = format!("j-{}", self.named);
        // A model drains for longer than a controller goes on without its session.
        let settled = (0..NODES).all(|n| {
            let node = &self.nodes[n];
            !node.up || (node.marked == self.markers[n] && node.forwards_to.is_none())
        });
        let named = node.record.activation().map(|activation| &activation.owner);
        let owner_alive = named.is_none_or(|named| {
            (0..NODES).any(|n| owner(n) == *named && self.sessions[n].is_some())
        });
        let mut steps = BTreeMap::new();
        for mask in 0..16_u8 {
            let over = |bit: u8| mask & (1 << bit) != 0;
            let elapsed = ElapsedTimers {
                backoff: true,
                start_timeout: over(0),
                drain: over(1) && settled,
                minimum_uptime: over(2),
                failure_pause: true,
                probe: true,
                adoption: true,
            };
            let step = decide(&Facts {
                me: &me,
                record: &node.record,
                session_valid: node.session.is_some(),
                owner_alive,
                has_held_requests: node.wanted > 0,
                has_use_marker: node.marked,
                idle_locally: over(3) && node.wanted == 0 && node.forwards_to.is_none(),
                any_use_marker: self.markers.contains(&true),
                requested: &node.requested,
                observed: &node.observed,
                replicas_stopped: node.stopped,
                elapsed,
                attempts: ATTEMPTS,
                new_job: &new_job,
            });
            steps.insert(format!("{step:?}"), step);
        }
        for step in steps.into_values() {
            let mut world = self.clone();
            if world.take(at, step, bounds) {
                next.push(world);
            }
        }
    }

    /// Takes a step; false if nothing happens.
    fn take(&mut self, at: usize, step: Step, bounds: Bounds) -> bool {
        let node = &self.nodes[at];
        let (version, session) = (node.version, node.session.unwrap_or(u8::MAX));
        let job = node.record.activation().map(|a| a.job.clone()).unwrap_or_default();
        match step {
            Step::Wait => return false,
            Step::Write { record, unless_used } => {
                let job = record.activation().map(|a| a.job.clone());
                if job == Some(format!("j-{}", self.named)) {
                    if self.named == bounds.jobs {
                        return false;
                    }
                    self.named += 1;
                    if !bounds.record_before_start {
                        self.messages.insert(Message {
                            from: at,
                            awaited: false,
                            body: Body::Start { version, job: job.unwrap_or_default() },
                        });
                    }
                }
                let record = serde_json::to_string(&record).expect("json");
                self.send(at, Body::Write { version, session, record, unless_used });
            }
            Step::WriteUseMarker => self.send(at, Body::Mark { version, session }),
            Step::DeleteUseMarker => {
                self.nodes[at].marked = false;
                self.send(at, Body::Unmark { session });
            }
            Step::Start => self.send(at, Body::Start { version, job }),
            Step::Stop => self.send(at, Body::Stop { job }),
            Step::Probe => {
                let observed = match self.jobs.get(&job) {
                    Some(JobState::Lives) => Observed::Ready(vec![job]),
                    Some(_) => Observed::Gone,
                    None => Observed::Pending,
                };
                let changed = self.nodes[at].observed != observed;
                self.nodes[at].observed = observed;
                return changed;
            }
        }
        true
    }

    /// Whether what follows is left out.
    fn out_of_bounds(&self, bounds: Bounds) -> bool {
        let job = self.record.activation().map(|activation| &activation.job);
        let lives = job.is_some_and(|job| self.jobs.get(job) == Some(&JobState::Lives));
        self.version >= bounds.writes || (self.named >= bounds.jobs && !lives)
    }

    /// All states that may follow.
    fn next(&self, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        if self.version >= bounds.writes {
            return next;
        }
        for message in &self.messages {
            next.push(self.answered(message, bounds));
            next.extend(self.rejected(message));
        }
        for at in 0..NODES {
            let node = &self.nodes[at];
            if !node.up {
                continue;
            }
            if node.waits && self.lost > 0 {
                // No answer: the message stays on its way.
                let mut world = self.clone();
                world.lost -= 1;
                world.give_up_waiting(at);
                next.push(world);
            }
            if node.waits {
                continue;
            }
            self.planned(at, bounds, &mut next);
            self.requests_of(at, &mut next);
            self.records_of(at, &mut next);
            self.faults_of(at, &mut next);
        }
        next
    }

    /// Whoever gave up doesn't hear the answer, though the message may arrive.
    fn give_up_waiting(&mut self, at: usize) {
        let (awaited, others): (BTreeSet<Message>, BTreeSet<Message>) =
            std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|message| message.from == at && message.awaited);
        self.messages = others;
        self.messages.extend(awaited.into_iter().map(|m| Message { awaited: false, ..m }));
        self.nodes[at].waits = false;
        self.refresh(at);
    }

    fn requests_of(&self, at: usize, next: &mut Vec<Self>) {
        let node = &self.nodes[at];
        if self.requests > 0 {
            let mut world = self.clone();
            world.requests -= 1;
            world.nodes[at].wanted += 1;
            next.push(world);
        }
        let ready = node.record.ready_endpoints().is_some() && node.marked;
        if ready && node.wanted > 0 && node.forwards_to.is_none() {
            let mut world = self.clone();
            world.nodes[at].wanted -= 1;
            let job = node.record.activation().map(|a| a.job.clone());
            // It answers at first; what becomes of it then is another matter.
            let answers = job.as_ref().and_then(|job| self.jobs.get(job)) == Some(&JobState::Lives);
            world.nodes[at].forwards_to = job.filter(|_| answers);
            next.push(world);
        }
        if node.forwards_to.is_some() {
            let mut world = self.clone();
            world.nodes[at].forwards_to = None;
            next.push(world);
        }
    }

    fn records_of(&self, at: usize, next: &mut Vec<Self>) {
        let mut read = self.clone();
        read.refresh(at);
        next.push(read);
        if self.nodes[at].session.is_none() && self.sessions[at].is_none() {
            let mut world = self.clone();
            // No session is like one before it.
            let session = 10 * (self.faults + 1) + at as u8;
            world.sessions[at] = Some(session);
            world.nodes[at].session = Some(session);
            next.push(world);
        }
    }

    fn faults_of(&self, at: usize, next: &mut Vec<Self>) {
        if self.faults == 0 {
            return;
        }
        let mut lapsed = self.clone();
        lapsed.faults -= 1;
        lapsed.sessions[at] = None;
        lapsed.markers[at] = false;
        let mut ended = lapsed.clone();
        next.push(lapsed);
        ended.nodes[at].up = false;
        ended.nodes[at].forwards_to = None;
        next.push(ended);
        let live = self.jobs.iter().find(|(_, state)| **state == JobState::Lives);
        if let Some((job, _)) = live {
            let mut died = self.clone();
            died.faults -= 1;
            died.jobs.insert(job.clone(), JobState::Dead);
            next.push(died);
        }
    }

    fn waits_for_an_answer(&self) -> bool {
        self.nodes.iter().any(|node| node.up && node.wanted > 0)
    }
}

struct Explored {
    states: usize,
    /// What broke, and the states that led there.
    broken: Option<String>,
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// What was found so far. Only states that are still to be looked at are kept whole;
/// of the others a fingerprint, which of them came before, and whether all requests
/// have their answer there.
struct Search {
    numbers: HashMap<u64, u32>,
    edges: Vec<(u32, u32)>,
    parents: Vec<u32>,
    answered: Vec<bool>,
    queue: VecDeque<(u32, World)>,
}

impl Search {
    fn new(first: World, bounds: Bounds) -> Self {
        let mut search = Self {
            numbers: HashMap::new(),
            edges: Vec::new(),
            parents: Vec::new(),
            answered: Vec::new(),
            queue: VecDeque::new(),
        };
        search.add(0, first, bounds);
        search
    }

    /// The number of a state, which is new if it wasn't met before.
    fn add(&mut self, from: u32, world: World, bounds: Bounds) -> u32 {
        let new = self.answered.len() as u32;
        let number = *self.numbers.entry(fingerprint(&world)).or_insert(new);
        if number == new {
            self.parents.push(from);
            let answered = !world.waits_for_an_answer() || world.out_of_bounds(bounds);
            self.answered.push(answered);
            self.queue.push_back((number, world));
        }
        number
    }

    /// Plays the way to a state once more, and tells its states.
    fn path(&self, to: u32, bounds: Bounds) -> String {
        let mut numbers = vec![to];
        while let Some(at) = numbers.last().filter(|at| **at != 0) {
            numbers.push(self.parents[*at as usize]);
        }
        let mut world = World::first(bounds);
        let mut lines = vec![format!("{world:?}")];
        for number in numbers.iter().rev().skip(1) {
            let is_next = |next: &World| self.numbers.get(&fingerprint(next)) == Some(number);
            world = world.next(bounds).into_iter().find(is_next).expect("it was met");
            lines.push(format!("{world:?}"));
        }
        lines.join("\n")
    }

    /// States with a request from which no order of events has it answered.
    fn stuck(&self) -> Vec<u32> {
        let mut good = self.answered.clone();
        let mut before: Vec<Vec<u32>> = vec![Vec::new(); good.len()];
        for &(from, to) in &self.edges {
            before[to as usize].push(from);
        }
        let mut queue: VecDeque<usize> = (0..good.len()).filter(|n| good[*n]).collect();
        while let Some(number) = queue.pop_front() {
            for from in &before[number] {
                if !std::mem::replace(&mut good[*from as usize], true) {
                    queue.push_back(*from as usize);
                }
            }
        }
        (0..good.len() as u32).filter(|number| !good[*number as usize]).collect()
    }
}

fn explore(bounds: Bounds) -> Explored {
    let mut search = Search::new(World::first(bounds), bounds);
    while let Some((number, world)) = search.queue.pop_front() {
        if let Some(broken) = world.broken() {
            let broken = format!("{broken}, after\n{}", search.path(number, bounds));
            return Explored { states: search.answered.len(), broken: Some(broken) };
        }
        for next in world.next(bounds) {
            let to = search.add(number, next, bounds);
            search.edges.push((number, to));
        }
        if search.answered.len() > MOST_STATES {
            let broken = Some(format!("more than {MOST_STATES} states"));
            return Explored { states: search.answered.len(), broken };
        }
    }
    let stuck = search.stuck();
    let broken = stuck.first().map(|first| {
        let path = search.path(*first, bounds);
        format!("{} states with a request that nothing can answer, one after\n{path}", stuck.len())
    });
    Explored { states: search.answered.len(), broken }
}

fn holds(bounds: Bounds) {
    let explored = explore(bounds);
    println!("{} states", explored.states);
    assert_eq!(explored.broken, None);
    assert!(explored.states > 10_000, "{} states", explored.states);
}

#[test]
fn no_order_of_events_with_a_fault_and_a_lost_answer_breaks_a_rule() {
    holds(GUARDED);
}

#[test]
fn no_order_of_two_requests_and_a_fault_breaks_a_rule() {
    holds(Bounds { requests: 2, lost: 0, ..GUARDED });
}

#[test]
fn no_order_of_two_requests_and_a_lost_answer_breaks_a_rule() {
    holds(Bounds { requests: 2, faults: 0, ..GUARDED });
}

#[test]
#[ignore = "takes a minute and a gigabyte"]
fn no_order_of_two_requests_a_fault_and_a_lost_answer_breaks_a_rule() {
    holds(Bounds { requests: 2, ..GUARDED });
}

#[test]
#[ignore = "takes a minute and a gigabyte"]
fn no_order_of_events_with_two_faults_and_a_lost_answer_breaks_a_rule() {
    holds(Bounds { faults: 2, ..GUARDED });
}

#[test]
fn a_stop_that_bans_its_job_does_as_well_as_a_fence() {
    holds(Bounds { fenced_starts: false, stop_bans: true, ..GUARDED });
}

#[test]
fn a_start_without_a_fence_is_found_out() {
    let explored = explore(Bounds { fenced_starts: false, ..GUARDED });
    assert!(explored.broken.is_some_and(|broken| broken.contains("two starts live")));
}

#[test]
fn a_start_before_its_record_is_found_out() {
    let unsure = Bounds { fenced_starts: false, record_before_start: false, ..GUARDED };
    let explored = explore(Bounds { requests: 2, faults: 0, lost: 0, ..unsure });
    assert!(explored.broken.is_some_and(|broken| broken.contains("two starts live")));
}

#[test]
fn a_drain_that_ignores_use_markers_is_found_out() {
    let explored = explore(Bounds { drain_checks_use: false, requests: 2, ..GUARDED });
    assert!(explored.broken.is_some_and(|broken| broken.contains("request in progress")));
}
