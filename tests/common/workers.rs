//! Workers: heartbeats, leases, commands, and machines that hang.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use futures_util::future::BoxFuture;
use stonewheel::{
    http::client::CallError,
    node::HeartbeatReply,
    protocol::{
        CommandKind, DirectCommands, ExitCause, MachineId, TaskCommand, TaskState, TaskStatus,
        WorkerHeartbeat,
    },
    store,
    worker_client::WorkerApi,
};
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};

use super::{
    LateCommands,
    cloud::machine_at,
    deployment::{Inner, TestDeployment},
    lock,
};

/// How long a call takes.
pub(super) const LATENCY: Duration = Duration::from_millis(3);

/// `lease_s` of the settings.
pub(super) const WORKER_LEASE: Duration = Duration::from_secs(11);

/// How long a worker waits for the answer to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Where late commands come from: no cut of a controller holds them back.
pub(super) const DELAYED: usize = usize::MAX;

#[derive(Clone, Debug)]
pub(super) struct RunningTask {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) cause: Option<ExitCause>,
    pub(super) since: Instant,
}

pub(super) struct Worker {
    pub(super) zone: Arc<str>,
    pub(super) spot: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    /// When the last answered report was sent.
    pub(super) leased: Instant,
    pub(super) tasks: BTreeMap<String, RunningTask>,
    /// The nodes that it can't reach.
    pub(super) partitioned_from: BTreeSet<usize>,
    /// Answers to its heartbeats are lost.
    pub(super) drops_responses: bool,
    /// Its reports reach nobody, but direct commands reach it.
    pub(super) drops_heartbeats: bool,
    /// It is paused; direct commands wait until it goes on.
    pub(super) hung: bool,
    pub(super) waiting: Vec<DirectCommands>,
    pub(super) fails: bool,
    pub(super) last: Option<WorkerHeartbeat>,
}

impl TestDeployment {
    pub fn add_machine(&self, zone: &str) {
        let name: MachineId = {
            let mut inner = lock(&self.inner);
            inner.next += 1;
            format!("n-{:06}", inner.next).into()
        };
        self.boot(name, zone.into(), false, Duration::ZERO);
    }

    pub(super) fn boot(&self, name: MachineId, zone: Arc<str>, spot: bool, after: Duration) {
        let deployment = self.clone();
        tokio::spawn(async move {
            sleep(after).await;
            let worker = Worker {
                zone,
                spot,
                incarnation: 1,
                sequence: 0,
                token: 0,
                leased: Instant::now(),
                tasks: BTreeMap::new(),
                partitioned_from: BTreeSet::new(),
                drops_responses: false,
                drops_heartbeats: false,
                hung: false,
                waiting: Vec::new(),
                fails: false,
                last: None,
            };
            lock(&deployment.inner).workers.insert(name.clone(), worker);
            deployment.run_worker(&name).await;
        });
    }

    /// A worker's life: reports, lease, commands.
    pub(super) async fn run_worker(&self, name: &MachineId) {
        let mut at = 0;
        loop {
            sleep(Duration::from_millis(950)).await;
            let sent = Instant::now();
            let Some((heartbeat, partitioned, drops_responses, drops_heartbeats)) =
                self.next_heartbeat(name)
            else {
                return;
            };
            let Some(heartbeat) = heartbeat else { continue };
            let node = lock(&self.inner).nodes[at].as_ref().map(|(n, _)| n.clone());
            let lost = drops_heartbeats || partitioned.contains(&at);
            if partitioned.contains(&at) && lock(&self.inner).partitions_hang {
                sleep(HEARTBEAT_TIMEOUT).await;
            }
            let mut reply = None;
            if let Some(node) = node.filter(|_| !lost) {
                if let Some(until) = self.frozen_until(at) {
                    // It is read when the node goes on; by then nobody waits.
                    tokio::spawn(async move {
                        tokio::time::sleep_until(until).await;
                        node.answer_heartbeat_now(&heartbeat);
                    });
                    sleep(HEARTBEAT_TIMEOUT).await;
                } else {
                    reply = Some(node.answer_heartbeat(&heartbeat).await);
                }
            }
            match reply.filter(|_| !drops_responses) {
                Some(HeartbeatReply::Commands { token, commands }) => {
                    self.remember_jobs(&commands);
                    let mut inner = lock(&self.inner);
                    let Some(worker) = inner.workers.get_mut(name) else { return };
                    if token < worker.token {
                        continue;
                    }
                    (worker.token, worker.leased) = (token, sent);
                    for command in commands {
                        inner.execute(name, command);
                    }
                }
                Some(HeartbeatReply::Redirect(to)) => {
                    let known = to.and_then(|m| m.strip_prefix("m-")?.parse::<usize>().ok());
                    at = known.filter(|to| *to != at).unwrap_or((at + 1) % 3);
                }
                None => {
                    sleep(Duration::from_secs(1)).await;
                    at = (at + 1) % 3;
                }
            }
        }
    }

    /// Notes the jobs of tasks that are to start, as users described them.
    pub(super) fn remember_jobs(&self, commands: &[TaskCommand]) {
        for command in commands.iter().filter(|o| o.op == CommandKind::Start) {
            let id = command.task.split('/').next().unwrap_or_default();
            if lock(&self.inner).specs.contains_key(id) {
                continue;
            }
            let spec = self.state.value(&store::job_key(id));
            if let Some(spec) = spec.and_then(|text| serde_json::from_str(&text).ok()) {
                lock(&self.inner).specs.insert(id.into(), spec);
            }
        }
    }

    pub(super) fn next_heartbeat(
        &self,
        name: &MachineId,
    ) -> Option<(Option<WorkerHeartbeat>, BTreeSet<usize>, bool, bool)> {
        let mut inner = lock(&self.inner);
        let Inner { workers, run, .. } = &mut *inner;
        let now = Instant::now();
        let worker = workers.get_mut(name)?;
        let (partitioned, drops_responses, drops_heartbeats) =
            (worker.partitioned_from.clone(), worker.drops_responses, worker.drops_heartbeats);
        if worker.hung {
            return Some((None, partitioned, drops_responses, drops_heartbeats));
        }
        worker.end_overdue_incarnation();
        for (task, on) in &mut worker.tasks {
            let job = task.split('/').next().unwrap_or_default();
            let age = now - on.since;
            if on.state == TaskState::Running && worker.fails {
                (on.state, on.cause) = (TaskState::Exited, Some(ExitCause::Error));
            } else if on.state == TaskState::Running
                && run.get(task).or(run.get(job)).is_some_and(|r| age >= *r)
            {
                (on.state, on.cause) = (TaskState::Exited, Some(ExitCause::Done));
            }
        }
        let heartbeat = worker.heartbeat(name);
        worker.last = Some(heartbeat.clone());
        Some((Some(heartbeat), partitioned, drops_responses, drops_heartbeats))
    }

    /// Whether a task of this job runs on a machine.
    pub fn runs_on(&self, job: &str, machine: &str) -> bool {
        let inner = lock(&self.inner);
        let Some(worker) = inner.workers.get(machine) else { return false };
        let of_job = |task: &str| task.split('/').next() == Some(job);
        worker.tasks.iter().any(|(task, on)| of_job(task) && on.state == TaskState::Running)
    }

    pub fn starts(&self) -> u32 {
        lock(&self.inner).starts
    }

    /// How long each task of a job runs.
    pub fn runs_for(&self, job: &str, seconds: u64) {
        lock(&self.inner).run.insert(job.into(), Duration::from_secs(seconds));
    }

    /// Machines that hold a task of a job.
    pub fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let prefix = format!("{job}/");
        lock(&self.inner)
            .workers
            .iter()
            .filter(|(_, w)| {
                w.tasks.iter().any(|(t, o)| t.starts_with(&prefix) && o.state != TaskState::Exited)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Machines that are up.
    pub fn machines(&self) -> Vec<MachineId> {
        lock(&self.inner).workers.keys().cloned().collect()
    }

    /// A machine stops with all that is on it.
    pub fn remove_machine(&self, machine: &str) {
        lock(&self.inner).workers.remove(machine);
    }

    pub fn set_failing(&self, machine: &str) {
        lock(&self.inner).workers.get_mut(machine).expect("known machine").fails = true;
    }

    /// Lets a machine be paused, or go on with what waited for it.
    pub fn set_hung(&self, machine: &str, hung: bool) {
        let mut inner = lock(&self.inner);
        let worker = inner.workers.get_mut(machine).expect("known machine");
        worker.hung = hung;
        if !hung {
            worker.end_overdue_incarnation();
            let waiting = std::mem::take(&mut worker.waiting);
            for commands in waiting {
                inner.execute_direct(&machine.into(), commands);
            }
        }
    }

    /// Lets a machine be paused for a while, if it is there.
    pub fn hang_for(&self, machine: &str, seconds: f64) {
        match lock(&self.inner).workers.get_mut(machine) {
            Some(worker) if !worker.hung => worker.hung = true,
            _ => return,
        }
        let (deployment, machine) = (self.clone(), machine.to_owned());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            let there = lock(&deployment.inner).workers.contains_key(machine.as_str());
            if there {
                deployment.set_hung(&machine, false);
            }
        });
    }

    pub fn incarnation(&self, machine: &str) -> u64 {
        lock(&self.inner).workers.get(machine).map_or(0, |w| w.incarnation)
    }

    /// The last heartbeat that a machine sent.
    pub fn last_heartbeat(&self, machine: &str) -> WorkerHeartbeat {
        lock(&self.inner).workers[machine].last.clone().expect("a report")
    }

    /// The last heartbeat of each machine, as a network may hold them back.
    pub fn last_heartbeats(&self) -> Vec<WorkerHeartbeat> {
        lock(&self.inner).workers.values().filter_map(|w| w.last.clone()).collect()
    }
}

impl Worker {
    pub(super) fn end_overdue_incarnation(&mut self) {
        if self.leased.elapsed() > WORKER_LEASE {
            self.tasks.clear();
            self.incarnation += 1;
            self.leased = Instant::now();
        }
    }

    pub(super) fn heartbeat(&mut self, name: &MachineId) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|(task, on)| TaskStatus {
                task: task.clone(),
                attempt: on.attempt,
                state: on.state,
                cause: on.cause,
                saved: None,
            })
            .collect();
        WorkerHeartbeat {
            machine: name.clone(),
            address: name.to_string(),
            machine_type: "g8".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks,
        }
    }
}

/// A node's way to the workers' own addresses.
pub(super) struct InMemoryWorkers {
    pub(super) deployment: TestDeployment,
    pub(super) at: usize,
    /// Each request takes one, and waits for it, until it is answered or given up.
    pub(super) sockets: Arc<Semaphore>,
}

impl WorkerApi for InMemoryWorkers {
    fn command(
        &self,
        address: &str,
        commands: DirectCommands,
    ) -> BoxFuture<'_, Result<WorkerHeartbeat, CallError>> {
        let name = machine_at(address);
        Box::pin(async move {
            let _socket = self.sockets.acquire().await;
            sleep(LATENCY).await;
            if let Some(until) = self.deployment.frozen_until(self.at) {
                tokio::time::sleep_until(until).await;
            }
            self.deployment.remember_jobs(&commands.commands);
            let late =
                lock(&self.deployment.inner).late_commands.as_mut().and_then(LateCommands::draw);
            if let Some(delay) = late {
                let deployment = self.deployment.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    let mut inner = lock(&deployment.inner);
                    let _ = inner.command(&name, DELAYED, commands);
                });
                sleep(Duration::from_secs(1)).await;
                return Err(CallError::Timeout);
            }
            let answer = {
                let mut inner = lock(&self.deployment.inner);
                inner.command(&name, self.at, commands)
            };
            if let Some(heartbeat) = answer {
                return Ok(heartbeat);
            }
            sleep(Duration::from_secs(1)).await;
            Err(CallError::Timeout)
        })
    }
}

impl Inner {
    /// Direct commands from node `from`: the worker's heartbeat, or silence.
    pub(super) fn command(
        &mut self,
        name: &MachineId,
        from: usize,
        commands: DirectCommands,
    ) -> Option<WorkerHeartbeat> {
        let worker = self.workers.get_mut(name)?;
        if worker.hung {
            worker.waiting.push(commands);
            return None;
        }
        if worker.drops_responses || worker.partitioned_from.contains(&from) {
            return None;
        }
        self.execute_direct(name, commands)
    }

    /// Direct commands are carried out whenever token and incarnation match.
    pub(super) fn execute_direct(
        &mut self,
        name: &MachineId,
        commands: DirectCommands,
    ) -> Option<WorkerHeartbeat> {
        let worker = self.workers.get(name)?;
        let carried = commands.token >= worker.token && commands.incarnation == worker.incarnation;
        if carried {
            for command in commands.commands {
                self.execute(name, command);
            }
        }
        let worker = self.workers.get_mut(name)?;
        worker.token = worker.token.max(commands.token);
        Some(worker.heartbeat(name))
    }

    pub(super) fn execute(&mut self, name: &MachineId, command: TaskCommand) {
        // A worker gives up its incarnation by itself, also while it is paused: it
        // may go on within its lease only.
        let running = |id: &MachineId| {
            let worker = self.workers.get(id).filter(|w| w.leased.elapsed() <= WORKER_LEASE);
            let on = worker.and_then(|w| w.tasks.get(&command.task));
            on.is_some_and(|on| on.state != TaskState::Exited)
        };
        let elsewhere = command.op == CommandKind::Start
            && self.checker.machines_of(&command.task).any(|id| id != name && running(id));
        let Some(worker) = self.workers.get_mut(name) else { return };
        match command.op {
            CommandKind::Start => {
                if worker.tasks.get(&command.task).is_some_and(|o| o.attempt >= command.attempt) {
                    return;
                }
                let incarnation = worker.incarnation;
                if elsewhere {
                    self.violations.push(format!("ran_twice: {} on {name}", command.task));
                }
                self.starts += 1;
                let (zone, spot) = (worker.zone.clone(), worker.spot);
                let on = RunningTask {
                    attempt: command.attempt,
                    state: TaskState::Running,
                    cause: None,
                    since: Instant::now(),
                };
                worker.tasks.insert(command.task.clone(), on);
                self.checker.placed(&command.task, command.attempt, name, incarnation);
                self.check_start(&command.task, &zone, spot);
            }
            CommandKind::Stop => {
                if let Some(on) = worker.tasks.get_mut(&command.task)
                    && on.state != TaskState::Exited
                {
                    (on.state, on.cause) = (TaskState::Exited, Some(ExitCause::Stopped));
                }
            }
            CommandKind::Forget => {
                worker.tasks.remove(&command.task);
            }
        }
    }
}
