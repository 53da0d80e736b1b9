//! Messages of the workers' API: reports (heartbeats) and commands.
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Order of a worker's reports: by agent epoch, then by heartbeat sequence. A report
/// whose number is not above the last known one is a duplicate or was delayed in transit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct HeartbeatSeq {
    /// Agent epoch.
    pub shift: u64,
    /// Heartbeat sequence within the agent epoch.
    pub tally: u64,
}

/// A worker's report of its machine and tasks.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
    /// Name of the worker's machine.
    pub host: String,
    /// Address at which the worker accepts commands.
    pub addr: String,
    /// Machine type.
    pub build: String,
    /// Zone of the machine.
    pub yard: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub loaners: bool,
    /// Agent epoch.
    pub shift: u64,
    /// Heartbeat sequence within the agent epoch.
    pub tally: u64,
    /// Highest fencing token that the worker has seen.
    pub baton: u64,
    /// Seconds until the cloud preempts the machine, if the cloud announced it.
    #[serde(default)]
    pub warning_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(default)]
    pub pieces: Vec<Piece>,
}

impl Report {
    /// Position among the worker's reports.
    pub fn number(&self) -> HeartbeatSeq {
        HeartbeatSeq { shift: self.shift, tally: self.tally }
    }
}

/// A task in a report.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Piece {
    /// Task id in its text form.
    pub piece: String,
    /// Attempt id.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Task state.
    pub stage: String,
    /// Why the task ended.
    #[serde(default)]
    pub cause: Option<String>,
    /// Whether the task's progress was saved.
    #[serde(default)]
    pub kept: Option<bool>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// `run`, `halt` or `clear`.
    pub verb: String,
    /// Task id in its text form.
    pub piece: String,
    /// Attempt id.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds that the task has to save its progress.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub wind_down_s: Option<f64>,
}

/// Response to a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token under which the commands are sent.
    pub baton: u64,
    /// Commands for the worker to carry out.
    pub orders: Vec<Order>,
}

/// Body of `POST /do`, by which a controller sends commands without waiting for a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Direct {
    /// Fencing token under which the commands are sent.
    pub baton: u64,
    /// Agent epoch that the commands are meant for.
    pub shift: u64,
    /// Commands for the worker to carry out.
    pub orders: Vec<Order>,
}
