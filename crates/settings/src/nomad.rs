//! Operators' settings for jobs in Nomad's format: the Nomad API, job classes and their limits.
use gorseshore_protocol::job::{Kind, Priority};
use prost_reflect::{DynamicMessage, Value};
use std::net::SocketAddr;

/// Settings for Nomad's job format; `docs/nomad.md` documents them with defaults and ranges.
#[derive(Debug, Clone)]
pub struct Nomad {
    /// Address that the Nomad API listens on; `None` if only files are checked.
    pub listen: Option<SocketAddr>,
    /// Region name that is accepted besides `global`.
    pub region: String,
    /// MHz that count as one CPU.
    pub mhz_per_cpu: f64,
    /// Maximum number of blocking queries that wait at the same time.
    pub max_waiters: usize,
    /// Maximum number of concurrent event streams.
    pub max_streams: usize,
    /// Classes in the order in which they are matched.
    pub classes: Vec<NomadClass>,
    /// API tokens of teams.
    pub tokens: Vec<NomadToken>,
    /// Machine types for checking files without a running service.
    pub machines: Vec<NomadMachine>,
}

/// Class of Nomad jobs: which jobs it matches, and their team, defaults and limits.
#[derive(Debug, Clone)]
pub struct NomadClass {
    /// Class name, shown in errors and logs.
    pub name: String,
    /// Pattern of job ids.
    pub job_pattern: String,
    /// Pattern of namespaces.
    pub namespace_pattern: String,
    /// Pattern that at least one of the job's datacenters must match.
    pub datacenter_pattern: String,
    /// Only job kind that the class matches; `None` matches all kinds.
    pub kind: Option<Kind>,
    /// Team that owns the jobs.
    pub team: String,
    /// Highest priority that such a job may have.
    pub max_priority: Priority,
    /// Job class to which the objectives apply.
    pub job_class: String,
    /// Tasks may run on spot machines.
    pub spot: bool,
    /// Estimated run time of a task, in seconds.
    pub estimate_s: f64,
    /// Deadline, in seconds from the submission.
    pub deadline_s: Option<f64>,
    /// Interval between checkpoints in seconds, 0 for none.
    pub checkpoint_s: f64,
    /// Image sizes in GB, by pattern of image name or driver.
    pub images: Vec<(String, f64)>,
    /// Size of all other images, in GB.
    pub image_gb: f64,
    /// Maximum sum of the counts of all groups.
    pub max_count: u32,
    /// Maximum number of restarts of a task on the same machine.
    pub max_restarts: u32,
    /// Maximum number of reschedules of a task to another machine.
    pub max_reschedules: u32,
    /// Maximum CPUs of a task.
    pub max_cpus: f64,
    /// Maximum memory of a task, in GB.
    pub max_memory_gb: f64,
    /// Maximum disk of a group, in MB.
    pub max_disk_mb: u32,
    /// Maximum kill timeout of a task, in seconds.
    pub max_kill_timeout_s: f64,
}

/// API token of a team.
#[derive(Debug, Clone)]
pub struct NomadToken {
    /// Team that the token authenticates.
    pub team: String,
    /// Salted hash of the token, as `salt$hash` in hexadecimal.
    pub hash: String,
}

/// A machine type in a zone.
#[derive(Debug, Clone)]
pub struct NomadMachine {
    /// Name of the machine type.
    pub name: String,
    /// Zone that offers it.
    pub zone: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Reader of a message's fields that collects errors with the field's path.
struct FieldReader<'a> {
    msg: &'a DynamicMessage,
    path: String,
    errors: &'a mut Vec<String>,
}

impl FieldReader<'_> {
    /// Value of a field that is set.
    fn get(&self, name: &str) -> Option<Value> {
        self.msg.has_field_by_name(name).then(|| self.msg.get_field_by_name(name))?.map(|v| v.into_owned())
    }
    fn error(&mut self, name: &str, text: String) {
        let dot = if name.is_empty() { "" } else { "." };
        self.errors.push(format!("{}{dot}{name}: {text}", self.path));
    }
    fn number(&mut self, name: &str, default: f64, min: f64, max: f64) -> f64 {
        let v = match self.get(name) {
            Some(Value::U32(v)) => v as f64,
            Some(Value::F64(v)) => v,
            _ => return default,
        };
        if !(min..=max).contains(&v) {
            self.error(name, format!("{v} must be from {min} to {max}"));
            return default;
        }
        v
    }
    fn text(&mut self, name: &str, default: &str) -> String {
        match self.get(name) {
            Some(Value::String(s)) if !s.is_empty() && s.len() <= 256 => s,
            Some(_) => {
                self.error(name, "must have 1 to 256 bytes".into());
                default.to_owned()
            }
            None => default.to_owned(),
        }
    }
    fn required_text(&mut self, name: &str) -> String {
        if self.get(name).is_none() {
            self.error(name, "is missing".into());
        }
        self.text(name, "")
    }
    fn pattern(&mut self, name: &str) -> String {
        let p = self.text(name, "*");
        if let Err(e) = globset::Glob::new(&p) {
            self.error(name, format!("not a pattern: {e}"));
            return "*".into();
        }
        p
    }
    /// Reads each message of a repeated field.
    fn read_repeated<T>(&mut self, name: &str, mut read: impl FnMut(&mut FieldReader<'_>) -> T) -> Vec<T> {
        let Some(Value::List(list)) = self.get(name) else { return Vec::new() };
        let mut out = Vec::new();
        for (i, v) in list.iter().enumerate() {
            if let Some(msg) = v.as_message() {
                let path = format!("{}.{name}[{i}]", self.path);
                out.push(read(&mut FieldReader { msg, path, errors: self.errors }));
            }
        }
        out
    }
}

impl Nomad {
    /// Reads and validates the message; every error names its field.
    pub fn read(msg: &DynamicMessage, errors: &mut Vec<String>) -> Self {
        let mut f = FieldReader { msg, path: "nomad".into(), errors };
        let listen = f.get("listen").and_then(|v| v.as_str().map(str::to_owned));
        let listen = listen.and_then(|l| match l.parse() {
            Ok(a) => Some(a),
            Err(_) => {
                f.error("listen", format!("\"{l}\" is not an IP address with a port"));
                None
            }
        });
        let classes = f.read_repeated("class", NomadClass::read);
        for (i, c) in classes.iter().enumerate() {
            if classes[..i].iter().any(|x| x.name == c.name) {
                f.error(&format!("class[{i}].name"), format!("{} stands twice", c.name));
            }
        }
        let tokens = f.read_repeated("token", |f| {
            let t = NomadToken { team: f.required_text("team"), hash: f.required_text("hash") };
            let hex = |s: &str, n: usize| s.len() == n && s.bytes().all(|b| b.is_ascii_hexdigit());
            if !t.hash.split_once('$').is_some_and(|(salt, h)| hex(salt, 32) && hex(h, 64)) {
                f.error("hash", "must be what `gorseshore nomad token` prints".into());
            }
            t
        });
        let machines = f.read_repeated("machine", |f| NomadMachine {
            name: f.required_text("name"),
            zone: f.required_text("zone"),
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
    fn read(f: &mut FieldReader<'_>) -> Self {
        let name = f.required_text("name");
        let kind = match f.get("type").as_ref().and_then(Value::as_str) {
            None => None,
            Some("service") => Some(Kind::Service),
            Some("batch") => Some(Kind::Array),
            Some(other) => {
                f.error("type", format!("\"{other}\" must be \"service\" or \"batch\""));
                None
            }
        };
        let max_priority = match f.get("rank").as_ref().and_then(Value::as_str) {
            None | Some("standard") => Priority::Normal,
            Some("idle") => Priority::Low,
            Some("high") => Priority::High,
            Some("prod") => Priority::Production,
            Some(other) => {
                f.error("rank", format!("\"{other}\" must be idle, standard, high or prod"));
                Priority::Normal
            }
        };
        // The production priority is reserved for services, which get machines first: no
        // batch job may have it, whatever priority its file sets.
        if max_priority == Priority::Production && kind != Some(Kind::Service) {
            f.error("rank", "prod is for classes of type \"service\" only".into());
        }
        let deadline_s = f.get("deadline_s").map(|_| f.number("deadline_s", 1.0, 1.0, 1e8));
        let images = f.read_repeated("image", |f| (f.pattern("name"), f.number("gb", 1.0, 0.0, 10_000.0)));
        NomadClass {
            job_pattern: f.pattern("job"),
            namespace_pattern: f.pattern("namespace"),
            datacenter_pattern: f.pattern("datacenter"),
            kind,
            team: f.required_text("team"),
            max_priority,
            job_class: f.text("lot", &name),
            spot: f.get("spot").and_then(|v| v.as_bool()).unwrap_or(false),
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
