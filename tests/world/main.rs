//! Deterministic simulation: several controllers, stand-ins for the outside systems and a network
//! that drops, delays, duplicates and reorders messages run in memory from one seed. Faults are
//! injected, and every invariant of the protocol is checked at each step.
mod balanced_users;
mod cancelled;
mod consistency;
mod covered_renewals;
mod fast_restarts;
mod fleet;
mod invariants;
mod knowledge_gaps;
mod lease_renewals;
mod limits;
mod load;
mod lost_knowledge;
mod lost_knowledge_wide;
mod meetings;
mod nomad;
mod nomad_harness;
mod partial_failures;
mod past_jobs;
mod pipelines;
mod random_faults;
mod repeated_commands;
mod request_validation;
mod scenarios;
mod users;

use gorseshore_standins::cloud::flavor;
use gorseshore_standins::{state, worker};

use gorseshore_core::node::Node;
use gorseshore_core::{Call, CallId, CallResult, Input, Output, RequestId, Target};
use gorseshore_protocol::cloud::{Flavor, Flavors, MachineNames, Rental, RentalRequest, Rentals};
use gorseshore_protocol::ids::{Micros, TaskId};
use gorseshore_protocol::workers::{CommandRequest, HeartbeatResponse};
use gorseshore_settings::{Operator, Platform};
use serde_json::{Value, json};
use state::{Outcome, StateService};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use worker::{Machine, Stage, TaskProfile};

/// A second in microseconds.
const S: u64 = 1_000_000;
/// A millisecond in microseconds.
const MS: u64 = 1_000;
/// Wall-clock time at the start of a simulation, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;
/// Rate limit of the cloud API, in calls per second.
const CLOUD_RPS: u64 = 8;
const ZONES: [&str; 2] = ["east", "west"];

/// Size, limits and fault model of a simulation. Times are in microseconds.
#[derive(Clone, Copy)]
struct Size {
    nodes: usize,
    /// Machines that can be rented per zone, spot setting and machine type: `[small, big]`.
    capacity: [usize; 2],
    /// Interval at which the machines are simulated.
    worker_step: u64,
    /// Interval between a worker's reports, its lease, and the longest time that a cancellation may
    /// take.
    report_interval: u64,
    lease: u64,
    cancel_timeout: u64,
    /// Rate limit of the state service, in requests per second.
    requests_per_s: f64,
    /// Limits of the state service: writes per second, writes per transaction and KiB per value.
    writes_per_s: f64,
    max_txn_writes: usize,
    max_value_kib: f64,
    /// Number of jobs at the start, and the limit of the tasks of an array.
    jobs: usize,
    tasks: u32,
    /// End of new jobs and faults, and end of the simulation.
    busy_until: u64,
    end_at: u64,
    /// Nomad clients register jobs beside the users.
    nomad_clients: bool,
    /// Injects the faults of the fleet tests at set times instead of random faults at random times.
    fleet: bool,
    /// Restarts controllers within a fraction of a second, at any stage of their recovery and with
    /// a different clock.
    fast_restarts: bool,
    /// Injects partial failures: machines and controllers that can only send or only receive,
    /// controllers that reach nothing but their workers, and late duplicates.
    partial_failures: bool,
    /// Limits that the state service applies from a random time on.
    next_limits: Option<limits::NextLimits>,
    /// Number of jobs, the first ones, that are arrays of up to 10,000 tasks.
    long_arrays: usize,
    /// Submits pipelines of jobs beside the other jobs.
    pipelines: bool,
    /// Settled jobs that a controller holds in memory, if it is not the usual number.
    settled_jobs_held: Option<usize>,
    /// One direct command in this many, of those that were carried out, arrives once more; 0 for
    /// none.
    repeat_one_in: u32,
    /// The same for transactions, requests to the cloud and messages between controllers.
    repeat_others_one_in: u32,
}

const SMALL: Size = Size {
    nodes: 3,
    capacity: [5, 5],
    worker_step: 50 * MS,
    report_interval: 2 * S,
    lease: 12 * S,
    cancel_timeout: 34 * S,
    requests_per_s: 200.0,
    writes_per_s: 60.0,
    max_txn_writes: 12,
    max_value_kib: 16.0,
    jobs: 6,
    tasks: 12,
    busy_until: 150 * S,
    end_at: 300 * S,
    nomad_clients: false,
    fleet: false,
    fast_restarts: false,
    partial_failures: false,
    next_limits: None,
    long_arrays: 0,
    pipelines: false,
    settled_jobs_held: None,
    repeat_one_in: 0,
    repeat_others_one_in: 0,
};
/// The small simulation with Nomad clients, and with values so short that one Nomad job takes
/// several of them.
const SMALL_WITH_NOMAD: Size =
    Size { max_value_kib: 2.0, max_txn_writes: 8, jobs: 3, end_at: 360 * S, nomad_clients: true, ..SMALL };
/// Seven controllers and hundreds of machines, started from nothing with a tight write budget.
const LARGE: Size = Size {
    nodes: 7,
    capacity: [60, 60],
    writes_per_s: 15.0,
    max_txn_writes: 8,
    max_value_kib: 4.0,
    jobs: 50,
    tasks: 60,
    busy_until: 80 * S,
    end_at: 200 * S,
    ..SMALL
};

/// Assigns the controllers to the zones in turn.
fn controller_zone(n: usize) -> &'static str {
    ZONES[n % ZONES.len()]
}

fn platform(i: usize, size: &Size) -> Platform {
    let mut text = format!(
        "host_name = \"n{i}\"\ndomain = \"{}\"\npublic_addr = \"127.0.0.1:1\"\n\
         cluster_listen = \"127.0.0.1:2\"\n",
        controller_zone(i)
    );
    for j in (0..size.nodes).filter(|j| *j != i) {
        text += &format!(
            "[[peers]]\nhost_name = \"n{j}\"\ndomain = \"{}\"\npeer_addr = \"127.0.0.1:3\"\n",
            controller_zone(j)
        );
    }
    text += "[endpoints]\ncloud = \"127.0.0.1:4\"\nstate = \"127.0.0.1:5\"\n\
        [deployment]\nzones = [\"east\", \"west\"]\n\
        [[deployment.teams]]\nname = \"free\"\n\
        [[deployment.teams]]\nname = \"tight\"\ncpus_max = 9.0\n\
        [[deployment.teams]]\nname = \"guest\"\n\
        [deployment.cloud]\nlist_lag_s = 5.0\n";
    text += &format!("rps = {CLOUD_RPS}.0\n");
    let s = |t: u64| t as f64 / S as f64;
    text += &format!(
        "[deployment.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ncancel_s = {:.1}\n",
        s(size.report_interval),
        s(size.lease),
        s(size.cancel_timeout)
    );
    text += &format!(
        "[deployment.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
        size.requests_per_s, size.writes_per_s, size.max_value_kib, size.max_txn_writes
    );
    text += &size.next_limits.map(|limits| limits.settings()).unwrap_or_default();
    Platform::parse(&text).unwrap()
}

/// Returns the machine name after which a page of the cloud's list begins, and the page's limit.
fn list_page(path: &str) -> (String, usize) {
    let (mut from, mut limit) = (String::new(), 500);
    for pair in path.split_once('?').map_or("", |p| p.1).split('&') {
        match pair.split_once('=') {
            Some(("from", name)) => from = name.to_owned(),
            Some(("limit", n)) => limit = n.parse().unwrap(),
            other => panic!("not in the protocol: {other:?}"),
        }
    }
    assert!(limit <= 500, "{limit} machines on a page");
    (from, limit)
}

/// A job as its user knows it.
struct Job {
    body: Value,
    team: String,
    service: bool,
    tasks: u32,
    cpus: f64,
    run_us: u64,
    /// Each task runs this much longer than the task before it.
    run_us_step: u64,
    checkpoint_us: Option<u64>,
    spread: bool,
    spot: bool,
    machine_type: Option<&'static str>,
    zone: Option<&'static str>,
    submitted: bool,
    accepted: bool,
    /// Time of the first submission, and time at which the user received the acceptance.
    submitted_at: u64,
    accepted_at: u64,
    submit_attempts: usize,
    abort_requested: bool,
    aborted_at: Option<u64>,
    reported_done: bool,
    /// Time at which the user received the first answer that the job is done or cancelled.
    reported_ended_at: Option<u64>,
    done: Vec<bool>,
    next_request_at: u64,
    abort_at: u64,
    /// Time of the last answer about it, and time at which its first task started.
    answered_at: u64,
    started_at: Option<u64>,
    /// Its image is faulty: its tasks fail on every machine.
    faulty: bool,
    /// Jobs that must be done before one of its tasks starts.
    awaits: Vec<usize>,
    /// Time at which its last task completed.
    completed_at: Option<u64>,
    /// Time at which a user first received the answer that it, or a job that it needs, is
    /// cancelled.
    cancelled_from: Option<u64>,
    behavior: pipelines::UserBehavior,
}

impl Job {
    /// A job that is not submitted yet, may run on any on-demand machine and is never cancelled.
    fn new(body: Value, team: &str, service: bool, tasks: u32, cpus: f64, run_us: u64) -> Job {
        Job {
            body,
            team: team.into(),
            service,
            tasks,
            cpus,
            run_us,
            run_us_step: 0,
            checkpoint_us: None,
            spread: false,
            spot: false,
            machine_type: None,
            zone: None,
            submitted: false,
            accepted: false,
            submitted_at: 0,
            accepted_at: 0,
            submit_attempts: 0,
            abort_requested: false,
            aborted_at: None,
            reported_done: false,
            reported_ended_at: None,
            done: vec![false; tasks as usize],
            next_request_at: 0,
            abort_at: u64::MAX,
            answered_at: 0,
            started_at: None,
            faulty: false,
            awaits: Vec::new(),
            completed_at: None,
            cancelled_from: None,
            behavior: pipelines::UserBehavior::default(),
        }
    }
}

impl Job {
    /// Reduces the job to one task.
    fn one_task(&mut self) {
        self.tasks = 1;
        self.done.truncate(1);
        self.body["pieces"] = json!(1);
    }
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Restart(usize),
    /// A call reaches its target.
    CallArrives(usize, u64, CallId, Call),
    /// A call's result reaches its controller: the response, or the timeout.
    CallCompleted(usize, u64, CallId, CallResult),
    Peer(usize, usize, u64, gorseshore_core::peer::Message),
    Request(usize, u64, RequestId, &'static str, String, Vec<u8>),
    Answered(RequestId, u16, Vec<u8>),
    ExtensionRequest(usize, u64, RequestId, &'static str, String, Vec<u8>),
    ExtensionAnswered(RequestId, gorseshore_core::extension::Answer),
    SimulateWorkers,
    SimulateUsers,
    InjectFault,
    Crash(usize),
    StateServiceRecovers,
    /// An input that arrived while its controller was paused.
    DeferredInput(usize, u64, Input),
    /// An input that a slow controller handles now.
    LateInput(usize, u64, Input),
    /// A controller has finished the work that kept it busy.
    Idle(usize, u64),
    RestartLeader,
    StopController(usize),
    /// A user sends a request about a job: controller, action and job index.
    UserRequest(usize, consistency::UserAction, usize),
    Outage,
    /// The load balancer probes all controllers.
    ProbeControllers,
    /// A probe of the load balancer, or a user's request, has waited for as long as its sender waits.
    ProbeTimeout(RequestId),
    UserTimeout(RequestId),
    LowerLimits,
    /// A direct command that was carried out before arrives once more; its answer is discarded.
    RepeatedCommand(Call),
    /// The same for a call to the state service or the cloud.
    RepeatedCall(Call),
    RepeatStarts,
    /// A duplicate of a request; its answer is discarded.
    Duplicate(usize, &'static str, String, Vec<u8>),
}

struct Watch {
    node: usize,
    incarnation: u64,
    call: CallId,
    prefix: String,
    from: u64,
    until: u64,
}

enum Requester {
    Worker(String, u64),
    Submit(usize),
    Poll(usize),
    Abort(usize),
    UnknownJob,
    /// The load balancer's health check.
    Probe,
    /// A test that waits for this one answer.
    Direct,
    NomadClient(nomad::ClientRequest),
}

struct World {
    size: Size,
    now: u64,
    rng: fastrand::Rng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Option<Node>>,
    incarnations: Vec<u64>,
    /// Start time of each process, from which its monotonic clock counts.
    process_started_at: Vec<u64>,
    state: StateService,
    state_refused_until: Vec<u64>,
    watches: Vec<Watch>,
    machines: BTreeMap<String, Machine>,
    rentals: BTreeMap<String, Vec<String>>,
    rental_lists: Vec<(u64, Vec<Rental>)>,
    rented_at: BTreeMap<String, u64>,
    next_machine: u64,
    cloud_down_until: u64,
    /// Time at which the calls accepted so far are worked off at the cloud's rate limit.
    cloud_busy_until: u64,
    slow_boots_until: u64,
    /// Ends of the partitions: between the zones, and of each controller from workers and peers.
    zones_partitioned_until: u64,
    controller_partitioned_until: Vec<u64>,
    jobs: Vec<Job>,
    pending_requests: BTreeMap<RequestId, Requester>,
    next_request: u64,
    violations: Vec<String>,
    started: usize,
    completed: usize,
    /// Tasks that started again after they were done.
    reruns: Vec<String>,
    /// Largest number of tasks that ran at a time.
    peak_tasks: usize,
    /// CPU time used by tasks, and CPU time of the rented machines; both in CPU-microseconds.
    used_cpu_us: u64,
    rented_cpu_us: u64,
    fault_free: bool,
    nomad_clients: nomad::NomadClients,
    fleet: fleet::Observations,
    fast_restarts: fast_restarts::Observations,
    partial_failures: partial_failures::Observations,
    faults: scenarios::ScenarioFaults,
    consistency: consistency::Observations,
    pipelines: pipelines::Observations,
    load: load::Load,
    balanced: balanced_users::Observations,
    repetitions: repeated_commands::Repetitions,
}

impl World {
    fn new(seed: u64, fault_free: bool, size: Size) -> Self {
        let mut w = World {
            size,
            now: S,
            rng: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            nodes: Vec::new(),
            incarnations: vec![0; size.nodes],
            process_started_at: vec![0; size.nodes],
            state: StateService::with_limits(size.writes_per_s, size.max_txn_writes, size.max_value_kib),
            state_refused_until: vec![0; size.nodes],
            watches: Vec::new(),
            machines: BTreeMap::new(),
            rentals: BTreeMap::new(),
            rental_lists: Vec::new(),
            rented_at: BTreeMap::new(),
            next_machine: 0,
            cloud_down_until: 0,
            cloud_busy_until: 0,
            slow_boots_until: 0,
            zones_partitioned_until: 0,
            controller_partitioned_until: vec![0; size.nodes],
            jobs: Vec::new(),
            pending_requests: BTreeMap::new(),
            next_request: 1,
            violations: Vec::new(),
            started: 0,
            completed: 0,
            reruns: Vec::new(),
            peak_tasks: 0,
            used_cpu_us: 0,
            rented_cpu_us: 0,
            fault_free,
            nomad_clients: nomad::NomadClients::default(),
            fleet: fleet::Observations::default(),
            fast_restarts: fast_restarts::Observations::new(size.nodes),
            partial_failures: partial_failures::Observations::new(size.nodes),
            faults: scenarios::ScenarioFaults::new(size.nodes),
            consistency: consistency::Observations::default(),
            pipelines: pipelines::Observations::new(seed),
            load: load::Load::new(size.nodes),
            balanced: balanced_users::Observations::default(),
            repetitions: repeated_commands::Repetitions::new(seed, &size),
        };
        for i in 0..size.nodes {
            w.nodes.push(None);
            w.at(0, Event::Restart(i));
        }
        for z in ZONES {
            w.rent("big", z, false);
        }
        w.at(0, Event::SimulateWorkers);
        w.at(S, Event::SimulateUsers);
        if !fault_free {
            w.at(15 * S, Event::InjectFault);
        }
        w.plan_next_limits();
        w
    }

    fn at(&mut self, delay: u64, e: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, e);
    }

    fn report_violation(&mut self, rule: &str, detail: String) {
        self.violations.push(format!("{rule} at {:.3}: {detail}", self.now as f64 / 1e6));
    }

    fn delay(&mut self) -> u64 {
        // Usually 0.3 to 2.5 ms, once in 200 times 100 to 900 ms.
        let r = &mut self.rng;
        if r.u32(0..200) == 0 { r.u64(100 * MS..900 * MS) } else { r.u64(300..2500) }
    }

    // ---- network ---------------------------------------------------------

    fn machine_partition_end(&self, n: usize, m: &Machine) -> u64 {
        let mut until = self.controller_partitioned_until[n].max(m.unreachable_until);
        if controller_zone(n) != m.zone {
            until = until.max(self.zones_partitioned_until);
        }
        if until > self.now { until } else { 0 }
    }

    fn peer_partition_end(&self, a: usize, b: usize) -> u64 {
        let lost =
            |n: usize| self.controller_partitioned_until[n].max(self.partial_failures.isolated_until[n]);
        let mut until = lost(a).max(lost(b));
        if controller_zone(a) != controller_zone(b) {
            until = until.max(self.zones_partitioned_until);
        }
        if until > self.now { until } else { 0 }
    }

    // ---- controllers -----------------------------------------------------

    /// The monotonic clock of a controller's process, which starts at one second as the real one
    /// does.
    fn steady(&self, n: usize) -> Micros {
        Micros(self.now - self.process_started_at[n] + S)
    }

    fn deliver_input(&mut self, n: usize, input: Input) {
        let now = self.now;
        let incarnation = self.incarnations[n];
        let paused = self.faults.paused_until[n];
        if paused > now {
            // Delivered when the pause ends; the next tick sees the time that passed.
            return self.at(paused - now, Event::DeferredInput(n, incarnation, input));
        }
        match self.lateness_of(n) {
            0 => self.deliver_on_time(n, input),
            late => self.at(late, Event::LateInput(n, incarnation, input)),
        }
    }

    fn deliver_on_time(&mut self, n: usize, input: Input) {
        if let Some(input) = self.queue_if_busy(n, input) {
            self.handle_input(n, input);
        }
    }

    /// A controller handles an input, and the simulation carries out its outputs.
    fn handle_input(&mut self, n: usize, input: Input) {
        let now = self.now;
        let incarnation = self.incarnations[n];
        self.charge_input(n, &input);
        let steady = self.steady(n);
        let Some(node) = self.nodes[n].as_mut() else { return };
        let wall_ms = START_WALL_MS + now / 1000 + self.fast_restarts.ahead_ms[n];
        let outputs = node.handle(steady, wall_ms, input);
        let violations = node.invariant_violations();
        if violations > 0 {
            self.violations
                .push(format!("invariant at {:.3}: {violations} at controller {n}", now as f64 / 1e6));
        }
        for o in outputs {
            match o {
                Output::Response { id, status, body, .. } => {
                    if self.drops_answer(n, id, status, &body) {
                        continue;
                    }
                    self.check_outgoing_answer(n, id, status, &body);
                    let d = self.delay();
                    self.at(d, Event::Answered(id, status, body));
                }
                Output::Call { id, call } => {
                    self.at(call.timeout.0, Event::CallCompleted(n, incarnation, id, CallResult::Unknown));
                    let d = self.delay();
                    let isolated_until = self.partial_failures.isolated_until[n];
                    if matches!(call.target, Target::State) && isolated_until > now {
                        // Lost, or executed after the isolation ends.
                        if self.rng.bool() {
                            self.at(isolated_until - now + d, Event::CallArrives(n, incarnation, id, call));
                        }
                        continue;
                    }
                    if let Ok(d) = serde_json::from_slice::<CommandRequest>(&call.body) {
                        self.check_commands(n, &d.commands);
                    }
                    let (late, answered) = self.call_delay(n, &call);
                    if late > 0 || !answered {
                        // The controller no longer waits for the answer.
                        let id = if answered { id } else { CallId(u64::MAX) };
                        self.at(late + d, Event::CallArrives(n, incarnation, id, call));
                        continue;
                    }
                    if let Target::Worker(addr) = &call.target {
                        let Some(m) = self.machines.get(addr).filter(|m| m.up_at <= now) else {
                            self.at(d, Event::CallCompleted(n, incarnation, id, CallResult::NotSent));
                            continue;
                        };
                        let partition_end = self.machine_partition_end(n, m);
                        let addr = addr.clone();
                        if self.drops_command(n, &addr, &call) {
                            continue;
                        }
                        if partition_end > 0 {
                            // Delivered after the partition ends, or lost.
                            if self.rng.bool() {
                                self.at(
                                    partition_end - now + d,
                                    Event::CallArrives(n, incarnation, id, call),
                                );
                            }
                            continue;
                        }
                    }
                    match self.rng.u32(0..400) {
                        0 if !self.fault_free => {}
                        // Executed 1 to 40 s later.
                        1 if !self.fault_free => {
                            let late = self.rng.u64(S..40 * S);
                            self.at(late, Event::CallArrives(n, incarnation, id, call));
                        }
                        _ => self.at(d, Event::CallArrives(n, incarnation, id, call)),
                    }
                }
                Output::ExtensionResponse(id, answer) => {
                    let d = self.delay();
                    self.at(d, Event::ExtensionAnswered(id, answer));
                }
                Output::StreamOpen(..) | Output::StreamChunk(..) | Output::StreamClose(_) => {}
                Output::Send { to, message } => {
                    let to = to.0 as usize;
                    let Some(message) = self.outgoing_message(n, to, message) else { continue };
                    let partition_end = self.peer_partition_end(n, to);
                    let d = self.delay();
                    let late = if partition_end > 0 { partition_end - now } else { 0 };
                    if partition_end > 0 && self.rng.bool() || !self.fault_free && self.rng.u32(0..300) == 0 {
                        continue;
                    }
                    if !self.fault_free && self.rng.u32(0..100) == 0 {
                        let again = self.rng.u64(0..3 * S);
                        self.at(late + d + again, Event::Peer(n, to, incarnation, message.clone()));
                    }
                    self.repeat_message(n, to, incarnation, &message);
                    self.at(late + d, Event::Peer(n, to, incarnation, message));
                }
            }
        }
    }

    fn request(&mut self, n: usize, method: &'static str, path: String, body: Vec<u8>, requester: Requester) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let Some(n) = self.route_user(n, id, &requester) else { return };
        self.pending_requests.insert(id, requester);
        self.consistency.requests_began_at.insert(id, self.now);
        let d = self.delay();
        let incarnation = self.incarnations[n];
        self.duplicate_request(method, &path, &body);
        self.at(d, Event::Request(n, incarnation, id, method, path, body));
    }

    // ---- cloud -----------------------------------------------------------

    fn flavors() -> Vec<Flavor> {
        let f = |sku: &str, cpus, hourly| flavor(sku, cpus, hourly, 0.3, 8.0, &ZONES);
        vec![f("small", 4.0, 0.4), f("big", 16.0, 1.5)]
    }

    fn rent(&mut self, machine_type: &str, zone: &str, spot: bool) -> String {
        let name = format!("host-{:06}", self.next_machine);
        self.next_machine += 1;
        let boot = match self.rng.u32(0..20) {
            _ if self.faults.fast_boots => S,
            0 => S,
            1 if !self.fault_free => 10_000 * S,
            _ if self.now < self.slow_boots_until => self.rng.u64(20 * S..90 * S),
            _ => self.rng.u64(5 * S..12 * S),
        };
        let cpus = if machine_type == "small" { 4.0 } else { 16.0 };
        let mut m = Machine::new(&name, (machine_type, zone, spot), cpus, self.now + boot);
        m.target_controller = self.rng.usize(0..self.size.nodes);
        self.machines.insert(name.clone(), m);
        self.rented_at.insert(name.clone(), self.now);
        name
    }

    fn handle_cloud_call(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if self.now < self.cloud_down_until {
            return (503, br#"{"error":"trouble"}"#.to_vec());
        }
        if self.size.fleet && !self.accepts_call() {
            return (429, br#"{"error":"too many requests"}"#.to_vec());
        }
        match (method, path.split('?').next().unwrap()) {
            ("GET", "/flavors") => (200, serde_json::to_vec(&Flavors { flavors: Self::flavors() }).unwrap()),
            ("POST", "/rentals") => {
                let h: RentalRequest = serde_json::from_slice(body).unwrap();
                assert!(h.count <= 50, "{} machines in a rental", h.count);
                if let Some(hosts) = self.rentals.get(&h.request_id) {
                    return (200, serde_json::to_vec(&MachineNames { names: hosts.clone() }).unwrap());
                }
                let rented = self
                    .machines
                    .values()
                    .filter(|m| (&m.machine_type, &m.zone, m.spot) == (&h.machine_type, &h.zone, h.spot))
                    .count();
                let capacity = self.size.capacity[(h.machine_type == "big") as usize].saturating_sub(rented);
                if capacity == 0 {
                    return (503, br#"{"error":"no capacity"}"#.to_vec());
                }
                let n = capacity.min(h.count as usize);
                self.note_fleet_rental(&h.zone, n);
                let hosts: Vec<String> =
                    (0..n).map(|_| self.rent(&h.machine_type, &h.zone, h.spot)).collect();
                self.rentals.insert(h.request_id, hosts.clone());
                (200, serde_json::to_vec(&MachineNames { names: hosts }).unwrap())
            }
            ("POST", "/rentals/delete") => {
                let h: MachineNames = serde_json::from_slice(body).unwrap();
                assert!(h.names.len() <= 100, "{} names in a deletion", h.names.len());
                for name in h.names {
                    self.note_fleet_deletion(&name);
                    self.note_deletion(&name);
                    self.machines.remove(&name);
                }
                (200, b"{}".to_vec())
            }
            ("GET", "/rentals") => {
                let lag = self.rng.u64(3 * S..10 * S);
                let view = self.rental_lists.iter().rev().find(|(t, _)| *t + lag <= self.now);
                let (from, limit) = list_page(path);
                let after = view.map_or(&[][..], |v| &v.1[v.1.partition_point(|r| *r.name <= *from)..]);
                let hosts = after[..limit.min(after.len())].to_vec();
                let truncated = hosts.len() < after.len();
                (200, serde_json::to_vec(&Rentals { machines: hosts, truncated }).unwrap())
            }
            other => panic!("not in the protocol: {other:?}"),
        }
    }

    /// Whether the cloud accepts one more call: at its rate limit, with bursts of two seconds'
    /// worth of calls.
    fn accepts_call(&mut self) -> bool {
        let busy_until = self.cloud_busy_until.max(self.now) + S / CLOUD_RPS;
        let takes = busy_until <= self.now + 2 * S;
        if takes {
            self.cloud_busy_until = busy_until;
        }
        takes
    }

    fn record_rental_list(&mut self) {
        let list = self
            .machines
            .values()
            .map(|m| Rental {
                name: m.name.clone(),
                addr: m.name.clone(),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: if m.up_at <= self.now { "running" } else { "starting" }.into(),
                age_s: (self.now - self.rented_at[&m.name]) as f64 / 1e6,
            })
            .collect();
        self.rental_lists.push((self.now, list));
        if self.rental_lists.len() > 60 {
            self.rental_lists.remove(0);
        }
    }

    // ---- workers ---------------------------------------------------------

    fn with_machine<T>(
        &mut self,
        name: &str,
        f: impl FnOnce(&mut Machine, &dyn Fn(&str) -> Option<TaskProfile>, u64) -> T,
    ) -> Option<T> {
        let (jobs, state, now) = (&self.jobs, &self.state, self.now);
        let task_profile = |task_id: &str| match nomad_task(task_id) {
            Some(_) => World::nomad_task_profile(state, task_id),
            None => task_profile(jobs, task_id),
        };
        self.machines.get_mut(name).map(|m| f(m, &task_profile, now))
    }

    fn simulate_workers(&mut self) {
        let Size { nodes, report_interval, lease, .. } = self.size;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let now = self.now;
            let Some(m) = self.machines.get_mut(&name) else { continue };
            if now < m.up_at {
                continue;
            }
            // A hung machine does nothing; its lease is checked when it resumes.
            if now < m.hung_until {
                continue;
            }
            m.enforce_lease(now, lease);
            let started = self.with_machine(&name, |m, f, now| m.advance(f, now)).unwrap_or_default();
            for task_id in started {
                self.check_start(&name, &task_id);
            }
            let Some(m) = self.machines.get_mut(&name) else { continue };
            if let Some((_, sent, _)) = m.outstanding_report
                && now > sent + 4 * S
            {
                m.outstanding_report = None;
                m.target_controller = (m.target_controller + 1) % nodes;
                m.next_report_at = now + S;
            }
            let due = now >= m.next_report_at
                || m.has_changes && now >= m.last_report_at + S / 2 && m.next_report_at > now;
            if m.outstanding_report.is_none() && due && (now >= m.next_report_at || m.has_changes) {
                m.has_changes = false;
                m.last_report_at = now;
                m.next_report_at = now + self.rng.u64(report_interval * 3 / 4..report_interval * 5 / 4);
                let body = serde_json::to_vec(&m.report()).unwrap();
                let to = m.target_controller;
                let key = self.next_request;
                m.outstanding_report = Some((key, now, m.agent_epoch));
                self.note_report_sent(&name, &body);
                self.keep_report(&body);
                if self.cannot_send(&name) {
                    self.next_request += 1;
                    continue;
                }
                let partition_end = {
                    let m = &self.machines[&name];
                    self.machine_partition_end(to, m)
                };
                if partition_end > 0 {
                    // The late report's requester has timed out by then.
                    self.next_request += 1;
                    if self.rng.bool() {
                        let incarnation = self.incarnations[to];
                        let e =
                            Event::Request(to, incarnation, RequestId(key), "POST", "/checkin".into(), body);
                        self.at(partition_end - now, e);
                    }
                } else {
                    self.request(to, "POST", "/checkin".into(), body, Requester::Worker(name.clone(), key));
                }
            }
        }
        self.check_all();
        self.check_repeated_starts();
    }

    fn handle_checkin_answer(&mut self, name: &str, key: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let Some(m) = self.machines.get_mut(name) else { return };
        if now < m.hung_until {
            // Handled when the machine resumes.
            let d = m.hung_until - now + 1000;
            let id = RequestId(self.next_request);
            self.next_request += 1;
            self.pending_requests.insert(id, Requester::Worker(name.into(), key));
            self.at(d, Event::Answered(id, status, body.to_vec()));
            return;
        }
        let Some((outstanding, sent, agent_epoch)) = m.outstanding_report else { return };
        if outstanding != key || now > sent + 4 * S {
            return;
        }
        m.outstanding_report = None;
        m.enforce_lease(now, self.size.lease);
        match status {
            200 => {
                let a: HeartbeatResponse = serde_json::from_slice(body).unwrap();
                if a.fencing_token < m.fencing_token || agent_epoch != m.agent_epoch {
                    return;
                }
                if a.fencing_token > m.fencing_token {
                    m.fencing_token = a.fencing_token;
                    m.has_changes = true;
                }
                m.lease_start = sent;
                self.with_machine(name, |m, f, now| m.execute(&a.commands, f, now));
            }
            421 => {
                let v: Value = serde_json::from_slice(body).unwrap();
                let to = v["foreman"].as_str().and_then(|s| s[1..].parse::<usize>().ok());
                match to.filter(|t| *t != m.target_controller) {
                    Some(t) => {
                        m.target_controller = t;
                        m.next_report_at = now + 100 * MS;
                    }
                    None => {
                        m.target_controller = (m.target_controller + 1) % self.size.nodes;
                        m.next_report_at = now + S;
                    }
                }
            }
            _ => {
                m.target_controller = (m.target_controller + 1) % self.size.nodes;
                m.next_report_at = now + S;
            }
        }
    }

    // ---- event loop -------------------------------------------------------

    fn wall_ms(&self) -> u64 {
        START_WALL_MS + self.now / 1000
    }

    fn run(&mut self, until: u64) {
        let mut last_rental_list = 0;
        while let Some(Reverse((t, key))) = self.queue.peek().copied() {
            if t > until || !self.violations.is_empty() {
                break;
            }
            self.queue.pop();
            self.now = t;
            let Some(e) = self.events.remove(&key) else { continue };
            self.handle_event(e);
            if self.now > last_rental_list + S / 2 {
                last_rental_list = self.now;
                self.record_rental_list();
            }
        }
    }

    fn answer_watches(&mut self) {
        if self.state.unavailable {
            return;
        }
        self.state.expire_leases(self.now);
        let (mut i, now) = (0, self.now);
        while i < self.watches.len() {
            let w = &self.watches[i];
            let body =
                if self.state_refused_until[w.node].max(self.partial_failures.isolated_until[w.node]) > now {
                    None
                } else {
                    let over = now >= w.until || self.state.is_compacted(w.from);
                    let late = over.then(|| self.state.empty_watch_response());
                    self.state.watch_response(&w.prefix, w.from).or(late)
                };
            match body {
                Some(body) => {
                    let w = self.watches.remove(i);
                    let d = self.delay();
                    let status = if self.state.is_compacted(w.from) { 410 } else { 200 };
                    let r = CallResult::Response { status, body };
                    self.at(d, Event::CallCompleted(w.node, w.incarnation, w.call, r));
                }
                None => i += 1,
            }
        }
    }

    fn handle_event(&mut self, e: Event) {
        let now = self.now;
        match e {
            Event::Tick(n, incarnation) => {
                if self.nodes[n].is_some() && self.incarnations[n] == incarnation {
                    if self.faults.paused_until[n] <= now {
                        self.deliver_input(n, Input::Tick);
                        self.act_on_new_leader(n);
                    }
                    self.at(20 * MS, Event::Tick(n, incarnation));
                    if self.size.fast_restarts {
                        self.track_recovery(n);
                    }
                }
                self.answer_watches();
            }
            Event::Restart(n) => {
                let seed = self.rng.u64(..) >> 1;
                let number = if self.size.fast_restarts { self.take_incarnation(n, seed) } else { now };
                self.process_started_at[n] = now;
                let steady = self.steady(n);
                let mut node = Node::new(&platform(n, &self.size), Operator::default(), seed, number, steady);
                if let Some(held) = self.size.settled_jobs_held.or(past_jobs::settled_jobs_held()) {
                    node = node.with_settled_jobs_held(held);
                }
                if self.size.nomad_clients {
                    node = nomad::with_nomad(node, seed);
                }
                self.incarnations[n] = node.incarnation();
                self.nodes[n] = Some(node);
                self.clear_load(n);
                self.at(0, Event::Tick(n, self.incarnations[n]));
            }
            Event::CallArrives(n, incarnation, id, call) => {
                if std::env::var("WORLD_TRACE").is_ok() && !call.path.starts_with("/follow") {
                    let body = String::from_utf8_lossy(&call.body);
                    eprintln!("{:.3} n{n} {:?} {} {body}", now as f64 / 1e6, call.target, call.path);
                }
                self.execute_call(n, incarnation, id, call)
            }
            Event::CallCompleted(n, incarnation, id, result) => {
                if self.incarnations[n] == incarnation {
                    self.deliver_input(n, Input::CallCompleted { id, result });
                }
            }
            Event::Peer(from, to, incarnation, message) => {
                let from = gorseshore_protocol::ids::NodeId(from as u8);
                self.deliver_input(to, Input::Peer { from, incarnation, message });
            }
            Event::Request(n, incarnation, id, method, path, body) => {
                if self.incarnations[n] == incarnation && self.nodes[n].is_some() {
                    self.deliver_input(n, Input::Request { id, method: method.into(), path, body });
                } else if let Some(Requester::Worker(..)) = self.pending_requests.get(&id) {
                    // Connection refused: the worker tries the next controller.
                    self.at(500, Event::Answered(id, 599, Vec::new()));
                }
            }
            Event::Answered(id, status, body) => self.handle_answer(id, status, body),
            Event::ExtensionRequest(n, incarnation, id, method, path, body) => {
                if self.incarnations[n] == incarnation && self.nodes[n].is_some() {
                    let method = method.into();
                    self.deliver_input(n, Input::ExtensionRequest { id, method, path, token: None, body });
                }
            }
            Event::ExtensionAnswered(id, answer) => self.check_nomad_answer(id, answer),
            Event::SimulateWorkers => {
                self.simulate_workers();
                self.at(self.size.worker_step, Event::SimulateWorkers);
            }
            Event::SimulateUsers => {
                self.simulate_users();
                self.at(300 * MS, Event::SimulateUsers);
            }
            Event::InjectFault if self.size.fleet => self.inject_fleet_fault(),
            Event::InjectFault if self.size.fast_restarts => self.inject_fast_restart(),
            Event::InjectFault if self.size.partial_failures => self.inject_partial_failures(),
            Event::Crash(n) => self.crash(n),
            Event::InjectFault => self.schedule_random_fault(),
            Event::StateServiceRecovers => self.state.end_outage(now),
            Event::RestartLeader => self.restart_leader(),
            Event::UserRequest(n, user_action, j) => self.send_user_request(n, user_action, j),
            Event::StopController(n) => self.terminate(n, scenarios::NEVER * S),
            Event::Outage => {
                self.state.unavailable = true;
                self.at(self.size.cancel_timeout, Event::StateServiceRecovers);
            }
            Event::ProbeControllers => self.probe_controllers(),
            Event::ProbeTimeout(id) => self.probe_ended(id, None),
            Event::UserTimeout(id) => self.close_user_connection(id),
            Event::LowerLimits => self.lower_limits(),
            Event::Idle(n, incarnation) => self.idle(n, incarnation),
            Event::DeferredInput(n, incarnation, input) => {
                if self.incarnations[n] == incarnation {
                    self.deliver_input(n, input);
                }
            }
            Event::LateInput(n, incarnation, input) => {
                if self.incarnations[n] == incarnation {
                    self.deliver_on_time(n, input);
                }
            }
            Event::RepeatedCommand(call) => self.carry_out_again(&call),
            Event::RepeatedCall(call) => self.carry_out_call_again(&call),
            Event::RepeatStarts => self.repeat_starts(),
            Event::Duplicate(n, method, path, body) => {
                let id = RequestId(self.next_request);
                self.next_request += 1;
                self.deliver_input(n, Input::Request { id, method: method.into(), path, body });
            }
        }
    }

    /// A worker carries out a call; returns its answer, or `None` if the machine is gone.
    fn carry_out_worker_call(&mut self, addr: &str, call: &Call) -> Option<(u16, Vec<u8>)> {
        let lease = self.size.lease;
        self.with_machine(addr, |m, f, now| {
            m.enforce_lease(now, lease);
            if call.path == "/status" {
                return (200, serde_json::to_vec(&m.report()).unwrap());
            }
            let d: CommandRequest = serde_json::from_slice(&call.body).unwrap();
            m.apply_command_request(&d, f, now)
        })
    }

    fn execute_call(&mut self, n: usize, incarnation: u64, id: CallId, call: Call) {
        let now = self.now;
        let answer = match &call.target {
            Target::State if self.state_refused_until[n] > now && !call.path.starts_with("/follow") => {
                Some((503, Vec::new()))
            }
            Target::State => {
                let refused = self.state_refused_until[n] > now;
                if refused && call.path.contains("hold_ms=0") {
                    Some((503, Vec::new()))
                } else {
                    let outcome = self.state.request(call.method, &call.path, &call.body, now);
                    self.repeat_write(&call, &outcome);
                    match outcome {
                        Outcome::Answer(status, body) if !refused => Some((status, body)),
                        Outcome::Answer(..) => None,
                        Outcome::Wait { prefix, from, until } => {
                            self.watches.push(Watch { node: n, incarnation, call: id, prefix, from, until });
                            None
                        }
                    }
                }
            }
            Target::Cloud => {
                let answer = self.handle_cloud_call(call.method, &call.path, &call.body);
                self.repeat_cloud_call(&call, answer.0);
                Some(answer)
            }
            Target::Worker(addr) => {
                let addr = addr.clone();
                let hung = self.machines.get(&addr).map_or(0, |m| m.hung_until);
                if hung > now {
                    // Executed when the machine resumes.
                    self.at(hung - now + 500, Event::CallArrives(n, incarnation, id, call));
                    return;
                }
                let out = self.carry_out_worker_call(&addr, &call);
                if call.path == "/do" && matches!(out, Some((200, _))) {
                    self.repeat_command(&call);
                }
                let partition_end = self.machines.get(&addr).map_or(1, |m| self.machine_partition_end(n, m));
                out.filter(|_| partition_end == 0)
            }
        };
        if let Some((status, body)) = answer {
            let d = self.delay();
            self.at(d, Event::CallCompleted(n, incarnation, id, CallResult::Response { status, body }));
        }
    }
}

/// Parses a task id and returns it if the service itself created its job (a Nomad job).
fn nomad_task(task_id: &str) -> Option<TaskId> {
    TaskId::parse(task_id).filter(|t| t.job.is_internal())
}

fn task_profile(jobs: &[Job], task_id: &str) -> Option<TaskProfile> {
    let (j, i) = World::job_of(task_id);
    let job = jobs.get(j).filter(|job| job.submitted && i < job.tasks)?;
    Some(TaskProfile {
        cpus: job.cpus,
        run_us: (!job.service).then_some(job.run_us + job.run_us_step * i as u64),
        tasks: job.tasks,
        checkpoint_us: job.checkpoint_us,
        fails: job.faulty,
    })
    .filter(|f| f.tasks > 0)
}

/// The seeds of a test: the range in the environment variable `name`, such as `0..200`, or
/// `from..to`.
fn seeds(name: &str, from: u64, to: u64) -> std::ops::Range<u64> {
    let given = std::env::var(name).ok();
    match given.as_deref().and_then(|s| s.split_once("..")) {
        Some((a, b)) => a.parse().unwrap()..b.parse().unwrap(),
        None => from..to,
    }
}

/// Starts the logger if `LOG_LEVEL` is set.
fn start_logger() {
    if std::env::var("LOG_LEVEL").is_ok() {
        gorseshore_shell::logger::start(gorseshore_settings::LogFormat::Plain);
    }
}

/// Runs one simulation to its end and returns it for inspection.
fn simulate(seed: u64, fault_free: bool, size: Size) -> World {
    let mut w = World::new(seed, fault_free, size);
    // New jobs come for 150 s. Without faults a job that fits only a machine type without free
    // capacity gets its own machine after 90 s more, one job at a time.
    w.run(if fault_free { size.end_at + 150 * S } else { size.end_at });
    w
}

#[test]
fn all_jobs_are_served_without_faults() {
    for seed in [1, 2] {
        let w = simulate(seed, true, SMALL);
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        for (j, job) in w.jobs.iter().enumerate() {
            let over = job.reported_done || job.aborted_at.is_some();
            assert!(job.accepted && (job.service || over), "seed {seed}: job {j} has not ended");
            if job.service && !over {
                let on = w
                    .machines
                    .values()
                    .flat_map(|m| &m.tasks)
                    .filter(|t| t.is_running() && World::job_of(&t.name).0 == j)
                    .count();
                assert!(
                    on as u32 == job.tasks || job.team == "tight",
                    "seed {seed}: job {j} has {on} replicas"
                );
            }
        }
    }
}

/// Guards against a record that a leader can never write, because the stored value is not its own,
/// holding up all others: a leader once recorded no further machine and no further job end because
/// of one such key.
#[test]
fn an_unwritable_record_delays_no_other() {
    let mut w = World::new(3, true, SMALL);
    // Not readable to any controller, and stored before the first controller starts.
    let keys = ["g/h/host-000000", "g/h/host-000003", "g/p/j-000002/0"];
    let writes: Vec<Value> = keys.iter().map(|k| json!({"put": k, "v": {"not": "ours"}})).collect();
    let m = json!({"when": [], "writes": writes}).to_string();
    w.state.request("POST", "/multi", m.as_bytes(), 0);
    // 30 s: if these records are not skipped, progress takes until the machines behind them are
    // given up.
    w.run(30 * S);
    assert!(w.completed > 5, "{} tasks completed in 30 s", w.completed);
    w.run(SMALL.end_at + 150 * S);
    assert!(w.violations.is_empty(), "{:?}", w.violations);
    let unfinished = w.unfinished_jobs();
    assert!(unfinished.is_empty(), "{:?} have not ended", w.describe(&unfinished));
    assert!(w.completed > 60, "{} tasks completed", w.completed);
}

/// Injects overlapping faults of every kind for 170 s; after the faults end, all arrays must
/// complete.
#[test]
fn random_faults_violate_no_invariant() {
    start_logger();
    let std::ops::Range { start: from, end: to } = seeds("WORLD_SEEDS", 100, 124);
    let mut started = 0;
    // Seeds that once violated an invariant. 186: a controller refused only by the state service
    // never learned of a cancellation. 1145: a standby replica of the leader's placement log lacked
    // assignments made without it.
    for seed in (from..to).chain([186, 1145]) {
        let w = simulate(seed, false, SMALL);
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        started += w.started;
        assert!(w.started > 20, "seed {seed}: only {} tasks started", w.started);
        let unfinished = w.unfinished_jobs();
        assert!(unfinished.len() <= 1, "seed {seed}: {:?} have not ended", w.describe(&unfinished));
    }
    println!("{started} tasks started in {} simulations", to - from);
}

/// The same faults with seven controllers and hundreds of machines.
#[test]
fn random_faults_in_a_large_cluster_violate_no_invariant() {
    for seed in seeds("GROWN_SEEDS", 1, 3) {
        let w = simulate(seed, false, LARGE);
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        // The cluster counts as large only if many tasks ran at a time; if no runnable job is left
        // over, enough machines were rented for them.
        assert!(w.peak_tasks >= 100, "seed {seed}: at most {} tasks ran at a time", w.peak_tasks);
        assert!(w.completed > 300, "seed {seed}: only {} tasks were completed", w.completed);
        let unfinished = w.unfinished_jobs();
        assert!(unfinished.len() <= 1, "seed {seed}: {:?} have not ended", w.describe(&unfinished));
        println!(
            "seed {seed}: {} machines, {} tasks at a time, {} started, {} unfinished, {:.2} of the CPU time used",
            w.rented_at.len(),
            w.peak_tasks,
            w.started,
            unfinished.len(),
            w.used_cpu_us as f64 / w.rented_cpu_us.max(1) as f64
        );
    }
}
