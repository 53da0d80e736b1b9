//! A site on loopback: the stand-ins, and the controllers as separate processes, started with the
//! command of the deploy file.
use crate::cloud::{Cloud, Flavor};
use crate::http;
use crate::links::Links;
use crate::record::Record;
use crate::state::{Limits, State};
use crate::worker::Yard;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

/// The settings of a small deployment.
pub struct Plan {
    pub name: &'static str,
    pub zones: &'static [&'static str],
    /// Zones of the controllers.
    pub nodes: &'static [&'static str],
    pub teams: &'static [(&'static str, f64, f64)],
    pub state: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub clock_off_ms: f64,
    pub ram_mb: f64,
    pub sockets: u32,
    pub flavors: Vec<Flavor>,
    /// The operators' settings, with NOMAD for the address of Nomad's interface.
    pub operator: Option<String>,
    /// The controller whose links with the others can be cut.
    pub cut_node: Option<usize>,
}

/// phoolbari-kolkata, as DEPLOY and the brief state it; machines boot in a shorter time than
/// stated, which the protocol allows ("at times machines are up within a second or two").
pub fn kolkata(teams: &'static [(&'static str, f64, f64)]) -> Plan {
    Plan {
        name: "phoolbari-kolkata",
        zones: &["howrah", "saltlake"],
        nodes: &["howrah", "saltlake", "howrah"],
        teams,
        state: Limits { rps: 200.0, write_rps: 80.0, value_kb: 16.0, txn_ops: 24 },
        cloud_rps: 3.0,
        list_lag_s: 6.0,
        report_s: 2.5,
        lease_s: 14.0,
        cancel_s: 34.0,
        clock_off_ms: 100.0,
        ram_mb: 56.0,
        sockets: 1500,
        flavors: vec![
            Flavor {
                sku: "kuri",
                cpus: 8.0,
                memory_gb: 64.0,
                cache_gb: 40.0,
                pull_gb_per_s: 0.6,
                hourly: 0.7,
                spot_price: 0.26,
                boot_s: 1.5,
                stock: vec![("howrah", 10, 8), ("saltlake", 10, 10)],
            },
            Flavor {
                sku: "mala",
                cpus: 32.0,
                memory_gb: 128.0,
                cache_gb: 40.0,
                pull_gb_per_s: 0.3,
                hourly: 2.05,
                spot_price: 0.83,
                boot_s: 1.5,
                stock: vec![("howrah", 2, 3), ("saltlake", 2, 3)],
            },
        ],
        operator: None,
        cut_node: None,
    }
}

struct Node {
    name: String,
    settings: PathBuf,
    operator: Option<PathBuf>,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site {
    pub record: Record,
    pub state: State,
    pub shared: Arc<Yard>,
    pub names: Vec<String>,
    /// Addresses for users and workers.
    pub users: Vec<SocketAddr>,
    /// Addresses of Nomad's interface.
    pub nomad: Vec<SocketAddr>,
    nodes: Mutex<Vec<Node>>,
    links: Links,
    memory_ends: AtomicUsize,
    over: AtomicBool,
    root: PathBuf,
    dir: PathBuf,
}

fn free_address() -> std::io::Result<SocketAddr> {
    // Below the range of outgoing connections, so that none takes the port meanwhile.
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 18_000 + (std::process::id() % 400) as u16 * 30;
    for _ in 0..3000 {
        let port = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        if let Ok(l) = TcpListener::bind(("127.0.0.1", port)) {
            return l.local_addr();
        }
    }
    Err(std::io::Error::other("no free port"))
}

/// Program and arguments of `run` in the deploy file.
fn run_command(root: &Path) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).ok()?;
    let line = text.lines().find(|l| l.trim_start().starts_with("run"))?;
    let value = line.split_once('=')?.1.trim().trim_matches('"');
    Some(value.split_whitespace().map(str::to_owned).collect())
}

impl Site {
    pub fn start(root: &Path, plan: &Plan, record: &Record) -> std::io::Result<Arc<Site>> {
        let count = plan.nodes.len();
        let dir = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let (state, state_addrs) = State::start(count, plan.state)?;
        let names: Vec<String> = (0..count).map(|i| format!("bari-{i}")).collect();
        let mut users = Vec::new();
        let mut cluster = Vec::new();
        let mut nomad = Vec::new();
        for _ in 0..count {
            users.push(free_address()?);
            cluster.push(free_address()?);
            nomad.push(free_address()?);
        }
        let links = Links::default();
        let peer_address = |i: usize, j: usize| match plan.cut_node {
            Some(node) if node == i || node == j => links.proxy((i, j), cluster[j]),
            _ => Ok(cluster[j]),
        };
        let shared = Arc::new(Yard {
            zones: plan.nodes.iter().map(|z| (*z).to_owned()).collect(),
            pids: Mutex::new(vec![0; count]),
            partition: AtomicBool::new(false),
            reports_to: Mutex::new(BTreeMap::new()),
            profiles: Mutex::new(BTreeMap::new()),
            made: Mutex::new(None),
            nodes: names.iter().cloned().zip(users.iter().copied()).collect(),
            stays: Mutex::new(Vec::new()),
            log: record.clone(),
            report: Duration::from_secs_f64(plan.report_s),
            lease: Duration::from_secs_f64(plan.lease_s),
        });
        let lag = Duration::from_secs_f64(plan.list_lag_s);
        let cloud_addr = Cloud::start(plan.flavors.clone(), lag, shared.clone())?;
        let zones: Vec<String> = plan.zones.iter().map(|z| format!("\"{z}\"")).collect();
        let mut nodes = Vec::new();
        for i in 0..count {
            let mut text = format!(
                "host_name = \"{}\"\ndomain = \"{}\"\npublic_addr = \"{}\"\ncluster_listen = \"{}\"\n",
                names[i], plan.nodes[i], users[i], cluster[i]
            );
            for j in (0..count).filter(|j| *j != i) {
                text += &format!(
                    "[[peers]]\nhost_name = \"{}\"\ndomain = \"{}\"\npeer_addr = \"{}\"\n",
                    names[j],
                    plan.nodes[j],
                    peer_address(i, j)?
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{cloud_addr}\"\nstate = \"{}\"\n[deployment]\nnodes = {count}\nzones = [{}]\nclock_off_ms = {:.1}\n",
                state_addrs[i],
                zones.join(", "),
                plan.clock_off_ms
            );
            for (team, cpus, max) in plan.teams {
                text += &format!(
                    "[[deployment.teams]]\nname = \"{team}\"\ncpus = {cpus:.1}\ncpus_max = {max:.1}\ngpus = 0.0\ngpus_max = 0.0\n"
                );
            }
            text += &format!(
                "[deployment.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = {:.1}\n\
                 [deployment.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\
                 [deployment.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n\
                 [deployment.machine_limits]\ncpu = 0.12\nram_mb = {:.1}\nsockets = {}\n",
                plan.report_s,
                plan.lease_s,
                plan.cancel_s,
                plan.state.rps,
                plan.state.write_rps,
                plan.state.value_kb,
                plan.state.txn_ops,
                plan.cloud_rps,
                plan.list_lag_s,
                plan.ram_mb,
                plan.sockets
            );
            let settings = dir.join(format!("{}.toml", names[i]));
            std::fs::write(&settings, text)?;
            let operator = match &plan.operator {
                Some(text) => {
                    let file = dir.join(format!("{}.txtpb", names[i]));
                    std::fs::write(&file, text.replace("NOMAD", &nomad[i].to_string()))?;
                    Some(file)
                }
                None => None,
            };
            let log = dir.join(format!("{}.log", names[i]));
            nodes.push(Node { name: names[i].clone(), settings, operator, log, child: None });
        }
        let site = Arc::new(Site {
            record: record.clone(),
            state,
            shared,
            names,
            users,
            nomad,
            nodes: Mutex::new(nodes),
            links,
            memory_ends: AtomicUsize::new(0),
            over: AtomicBool::new(false),
            root: root.to_owned(),
            dir,
        });
        for i in 0..count {
            site.start_node(i)?;
        }
        Ok(site)
    }

    /// Starts a controller with the deploy file's command.
    pub fn start_node(&self, i: usize) -> std::io::Result<()> {
        let command = run_command(&self.root).ok_or_else(|| std::io::Error::other("deploy/service.toml"))?;
        let mut nodes = self.nodes.lock().unwrap();
        if self.over.load(Ordering::Relaxed) {
            return Ok(());
        }
        let node = &mut nodes[i];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&node.log)?;
        let mut c = Command::new(self.root.join(&command[0]));
        c.args(&command[1..]).arg(&node.settings).current_dir(&self.dir);
        c.env("LOG_LEVEL", "info").stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        match &node.operator {
            Some(file) => c.env("GORSESHORE_OPERATOR_CONFIG", file),
            None => c.env_remove("GORSESHORE_OPERATOR_CONFIG"),
        };
        // The controller ends with this process, however that ends.
        unsafe {
            c.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let child = c.spawn()?;
        self.shared.pids.lock().unwrap()[i] = child.id();
        node.child = Some(child);
        self.record.write(&format!("controller {} started", node.name));
        Ok(())
    }

    /// The zone of a controller can't reach the others, or can again: controllers and machines.
    pub fn partition(&self, node: usize, cut: bool) {
        self.shared.partition.store(cut, Ordering::Relaxed);
        self.links.cut(node, self.names.len(), cut);
    }

    /// Kills a controller with no signal that it could handle.
    pub fn kill_node(&self, i: usize) {
        let mut nodes = self.nodes.lock().unwrap();
        if let Some(mut child) = nodes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.write(&format!("controller {} killed", nodes[i].name));
        }
    }

    /// Controllers that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut nodes = self.nodes.lock().unwrap();
        let over = |n: &mut Node| n.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))));
        nodes.iter_mut().filter_map(|n| over(n).then(|| n.name.clone())).collect()
    }

    /// Memory that a controller holds of its own, in MB: without the pages of its program's file.
    pub fn memory_mb(&self, i: usize) -> Option<f64> {
        let nodes = self.nodes.lock().unwrap();
        let text = std::fs::read_to_string(format!("/proc/{}/status", nodes[i].child.as_ref()?.id())).ok()?;
        let line = text.lines().find(|l| l.starts_with("RssAnon"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// How often a controller was ended for its memory.
    pub fn memory_ends(&self) -> usize {
        self.memory_ends.load(Ordering::Relaxed)
    }

    /// From now on the platform does as DEPLOY says: a controller over its memory limit is killed
    /// and started again.
    pub fn watch_memory(self: &Arc<Self>, limit_mb: f64, pause: Duration) {
        let site = self.clone();
        std::thread::spawn(move || {
            let mut back_at: Vec<Option<Instant>> = vec![None; site.names.len()];
            // A process that is started here ends with this thread, so the thread doesn't end.
            loop {
                std::thread::sleep(Duration::from_millis(20));
                for (i, back) in back_at.iter_mut().enumerate() {
                    if back.is_some_and(|t| Instant::now() >= t) {
                        *back = None;
                        let _ = site.start_node(i);
                    }
                    let held = site.memory_mb(i).unwrap_or(0.0);
                    if held > limit_mb {
                        site.record.write(&format!(
                            "{} holds {held:.1} MB, its limit is {limit_mb} MB",
                            site.names[i]
                        ));
                        site.memory_ends.fetch_add(1, Ordering::Relaxed);
                        site.kill_node(i);
                        *back = Some(Instant::now() + pause);
                    }
                }
            }
        });
    }

    /// Waits until all controllers are ready and one leads.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let ready = self.users.iter().all(|a| {
                http::call(*a, "GET", "/ready", "", "", Duration::from_secs(1)).is_some_and(|r| r.0 == 200)
            });
            if ready && self.state.leader().is_some() {
                self.record.write(&format!("all ready, {} leads", self.state.leader().unwrap_or_default()));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The leader's number.
    pub fn leader(&self) -> Option<usize> {
        let name = self.state.leader()?;
        self.names.iter().position(|n| *n == name)
    }

    /// One request of a user, with its answer in the record.
    pub fn ask(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, String)> {
        let node = self.users.iter().chain(&self.nomad).position(|a| *a == to).map(|i| i % self.names.len());
        let name = node.map_or("?", |i| &self.names[i]);
        let sent = Instant::now();
        let answer = http::call(to, method, path, headers, body, limit);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {}", &text.chars().take(300).collect::<String>()),
            None => "no answer".into(),
        };
        let sent_body = if body.is_empty() {
            String::new()
        } else {
            format!(" {}", &body.chars().take(300).collect::<String>())
        };
        self.record.write(&format!(
            "user -> {name}: {method} {path}{sent_body} (after {:.0} ms) {shown}",
            sent.elapsed().as_secs_f64() * 1000.0
        ));
        answer
    }

    /// Ends everything.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
        for i in 0..self.names.len() {
            self.kill_node(i);
        }
        if std::env::var_os("RIG_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("kept {}", self.dir.display());
        }
    }
}
