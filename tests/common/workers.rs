//! Simulated workers: heartbeats, leases, commands, and machines that hang.

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
    repeated::RepeatedKind,
};

/// Latency of a direct command.
pub(super) const LATENCY: Duration = Duration::from_millis(3);

/// `lease_s` of the settings.
pub(super) const WORKER_LEASE: Duration = Duration::from_secs(11);

/// Time that a worker waits for the answer to a heartbeat.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Sender index of late direct commands. It is no node's index, so no partition applies to them.
pub(super) const LATE_SENDER: usize = usize::MAX;

/// A task and the number of an attempt to run it.
pub(super) type Attempt = (String, u64);

#[derive(Clone, Debug)]
pub(super) struct RunningTask {
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
    /// Instant at which the latest answered heartbeat was sent; the lease runs from here.
    pub(super) leased_at: Instant,
    /// The attempts that the worker reports: those that have not exited, and those that have
    /// and were not forgotten.
    pub(super) attempts: BTreeMap<Attempt, RunningTask>,
    /// Nodes that the worker can't reach.
    pub(super) partitioned_from: BTreeSet<usize>,
    /// Whether answers and direct commands to the worker are lost.
    pub(super) drops_responses: bool,
    /// Whether its heartbeats are lost; direct commands still reach the worker.
    pub(super) drops_heartbeats: bool,
    /// Whether the machine is suspended; direct commands wait until it resumes.
    pub(super) hung: bool,
    /// Direct commands that arrived while the machine was suspended.
    pub(super) waiting: Vec<DirectCommands>,
    /// Whether every task fails on this machine.
    pub(super) fails: bool,
    pub(super) last_heartbeat: Option<WorkerHeartbeat>,
}

impl TestDeployment {
    pub fn add_machine(&self, zone: &str) {
        let name: MachineId = {
            let mut inner = lock(&self.inner);
            inner.last_machine_number += 1;
            format!("n-{:06}", inner.last_machine_number).into()
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
                leased_at: Instant::now(),
                attempts: BTreeMap::new(),
                partitioned_from: BTreeSet::new(),
                drops_responses: false,
                drops_heartbeats: false,
                hung: false,
                waiting: Vec::new(),
                fails: false,
                last_heartbeat: None,
            };
            lock(&deployment.inner).workers.insert(name.clone(), worker);
            deployment.run_worker(&name).await;
        });
    }

    /// Runs a worker: sends heartbeats, renews its lease and executes the commands in answers.
    pub(super) async fn run_worker(&self, name: &MachineId) {
        let mut node_index = 0;
        loop {
            sleep(Duration::from_millis(950)).await;
            let sent = Instant::now();
            let Some((heartbeat, partitioned, drops_responses, drops_heartbeats)) =
                self.next_heartbeat(name)
            else {
                return;
            };
            let Some(heartbeat) = heartbeat else { continue };
            let node = lock(&self.inner).nodes[node_index].as_ref().map(|(n, _)| n.clone());
            let lost = drops_heartbeats || partitioned.contains(&node_index);
            if partitioned.contains(&node_index) && lock(&self.inner).partitions_hang {
                sleep(HEARTBEAT_TIMEOUT).await;
            }
            let mut reply = None;
            if let Some(node) = node.filter(|_| !lost) {
                if let Some(until) = self.frozen_until(node_index) {
                    // The node reads the heartbeat when it resumes. The worker has timed out
                    // by then.
                    tokio::spawn(async move {
                        tokio::time::sleep_until(until).await;
                        node.answer_heartbeat_now(&heartbeat);
                    });
                    sleep(HEARTBEAT_TIMEOUT).await;
                } else {
                    reply = Some(node.answer_heartbeat(&heartbeat).await);
                    self.deliver_copies(RepeatedKind::Heartbeats, move |deployment| {
                        if let Some(node) = deployment.running_process(node_index) {
                            node.answer_heartbeat_now(&heartbeat);
                        }
                        async {}
                    });
                }
            }
            match reply.filter(|_| !drops_responses) {
                Some(HeartbeatReply::Commands { token, commands }) => {
                    self.remember_jobs(&commands);
                    let mut inner = lock(&self.inner);
                    let Some(worker) = inner.workers.get_mut(name) else { return };
                    if token < worker.token {
                        inner.command_cost.renewals_refused += 1;
                        continue;
                    }
                    (worker.token, worker.leased_at) = (token, sent);
                    for command in commands {
                        inner.execute(name, command);
                    }
                }
                Some(HeartbeatReply::Redirect(member)) => {
                    let target = member.and_then(|m| m.strip_prefix("m-")?.parse::<usize>().ok());
                    node_index = target
                        .filter(|target| *target != node_index)
                        .unwrap_or((node_index + 1) % 3);
                }
                None => {
                    sleep(Duration::from_secs(1)).await;
                    node_index = (node_index + 1) % 3;
                }
            }
        }
    }

    /// Stores the specifications of the jobs whose tasks are to start, from the records.
    pub(super) fn remember_jobs(&self, commands: &[TaskCommand]) {
        for command in commands.iter().filter(|command| command.op == CommandKind::Start) {
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

    /// Returns the worker's next heartbeat (`None` while it is suspended) with its network
    /// faults: the nodes that it is partitioned from, and whether its answers and its heartbeats
    /// are lost. Returns `None` if the machine no longer exists.
    pub(super) fn next_heartbeat(
        &self,
        name: &MachineId,
    ) -> Option<(Option<WorkerHeartbeat>, BTreeSet<usize>, bool, bool)> {
        let mut inner = lock(&self.inner);
        let Inner { workers, run_times, .. } = &mut *inner;
        let now = Instant::now();
        let worker = workers.get_mut(name)?;
        let (partitioned, drops_responses, drops_heartbeats) =
            (worker.partitioned_from.clone(), worker.drops_responses, worker.drops_heartbeats);
        if worker.hung {
            return Some((None, partitioned, drops_responses, drops_heartbeats));
        }
        worker.end_overdue_incarnation();
        for ((task, _), running) in &mut worker.attempts {
            let job = task.split('/').next().unwrap_or_default();
            let age = now - running.since;
            if running.state == TaskState::Running && worker.fails {
                (running.state, running.cause) = (TaskState::Exited, Some(ExitCause::Error));
            } else if running.state == TaskState::Running
                && run_times
                    .get(task)
                    .or(run_times.get(job))
                    .is_some_and(|run_time| age >= *run_time)
            {
                (running.state, running.cause) = (TaskState::Exited, Some(ExitCause::Done));
            }
        }
        let heartbeat = worker.heartbeat(name);
        worker.last_heartbeat = Some(heartbeat.clone());
        inner.command_cost.record_heartbeat(&heartbeat);
        Some((Some(heartbeat), partitioned, drops_responses, drops_heartbeats))
    }

    /// Whether a task of the job is running on the machine.
    pub fn runs_on(&self, job: &str, machine: &str) -> bool {
        let inner = lock(&self.inner);
        let Some(worker) = inner.workers.get(machine) else { return false };
        let of_job = |task: &str| task.split('/').next() == Some(job);
        worker
            .attempts
            .iter()
            .any(|((task, _), running)| of_job(task) && running.state == TaskState::Running)
    }

    /// Returns the number of task starts on all workers so far.
    pub fn starts(&self) -> u32 {
        lock(&self.inner).starts
    }

    /// Sets the run time of a job's tasks.
    pub fn runs_for(&self, job: &str, seconds: u64) {
        lock(&self.inner).run_times.insert(job.into(), Duration::from_secs(seconds));
    }

    /// Returns the machines that have a task of the job which has not exited.
    pub fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let prefix = format!("{job}/");
        lock(&self.inner)
            .workers
            .iter()
            .filter(|(_, w)| {
                w.attempts.iter().any(|((task, _), running)| {
                    task.starts_with(&prefix) && running.state != TaskState::Exited
                })
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the machines that are running.
    pub fn machines(&self) -> Vec<MachineId> {
        lock(&self.inner).workers.keys().cloned().collect()
    }

    /// Stops a machine with all its tasks.
    pub fn remove_machine(&self, machine: &str) {
        lock(&self.inner).workers.remove(machine);
    }

    /// Makes every task on a machine fail.
    pub fn set_failing(&self, machine: &str) {
        lock(&self.inner).workers.get_mut(machine).expect("known machine").fails = true;
    }

    /// Suspends a machine, or resumes it and executes the direct commands that waited for it.
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

    /// Suspends a machine for `seconds`, if it exists and is not suspended.
    pub fn hang_for(&self, machine: &str, seconds: f64) {
        match lock(&self.inner).workers.get_mut(machine) {
            Some(worker) if !worker.hung => worker.hung = true,
            _ => return,
        }
        let (deployment, machine) = (self.clone(), machine.to_owned());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            let exists = lock(&deployment.inner).workers.contains_key(machine.as_str());
            if exists {
                deployment.set_hung(&machine, false);
            }
        });
    }

    /// Returns the incarnation of a machine's worker, or 0 if the machine does not exist.
    pub fn incarnation(&self, machine: &str) -> u64 {
        lock(&self.inner).workers.get(machine).map_or(0, |w| w.incarnation)
    }

    /// Returns the latest heartbeat that a machine sent.
    pub fn last_heartbeat(&self, machine: &str) -> WorkerHeartbeat {
        lock(&self.inner).workers[machine].last_heartbeat.clone().expect("a heartbeat")
    }

    /// Returns the latest heartbeat of each machine, to be delivered late as a network might.
    pub fn last_heartbeats(&self) -> Vec<WorkerHeartbeat> {
        lock(&self.inner).workers.values().filter_map(|w| w.last_heartbeat.clone()).collect()
    }
}

impl Worker {
    /// Starts a new incarnation without tasks if the lease has expired.
    pub(super) fn end_overdue_incarnation(&mut self) {
        if self.leased_at.elapsed() > WORKER_LEASE {
            self.attempts.clear();
            self.incarnation += 1;
            self.leased_at = Instant::now();
        }
    }

    /// Whether an attempt of the task is on the machine and has not exited.
    fn runs(&self, task: &str) -> bool {
        let first = (task.to_owned(), 0);
        let attempts = self.attempts.range(first..).take_while(|((listed, _), _)| listed == task);
        attempts.into_iter().any(|(_, running)| running.state != TaskState::Exited)
    }

    pub(super) fn heartbeat(&mut self, name: &MachineId) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self
            .attempts
            .iter()
            .map(|((task, attempt), running)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                state: running.state,
                cause: running.cause,
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

/// Client through which a node sends direct commands to workers.
pub(super) struct InMemoryWorkers {
    pub(super) deployment: TestDeployment,
    pub(super) node_index: usize,
    /// Free sockets. Each request waits for one and holds it until the request ends.
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
            if let Some(until) = self.deployment.frozen_until(self.node_index) {
                tokio::time::sleep_until(until).await;
            }
            self.deployment.remember_jobs(&commands.commands);
            let copy = commands.clone();
            let late =
                lock(&self.deployment.inner).late_commands.as_mut().and_then(LateCommands::draw);
            if let Some(delay) = late {
                let deployment = self.deployment.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    let mut inner = lock(&deployment.inner);
                    let _ = inner.command(&name, LATE_SENDER, commands);
                });
                sleep(Duration::from_secs(1)).await;
                return Err(CallError::Timeout);
            }
            let answer = {
                let mut inner = lock(&self.deployment.inner);
                inner.command(&name, self.node_index, commands)
            };
            if let Some(heartbeat) = answer {
                self.deployment.record_answered(&name, &copy);
                self.deployment.deliver_copies(RepeatedKind::Commands, move |deployment| {
                    let _ = lock(&deployment.inner).command(&name, LATE_SENDER, copy.clone());
                    async {}
                });
                return Ok(heartbeat);
            }
            sleep(Duration::from_secs(1)).await;
            Err(CallError::Timeout)
        })
    }
}

impl Inner {
    /// Delivers direct commands from node `from`. Returns the worker's heartbeat, or `None` if
    /// the worker does not answer.
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

    /// Executes direct commands if their token is not older than the worker's and their
    /// incarnation is the worker's. Returns the worker's heartbeat.
    pub(super) fn execute_direct(
        &mut self,
        name: &MachineId,
        commands: DirectCommands,
    ) -> Option<WorkerHeartbeat> {
        let worker = self.workers.get(name)?;
        let accepted = commands.token >= worker.token && commands.incarnation == worker.incarnation;
        self.command_cost.requests += 1;
        self.command_cost.requests_refused += u32::from(!accepted);
        if accepted {
            for command in commands.commands {
                self.execute(name, command);
            }
        }
        let worker = self.workers.get_mut(name)?;
        worker.token = worker.token.max(commands.token);
        Some(worker.heartbeat(name))
    }

    /// Executes a command on a worker and checks the rules for a task that starts.
    pub(super) fn execute(&mut self, name: &MachineId, command: TaskCommand) {
        let attempt = (command.task.clone(), command.attempt);
        match command.op {
            CommandKind::Start => self.execute_start(name, attempt),
            CommandKind::Stop => {
                if let Some(worker) = self.workers.get_mut(name)
                    && let Some(running) = worker.attempts.get_mut(&attempt)
                    && running.state != TaskState::Exited
                {
                    (running.state, running.cause) = (TaskState::Exited, Some(ExitCause::Stopped));
                }
            }
            CommandKind::Forget => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.attempts.retain(|listed, running| {
                        *listed != attempt || running.state != TaskState::Exited
                    });
                }
            }
        }
    }

    /// Starts an attempt, unless the worker lists it already. A worker that runs another attempt
    /// of the task refuses the start.
    fn execute_start(&mut self, name: &MachineId, attempt: Attempt) {
        // A worker whose lease has expired counts as stopped, also while it is suspended: it
        // ends its incarnation before it continues.
        let task = &attempt.0;
        let runs_on = |id: &MachineId| {
            let worker = self.workers.get(id).filter(|w| w.leased_at.elapsed() <= WORKER_LEASE);
            worker.is_some_and(|w| w.runs(task))
        };
        let runs_elsewhere = self.checker.machines_of(task).any(|id| id != name && runs_on(id));
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.attempts.contains_key(&attempt) {
            return;
        }
        let since = Instant::now();
        if worker.runs(task) {
            let (state, cause) = (TaskState::Exited, Some(ExitCause::Busy));
            worker.attempts.insert(attempt, RunningTask { state, cause, since });
            return;
        }
        if runs_elsewhere {
            self.violations.push(format!("ran_twice: {task} on {name}"));
        }
        self.starts += 1;
        let (zone, spot) = (worker.zone.clone(), worker.spot);
        let incarnation = worker.incarnation;
        let running = RunningTask { state: TaskState::Running, cause: None, since };
        worker.attempts.insert(attempt.clone(), running);
        self.command_cost.started_at.entry(attempt.clone()).or_insert(since);
        self.checker.record_start(&attempt.0, attempt.1, name, incarnation);
        self.check_start(&attempt.0, &zone, spot);
    }
}
