//! Messages of the workers' API: reports (heartbeats) and commands.
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Order of a worker's reports: by agent epoch, then by heartbeat sequence. A report that
/// is not above the last known one in this order is a duplicate or was delayed in transit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct HeartbeatSeq {
    /// Agent epoch.
    pub agent_epoch: u64,
    /// Heartbeat sequence within the agent epoch.
    pub sequence: u64,
}

/// A worker's report of its machine and tasks.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
    /// Name of the worker's machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker accepts commands.
    pub addr: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Agent epoch.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Heartbeat sequence within the agent epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the machine, if the cloud announced it.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportedTask>,
}

impl Report {
    /// Position among the worker's reports.
    pub fn heartbeat_seq(&self) -> HeartbeatSeq {
        HeartbeatSeq { agent_epoch: self.agent_epoch, sequence: self.sequence }
    }
}

/// A task in a report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReportedTask {
    /// Task id in its text form.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt id.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Task state.
    #[serde(rename = "stage")]
    pub state: String,
    /// Why the task ended.
    #[serde(default)]
    pub cause: Option<String>,
    /// Whether the task's progress was saved.
    #[serde(rename = "kept", default)]
    pub checkpointed: Option<bool>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// `run`, `halt` or `clear`.
    #[serde(rename = "verb")]
    pub action: String,
    /// Task id in its text form.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt id.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds that the task has to save its progress.
    #[serde(rename = "wind_down_s", skip_serializing_if = "Option::is_none", default)]
    pub grace_period_s: Option<f64>,
}

/// Response to a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token under which the response is sent.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands for the worker to carry out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of `POST /do`, by which a controller sends commands without waiting for a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Fencing token under which the commands are sent.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Agent epoch that the commands are meant for.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Commands for the worker to carry out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
