//! The state replica's list and watch calls, and whether the state service is reachable.
use crate::jobs::Ledger;
use gorseshore_protocol::ids::Micros;

/// Progress of reading all keys, page by page.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StateReading {
    pub began: Micros,
    pub pages: u32,
    pub bytes: usize,
    pub interruptions: u32,
}

/// The state replica and the calls that keep it up to date.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    pub ledger: Ledger,
    /// All keys were read.
    pub listed: bool,
    /// It has been up to date at least once.
    pub loaded: bool,
    /// A list call is in flight.
    pub listing: bool,
    pub reading: StateReading,
    /// A watch call is in flight.
    pub following: bool,
    /// No new watch before this.
    pub follow_at: Micros,
    pub retry_list_at: Micros,
    /// An interrupted read: the key after which it resumes, the revision of its first page, and
    /// what was read.
    pub so_far: Option<(Option<String>, Option<u64>, Box<Ledger>)>,
    /// When the state service last answered, and when a call to it last failed.
    pub ok_at: Option<Micros>,
    pub fail_at: Option<Micros>,
}

impl Mirror {
    /// Whether the state service answered within the last 2500 ms.
    pub fn state_ok(&self, now: Micros) -> bool {
        self.ok_at.is_some_and(|t| now.since(t) < Micros::millis(2500))
    }

    /// Whether the last call to the state service failed, less than 1500 ms ago.
    pub fn state_refuses(&self, now: Micros) -> bool {
        self.fail_at > self.ok_at && self.fail_at.is_some_and(|t| now.since(t) < Micros::millis(1500))
    }
}
