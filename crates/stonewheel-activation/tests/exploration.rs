//! Explores every order of events within bounds: two controllers and one model, with
//! messages that arrive late, twice or never, controllers that end, and sessions that expire
//! before their controller notices. The steps are those of the real planner.
//!
//! In no reachable state may two jobs of the model be live, a job be stopped while it
//! processes a request, or a held request have no order of events that answers it.
//! Variants without one of the guards must lead to a violation, which shows that the
//! exploration detects that fault.

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
/// An exploration that finds more states fails.
const MAX_STATES: usize = 10_000_000;

/// Limits of an exploration, and the guards that are in place.
#[derive(Clone, Copy)]
struct Bounds {
    /// Number of requests that arrive, at either controller.
    requests: u8,
    /// Number of faults: controllers that end, sessions that expire, replicas that exit and
    /// starts that are rejected.
    faults: u8,
    /// Number of messages whose sender gives up waiting; they may still arrive.
    lost_responses: u8,
    /// Number of job ids that records name: further cold starts and attempts are not
    /// explored.
    jobs: u8,
    /// Number of writes to the record: the exploration has no clock, so a model could drain
    /// and return to ready without end.
    writes: u8,
    /// A start is refused if the record has changed since the start was decided on.
    fenced_starts: bool,
    /// Stopping a job that was never started prevents a later start of the job.
    stop_blocks_start: bool,
    /// A model drains only while no use marker exists.
    drain_checks_use_markers: bool,
    /// A start is requested only after the record that names its job was written.
    record_before_start: bool,
}

const ALL_GUARDS: Bounds = Bounds {
    requests: 1,
    faults: 1,
    lost_responses: 1,
    jobs: 2,
    writes: 9,
    fenced_starts: true,
    stop_blocks_start: false,
    drain_checks_use_markers: true,
    record_before_start: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum JobState {
    Live,
    Exited,
    Stopped,
}

/// One controller: its copy of the records and its knowledge of the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    record: ActivationRecord,
    version: u8,
    /// Session that the node last read as its own; it may have expired since.
    session: Option<u8>,
    has_use_marker: bool,
    held_requests: u8,
    /// Job that processes the node's request in progress.
    forwarding_to: Option<String>,
    requested: Requested,
    observed: Observed,
    replicas_stopped: bool,
    /// Whether the node waits for the response to a message.
    awaiting_response: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Body {
    Write { version: u8, session: u8, record: RecordText, unless_used: bool },
    WriteUseMarker { version: u8, session: u8 },
    DeleteUseMarker { session: u8 },
    Start { version: u8, job: String },
    Stop { job: String },
}

/// A record as JSON: records implement no order, which the set of messages needs.
type RecordText = String;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: usize,
    /// Whether the sender still waits for the response.
    awaited: bool,
    body: Body,
}

/// State of the whole system: the stored records, the nodes, the messages on their way,
/// the jobs, and what is left of the bounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    record: ActivationRecord,
    version: u8,
    sessions: [Option<u8>; NODES],
    markers: [bool; NODES],
    nodes: [Node; NODES],
    messages: BTreeSet<Message>,
    jobs: BTreeMap<String, JobState>,
    jobs_named: u8,
    requests: u8,
    faults: u8,
    lost_responses: u8,
}

fn owner(index: usize) -> Owner {
    Owner { member: format!("m-{index}"), incarnation: 1 }
}

impl World {
    fn initial(bounds: Bounds) -> Self {
        let node = |index: usize| Node {
            up: true,
            record: ActivationRecord::default(),
            version: 0,
            session: Some(index as u8),
            has_use_marker: false,
            held_requests: 0,
            forwarding_to: None,
            requested: Requested::No,
            observed: Observed::Unknown,
            replicas_stopped: false,
            awaiting_response: false,
        };
        Self {
            record: ActivationRecord::default(),
            version: 0,
            sessions: [Some(0), Some(1)],
            markers: [false; NODES],
            nodes: [node(0), node(1)],
            messages: BTreeSet::new(),
            jobs: BTreeMap::new(),
            jobs_named: 0,
            requests: bounds.requests,
            faults: bounds.faults,
            lost_responses: bounds.lost_responses,
        }
    }

    /// Returns the rule that this state violates, if any.
    fn violation(&self) -> Option<String> {
        let live: Vec<&String> =
            self.jobs.iter().filter(|(_, s)| **s == JobState::Live).map(|(j, _)| j).collect();
        if live.len() > 1 {
            return Some(format!("two jobs are live: {live:?}"));
        }
        let stopped_in_use = self.nodes.iter().filter(|node| node.up).find_map(|node| {
            let job = node.forwarding_to.as_ref()?;
            (self.jobs.get(job) == Some(&JobState::Stopped)).then_some(job)
        });
        stopped_in_use.map(|job| format!("{job} was stopped with a request in progress"))
    }

    /// Lets a node read the records and its session. The node forgets what it observed of
    /// replicas when the attempt or the epoch has changed.
    fn refresh(&mut self, index: usize) {
        let (record, version) = (self.record.clone(), self.version);
        let (session, has_use_marker) = (self.sessions[index], self.markers[index]);
        let node = &mut self.nodes[index];
        let attempt_key =
            |r: &ActivationRecord| (r.generation, r.epoch, r.activation().map(|a| a.attempt));
        if attempt_key(&node.record) != attempt_key(&record) {
            node.observed = Observed::Unknown;
            node.replicas_stopped = false;
            node.requested = Requested::No;
        }
        let session_changed = node.session != session;
        node.session = session.filter(|_| !session_changed);
        node.has_use_marker = has_use_marker && !session_changed;
        (node.record, node.version) = (record, version);
    }

    /// Applies a message; returns false if the message is refused.
    fn deliver(&mut self, message: &Message, bounds: Bounds) -> bool {
        let index = message.from;
        match &message.body {
            Body::Write { version, session, record, unless_used } => {
                let used =
                    *unless_used && bounds.drain_checks_use_markers && self.markers.contains(&true);
                if *version != self.version || self.sessions[index] != Some(*session) || used {
                    return false;
                }
                self.record = serde_json::from_str(record).expect("a record");
                self.version += 1;
            }
            Body::WriteUseMarker { version, session } => {
                if *version != self.version || self.sessions[index] != Some(*session) {
                    return false;
                }
                self.markers[index] = true;
            }
            Body::DeleteUseMarker { session } => {
                if self.sessions[index] != Some(*session) || !self.markers[index] {
                    return false;
                }
                self.markers[index] = false;
            }
            Body::Start { version, job } => {
                if bounds.fenced_starts && *version != self.version {
                    return false;
                }
                self.jobs.entry(job.clone()).or_insert(JobState::Live);
            }
            Body::Stop { job } => match self.jobs.get_mut(job) {
                Some(state) if *state == JobState::Live => *state = JobState::Stopped,
                None if bounds.stop_blocks_start => {
                    self.jobs.insert(job.clone(), JobState::Stopped);
                }
                _ => {}
            },
        }
        true
    }

    /// Returns the state after a message arrives and its sender receives the response.
    fn after_response(&self, message: &Message, bounds: Bounds) -> Self {
        let mut next = self.clone();
        next.messages.remove(message);
        let applied = next.deliver(message, bounds);
        let index = message.from;
        if next.nodes[index].up && message.awaited {
            next.nodes[index].awaiting_response = false;
            match &message.body {
                Body::Start { .. } if applied => next.nodes[index].requested = Requested::Yes,
                Body::Stop { .. } if applied => next.nodes[index].replicas_stopped = true,
                _ => next.refresh(index),
            }
        }
        next
    }

    /// Returns the state after a start is rejected permanently, as happens to a controller
    /// whose settings differ from those of its peers.
    fn after_rejection(&self, message: &Message) -> Option<Self> {
        let index = message.from;
        let is_start = matches!(message.body, Body::Start { .. });
        let sender_waits = message.awaited && self.nodes[index].up;
        let mut next = (is_start && sender_waits && self.faults > 0).then(|| self.clone())?;
        next.messages.remove(message);
        next.faults -= 1;
        next.nodes[index].awaiting_response = false;
        next.nodes[index].requested = Requested::Rejected("other settings".into());
        Some(next)
    }

    fn send(&mut self, index: usize, body: Body) {
        self.nodes[index].awaiting_response = true;
        self.messages.insert(Message { from: index, awaited: true, body });
    }

    /// Adds the states that follow from the steps of one node's planner, for each
    /// combination of elapsed timers.
    fn add_planned_steps(&self, index: usize, bounds: Bounds, next: &mut Vec<Self>) {
        let node = &self.nodes[index];
        let me = owner(index);
        let new_job = format!("j-{}", self.jobs_named);
        // The drain time exceeds the time for which a controller forwards requests after its
        // session has ended, so a drain elapses only after all such requests have ended.
        let drain_may_elapse = (0..NODES).all(|n| {
            let node = &self.nodes[n];
            !node.up || (node.has_use_marker == self.markers[n] && node.forwarding_to.is_none())
        });
        let owner_of_record = node.record.activation().map(|activation| &activation.owner);
        let owner_alive = owner_of_record.is_none_or(|recorded| {
            (0..NODES).any(|n| owner(n) == *recorded && self.sessions[n].is_some())
        });
        let mut steps = BTreeMap::new();
        for mask in 0..16_u8 {
            let bit_set = |bit: u8| mask & (1 << bit) != 0;
            let elapsed = ElapsedTimers {
                backoff: true,
                start_timeout: bit_set(0),
                drain: bit_set(1) && drain_may_elapse,
                minimum_uptime: bit_set(2),
                failure_pause: true,
                probe: true,
                adoption: true,
            };
            let step = decide(&Facts {
                me: &me,
                record: &node.record,
                session_valid: node.session.is_some(),
                owner_alive,
                has_held_requests: node.held_requests > 0,
                has_use_marker: node.has_use_marker,
                idle_locally: bit_set(3) && node.held_requests == 0 && node.forwarding_to.is_none(),
                any_use_marker: self.markers.contains(&true),
                requested: &node.requested,
                observed: &node.observed,
                replicas_stopped: node.replicas_stopped,
                elapsed,
                attempts: ATTEMPTS,
                new_job: &new_job,
            });
            steps.insert(format!("{step:?}"), step);
        }
        for step in steps.into_values() {
            let mut world = self.clone();
            if world.apply_step(index, step, bounds) {
                next.push(world);
            }
        }
    }

    /// Applies a step of a node; returns false if nothing changes.
    fn apply_step(&mut self, index: usize, step: Step, bounds: Bounds) -> bool {
        let node = &self.nodes[index];
        let (version, session) = (node.version, node.session.unwrap_or(u8::MAX));
        let job = node.record.activation().map(|a| a.job.clone()).unwrap_or_default();
        match step {
            Step::Wait => return false,
            Step::Write { record, unless_used } => {
                let job = record.activation().map(|a| a.job.clone());
                if job == Some(format!("j-{}", self.jobs_named)) {
                    if self.jobs_named == bounds.jobs {
                        return false;
                    }
                    self.jobs_named += 1;
                    if !bounds.record_before_start {
                        self.messages.insert(Message {
                            from: index,
                            awaited: false,
                            body: Body::Start { version, job: job.unwrap_or_default() },
                        });
                    }
                }
                let record = serde_json::to_string(&record).expect("json");
                self.send(index, Body::Write { version, session, record, unless_used });
            }
            Step::WriteUseMarker => self.send(index, Body::WriteUseMarker { version, session }),
            Step::DeleteUseMarker => {
                self.nodes[index].has_use_marker = false;
                self.send(index, Body::DeleteUseMarker { session });
            }
            Step::Start => self.send(index, Body::Start { version, job }),
            Step::Stop => self.send(index, Body::Stop { job }),
            Step::Probe => {
                let observed = match self.jobs.get(&job) {
                    Some(JobState::Live) => Observed::Ready(vec![job]),
                    Some(_) => Observed::Gone,
                    None => Observed::Pending,
                };
                let changed = self.nodes[index].observed != observed;
                self.nodes[index].observed = observed;
                return changed;
            }
        }
        true
    }

    /// Whether states after this one are beyond the bounds, so that its held requests may
    /// remain unanswered.
    fn out_of_bounds(&self, bounds: Bounds) -> bool {
        let job = self.record.activation().map(|activation| &activation.job);
        let is_live = job.is_some_and(|job| self.jobs.get(job) == Some(&JobState::Live));
        self.version >= bounds.writes || (self.jobs_named >= bounds.jobs && !is_live)
    }

    /// Returns all states that may follow this one.
    fn next(&self, bounds: Bounds) -> Vec<Self> {
        let mut next = Vec::new();
        if self.version >= bounds.writes {
            return next;
        }
        for message in &self.messages {
            next.push(self.after_response(message, bounds));
            next.extend(self.after_rejection(message));
        }
        for index in 0..NODES {
            let node = &self.nodes[index];
            if !node.up {
                continue;
            }
            if node.awaiting_response && self.lost_responses > 0 {
                // The response is lost, and the message may still arrive later.
                let mut world = self.clone();
                world.lost_responses -= 1;
                world.give_up_waiting(index);
                next.push(world);
            }
            if node.awaiting_response {
                continue;
            }
            self.add_planned_steps(index, bounds, &mut next);
            self.add_request_events(index, &mut next);
            self.add_record_events(index, &mut next);
            self.add_fault_events(index, &mut next);
        }
        next
    }

    /// Lets a node stop waiting for a response. Its message may still arrive, but the node
    /// does not receive the response.
    fn give_up_waiting(&mut self, index: usize) {
        let (awaited, others): (BTreeSet<Message>, BTreeSet<Message>) =
            std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|message| message.from == index && message.awaited);
        self.messages = others;
        self.messages.extend(awaited.into_iter().map(|m| Message { awaited: false, ..m }));
        self.nodes[index].awaiting_response = false;
        self.refresh(index);
    }

    fn add_request_events(&self, index: usize, next: &mut Vec<Self>) {
        let node = &self.nodes[index];
        if self.requests > 0 {
            let mut world = self.clone();
            world.requests -= 1;
            world.nodes[index].held_requests += 1;
            next.push(world);
        }
        let ready = node.record.ready_endpoints().is_some() && node.has_use_marker;
        if ready && node.held_requests > 0 && node.forwarding_to.is_none() {
            let mut world = self.clone();
            world.nodes[index].held_requests -= 1;
            let job = node.record.activation().map(|a| a.job.clone());
            // A request is forwarded only to a live job; the job may exit or be stopped later.
            let answers = job.as_ref().and_then(|job| self.jobs.get(job)) == Some(&JobState::Live);
            world.nodes[index].forwarding_to = job.filter(|_| answers);
            next.push(world);
        }
        if node.forwarding_to.is_some() {
            let mut world = self.clone();
            world.nodes[index].forwarding_to = None;
            next.push(world);
        }
    }

    fn add_record_events(&self, index: usize, next: &mut Vec<Self>) {
        let mut read = self.clone();
        read.refresh(index);
        next.push(read);
        if self.nodes[index].session.is_none() && self.sessions[index].is_none() {
            let mut world = self.clone();
            // The end of the previous session used up a fault, so the remaining number of
            // faults makes the number of the new session unique.
            let session = 10 * (self.faults + 1) + index as u8;
            world.sessions[index] = Some(session);
            world.nodes[index].session = Some(session);
            next.push(world);
        }
    }

    fn add_fault_events(&self, index: usize, next: &mut Vec<Self>) {
        if self.faults == 0 {
            return;
        }
        let mut expired = self.clone();
        expired.faults -= 1;
        expired.sessions[index] = None;
        expired.markers[index] = false;
        let mut ended = expired.clone();
        next.push(expired);
        ended.nodes[index].up = false;
        ended.nodes[index].forwarding_to = None;
        next.push(ended);
        let live = self.jobs.iter().find(|(_, state)| **state == JobState::Live);
        if let Some((job, _)) = live {
            let mut exited = self.clone();
            exited.faults -= 1;
            exited.jobs.insert(job.clone(), JobState::Exited);
            next.push(exited);
        }
    }

    fn has_held_requests(&self) -> bool {
        self.nodes.iter().any(|node| node.up && node.held_requests > 0)
    }
}

struct Explored {
    states: usize,
    /// The first violation found, with the states that lead to it.
    violation: Option<String>,
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Progress of a breadth-first search. To save memory, only states still to be explored
/// are stored in full. Of the others, the search keeps a fingerprint, the edges, the state
/// from which each was found first, and whether all of its requests are answered.
struct Search {
    numbers: HashMap<u64, u32>,
    edges: Vec<(u32, u32)>,
    parents: Vec<u32>,
    is_answered: Vec<bool>,
    queue: VecDeque<(u32, World)>,
}

impl Search {
    fn new(initial: World, bounds: Bounds) -> Self {
        let mut search = Self {
            numbers: HashMap::new(),
            edges: Vec::new(),
            parents: Vec::new(),
            is_answered: Vec::new(),
            queue: VecDeque::new(),
        };
        search.add(0, initial, bounds);
        search
    }

    /// Returns the number of a state, and queues the state if it is found for the first time.
    fn add(&mut self, from: u32, world: World, bounds: Bounds) -> u32 {
        let new = self.is_answered.len() as u32;
        let number = *self.numbers.entry(fingerprint(&world)).or_insert(new);
        if number == new {
            self.parents.push(from);
            let is_answered = !world.has_held_requests() || world.out_of_bounds(bounds);
            self.is_answered.push(is_answered);
            self.queue.push_back((number, world));
        }
        number
    }

    /// Returns the states on the path to a state, by exploring that path again.
    fn path(&self, to: u32, bounds: Bounds) -> String {
        let mut numbers = vec![to];
        while let Some(number) = numbers.last().filter(|number| **number != 0) {
            numbers.push(self.parents[*number as usize]);
        }
        let mut world = World::initial(bounds);
        let mut lines = vec![format!("{world:?}")];
        for number in numbers.iter().rev().skip(1) {
            let is_next = |next: &World| self.numbers.get(&fingerprint(next)) == Some(number);
            world =
                world.next(bounds).into_iter().find(is_next).expect("the state was found before");
            lines.push(format!("{world:?}"));
        }
        lines.join("\n")
    }

    /// Returns the states with a held request that no further order of events answers.
    fn unanswerable_states(&self) -> Vec<u32> {
        let mut can_be_answered = self.is_answered.clone();
        let mut predecessors: Vec<Vec<u32>> = vec![Vec::new(); can_be_answered.len()];
        for &(from, to) in &self.edges {
            predecessors[to as usize].push(from);
        }
        let mut queue: VecDeque<usize> =
            (0..can_be_answered.len()).filter(|n| can_be_answered[*n]).collect();
        while let Some(number) = queue.pop_front() {
            for from in &predecessors[number] {
                if !std::mem::replace(&mut can_be_answered[*from as usize], true) {
                    queue.push_back(*from as usize);
                }
            }
        }
        (0..can_be_answered.len() as u32)
            .filter(|number| !can_be_answered[*number as usize])
            .collect()
    }
}

fn explore(bounds: Bounds) -> Explored {
    let mut search = Search::new(World::initial(bounds), bounds);
    while let Some((number, world)) = search.queue.pop_front() {
        if let Some(violation) = world.violation() {
            let violation = format!("{violation}, after\n{}", search.path(number, bounds));
            return Explored { states: search.is_answered.len(), violation: Some(violation) };
        }
        for next in world.next(bounds) {
            let to = search.add(number, next, bounds);
            search.edges.push((number, to));
        }
        if search.is_answered.len() > MAX_STATES {
            let violation = Some(format!("more than {MAX_STATES} states"));
            return Explored { states: search.is_answered.len(), violation };
        }
    }
    let unanswerable_states = search.unanswerable_states();
    let violation = unanswerable_states.first().map(|state| {
        let path = search.path(*state, bounds);
        format!(
            "{} states with a request that no order of events answers, one after\n{path}",
            unanswerable_states.len()
        )
    });
    Explored { states: search.is_answered.len(), violation }
}

fn assert_no_violation(bounds: Bounds) {
    let explored = explore(bounds);
    println!("{} states", explored.states);
    assert_eq!(explored.violation, None);
    assert!(explored.states > 10_000, "{} states", explored.states);
}

#[test]
fn one_fault_and_one_lost_response_cause_no_violation() {
    assert_no_violation(ALL_GUARDS);
}

#[test]
fn two_requests_and_one_fault_cause_no_violation() {
    assert_no_violation(Bounds { requests: 2, lost_responses: 0, ..ALL_GUARDS });
}

#[test]
fn two_requests_and_one_lost_response_cause_no_violation() {
    assert_no_violation(Bounds { requests: 2, faults: 0, ..ALL_GUARDS });
}

#[test]
#[ignore = "takes a minute and a gigabyte"]
fn two_requests_one_fault_and_one_lost_response_cause_no_violation() {
    assert_no_violation(Bounds { requests: 2, ..ALL_GUARDS });
}

#[test]
#[ignore = "takes a minute and a gigabyte"]
fn two_faults_and_one_lost_response_cause_no_violation() {
    assert_no_violation(Bounds { faults: 2, ..ALL_GUARDS });
}

/// A starter that refuses to start a job after a stop of that job needs no fence.
#[test]
fn stop_that_blocks_later_starts_replaces_the_fence_of_starts() {
    assert_no_violation(Bounds { fenced_starts: false, stop_blocks_start: true, ..ALL_GUARDS });
}

/// Without a fence, a start order that arrives after its attempt was given up starts a job
/// besides the one of the next attempt.
#[test]
fn unfenced_start_is_detected() {
    let explored = explore(Bounds { fenced_starts: false, ..ALL_GUARDS });
    assert!(explored.violation.is_some_and(|violation| violation.contains("two jobs are live")));
}

/// If both controllers request a start before either has written the record, both starts
/// are carried out although one of the writes fails.
#[test]
fn start_before_its_record_is_detected() {
    let unguarded = Bounds { fenced_starts: false, record_before_start: false, ..ALL_GUARDS };
    let explored = explore(Bounds { requests: 2, faults: 0, lost_responses: 0, ..unguarded });
    assert!(explored.violation.is_some_and(|violation| violation.contains("two jobs are live")));
}

/// If the write that begins a drain does not check the use markers, a controller may forward
/// a request to replicas that are then stopped.
#[test]
fn drain_that_ignores_use_markers_is_detected() {
    let explored = explore(Bounds { drain_checks_use_markers: false, requests: 2, ..ALL_GUARDS });
    assert!(explored.violation.is_some_and(|violation| violation.contains("request in progress")));
}
