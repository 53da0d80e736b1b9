//! The operators' settings for Nomad's job files: classes and their bounds.
use gorseshore_protocol::job::{Kind, Priority};
use prost_reflect::{DynamicMessage, Value};
use std::net::SocketAddr;

/// Settings; `docs/nomad.md` documents them with defaults and ranges.
#[derive(Debug, Clone)]
pub struct Nomad {
    /// Address of the interface; none if only files are checked.
    pub listen: Option<SocketAddr>,
    /// The region's name besides `global`.
    pub region: String,
    /// What a CPU counts in MHz.
    pub mhz_per_cpu: f64,
    /// Most blocking queries that wait at a time.
    pub max_waiters: usize,
    /// Most event streams at a time.
    pub max_streams: usize,
    /// Classes in the order in which they are tried.
    pub classes: Vec<NomadClass>,
    /// Tokens of teams.
    pub tokens: Vec<NomadToken>,
    /// Machine types for checks without a service.
    pub machines: Vec<NomadMachine>,
}

/// Jobs that are treated alike.
#[derive(Debug, Clone)]
pub struct NomadClass {
    /// Name, for faults and logs.
    pub name: String,
    /// Pattern of job ids.
    pub job: String,
    /// Pattern of namespaces.
    pub namespace: String,
    /// Pattern that one of the datacenters matches.
    pub datacenter: String,
    /// The only type of job, if any.
    pub kind: Option<Kind>,
    /// Team.
    pub team: String,
    /// Highest priority that such a job may have.
    pub rank: Priority,
    /// Class of jobs in the aims.
    pub lot: String,
    /// May run on spot machines.
    pub spot: bool,
    /// Estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// Deadline from submission, in seconds.
    pub deadline_s: Option<f64>,
    /// Interval of checkpoints in seconds, 0 for none.
    pub checkpoint_s: f64,
    /// Sizes of images in GB, by pattern of name or driver.
    pub images: Vec<(String, f64)>,
    /// Size of other images.
    pub image_gb: f64,
    /// Most repeats over all groups.
    pub max_count: u32,
    /// Most restarts of a task on a machine.
    pub max_restarts: u32,
    /// Most moves of a task to another machine.
    pub max_reschedules: u32,
    /// Largest task, in CPUs.
    pub max_cpus: f64,
    /// Largest task, in GB.
    pub max_memory_gb: f64,
    /// Largest disk of a group, in MB.
    pub max_disk_mb: u32,
    /// Longest time to end, in seconds.
    pub max_kill_timeout_s: f64,
}

/// A team's token.
#[derive(Debug, Clone)]
pub struct NomadToken {
    /// Team.
    pub team: String,
    /// Salted hash, as `salt$hash` in hexadecimal.
    pub hash: String,
}

/// A machine type in a zone.
#[derive(Debug, Clone)]
pub struct NomadMachine {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// CPUs.
    pub cpus: f64,
    /// Memory.
    pub memory_gb: f64,
}

/// The fields of a message, with their path for faults.
struct Fields<'a> {
    msg: &'a DynamicMessage,
    path: String,
    faults: &'a mut Vec<String>,
}

impl Fields<'_> {
    fn set(&self, name: &str) -> Option<Value> {
        self.msg.has_field_by_name(name).then(|| self.msg.get_field_by_name(name))?.map(|v| v.into_owned())
    }
    fn fault(&mut self, name: &str, text: String) {
        let dot = if name.is_empty() { "" } else { "." };
        self.faults.push(format!("{}{dot}{name}: {text}", self.path));
    }
    fn number(&mut self, name: &str, default: f64, lo: f64, hi: f64) -> f64 {
        let v = match self.set(name) {
            Some(Value::U32(v)) => v as f64,
            Some(Value::F64(v)) => v,
            _ => return default,
        };
        if !(lo..=hi).contains(&v) {
            self.fault(name, format!("{v} must be from {lo} to {hi}"));
            return default;
        }
        v
    }
    fn text(&mut self, name: &str, default: &str) -> String {
        match self.set(name) {
            Some(Value::String(s)) if !s.is_empty() && s.len() <= 256 => s,
            Some(_) => {
                self.fault(name, "must have 1 to 256 bytes".into());
                default.to_owned()
            }
            None => default.to_owned(),
        }
    }
    fn needed(&mut self, name: &str) -> String {
        if self.set(name).is_none() {
            self.fault(name, "is missing".into());
        }
        self.text(name, "")
    }
    fn pattern(&mut self, name: &str) -> String {
        let p = self.text(name, "*");
        if let Err(e) = globset::Glob::new(&p) {
            self.fault(name, format!("not a pattern: {e}"));
            return "*".into();
        }
        p
    }
    /// The messages of a repeated field, each with its path.
    fn each<T>(&mut self, name: &str, mut read: impl FnMut(&mut Fields<'_>) -> T) -> Vec<T> {
        let Some(Value::List(list)) = self.set(name) else { return Vec::new() };
        let mut out = Vec::new();
        for (i, v) in list.iter().enumerate() {
            if let Some(msg) = v.as_message() {
                let path = format!("{}.{name}[{i}]", self.path);
                out.push(read(&mut Fields { msg, path, faults: self.faults }));
            }
        }
        out
    }
}

impl Nomad {
    /// Reads and checks the message; every fault is reported with its field.
    pub fn read(msg: &DynamicMessage, faults: &mut Vec<String>) -> Self {
        let mut f = Fields { msg, path: "nomad".into(), faults };
        let listen = f.set("listen").and_then(|v| v.as_str().map(str::to_owned));
        let listen = listen.and_then(|l| match l.parse() {
            Ok(a) => Some(a),
            Err(_) => {
                f.fault("listen", format!("\"{l}\" is not an IP address with a port"));
                None
            }
        });
        let classes = f.each("class", NomadClass::read);
        for (i, c) in classes.iter().enumerate() {
            if classes[..i].iter().any(|x| x.name == c.name) {
                f.fault(&format!("class[{i}].name"), format!("{} stands twice", c.name));
            }
        }
        let tokens = f.each("token", |f| {
            let t = NomadToken { team: f.needed("team"), hash: f.needed("hash") };
            let hex = |s: &str, n: usize| s.len() == n && s.bytes().all(|b| b.is_ascii_hexdigit());
            if !t.hash.split_once('$').is_some_and(|(salt, h)| hex(salt, 32) && hex(h, 64)) {
                f.fault("hash", "must be what `gorseshore nomad token` prints".into());
            }
            t
        });
        let machines = f.each("machine", |f| NomadMachine {
            name: f.needed("name"),
            zone: f.needed("zone"),
            cpus: f.number("cpus", 1.0, 0.001, 100_000.0),
            memory_gb: f.number("memory_gb", 1.0, 0.001, 1_000_000.0),
        });
        Nomad {
            listen,
            region: f.text("region", "global"),
            mhz_per_cpu: f.number("mhz_per_cpu", 2000.0, 100.0, 100_000.0),
            max_waiters: f.number("max_waiters", 500.0, 1.0, 100_000.0) as usize,
            max_streams: f.number("max_streams", 50.0, 0.0, 10_000.0) as usize,
            classes,
            tokens,
            machines,
        }
    }
}

impl NomadClass {
    fn read(f: &mut Fields<'_>) -> Self {
        let name = f.needed("name");
        let kind = match f.set("type").as_ref().and_then(Value::as_str) {
            None => None,
            Some("service") => Some(Kind::Service),
            Some("batch") => Some(Kind::Array),
            Some(other) => {
                f.fault("type", format!("\"{other}\" must be \"service\" or \"batch\""));
                None
            }
        };
        let rank = match f.set("rank").as_ref().and_then(Value::as_str) {
            None | Some("standard") => Priority::Normal,
            Some("idle") => Priority::Low,
            Some("high") => Priority::High,
            Some("prod") => Priority::Production,
            Some(other) => {
                f.fault("rank", format!("\"{other}\" must be idle, standard, high or prod"));
                Priority::Normal
            }
        };
        // The services' own priority has first claim on machines: no batch job
        // may have it, whatever its file says.
        if rank == Priority::Production && kind != Some(Kind::Service) {
            f.fault("rank", "prod is for classes of type \"service\" only".into());
        }
        let deadline_s = f.set("deadline_s").map(|_| f.number("deadline_s", 1.0, 1.0, 1e8));
        let images = f.each("image", |f| (f.pattern("name"), f.number("gb", 1.0, 0.0, 10_000.0)));
        NomadClass {
            job: f.pattern("job"),
            namespace: f.pattern("namespace"),
            datacenter: f.pattern("datacenter"),
            kind,
            team: f.needed("team"),
            rank,
            lot: f.text("lot", &name),
            spot: f.set("spot").and_then(|v| v.as_bool()).unwrap_or(false),
            estimate_s: f.number("estimate_s", 60.0, 0.0, 1e8),
            deadline_s,
            checkpoint_s: f.number("checkpoint_s", 0.0, 0.0, 1e6),
            images,
            image_gb: f.number("image_gb", 1.0, 0.0, 10_000.0),
            max_count: f.number("max_count", 100.0, 1.0, 100_000.0) as u32,
            max_restarts: f.number("max_restarts", 10.0, 0.0, 1000.0) as u32,
            max_reschedules: f.number("max_reschedules", 10.0, 0.0, 1000.0) as u32,
            max_cpus: f.number("max_cpus", 64.0, 0.001, 100_000.0),
            max_memory_gb: f.number("max_memory_gb", 256.0, 0.001, 1_000_000.0),
            max_disk_mb: f.number("max_disk_mb", 10_240.0, 0.0, 1e8) as u32,
            max_kill_timeout_s: f.number("max_kill_timeout_s", 30.0, 0.0, 3600.0),
            name,
        }
    }
}
