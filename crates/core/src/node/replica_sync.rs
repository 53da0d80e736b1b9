//! The state replica's list and watch calls, and whether the state service is reachable.
use crate::jobs::StateReplica;
use crate::state_listing::StateListing;
use gorseshore_protocol::ids::Micros;

/// A read barrier is sent when the state service has answered nothing for this time.
const MAX_ANSWER_AGE: Micros = Micros::millis(900);

/// Progress of reading all keys, page by page.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReadProgress {
    pub started_at: Micros,
    pub pages: u32,
    pub bytes: usize,
    pub interruptions: u32,
}

/// The state replica and the calls that keep it up to date.
#[derive(Debug, Default)]
pub(super) struct ReplicaSync {
    pub replica: StateReplica,
    /// All keys were read.
    pub listed: bool,
    /// It has been up to date at least once.
    pub loaded: bool,
    /// A list call is in flight.
    pub list_in_flight: bool,
    pub read_progress: ReadProgress,
    /// A watch call is in flight.
    pub watch_in_flight: bool,
    /// No new watch before this.
    pub next_watch_at: Micros,
    pub next_list_at: Micros,
    /// An interrupted read of all keys.
    pub interrupted_list: Option<Box<StateListing>>,
    /// When the last read barrier that succeeded was sent: the replica holds all that was recorded
    /// before.
    pub proven_at: Option<Micros>,
    /// When the state service last answered, and when a call to it last failed.
    pub last_success: Option<Micros>,
    pub last_failure: Option<Micros>,
}

impl ReplicaSync {
    /// Whether a read barrier is due to tell whether the state service is reachable.
    pub fn read_due(&self, now: Micros) -> bool {
        !self.loaded || self.last_success.is_none_or(|t| now.since(t) > MAX_ANSWER_AGE)
    }

    /// Whether the state service answered within the last 2500 ms.
    pub fn state_reachable(&self, now: Micros) -> bool {
        self.last_success.is_some_and(|t| now.since(t) < Micros::millis(2500))
    }

    /// Whether the last call to the state service failed, less than 1500 ms ago.
    pub fn state_unavailable(&self, now: Micros) -> bool {
        self.last_failure > self.last_success
            && self.last_failure.is_some_and(|t| now.since(t) < Micros::millis(1500))
    }
}
