//! Stand-in of a machine with its worker, written from the protocol page.
use crate::http::{self, Reply, Request};
use crate::json::{Json, n, obj, s};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What users upload about a job for its tasks.
#[derive(Debug, Clone)]
pub struct Profile {
    pub pieces: u32,
    pub cpus: f64,
    pub memory_gb: f64,
    pub bundle: String,
    pub image_gb: f64,
    /// Run time; `None`: a replica.
    pub run: Option<Duration>,
    /// Time to save; `None`: the task never saves.
    pub stow: Option<Duration>,
}

/// A stay of a task on a machine, from the moment it has its image.
#[derive(Debug, Clone)]
pub struct Stay {
    pub piece: String,
    pub attempt: u64,
    pub host: String,
    pub from: Instant,
    pub to: Option<(Instant, &'static str)>,
}

/// What all machines share: the jobs' descriptions, where the workers report, and what ran.
pub struct Yard {
    pub profiles: Mutex<BTreeMap<String, Profile>>,
    /// Description of tasks whose job was made by the service from another format.
    pub made: Mutex<Option<Profile>>,
    pub nodes: Vec<(String, SocketAddr)>,
    /// The controllers' zones and processes.
    pub zones: Vec<String>,
    pub pids: Mutex<Vec<u32>>,
    /// Zones can't reach each other.
    pub partition: AtomicBool,
    /// The controller that answered a worker's last report with 200.
    pub reports_to: Mutex<BTreeMap<String, usize>>,
    pub stays: Mutex<Vec<Stay>>,
    pub log: crate::record::Record,
    pub report: Duration,
    pub lease: Duration,
}

impl Yard {
    fn profile(&self, piece: &str) -> Option<Profile> {
        let (job, index) = piece.split_once('/')?;
        let index: u32 = index.parse().ok()?;
        let found = self.profiles.lock().unwrap().get(job).cloned();
        let made = || self.made.lock().unwrap().clone().filter(|_| job.len() >= 21);
        found.or_else(made).filter(|p| index < p.pieces)
    }
}

/// The controller that a connection from this port comes from: the process that has its socket.
fn caller(port: u16, pids: &[u32]) -> Option<usize> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!("0100007F:{port:04X}");
    let line = table.lines().find(|l| l.split_whitespace().nth(1) == Some(&local))?;
    let socket = format!("socket:[{}]", line.split_whitespace().nth(9)?);
    pids.iter().position(|pid| {
        let files = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
        files.filter_map(|f| std::fs::read_link(f.path()).ok()).any(|l| l.as_os_str() == socket.as_str())
    })
}

#[derive(Debug, Clone, PartialEq)]
enum Stage {
    Pulling,
    Running { since: Instant },
    Flushing { until: Instant },
    Exited { cause: &'static str, kept: bool },
}

struct Task {
    piece: String,
    attempt: u64,
    stage: Stage,
    profile: Option<Profile>,
}

struct Inner {
    shift: u64,
    tally: u64,
    baton: u64,
    tasks: Vec<Task>,
    /// Images here, and when the fetch of others ends.
    images: BTreeSet<String>,
    fetching: BTreeMap<String, Instant>,
    /// Results that are kept: tasks that completed.
    completed: BTreeSet<String>,
    lease_from: Instant,
    changed: bool,
    gone: bool,
}

pub struct Machine {
    pub host: String,
    pub build: String,
    pub yard_name: String,
    pub spot: bool,
    cpus: f64,
    memory_gb: f64,
    pull_gb_per_s: f64,
    pub addr: Mutex<String>,
    inner: Mutex<Inner>,
    shared: Arc<Yard>,
}

/// Type, zone, kind and size of a machine.
pub struct Kind<'a> {
    pub build: &'a str,
    pub yard: &'a str,
    pub spot: bool,
    pub cpus: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
}

impl Machine {
    /// A machine that is up now.
    pub fn start(host: &str, kind: &Kind<'_>, shared: Arc<Yard>) -> std::io::Result<Arc<Machine>> {
        let m = Arc::new(Machine {
            host: host.to_owned(),
            build: kind.build.to_owned(),
            yard_name: kind.yard.to_owned(),
            spot: kind.spot,
            cpus: kind.cpus,
            memory_gb: kind.memory_gb,
            pull_gb_per_s: kind.pull_gb_per_s,
            addr: Mutex::new(String::new()),
            inner: Mutex::new(Inner {
                shift: 1,
                tally: 0,
                baton: 0,
                tasks: Vec::new(),
                images: BTreeSet::new(),
                fetching: BTreeMap::new(),
                completed: BTreeSet::new(),
                lease_from: Instant::now(),
                changed: true,
                gone: false,
            }),
            shared,
        });
        let served = m.clone();
        let addr = http::serve(http::MAX_BODY, Arc::new(move |r: &Request| served.serve(r)))?;
        *m.addr.lock().unwrap() = addr.to_string();
        let ticking = m.clone();
        std::thread::spawn(move || {
            while ticking.tick() {
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let reporting = m.clone();
        std::thread::spawn(move || reporting.run_reports());
        Ok(m)
    }

    /// The machine and everything on it is gone.
    pub fn delete(&self) {
        let mut i = self.inner.lock().unwrap();
        i.gone = true;
        let tasks = std::mem::take(&mut i.tasks);
        tasks.iter().for_each(|t| self.leave(t, "machine gone"));
    }

    fn enter(&self, t: &Task) {
        self.shared.log.write(&format!("runs {} try={} on {}", t.piece, t.attempt, self.host));
        self.shared.stays.lock().unwrap().push(Stay {
            piece: t.piece.clone(),
            attempt: t.attempt,
            host: self.host.clone(),
            from: Instant::now(),
            to: None,
        });
    }

    fn leave(&self, t: &Task, why: &'static str) {
        if !matches!(t.stage, Stage::Running { .. } | Stage::Flushing { .. }) {
            return;
        }
        self.shared.log.write(&format!("ends {} try={} on {}: {why}", t.piece, t.attempt, self.host));
        let mut stays = self.shared.stays.lock().unwrap();
        let stay = stays
            .iter_mut()
            .rev()
            .find(|s| s.piece == t.piece && s.attempt == t.attempt && s.host == self.host && s.to.is_none());
        if let Some(stay) = stay {
            stay.to = Some((Instant::now(), why));
        }
    }

    /// Advances tasks and the lease; false once the machine is gone.
    fn tick(&self) -> bool {
        let mut i = self.inner.lock().unwrap();
        if i.gone {
            return false;
        }
        let now = Instant::now();
        if now.duration_since(i.lease_from) > self.shared.lease {
            let tasks = std::mem::take(&mut i.tasks);
            if !tasks.is_empty() {
                self.shared.log.write(&format!(
                    "lease of {} expired, session {} ends with {} tasks",
                    self.host,
                    i.shift,
                    tasks.len()
                ));
            }
            tasks.iter().for_each(|t| self.leave(t, "lease expired"));
            i.fetching.clear();
            i.shift += 1;
            i.tally = 0;
            i.lease_from = now;
            i.changed = true;
        }
        let ready: Vec<String> =
            i.fetching.iter().filter(|(_, at)| **at <= now).map(|(k, _)| k.clone()).collect();
        for image in ready {
            i.fetching.remove(&image);
            i.images.insert(image);
        }
        let i = &mut *i;
        let mut changed = false;
        for t in &mut i.tasks {
            let run = t.profile.as_ref().and_then(|p| p.run);
            match t.stage {
                Stage::Pulling if t.profile.as_ref().is_some_and(|p| i.images.contains(&p.bundle)) => {
                    changed = true;
                    if i.completed.contains(&t.piece) {
                        t.stage = Stage::Exited { cause: "done", kept: false };
                    } else {
                        t.stage = Stage::Running { since: now };
                        self.enter(t);
                    }
                }
                Stage::Running { since } if run.is_some_and(|r| now.duration_since(since) >= r) => {
                    changed = true;
                    self.leave(t, "done");
                    i.completed.insert(t.piece.clone());
                    t.stage = Stage::Exited { cause: "done", kept: false };
                }
                Stage::Flushing { until } if now >= until => {
                    changed = true;
                    self.leave(t, "halted");
                    t.stage = Stage::Exited { cause: "halted", kept: true };
                }
                _ => {}
            }
        }
        i.changed |= changed;
        true
    }

    fn report(&self, i: &mut Inner) -> String {
        i.tally += 1;
        let pieces = i
            .tasks
            .iter()
            .map(|t| {
                let mut fields = vec![("piece", s(&t.piece)), ("try", n(t.attempt))];
                match &t.stage {
                    Stage::Pulling => fields.push(("stage", s("pulling"))),
                    Stage::Running { .. } => fields.push(("stage", s("running"))),
                    Stage::Flushing { .. } => fields.push(("stage", s("flushing"))),
                    Stage::Exited { cause, kept } => {
                        fields.push(("stage", s("exited")));
                        fields.push(("cause", s(cause)));
                        if *kept {
                            fields.push(("kept", Json::Bool(true)));
                        }
                    }
                }
                obj(fields)
            })
            .collect();
        obj(vec![
            ("host", s(&self.host)),
            ("addr", s(&self.addr.lock().unwrap())),
            ("build", s(&self.build)),
            ("yard", s(&self.yard_name)),
            ("loaners", Json::Bool(self.spot)),
            ("shift", n(i.shift)),
            ("tally", n(i.tally)),
            ("baton", n(i.baton)),
            ("warning_s", Json::Null),
            ("pieces", Json::Arr(pieces)),
        ])
        .to_string()
    }

    fn used(i: &Inner) -> (f64, f64) {
        let present = i.tasks.iter().filter(|t| !matches!(t.stage, Stage::Exited { .. }));
        present.filter_map(|t| t.profile.as_ref()).fold((0.0, 0.0), |(c, m), p| (c + p.cpus, m + p.memory_gb))
    }

    fn execute(&self, i: &mut Inner, orders: &[Json]) {
        let now = Instant::now();
        for o in orders {
            let (piece, attempt) = (o.get("piece").str().to_owned(), o.get("try").u64().unwrap_or(0));
            let at = i.tasks.iter().position(|t| t.piece == piece && t.attempt == attempt);
            match (o.get("verb").str(), at) {
                ("run", None) => {
                    i.changed = true;
                    let profile = self.shared.profile(&piece);
                    let busy =
                        i.tasks.iter().any(|t| t.piece == piece && !matches!(t.stage, Stage::Exited { .. }));
                    let (cpus, memory) = Self::used(i);
                    let stage = match &profile {
                        None => Stage::Exited { cause: "no_such", kept: false },
                        Some(_) if busy => Stage::Exited { cause: "busy", kept: false },
                        Some(p)
                            if cpus + p.cpus > self.cpus + 1e-6
                                || memory + p.memory_gb > self.memory_gb + 1e-6 =>
                        {
                            Stage::Exited { cause: "no_room", kept: false }
                        }
                        Some(p) => {
                            if !i.images.contains(&p.bundle) {
                                let span = Duration::from_secs_f64(p.image_gb / self.pull_gb_per_s);
                                i.fetching.entry(p.bundle.clone()).or_insert(now + span);
                            }
                            Stage::Pulling
                        }
                    };
                    i.tasks.push(Task { piece, attempt, stage, profile });
                }
                ("halt", Some(at)) => {
                    i.changed = true;
                    let grace = Duration::from_secs_f64(o.get("wind_down_s").f64().unwrap_or(0.0).max(0.0));
                    let t = &mut i.tasks[at];
                    let stow = t.profile.as_ref().and_then(|p| p.stow);
                    match (&t.stage, stow) {
                        (Stage::Exited { .. }, _) => {}
                        (Stage::Running { .. }, Some(stow)) if grace >= stow => {
                            t.stage = Stage::Flushing { until: now + stow };
                        }
                        (Stage::Flushing { .. }, _) if !grace.is_zero() => {}
                        _ => {
                            let t = &i.tasks[at];
                            self.leave(t, "halted");
                            i.tasks[at].stage = Stage::Exited { cause: "halted", kept: false };
                        }
                    }
                }
                ("clear", Some(at)) if matches!(i.tasks[at].stage, Stage::Exited { .. }) => {
                    i.changed = true;
                    i.tasks.remove(at);
                }
                _ => {}
            }
        }
    }

    /// Whether a controller is in a zone that this machine can't reach now.
    fn is_cut_from(&self, node: usize) -> bool {
        self.shared.partition.load(Ordering::Relaxed) && self.shared.zones[node] != self.yard_name
    }

    fn serve(&self, r: &Request) -> Reply {
        if self.shared.partition.load(Ordering::Relaxed) {
            let from = caller(r.port, &self.shared.pids.lock().unwrap());
            if from.is_none_or(|node| self.is_cut_from(node)) {
                // It never arrives.
                while self.shared.partition.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return None;
            }
        }
        let mut i = self.inner.lock().unwrap();
        if i.gone {
            return None;
        }
        if r.path == "/status" {
            return Some((200, self.report(&mut i)));
        }
        let body = Json::parse(&r.body).unwrap_or(Json::Null);
        let (Some(baton), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return Some((400, "{}".into()));
        };
        if baton < i.baton || shift != i.shift {
            return Some((409, self.report(&mut i)));
        }
        if baton > i.baton {
            i.baton = baton;
            i.changed = true;
        }
        self.execute(&mut i, body.get("orders").arr());
        Some((200, self.report(&mut i)))
    }

    fn run_reports(&self) {
        let nodes = &self.shared.nodes;
        let mut target = self.host.bytes().map(usize::from).sum::<usize>() % nodes.len();
        let mut last_sent: Option<Instant> = None;
        let mut not_before = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (body, shift, sent) = {
                let mut i = self.inner.lock().unwrap();
                if i.gone {
                    return;
                }
                let now = Instant::now();
                let since = last_sent.map_or(Duration::MAX, |t| now.duration_since(t));
                let due = since >= self.shared.report || i.changed && since >= Duration::from_millis(500);
                if !due || now < not_before {
                    continue;
                }
                i.changed = false;
                last_sent = Some(now);
                (self.report(&mut i), i.shift, now)
            };
            let limit = Duration::from_secs(4);
            let answer = match self.is_cut_from(target) {
                true => {
                    std::thread::sleep(limit);
                    None
                }
                false => http::call(nodes[target].1, "POST", "/checkin", "", &body, limit),
            };
            // A response later than 4 s, or to a report of an earlier session, is dropped.
            let answer = answer.filter(|_| sent.elapsed() < Duration::from_secs(4));
            match answer {
                Some((200, text)) => {
                    let body = Json::parse(text.as_bytes()).unwrap_or(Json::Null);
                    let mut i = self.inner.lock().unwrap();
                    let Some(baton) = body.get("baton").u64() else { continue };
                    if i.gone || i.shift != shift || baton < i.baton {
                        continue;
                    }
                    i.changed |= baton > i.baton;
                    i.baton = baton;
                    i.lease_from = i.lease_from.max(sent);
                    self.shared.reports_to.lock().unwrap().insert(self.host.clone(), target);
                    self.execute(&mut i, body.get("orders").arr());
                }
                Some((421, text)) => {
                    let body = Json::parse(text.as_bytes()).unwrap_or(Json::Null);
                    let named = nodes.iter().position(|(name, _)| name == body.get("foreman").str());
                    match named.filter(|to| *to != target) {
                        Some(to) => {
                            target = to;
                            last_sent = None;
                        }
                        None => {
                            target = (target + 1) % nodes.len();
                            not_before = Instant::now() + Duration::from_secs(1);
                            last_sent = None;
                        }
                    }
                }
                _ => {
                    target = (target + 1) % nodes.len();
                    not_before = Instant::now() + Duration::from_secs(1);
                    last_sent = None;
                }
            }
        }
    }
}
