//! A whole site on loopback: state service, cloud and workers as stand-ins, and
//! the real controllers, each in a thread of its own or as a process of a named
//! program. Nothing is kept when the site ends.
use crate::cloud::flavor;
use crate::net::{Handler, call, serve};
use crate::process::{ControllerProcess, TemporaryFolder};
use crate::state::{Outcome, State};
use crate::worker::{Facts, Machine};
use gorseshore_core::guest::Guest;
use gorseshore_core::jobs::description;
use gorseshore_nomad::service::Service;
use gorseshore_protocol::cloud::{Flavor, Flavors, Hire, Hosts, Rental, Rentals};
use gorseshore_protocol::ids::{JobId, TaskId};
use gorseshore_protocol::job::Kind;
use gorseshore_protocol::workers::{CheckinAnswer, Direct};
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
        }
    }
}

const ZONES: [&str; 2] = ["east", "west"];
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
fn platform_settings(controller: usize, addresses: &Addresses, options: &Options) -> String {
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
            cluster[other]
        );
    }
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
         [deployment.machine_limits]\nsockets = 8000\n",
        options.changes, options.value_kb, options.changes_at_once
    );
    text
}

/// The operators' settings of a controller: Nomad's interface has an address of its own.
fn operator_settings(text: &str, listen: Option<SocketAddr>, address: SocketAddr) -> String {
    match listen {
        Some(listen) => text.replace(&format!("\"{listen}\""), &format!("\"{address}\"")),
        None => text.to_owned(),
    }
}

impl Shared {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1_000_000
    }

    /// What a worker knows of a task: its job's record.
    fn facts(&self, piece: &str) -> Option<Facts> {
        let task = TaskId::parse(piece)?;
        let record = self.state.lock().ok()?.value(&format!("g/j/{}", task.job))?;
        let spec = description(JobId(task.job.0), &record)?;
        if task.index >= spec.tasks {
            return None;
        }
        let run = (spec.estimate_s * self.pace * 1e6).max(50_000.0) as u64;
        Some(Facts {
            cpus: spec.need.cpu as f64 / 1000.0,
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
        });
        let state = state_service(&shared)?;
        let cloud = cloud(&shared)?;
        let n = o.controllers;
        let operator = Operator::parse(&o.operator)?;
        // Bound here and handed on: a port that was only found free may be
        // another's, or an outgoing connection's, before its controller starts.
        let bind = || (0..n).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>();
        let addresses =
            |l: &[TcpListener]| l.iter().map(TcpListener::local_addr).collect::<Result<Vec<_>, _>>();
        let (public, peers, guests) = (bind()?, bind()?, bind()?);
        let (users, cluster, nomad) = (addresses(&public)?, addresses(&peers)?, addresses(&guests)?);
        let addresses = Addresses { users, cluster, nomad, state, cloud };
        let folder = if o.programs.is_empty() { None } else { Some(TemporaryFolder::new()?) };
        let mut processes = BTreeMap::new();
        for (i, ((public, cluster), guest)) in public.into_iter().zip(peers).zip(guests).enumerate() {
            let settings = platform_settings(i, &addresses, o);
            if let (Some(program), Some(folder)) = (o.programs.get(&i), &folder) {
                // The process takes the addresses.
                drop((public, cluster, guest));
                let listen = operator.nomad.as_ref().and_then(|s| s.listen);
                let operator = operator_settings(&o.operator, listen, addresses.nomad[i]);
                let settings = folder.write(&format!("n{i}.toml"), &settings)?;
                let operator = folder.write(&format!("n{i}.txtpb"), &operator)?;
                let process = ControllerProcess::start(program, settings, operator)
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
                let guest =
                    guest_settings.map(|s| Box::new(Service::new(s, fastrand::u64(..))) as Box<dyn Guest>);
                if let Err(e) = gorseshore_shell::run_on(sockets, platform, operator, guest) {
                    log::error!("controller {i}: {e}");
                }
            });
        }
        let Addresses { users, mut nomad, .. } = addresses;
        if let Ok(mut nodes) = shared.nodes.lock() {
            nodes.clone_from(&users);
        }
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
            ("GET", "/flavors") => serde_json::to_vec(&Flavors { builds: flavors() }),
            ("POST", "/rentals") => {
                let Ok(h) = serde_json::from_slice::<Hire>(body) else { return (400, Vec::new()) };
                if let Some(hosts) = hires.get(&h.hire) {
                    return (200, serde_json::to_vec(&Hosts { hosts: hosts.clone() }).unwrap_or_default());
                }
                let mut hosts = Vec::new();
                for _ in 0..h.number.min(50) {
                    let name =
                        format!("host-{:06}", hires.values().map(Vec::len).sum::<usize>() + hosts.len());
                    if let Ok(r) = start_machine(&name, &h, &shared) {
                        machines.insert(name.clone(), r);
                        hosts.push(name);
                    }
                }
                hires.insert(h.hire, hosts.clone());
                serde_json::to_vec(&Hosts { hosts })
            }
            ("POST", "/rentals/delete") => {
                let Ok(h) = serde_json::from_slice::<Hosts>(body) else { return (400, Vec::new()) };
                for name in h.hosts {
                    if let Some(r) = machines.remove(&name)
                        && let Ok(mut m) = r.machine.lock()
                    {
                        // Off for good.
                        m.hung_until = u64::MAX;
                        m.tasks.clear();
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
                        build: r.build.clone(),
                        yard: r.zone.clone(),
                        loaners: r.spot,
                        stage: "running".into(),
                        held_s: r.since.elapsed().as_secs_f64(),
                    })
                    .collect();
                let truncated = hosts.len() == 500;
                serde_json::to_vec(&Rentals { hosts, truncated })
            }
            _ => return (404, Vec::new()),
        };
        (200, answer.unwrap_or_default())
    });
    serve(handler)
}

/// Starts a machine: it serves `/do` and `/status`, and reports.
fn start_machine(name: &str, h: &Hire, shared: &Arc<Shared>) -> std::io::Result<Rented> {
    let cpus = flavors().iter().find(|f| f.sku == h.build).map_or(1.0, |f| f.cpus);
    let machine = Machine::new(name, (&h.build, &h.yard, h.loaners), cpus, shared.now());
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
        let Ok(d) = serde_json::from_slice::<Direct>(body) else { return (400, Vec::new()) };
        m.direct(&d, &|piece| at.facts(piece), at.now())
    }))?;
    let (reporter, at) = (machine.clone(), shared.clone());
    std::thread::spawn(move || report(&reporter, &at, addr));
    Ok(Rented {
        machine,
        build: h.build.clone(),
        zone: h.yard.clone(),
        spot: h.loaners,
        addr,
        since: Instant::now(),
    })
}

/// Reports to one controller after the other, as the protocol says.
fn report(machine: &Mutex<Machine>, shared: &Shared, addr: SocketAddr) {
    let mut to = 0;
    let mut last = 0;
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
        let answer = call(nodes[to % nodes.len()], "POST", "/checkin", &body);
        let Ok(mut m) = machine.lock() else { return };
        match answer {
            Some((200, v)) => {
                if let Ok(a) = serde_json::from_value::<CheckinAnswer>(v)
                    && a.baton >= m.baton
                {
                    m.changed |= a.baton > m.baton;
                    m.baton = a.baton;
                    m.lease_from = now;
                    m.execute(&a.orders, &|piece| shared.facts(piece), shared.now());
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
