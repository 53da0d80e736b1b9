//! The settings file that the platform provides.
use super::SettingsError;
use super::state_limits::StateLimits;
use gorseshore_protocol::ids::Resources;
use gorseshore_protocol::job::{JobSpec, Kind};
use serde::Deserialize;
use std::net::SocketAddr;

/// A team with its guaranteed and maximum resources.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Team name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum CPUs, 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum GPUs, 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether a job could ever run within the team's limits: one task of an array, all
    /// tasks of a service.
    pub fn could_run(&self, s: &JobSpec) -> bool {
        let n = if s.kind == Kind::Service { s.tasks as u64 } else { 1 };
        let max = Resources::capacity(self.cpus_max, self.gpus_max, 0.0);
        (max.cpu == 0 || s.task_resources.cpu * n <= max.cpu)
            && (max.gpu == 0 || s.task_resources.gpu * n <= max.gpu)
    }
}

/// Service objective of a job class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `finished`, `deadline`, `wait` and others.
    pub kind: String,
    /// Job class that the objective applies to.
    #[serde(default)]
    pub class: String,
    /// Time allowed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the job's deadline within which the job must complete.
    #[serde(rename = "times", default)]
    pub deadline_multiple: Option<f64>,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub host_name: String,
    /// Zone of the controller.
    pub domain: String,
    /// Address at which it listens for other controllers.
    pub peer_addr: String,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud's API.
    pub cloud: String,
    /// Address of the state service.
    pub state: String,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum age of the data in a machine list, in seconds.
    pub list_lag_s: f64,
}

/// Timing of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between a worker's heartbeats, in seconds.
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be stopped, in seconds.
    pub cancel_s: f64,
}

/// Limits of the controller's own machine.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Maximum number of open sockets.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}
fn default_sockets() -> usize {
    1024
}
impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: default_sockets() }
    }
}

/// Settings of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Zones that the deployment uses.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams and their resource limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives of job classes.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits of the controller's own machine.
    #[serde(default)]
    pub machine_limits: Limits,
    /// Maximum difference between a machine's wall clock and true time, in milliseconds.
    #[serde(rename = "clock_off_ms", default = "default_clock_off")]
    pub max_clock_error_ms: f64,
}
fn default_clock_off() -> f64 {
    25.0
}

/// The platform's settings file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Name of this controller.
    pub host_name: String,
    /// Zone of this controller.
    pub domain: String,
    /// Listen address for users and workers.
    pub public_addr: String,
    /// Listen address for other controllers.
    pub cluster_listen: String,
    /// All other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the external services.
    pub endpoints: Endpoints,
    /// Settings of the deployment.
    pub deployment: Deployment,
}

impl Platform {
    /// Parses and validates the file; every error names its field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let p: Platform = toml::from_str(text).map_err(|e| SettingsError(vec![e.to_string()]))?;
        let mut errors = Vec::new();
        let mut check_addr = |field: String, v: &str| {
            if v.parse::<SocketAddr>().is_err() {
                errors.push(format!("{field}: \"{v}\" is not an IP address with a port"));
            }
        };
        check_addr("public_addr".into(), &p.public_addr);
        check_addr("cluster_listen".into(), &p.cluster_listen);
        check_addr("endpoints.cloud".into(), &p.endpoints.cloud);
        check_addr("endpoints.state".into(), &p.endpoints.state);
        for (i, peer) in p.peers.iter().enumerate() {
            check_addr(format!("peers[{i}].peer_addr"), &peer.peer_addr);
        }
        let d = &p.deployment;
        let positive = [
            ("deployment.workers.report_s", d.workers.report_s),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.cloud.rps", d.cloud.rps),
        ];
        for (field, v) in positive {
            if !(v.is_finite() && v > 0.0) {
                errors.push(format!("{field}: {v} must be above 0"));
            }
        }
        if !(d.cloud.list_lag_s.is_finite() && d.cloud.list_lag_s >= 0.0) {
            errors.push(format!("deployment.cloud.list_lag_s: {} must not be negative", d.cloud.list_lag_s));
        }
        if !(0.0..=10_000.0).contains(&d.max_clock_error_ms) {
            errors.push(format!("deployment.clock_off_ms: {} must be from 0 to 10000", d.max_clock_error_ms));
        }
        d.state.check("deployment.state", &mut errors);
        if d.machine_limits.sockets < 64 {
            errors.push("deployment.machine_limits.sockets: must be at least 64".into());
        }
        let mut names: Vec<&str> = p.peers.iter().map(|x| x.host_name.as_str()).collect();
        names.push(&p.host_name);
        names.sort();
        if names.windows(2).any(|w| w[0] == w[1]) || names.len() > 200 {
            errors.push("peers: names must differ, at most 199".into());
        }
        for (i, t) in d.teams.iter().enumerate() {
            for (f, v) in
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)]
            {
                if !(v.is_finite() && v >= 0.0) {
                    errors.push(format!("deployment.teams[{i}].{f}: {v} must not be negative"));
                }
            }
        }
        if errors.is_empty() { Ok(p) } else { Err(SettingsError(errors)) }
    }
}
