//! The file that the platform hands over.
use super::SettingsError;
use super::state_limits::StateLimits;
use gorseshore_protocol::ids::Resources;
use gorseshore_protocol::job::{JobSpec, Kind};
use serde::Deserialize;
use std::net::SocketAddr;

/// A team.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit, 0 for none.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit, 0 for none.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Whether a job could ever run within the team's limit: one task of an
    /// array, all of a service. 0 is no limit.
    pub fn could_run(&self, s: &JobSpec) -> bool {
        let n = if s.kind == Kind::Service { s.tasks as u64 } else { 1 };
        let max = Resources::have(self.cpus_max, self.gpus_max, 0.0);
        (max.cpu == 0 || s.need.cpu * n <= max.cpu) && (max.gpu == 0 || s.need.gpu * n <= max.gpu)
    }
}

/// What is expected of a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `finished`, `deadline`, `wait` and others.
    pub kind: String,
    /// Class of jobs.
    #[serde(default)]
    pub class: String,
    /// Time allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of the job's deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name.
    pub host_name: String,
    /// Zone.
    pub domain: String,
    /// Where it listens for controllers.
    pub peer_addr: String,
}

/// Outside services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Cloud.
    pub cloud: String,
    /// State service.
    pub state: String,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// How old a list may be.
    pub list_lag_s: f64,
}

/// Workers' timing.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between reports.
    pub report_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// Time for a cancellation.
    pub cancel_s: f64,
}

/// Limits of the controller's own machine.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Sockets.
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

/// The deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What is expected of classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers.
    pub workers: Workers,
    /// State service.
    pub state: StateLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// Own machine.
    #[serde(default)]
    pub machine_limits: Limits,
    /// How far a time of day may be from true time, in milliseconds.
    #[serde(default = "default_clock_off")]
    pub clock_off_ms: f64,
}
fn default_clock_off() -> f64 {
    25.0
}

/// The whole file. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Own name.
    pub host_name: String,
    /// Own zone.
    pub domain: String,
    /// For users and workers.
    pub public_addr: String,
    /// For controllers.
    pub cluster_listen: String,
    /// Other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Outside services.
    pub endpoints: Endpoints,
    /// The deployment.
    pub deployment: Deployment,
}

impl Platform {
    /// Reads and checks; every fault is reported with its field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let p: Platform = toml::from_str(text).map_err(|e| SettingsError(vec![e.to_string()]))?;
        let mut faults = Vec::new();
        let mut addr = |field: String, v: &str| {
            if v.parse::<SocketAddr>().is_err() {
                faults.push(format!("{field}: \"{v}\" is not an IP address with a port"));
            }
        };
        addr("public_addr".into(), &p.public_addr);
        addr("cluster_listen".into(), &p.cluster_listen);
        addr("endpoints.cloud".into(), &p.endpoints.cloud);
        addr("endpoints.state".into(), &p.endpoints.state);
        for (i, peer) in p.peers.iter().enumerate() {
            addr(format!("peers[{i}].peer_addr"), &peer.peer_addr);
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
                faults.push(format!("{field}: {v} must be above 0"));
            }
        }
        if !(d.cloud.list_lag_s.is_finite() && d.cloud.list_lag_s >= 0.0) {
            faults.push(format!("deployment.cloud.list_lag_s: {} must not be negative", d.cloud.list_lag_s));
        }
        if !(0.0..=10_000.0).contains(&d.clock_off_ms) {
            faults.push(format!("deployment.clock_off_ms: {} must be from 0 to 10000", d.clock_off_ms));
        }
        d.state.check("deployment.state", &mut faults);
        if d.machine_limits.sockets < 64 {
            faults.push("deployment.machine_limits.sockets: must be at least 64".into());
        }
        let mut names: Vec<&str> = p.peers.iter().map(|x| x.host_name.as_str()).collect();
        names.push(&p.host_name);
        names.sort();
        if names.windows(2).any(|w| w[0] == w[1]) || names.len() > 200 {
            faults.push("peers: names must differ, at most 199".into());
        }
        for (i, t) in d.teams.iter().enumerate() {
            for (f, v) in
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)]
            {
                if !(v.is_finite() && v >= 0.0) {
                    faults.push(format!("deployment.teams[{i}].{f}: {v} must not be negative"));
                }
            }
        }
        if faults.is_empty() { Ok(p) } else { Err(SettingsError(faults)) }
    }
}
