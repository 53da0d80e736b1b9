//! A complete site on loopback: stand-ins for state service, cloud and workers, and real
//! controllers, each in its own thread or as a process of a given program. Nothing is
//! persisted beyond the site.
use crate::cloud::flavor;
use crate::net::{Handler, KeepAliveConnection, call, free_listener, serve};
use crate::process::{ControllerProcess, TemporaryDirectory};
use crate::soak::history::{MachineView, Recorder};
use crate::state::{Outcome, StateService};
use crate::worker::{Machine, Stage, TaskProfile};
use gorseshore_core::extension::Extension;
use gorseshore_core::jobs::parse_job_spec;
use gorseshore_nomad::service::Service;
use gorseshore_protocol::cloud::{Flavor, Flavors, MachineNames, Rental, RentalRequest, Rentals};
use gorseshore_protocol::ids::{JobId, TaskId};
use gorseshore_protocol::job::Kind;
use gorseshore_protocol::workers::{CommandRequest, HeartbeatResponse};
use gorseshore_settings::{Operator, Platform};
use gorseshore_shell::Listeners;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Configuration of a site.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of controllers; 0 if the caller runs them itself (see
    /// [`Site::set_worker_targets`]).
    pub controllers: usize,
    /// Operator settings in protobuf text format; the listen address of Nomad's interface
    /// in them is replaced.
    pub operator: String,
    /// Teams: name and CPU limit, 0 for no limit.
    pub teams: Vec<(String, f64)>,
    /// Run time of a task in seconds per second of its estimate.
    pub time_scale: f64,
    /// Writes per second that the state service accepts.
    pub writes_per_s: f64,
    /// Longest value in KiB.
    pub max_value_kib: f64,
    /// Most writes in a transaction.
    pub max_txn_writes: usize,
    /// Programs of the controllers that run as separate processes; the others run in
    /// threads of this process.
    pub programs: BTreeMap<usize, PathBuf>,
    /// Socket limit of a controller.
    pub sockets: usize,
    /// Routes each link through a proxy; without one, all components connect directly.
    pub router: Option<Router>,
    /// Records the tasks on workers.
    pub recorder: Option<Arc<Recorder>>,
    /// Controller processes log to files ([`Site::matching_log_lines`]).
    pub log_to_files: bool,
}

/// A network link of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// Users to a controller.
    Users(usize),
    /// Workers to a controller.
    Workers(usize),
    /// A controller to the state service.
    State(usize),
    /// A controller to the cloud.
    Cloud(usize),
    /// A controller to another one.
    Peer {
        /// Index of the connecting controller.
        from: usize,
        /// Index of the controller that it connects to.
        to: usize,
    },
}

type Route = dyn Fn(Link, SocketAddr) -> std::io::Result<SocketAddr> + Send + Sync;

/// Chooses the address through which the target of a link is reached.
#[derive(Clone)]
pub struct Router(Arc<Route>);

impl Router {
    /// A router that calls `route` with a link and the address of its target.
    pub fn new(
        route: impl Fn(Link, SocketAddr) -> std::io::Result<SocketAddr> + Send + Sync + 'static,
    ) -> Self {
        Router(Arc::new(route))
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Router")
    }
}

impl Options {
    fn route(&self, link: Link, target: SocketAddr) -> std::io::Result<SocketAddr> {
        self.router.as_ref().map_or(Ok(target), |router| (router.0)(link, target))
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            controllers: 3,
            operator: String::new(),
            teams: vec![("default".into(), 0.0)],
            time_scale: 0.1,
            writes_per_s: 200.0,
            max_value_kib: 16.0,
            max_txn_writes: 24,
            programs: BTreeMap::new(),
            sockets: 8000,
            router: None,
            recorder: None,
            log_to_files: false,
        }
    }
}

const ZONES: [&str; 2] = ["east", "west"];
/// Time after which a worker gives up waiting for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Lease of a worker, in microseconds.
const WORKER_LEASE_US: u64 = 12_000_000;

/// A rented machine.
struct RentedMachine {
    machine: Arc<Mutex<Machine>>,
    machine_type: String,
    zone: String,
    spot: bool,
    addr: SocketAddr,
    rented_at: Instant,
}

/// State that all components of the site share.
struct Shared {
    start: Instant,
    state: Mutex<StateService>,
    machines: Mutex<BTreeMap<String, RentedMachine>>,
    rentals_by_request: Mutex<BTreeMap<String, Vec<String>>>,
    worker_targets: Mutex<Vec<SocketAddr>>,
    time_scale: f64,
    recorder: Option<Arc<Recorder>>,
}

/// A running site.
pub struct Site {
    shared: Arc<Shared>,
    /// Controllers that are processes; declared before `_directory`, so that they are
    /// killed before it is removed.
    processes: Mutex<BTreeMap<usize, ControllerProcess>>,
    _directory: Option<TemporaryDirectory>,
    /// Address of each controller for users.
    pub user_addresses: Vec<SocketAddr>,
    /// Address of Nomad's interface at each controller; empty if it is disabled.
    pub nomad_addresses: Vec<SocketAddr>,
    /// Address of the state service.
    pub state_address: SocketAddr,
    /// Address of the cloud.
    pub cloud_address: SocketAddr,
}

/// Why a site operation failed.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// An I/O error, for example no free socket.
    #[error("I/O error of the loopback site: {0}")]
    Io(#[from] std::io::Error),
    /// The operator settings or the generated platform settings are invalid.
    #[error("{0}")]
    Settings(#[from] gorseshore_settings::SettingsError),
    /// A program could not be started.
    #[error("{}: {error}", program.display())]
    Program {
        /// The program.
        program: PathBuf,
        /// Cause.
        error: std::io::Error,
    },
    /// The controller does not exist or runs in this process.
    #[error("controller n{0} is not a process of its own")]
    NoProcess(usize),
}

/// Addresses on which the controllers of a site listen, and those of the state service
/// and the cloud.
struct Addresses {
    users: Vec<SocketAddr>,
    cluster: Vec<SocketAddr>,
    nomad: Vec<SocketAddr>,
    state: SocketAddr,
    cloud: SocketAddr,
}

/// Platform settings of a controller, in TOML.
fn platform_settings(controller: usize, addresses: &Addresses, options: &Options) -> std::io::Result<String> {
    let Addresses { users, cluster, state, cloud, .. } = addresses;
    let mut text = format!(
        "host_name = \"n{controller}\"\ndomain = \"{}\"\npublic_addr = \"{}\"\ncluster_listen = \"{}\"\n",
        ZONES[controller % 2],
        users[controller],
        cluster[controller]
    );
    for other in (0..cluster.len()).filter(|other| *other != controller) {
        text += &format!(
            "[[peers]]\nhost_name = \"n{other}\"\ndomain = \"{}\"\npeer_addr = \"{}\"\n",
            ZONES[other % 2],
            options.route(Link::Peer { from: controller, to: other }, cluster[other])?
        );
    }
    let state = options.route(Link::State(controller), *state)?;
    let cloud = options.route(Link::Cloud(controller), *cloud)?;
    text += &format!(
        "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[deployment]\nzones = [\"east\", \"west\"]\n"
    );
    for (name, cpus) in &options.teams {
        text += &format!("[[deployment.teams]]\nname = \"{name}\"\ncpus_max = {cpus:.3}\n");
    }
    text += &format!(
        "[deployment.workers]\nreport_s = 2.0\nlease_s = 12.0\ncancel_s = 30.0\n\
         [deployment.state]\nrps = 2000.0\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\
         [deployment.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n\
         [deployment.machine_limits]\nsockets = {}\n",
        options.writes_per_s, options.max_value_kib, options.max_txn_writes, options.sockets
    );
    Ok(text)
}

/// Operator settings of a controller: `listen`, the address of Nomad's interface, is
/// replaced by the controller's own `address`.
fn operator_settings(text: &str, listen: Option<SocketAddr>, address: SocketAddr) -> String {
    match listen {
        Some(listen) => text.replace(&format!("\"{listen}\""), &format!("\"{address}\"")),
        None => text.to_owned(),
    }
}

impl Shared {
    /// Records the current tasks of a machine.
    fn record_machine(&self, m: &Machine) {
        let Some(recorder) = &self.recorder else { return };
        let id = |name: &str| TaskId::parse(name).map(|task| (task.job.0, task.index));
        let running = m.tasks.iter().filter(|t| t.is_running()).filter_map(|t| id(&t.name)).collect();
        let done = m.tasks.iter().filter(|t| t.stage == Stage::Exited("done"));
        let completed = done.filter_map(|t| id(&t.name)).collect();
        let view = MachineView { machine: &m.name, zone: &m.zone, spot: m.spot };
        recorder.record_machine(view, running, &completed, self.now());
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1_000_000
    }

    /// Profile of a task according to its job's record in the state service.
    fn task_profile(&self, task_name: &str) -> Option<TaskProfile> {
        let task = TaskId::parse(task_name)?;
        let record = self.state.lock().ok()?.value(&format!("g/j/{}", task.job))?;
        let spec = parse_job_spec(JobId(task.job.0), &record)?;
        if task.index >= spec.tasks {
            return None;
        }
        let run = (spec.estimated_runtime_s * self.time_scale * 1e6).max(50_000.0) as u64;
        Some(TaskProfile {
            cpus: spec.task_resources.cpu as f64 / 1000.0,
            run_us: (spec.kind == Kind::Array).then_some(run),
            tasks: spec.tasks,
            checkpoint_us: None,
            fails: spec.image.contains("fails"),
        })
    }
}

impl Site {
    /// Starts a site; returns once all addresses are known.
    pub fn start(options: &Options) -> Result<Site, SiteError> {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            state: Mutex::new(StateService::with_limits(
                options.writes_per_s,
                options.max_txn_writes,
                options.max_value_kib,
            )),
            machines: Mutex::new(BTreeMap::new()),
            rentals_by_request: Mutex::new(BTreeMap::new()),
            worker_targets: Mutex::new(Vec::new()),
            time_scale: options.time_scale,
            recorder: options.recorder.clone(),
        });
        let state = state_service(&shared)?;
        let cloud = cloud(&shared)?;
        let n = options.controllers;
        let operator = Operator::parse(&options.operator)?;
        // Listeners are bound here and passed to the controllers, because a port that was
        // only found free may be taken by another listener or an outgoing connection before
        // its controller starts. A controller process binds its address itself at every
        // start, so that its port must be one that no outgoing connection gets meanwhile.
        let listener = |i| match options.programs.contains_key(&i) {
            true => free_listener(),
            false => TcpListener::bind("127.0.0.1:0"),
        };
        let bind = || (0..n).map(listener).collect::<Result<Vec<_>, _>>();
        let addresses =
            |l: &[TcpListener]| l.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>();
        let (public, peers, extension_listeners) = (bind()?, bind()?, bind()?);
        let (users, cluster, nomad) =
            (addresses(&public)?, addresses(&peers)?, addresses(&extension_listeners)?);
        let addresses = Addresses { users, cluster, nomad, state, cloud };
        let directory = if options.programs.is_empty() { None } else { Some(TemporaryDirectory::new()?) };
        let mut processes = BTreeMap::new();
        for (i, ((public, cluster), extension_listener)) in
            public.into_iter().zip(peers).zip(extension_listeners).enumerate()
        {
            let settings = platform_settings(i, &addresses, options)?;
            if let (Some(program), Some(directory)) = (options.programs.get(&i), &directory) {
                // Releases the addresses, which the process binds itself.
                drop((public, cluster, extension_listener));
                let listen = operator.nomad.as_ref().and_then(|s| s.listen);
                let operator = operator_settings(&options.operator, listen, addresses.nomad[i]);
                let settings = directory.write(&format!("n{i}.toml"), &settings)?;
                let operator = directory.write(&format!("n{i}.txtpb"), &operator)?;
                let log = options.log_to_files.then(|| directory.path(&format!("n{i}.log")));
                let process = ControllerProcess::start(program, settings, operator, log)
                    .map_err(|error| SiteError::Program { program: program.clone(), error })?;
                processes.insert(i, process);
                continue;
            }
            let platform = Platform::parse(&settings)?;
            let mut operator = operator.clone();
            let extension_settings = operator.nomad.as_mut().map(|s| {
                s.listen = Some(addresses.nomad[i]);
                s.clone()
            });
            std::thread::spawn(move || {
                let sockets = Listeners {
                    public,
                    cluster,
                    extension: extension_settings.is_some().then_some(extension_listener),
                };
                let extension = extension_settings
                    .map(|s| Box::new(Service::new(s, fastrand::u64(..))) as Box<dyn Extension>);
                if let Err(e) = gorseshore_shell::run_with_listeners(sockets, platform, operator, extension) {
                    log::error!("controller n{i} failed: {e}");
                }
            });
        }
        let Addresses { users, mut nomad, .. } = addresses;
        let routed = |link: fn(usize) -> Link| -> std::io::Result<Vec<SocketAddr>> {
            users.iter().enumerate().map(|(i, address)| options.route(link(i), *address)).collect()
        };
        if let Ok(mut targets) = shared.worker_targets.lock() {
            *targets = routed(Link::Workers)?;
        }
        let users = routed(Link::Users)?;
        if operator.nomad.is_none() {
            nomad.clear();
        }
        Ok(Site {
            shared,
            processes: Mutex::new(processes),
            _directory: directory,
            user_addresses: users,
            nomad_addresses: nomad,
            state_address: state,
            cloud_address: cloud,
        })
    }

    /// Kills a controller process and starts `program` in its place.
    pub fn replace_controller(&self, controller: usize, program: &Path) -> Result<(), SiteError> {
        let no_process = || SiteError::NoProcess(controller);
        let mut processes = self.processes.lock().map_err(|_| no_process())?;
        let process = processes.get_mut(&controller).ok_or_else(no_process)?;
        let failed = |error| SiteError::Program { program: program.to_owned(), error };
        process.replace(program).map_err(failed)
    }

    fn with_process<T>(
        &self,
        controller: usize,
        act: impl FnOnce(&mut ControllerProcess) -> std::io::Result<T>,
    ) -> Result<T, SiteError> {
        let no_process = || SiteError::NoProcess(controller);
        let mut processes = self.processes.lock().map_err(|_| no_process())?;
        Ok(act(processes.get_mut(&controller).ok_or_else(no_process)?)?)
    }

    /// Kills a controller process with SIGKILL.
    pub fn kill_controller(&self, controller: usize) -> Result<(), SiteError> {
        self.with_process(controller, ControllerProcess::kill)
    }

    /// Starts a killed controller process again.
    pub fn restart_controller(&self, controller: usize) -> Result<(), SiteError> {
        self.with_process(controller, ControllerProcess::restart)
    }

    /// Pauses a controller process with SIGSTOP; no effect on one that was killed.
    pub fn pause_controller(&self, controller: usize) {
        let _ = self.with_process(controller, |process| process.pause(false));
    }

    /// Resumes a paused controller process.
    pub fn resume_controller(&self, controller: usize) {
        let _ = self.with_process(controller, |process| process.pause(true));
    }

    /// The leader according to the state service.
    pub fn leader(&self) -> Option<usize> {
        let record = self.shared.state.lock().ok()?.value("g/leader")?;
        record["node"].as_str().and_then(|name| name.strip_prefix('n')?.parse().ok())
    }

    /// Number of rented machines.
    pub fn machine_count(&self) -> usize {
        self.shared.machines.lock().map_or(0, |machines| machines.len())
    }

    /// Start of the site's clock.
    pub fn start_time(&self) -> Instant {
        self.shared.start
    }

    /// Lines of the controller processes' log files that contain one of `words`.
    pub fn matching_log_lines(&self, words: &[&str]) -> Vec<String> {
        let Ok(processes) = self.processes.lock() else { return Vec::new() };
        processes.values().flat_map(|process| process.matching_log_lines(words)).collect()
    }

    /// Waits until one controller is ready; returns how long it took, or `None` after `limit`.
    pub fn wait_until_controller_ready(&self, controller: usize, limit: Duration) -> Option<Duration> {
        let address = *self.user_addresses.get(controller)?;
        let start = Instant::now();
        while start.elapsed() < limit {
            if call(address, "GET", "/ready", "").is_some_and(|answer| answer.0 == 200) {
                return Some(start.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Waits until every controller is ready; false after `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        loop {
            let up = |a: &SocketAddr| call(*a, "GET", "/ready", "").is_some_and(|r| r.0 == 200);
            if self.user_addresses.iter().all(up) {
                return true;
            }
            if start.elapsed() > limit {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sets the addresses of the controllers that workers send heartbeats to.
    pub fn set_worker_targets(&self, targets: &[SocketAddr]) {
        if let Ok(mut n) = self.shared.worker_targets.lock() {
            *n = targets.to_vec();
        }
    }

    /// Starts an outage of the state service, in which it answers requests with 503 and holds
    /// watches, or ends it.
    pub fn set_state_unavailable(&self, down: bool) {
        let now = self.shared.now();
        if let Ok(mut s) = self.shared.state.lock() {
            match down {
                true => s.unavailable = true,
                false => s.end_outage(now),
            }
        }
    }

    /// Stores keys in the state service as if they had been written long ago.
    pub fn insert_past_keys(&self, keys: impl IntoIterator<Item = (String, serde_json::Value)>) {
        if let Ok(mut s) = self.shared.state.lock() {
            s.insert_past(keys);
        }
    }

    /// Keys of the state service with a prefix.
    pub fn state_keys(&self, prefix: &str) -> Vec<String> {
        self.shared.state.lock().map(|s| s.keys_with_prefix(prefix)).unwrap_or_default()
    }

    /// Names of the tasks that run now, as `j-000412/3`.
    pub fn running_tasks(&self) -> Vec<String> {
        let Ok(machines) = self.shared.machines.lock() else { return Vec::new() };
        let running = |r: &RentedMachine| {
            let m = r.machine.lock().ok()?;
            Some(m.tasks.iter().filter(|t| t.is_running()).map(|t| t.name.clone()).collect::<Vec<_>>())
        };
        machines.values().filter_map(running).flatten().collect()
    }
}

fn state_service(shared: &Arc<Shared>) -> std::io::Result<SocketAddr> {
    let shared = shared.clone();
    serve(Arc::new(move |method, path, body| {
        let fault = || (500, Vec::new());
        let first = match shared.state.lock() {
            Ok(mut s) => s.request(method, path, body, shared.now()),
            Err(_) => return fault(),
        };
        match first {
            Outcome::Answer(status, body) => (status, body),
            Outcome::Wait { prefix, from, until } => loop {
                {
                    let Ok(mut s) = shared.state.lock() else { return fault() };
                    s.expire_leases(shared.now());
                    if !s.unavailable {
                        if let Some(response) = s.watch_response(&prefix, from) {
                            return (200, response);
                        }
                        if shared.now() > until {
                            return (200, s.empty_watch_response());
                        }
                    }
                }
                std::thread::sleep(Duration::from_millis(3));
            },
        }
    }))
}

fn flavors() -> Vec<Flavor> {
    let f = |sku: &str, cpus, hourly| flavor(sku, cpus, hourly, 0.4, 0.3, &ZONES);
    vec![f("small", 4.0, 0.4), f("big", 16.0, 1.5)]
}

fn cloud(shared: &Arc<Shared>) -> std::io::Result<SocketAddr> {
    let shared = shared.clone();
    let handler: Handler = Arc::new(move |method, path, body| {
        let (Ok(mut machines), Ok(mut rentals_by_request)) =
            (shared.machines.lock(), shared.rentals_by_request.lock())
        else {
            return (500, Vec::new());
        };
        let answer = match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/flavors") => serde_json::to_vec(&Flavors { flavors: flavors() }),
            ("POST", "/rentals") => {
                let Ok(h) = serde_json::from_slice::<RentalRequest>(body) else { return (400, Vec::new()) };
                if let Some(hosts) = rentals_by_request.get(&h.request_id) {
                    return (
                        200,
                        serde_json::to_vec(&MachineNames { names: hosts.clone() }).unwrap_or_default(),
                    );
                }
                let mut hosts = Vec::new();
                for _ in 0..h.count.min(50) {
                    let name = format!(
                        "host-{:06}",
                        rentals_by_request.values().map(Vec::len).sum::<usize>() + hosts.len()
                    );
                    if let Ok(r) = start_machine(&name, &h, &shared) {
                        machines.insert(name.clone(), r);
                        hosts.push(name);
                    }
                }
                rentals_by_request.insert(h.request_id, hosts.clone());
                serde_json::to_vec(&MachineNames { names: hosts })
            }
            ("POST", "/rentals/delete") => {
                let Ok(h) = serde_json::from_slice::<MachineNames>(body) else { return (400, Vec::new()) };
                for name in h.names {
                    if let Some(r) = machines.remove(&name)
                        && let Ok(mut m) = r.machine.lock()
                    {
                        // Stops the machine for good.
                        m.hung_until = u64::MAX;
                        m.tasks.clear();
                        shared.record_machine(&m);
                    }
                }
                return (200, b"{}".to_vec());
            }
            ("GET", "/rentals") => {
                let from = path.split_once("from=").map_or("", |x| x.1.split('&').next().unwrap_or(""));
                let later = machines.iter().filter(|(name, _)| name.as_str() > from);
                let hosts: Vec<Rental> = later
                    .take(500)
                    .map(|(name, r)| Rental {
                        name: name.clone(),
                        addr: r.addr.to_string(),
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        state: "running".into(),
                        age_s: r.rented_at.elapsed().as_secs_f64(),
                    })
                    .collect();
                let truncated = hosts.len() == 500;
                serde_json::to_vec(&Rentals { machines: hosts, truncated })
            }
            _ => return (404, Vec::new()),
        };
        (200, answer.unwrap_or_default())
    });
    serve(handler)
}

/// Starts a machine, which serves `/do` and `/status` and sends heartbeats.
fn start_machine(name: &str, h: &RentalRequest, shared: &Arc<Shared>) -> std::io::Result<RentedMachine> {
    let cpus = flavors().iter().find(|f| f.name == h.machine_type).map_or(1.0, |f| f.cpus);
    let machine = Machine::new(name, (&h.machine_type, &h.zone, h.spot), cpus, shared.now());
    let machine = Arc::new(Mutex::new(machine));
    let (served_machine, server_shared) = (machine.clone(), shared.clone());
    let addr = serve(Arc::new(move |_, path, body| {
        let Ok(mut m) = served_machine.lock() else { return (500, Vec::new()) };
        if m.hung_until > 0 {
            // The machine is deleted.
            return (503, Vec::new());
        }
        if path == "/status" {
            return (200, serde_json::to_vec(&m.report()).unwrap_or_default());
        }
        let Ok(d) = serde_json::from_slice::<CommandRequest>(body) else { return (400, Vec::new()) };
        let answer = m.apply_command_request(
            &d,
            &|task_name| server_shared.task_profile(task_name),
            server_shared.now(),
        );
        server_shared.record_machine(&m);
        answer
    }))?;
    let (reporting_machine, reporter_shared) = (machine.clone(), shared.clone());
    std::thread::spawn(move || run_heartbeats(&reporting_machine, &reporter_shared, addr));
    Ok(RentedMachine {
        machine,
        machine_type: h.machine_type.clone(),
        zone: h.zone.clone(),
        spot: h.spot,
        addr,
        rented_at: Instant::now(),
    })
}

/// Sends heartbeats as the protocol requires: to the controller that a 421 response names,
/// otherwise to the next one after a failure.
fn run_heartbeats(machine: &Mutex<Machine>, shared: &Shared, addr: SocketAddr) {
    let mut target = 0;
    let mut last_sent = 0;
    let mut connection = KeepAliveConnection::default();
    loop {
        std::thread::sleep(Duration::from_millis(40));
        let now = shared.now();
        let body = {
            let Ok(mut m) = machine.lock() else { return };
            if m.hung_until > 0 {
                return;
            }
            m.enforce_lease(now, WORKER_LEASE_US);
            m.advance(&|task_name| shared.task_profile(task_name), now);
            shared.record_machine(&m);
            let due = now >= last_sent + 2_000_000 || m.has_changes && now >= last_sent + 500_000;
            if !due {
                continue;
            }
            m.has_changes = false;
            let mut r = m.report();
            r.addr = addr.to_string();
            serde_json::to_string(&r).unwrap_or_default()
        };
        last_sent = now;
        let targets = shared.worker_targets.lock().map(|n| n.clone()).unwrap_or_default();
        if targets.is_empty() {
            continue;
        }
        let answer =
            connection.call(targets[target % targets.len()], "POST", "/checkin", &body, HEARTBEAT_TIMEOUT);
        let Ok(mut m) = machine.lock() else { return };
        match answer {
            Some((200, v)) => {
                if let Ok(a) = serde_json::from_value::<HeartbeatResponse>(v)
                    && a.fencing_token >= m.fencing_token
                {
                    m.has_changes |= a.fencing_token > m.fencing_token;
                    m.fencing_token = a.fencing_token;
                    m.lease_start = now;
                    m.execute(&a.commands, &|task_name| shared.task_profile(task_name), shared.now());
                    shared.record_machine(&m);
                }
            }
            Some((421, v)) => {
                let holder = v["foreman"].as_str().and_then(|s| s[1..].parse::<usize>().ok());
                target = holder.filter(|n| *n != target).unwrap_or(target + 1) % targets.len();
                last_sent = now.saturating_sub(1_800_000);
            }
            _ => {
                target = (target + 1) % targets.len();
                last_sent = now.saturating_sub(1_000_000);
            }
        }
    }
}
