//! The mirror of the state service, and what is known of the service itself.
use crate::jobs::StateReplica;
use gorseshore_protocol::ids::Micros;

/// A reading of all keys, page by page.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StateReading {
    pub began: Micros,
    pub pages: u32,
    pub bytes: usize,
    pub interruptions: u32,
}

/// The mirror.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    pub ledger: StateReplica,
    /// All keys were read.
    pub listed: bool,
    /// It was up to date once.
    pub loaded: bool,
    /// A listing is open.
    pub listing: bool,
    pub reading: StateReading,
    /// A watch is open.
    pub following: bool,
    /// The next watch is opened no earlier.
    pub follow_at: Micros,
    pub retry_list_at: Micros,
    /// A listing that was interrupted: after which key it goes on, the revision
    /// of its first page, and what was read.
    pub so_far: Option<(Option<String>, Option<u64>, Box<StateReplica>)>,
    /// The service's last good and last bad answers.
    pub ok_at: Option<Micros>,
    pub fail_at: Option<Micros>,
}

impl Mirror {
    /// Whether the state service answered of late.
    pub fn state_ok(&self, now: Micros) -> bool {
        self.ok_at.is_some_and(|t| now.since(t) < Micros::millis(2500))
    }

    /// Whether the last word of the state service was a refusal, just now.
    pub fn state_refuses(&self, now: Micros) -> bool {
        self.fail_at > self.ok_at && self.fail_at.is_some_and(|t| now.since(t) < Micros::millis(1500))
    }
}
