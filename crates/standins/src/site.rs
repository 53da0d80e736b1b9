//! A whole site on loopback: state service, cloud and workers as stand-ins, and
//! the real controllers, each in a thread of its own or as a process of a named
//! program. Nothing is kept when the site ends.
use crate::cloud::flavor;
use crate::net::{Handler, KeptConnection, call, free_address, serve};
use crate::process::{ControllerProcess, TemporaryFolder};
use crate::soak::history::{MachineView, Recorder};
use crate::state::{Outcome, State};
use crate::worker::{Facts, Machine, Stage};
use gorseshore_core::extension::Extension;
use gorseshore_core::jobs::parse_job_spec;
use gorseshore_nomad::service::Service;
use gorseshore_protocol::cloud::{Flavor, Flavors, MachineNames, Rental, RentalRequest, Rentals};
use gorseshore_protocol::ids::{JobId, TaskId};
use gorseshore_protocol::job::Kind;
use gorseshore_protocol::workers::{CommandRequest, HeartbeatResponse};
use gorseshore_settings::{Operator, Platform};
use gorseshore_shell::Sockets;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a site is made of.
#[derive(Debug, Clone)]
pub struct Options {
    /// Controllers; none if they are processes of their own (see [`Site::report_to`]).
    pub controllers: usize,
    /// The operators' settings; the address of the interface is replaced.
    pub operator: String,
    /// Teams: name and most CPUs, 0 for no limit.
    pub teams: Vec<(String, f64)>,
    /// Seconds that a second of a task's estimate takes.
    pub pace: f64,
    /// Changes a second of the state service.
    pub changes: f64,
    /// Longest value in KiB, and most changes at once.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub changes_at_once: usize,
    /// Programs of those controllers that are processes of their own; the others run
    /// in this process.
    pub programs: BTreeMap<usize, PathBuf>,
    /// Sockets of a controller.
    pub sockets: usize,
    /// Puts something on each link; without one all speak to each other directly.
    pub router: Option<Router>,
    /// Sees what workers do.
    pub recorder: Option<Arc<Recorder>>,
    /// Processes' logs are kept in files ([`Site::logged`]).
    pub keep_logs: bool,
}

/// A link of a site.
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
        /// Who connects.
        from: usize,
        /// To whom.
        to: usize,
    },
}

type Route = dyn Fn(Link, SocketAddr) -> std::io::Result<SocketAddr> + Send + Sync;

/// Names the address by which a link's target is reached.
#[derive(Clone)]
pub struct Router(Arc<Route>);

impl Router {
    /// A router that asks `route`.
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
            pace: 0.1,
            changes: 200.0,
            value_kb: 16.0,
            changes_at_once: 24,
            programs: BTreeMap::new(),
            sockets: 8000,
            router: None,
            recorder: None,
            keep_logs: false,
        }
    }
}

const ZONES: [&str; 2] = ["east", "west"];
/// A worker gives an answer up after this.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// A worker's lease.
const LEASE: u64 = 12_000_000;

/// A machine that was rented.
struct Rented {
    machine: Arc<Mutex<Machine>>,
    build: String,
    zone: String,
    spot: bool,
    addr: SocketAddr,
    since: Instant,
}

/// What all parts of the site share.
struct Shared {
    start: Instant,
    state: Mutex<State>,
    machines: Mutex<BTreeMap<String, Rented>>,
    hires: Mutex<BTreeMap<String, Vec<String>>>,
    nodes: Mutex<Vec<SocketAddr>>,
    pace: f64,
    recorder: Option<Arc<Recorder>>,
}

/// A running site.
pub struct Site {
    shared: Arc<Shared>,
    /// Controllers that are processes; they end before their folder goes.
    processes: Mutex<BTreeMap<usize, ControllerProcess>>,
    _folder: Option<TemporaryFolder>,
    /// Users' addresses of the controllers.
    pub users: Vec<SocketAddr>,
    /// Addresses of Nomad's interface; empty if it is off.
    pub nomad: Vec<SocketAddr>,
    /// The state service.
    pub state: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
}

/// What went wrong at the start.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// A socket could not be had.
    #[error("no socket on loopback: {0}")]
    Io(#[from] std::io::Error),
    /// The operators' settings are faulty.
    #[error("{0}")]
    Settings(#[from] gorseshore_settings::SettingsError),
    /// A program could not be started.
    #[error("{}: {error}", program.display())]
    Program {
        /// The program.
        program: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// There is no such controller, or it runs in this process.
    #[error("controller n{0} is not a process of its own")]
    NoProcess(usize),
}

/// Where the controllers of a site listen, and whom they ask.
struct Addresses {
    users: Vec<SocketAddr>,
    cluster: Vec<SocketAddr>,
    nomad: Vec<SocketAddr>,
    state: SocketAddr,
    cloud: SocketAddr,
}

/// The platform's settings of a controller.
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
        options.changes, options.value_kb, options.changes_at_once, options.sockets
    );
    Ok(text)
}

/// The operators' settings of a controller: Nomad's interface has an address of its own.
fn operator_settings(text: &str, listen: Option<SocketAddr>, address: SocketAddr) -> String {
    match listen {
        Some(listen) => text.replace(&format!("\"{listen}\""), &format!("\"{address}\"")),
        None => text.to_owned(),
    }
}

impl Shared {
    /// Tells of a machine's tasks, which may have changed.
    fn record(&self, m: &Machine) {
        let Some(recorder) = &self.recorder else { return };
        let id = |name: &str| TaskId::parse(name).map(|task| (task.job.0, task.index));
        let on = m.tasks.iter().filter(|t| t.on()).filter_map(|t| id(&t.name)).collect();
        let done = m.tasks.iter().filter(|t| t.stage == Stage::Exited("done"));
        let completed = done.filter_map(|t| id(&t.name)).collect();
        let view = MachineView { machine: &m.name, zone: &m.zone, spot: m.spot };
        recorder.machine(view, on, &completed, self.now());
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1_000_000
    }

    /// What a worker knows of a task: its job's record.
    fn facts(&self, piece: &str) -> Option<Facts> {
        let task = TaskId::parse(piece)?;
        let record = self.state.lock().ok()?.value(&format!("g/j/{}", task.job))?;
        let spec = parse_job_spec(JobId(task.job.0), &record)?;
        if task.index >= spec.tasks {
            return None;
        }
        let run = (spec.estimated_runtime_s * self.pace * 1e6).max(50_000.0) as u64;
        Some(Facts {
            cpus: spec.task_resources.cpu as f64 / 1000.0,
            run_us: (spec.kind == Kind::Array).then_some(run),
            tasks: spec.tasks,
            save_us: None,
            fails: spec.image.contains("fails"),
        })
    }
}

impl Site {
    /// Starts it; returns once the addresses are known.
    pub fn start(o: &Options) -> Result<Site, SiteError> {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            state: Mutex::new(State::limited(o.changes, o.changes_at_once, o.value_kb)),
            machines: Mutex::new(BTreeMap::new()),
            hires: Mutex::new(BTreeMap::new()),
            nodes: Mutex::new(Vec::new()),
            pace: o.pace,
            recorder: o.recorder.clone(),
        });
        let state = state_service(&shared)?;
        let cloud = cloud(&shared)?;
        let n = o.controllers;
        let operator = Operator::parse(&o.operator)?;
        // Bound here and handed on: a port that was only found free may be
        // another's, or an outgoing connection's, before its controller starts.
        // A process of its own has to get its address again whenever it starts: one that no
        // outgoing connection is given meanwhile.
        let listener = |i| match o.programs.contains_key(&i) {
            true => TcpListener::bind(free_address()?),
            false => TcpListener::bind("127.0.0.1:0"),
        };
        let bind = || (0..n).map(listener).collect::<Result<Vec<_>, _>>();
        let addresses =
            |l: &[TcpListener]| l.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>();
        let (public, peers, guests) = (bind()?, bind()?, bind()?);
        let (users, cluster, nomad) = (addresses(&public)?, addresses(&peers)?, addresses(&guests)?);
        let addresses = Addresses { users, cluster, nomad, state, cloud };
        let folder = if o.programs.is_empty() { None } else { Some(TemporaryFolder::new()?) };
        let mut processes = BTreeMap::new();
        for (i, ((public, cluster), guest)) in public.into_iter().zip(peers).zip(guests).enumerate() {
            let settings = platform_settings(i, &addresses, o)?;
            if let (Some(program), Some(folder)) = (o.programs.get(&i), &folder) {
                // The process takes the addresses.
                drop((public, cluster, guest));
                let listen = operator.nomad.as_ref().and_then(|s| s.listen);
                let operator = operator_settings(&o.operator, listen, addresses.nomad[i]);
                let settings = folder.write(&format!("n{i}.toml"), &settings)?;
                let operator = folder.write(&format!("n{i}.txtpb"), &operator)?;
                let log = o.keep_logs.then(|| folder.path(&format!("n{i}.log")));
                let process = ControllerProcess::start(program, settings, operator, log)
                    .map_err(|error| SiteError::Program { program: program.clone(), error })?;
                processes.insert(i, process);
                continue;
            }
            let platform = Platform::parse(&settings)?;
            let mut operator = operator.clone();
            let guest_settings = operator.nomad.as_mut().map(|s| {
                s.listen = Some(addresses.nomad[i]);
                s.clone()
            });
            std::thread::spawn(move || {
                let sockets = Sockets { public, cluster, guest: guest_settings.is_some().then_some(guest) };
                let guest = guest_settings
                    .map(|s| Box::new(Service::new(s, fastrand::u64(..))) as Box<dyn Extension>);
                if let Err(e) = gorseshore_shell::run_on(sockets, platform, operator, guest) {
                    log::error!("controller {i}: {e}");
                }
            });
        }
        let Addresses { users, mut nomad, .. } = addresses;
        let routed = |link: fn(usize) -> Link| -> std::io::Result<Vec<SocketAddr>> {
            users.iter().enumerate().map(|(i, address)| o.route(link(i), *address)).collect()
        };
        if let Ok(mut nodes) = shared.nodes.lock() {
            *nodes = routed(Link::Workers)?;
        }
        let users = routed(Link::Users)?;
        if operator.nomad.is_none() {
            nomad.clear();
        }
        Ok(Site { shared, processes: Mutex::new(processes), _folder: folder, users, nomad, state, cloud })
    }

    /// Ends a controller that is a process and starts `program` in its place.
    pub fn roll(&self, controller: usize, program: &Path) -> Result<(), SiteError> {
        let no_process = || SiteError::NoProcess(controller);
        let mut processes = self.processes.lock().map_err(|_| no_process())?;
        let process = processes.get_mut(&controller).ok_or_else(no_process)?;
        let failed = |error| SiteError::Program { program: program.to_owned(), error };
        process.roll(program).map_err(failed)
    }

    fn process<T>(
        &self,
        controller: usize,
        act: impl FnOnce(&mut ControllerProcess) -> std::io::Result<T>,
    ) -> Result<T, SiteError> {
        let no_process = || SiteError::NoProcess(controller);
        let mut processes = self.processes.lock().map_err(|_| no_process())?;
        Ok(act(processes.get_mut(&controller).ok_or_else(no_process)?)?)
    }

    /// Ends a controller that is a process, without warning.
    pub fn end_controller(&self, controller: usize) -> Result<(), SiteError> {
        self.process(controller, ControllerProcess::end)
    }

    /// Starts a controller again that was ended.
    pub fn start_controller(&self, controller: usize) -> Result<(), SiteError> {
        self.process(controller, ControllerProcess::start_again)
    }

    /// Stops a controller's process where it stands; one that has ended stays so.
    pub fn pause_controller(&self, controller: usize) {
        let _ = self.process(controller, |process| process.pause(false));
    }

    /// Lets it go on.
    pub fn resume_controller(&self, controller: usize) {
        let _ = self.process(controller, |process| process.pause(true));
    }

    /// Who leads, by the state service.
    pub fn leader(&self) -> Option<usize> {
        let record = self.shared.state.lock().ok()?.value("g/leader")?;
        record["node"].as_str().and_then(|name| name.strip_prefix('n')?.parse().ok())
    }

    /// Machines that are rented.
    pub fn machines(&self) -> usize {
        self.shared.machines.lock().map_or(0, |machines| machines.len())
    }

    /// When the site's clock began.
    pub fn started(&self) -> Instant {
        self.shared.start
    }

    /// Lines of the processes' logs with one of these words.
    pub fn logged(&self, words: &[&str]) -> Vec<String> {
        let Ok(processes) = self.processes.lock() else { return Vec::new() };
        processes.values().flat_map(|process| process.logged(words)).collect()
    }

    /// Waits until one controller is ready; how long it took, or nothing after `limit`.
    pub fn controller_ready(&self, controller: usize, limit: Duration) -> Option<Duration> {
        let address = *self.users.get(controller)?;
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
    pub fn ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        loop {
            let up = |a: &SocketAddr| call(*a, "GET", "/ready", "").is_some_and(|r| r.0 == 200);
            if self.users.iter().all(up) {
                return true;
            }
            if start.elapsed() > limit {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Names the controllers that workers report to.
    pub fn report_to(&self, nodes: &[SocketAddr]) {
        if let Ok(mut n) = self.shared.nodes.lock() {
            *n = nodes.to_vec();
        }
    }

    /// Switches the state service off (503 to everybody) or on again.
    pub fn state_down(&self, down: bool) {
        let now = self.shared.now();
        if let Ok(mut s) = self.shared.state.lock() {
            match down {
                true => s.down = true,
                false => s.recover(now),
            }
        }
    }

    /// Keys of the state service with a prefix, as they are.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.state.lock().map(|s| s.names(prefix)).unwrap_or_default()
    }

    /// Tasks on machines now: names as `j-000412/3`.
    pub fn running(&self) -> Vec<String> {
        let Ok(machines) = self.shared.machines.lock() else { return Vec::new() };
        let on = |r: &Rented| {
            let m = r.machine.lock().ok()?;
            Some(m.tasks.iter().filter(|t| t.on()).map(|t| t.name.clone()).collect::<Vec<_>>())
        };
        machines.values().filter_map(on).flatten().collect()
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
                    s.expire(shared.now());
                    if !s.down {
                        if let Some(news) = s.news(&prefix, from) {
                            return (200, news);
                        }
                        if shared.now() > until {
                            return (200, s.no_news());
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
        let (Ok(mut machines), Ok(mut hires)) = (shared.machines.lock(), shared.hires.lock()) else {
            return (500, Vec::new());
        };
        let answer = match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/flavors") => serde_json::to_vec(&Flavors { flavors: flavors() }),
            ("POST", "/rentals") => {
                let Ok(h) = serde_json::from_slice::<RentalRequest>(body) else { return (400, Vec::new()) };
                if let Some(hosts) = hires.get(&h.request_id) {
                    return (
                        200,
                        serde_json::to_vec(&MachineNames { names: hosts.clone() }).unwrap_or_default(),
                    );
                }
                let mut hosts = Vec::new();
                for _ in 0..h.count.min(50) {
                    let name =
                        format!("host-{:06}", hires.values().map(Vec::len).sum::<usize>() + hosts.len());
                    if let Ok(r) = start_machine(&name, &h, &shared) {
                        machines.insert(name.clone(), r);
                        hosts.push(name);
                    }
                }
                hires.insert(h.request_id, hosts.clone());
                serde_json::to_vec(&MachineNames { names: hosts })
            }
            ("POST", "/rentals/delete") => {
                let Ok(h) = serde_json::from_slice::<MachineNames>(body) else { return (400, Vec::new()) };
                for name in h.names {
                    if let Some(r) = machines.remove(&name)
                        && let Ok(mut m) = r.machine.lock()
                    {
                        // Off for good.
                        m.hung_until = u64::MAX;
                        m.tasks.clear();
                        shared.record(&m);
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
                        machine_type: r.build.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        state: "running".into(),
                        age_s: r.since.elapsed().as_secs_f64(),
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

/// Starts a machine: it serves `/do` and `/status`, and reports.
fn start_machine(name: &str, h: &RentalRequest, shared: &Arc<Shared>) -> std::io::Result<Rented> {
    let cpus = flavors().iter().find(|f| f.name == h.machine_type).map_or(1.0, |f| f.cpus);
    let machine = Machine::new(name, (&h.machine_type, &h.zone, h.spot), cpus, shared.now());
    let machine = Arc::new(Mutex::new(machine));
    let (direct, at) = (machine.clone(), shared.clone());
    let addr = serve(Arc::new(move |_, path, body| {
        let Ok(mut m) = direct.lock() else { return (500, Vec::new()) };
        if m.hung_until > 0 {
            // Deleted: it answers nobody.
            return (503, Vec::new());
        }
        if path == "/status" {
            return (200, serde_json::to_vec(&m.report()).unwrap_or_default());
        }
        let Ok(d) = serde_json::from_slice::<CommandRequest>(body) else { return (400, Vec::new()) };
        let answer = m.direct(&d, &|piece| at.facts(piece), at.now());
        at.record(&m);
        answer
    }))?;
    let (reporter, at) = (machine.clone(), shared.clone());
    std::thread::spawn(move || report(&reporter, &at, addr));
    Ok(Rented {
        machine,
        build: h.machine_type.clone(),
        zone: h.zone.clone(),
        spot: h.spot,
        addr,
        since: Instant::now(),
    })
}

/// Reports to one controller after the other, as the protocol says.
fn report(machine: &Mutex<Machine>, shared: &Shared, addr: SocketAddr) {
    let mut to = 0;
    let mut last = 0;
    let mut connection = KeptConnection::default();
    loop {
        std::thread::sleep(Duration::from_millis(40));
        let now = shared.now();
        let body = {
            let Ok(mut m) = machine.lock() else { return };
            if m.hung_until > 0 {
                return;
            }
            m.check_lease(now, LEASE);
            m.advance(&|piece| shared.facts(piece), now);
            shared.record(&m);
            let due = now >= last + 2_000_000 || m.changed && now >= last + 500_000;
            if !due {
                continue;
            }
            m.changed = false;
            let mut r = m.report();
            r.addr = addr.to_string();
            serde_json::to_string(&r).unwrap_or_default()
        };
        last = now;
        let nodes = shared.nodes.lock().map(|n| n.clone()).unwrap_or_default();
        if nodes.is_empty() {
            continue;
        }
        let answer = connection.call(nodes[to % nodes.len()], "POST", "/checkin", &body, REPORT_TIMEOUT);
        let Ok(mut m) = machine.lock() else { return };
        match answer {
            Some((200, v)) => {
                if let Ok(a) = serde_json::from_value::<HeartbeatResponse>(v)
                    && a.fencing_token >= m.baton
                {
                    m.changed |= a.fencing_token > m.baton;
                    m.baton = a.fencing_token;
                    m.lease_from = now;
                    m.execute(&a.commands, &|piece| shared.facts(piece), shared.now());
                    shared.record(&m);
                }
            }
            Some((421, v)) => {
                let named = v["foreman"].as_str().and_then(|s| s[1..].parse::<usize>().ok());
                to = named.filter(|n| *n != to).unwrap_or(to + 1) % nodes.len();
                last = now.saturating_sub(1_800_000);
            }
            _ => {
                to = (to + 1) % nodes.len();
                last = now.saturating_sub(1_000_000);
            }
        }
    }
}
