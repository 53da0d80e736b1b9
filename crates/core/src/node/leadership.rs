//! State of this node's leadership: the election, and the leader's records in flight.
use super::rejected_writes::RejectedWrites;
use crate::election::Election;
use crate::jobs::keys;
use crate::leader::{Leader, LeaderWrite};
use crate::token_bucket::TokenBucket;
use gorseshore_protocol::ids::Micros;
use gorseshore_settings::Operator;
use std::collections::{BTreeMap, BTreeSet};

/// The election, and the leader's work and writes while this node leads.
pub(super) struct Leadership {
    pub election: Election,
    /// Term and version of a leader key that was created and is not in the state replica yet.
    pub acquired: Option<(u64, u64)>,
    pub leader: Option<Leader>,
    /// Records in flight.
    pub inflight: BTreeSet<LeaderWrite>,
    pub open_txns: usize,
    pub next_txn_at: Micros,
    pub last_scan_at: Micros,
    /// Keys whose condition failed: how often in a row, and until when records that need them are
    /// skipped.
    pub contested: BTreeMap<String, (u32, Micros)>,
    /// Records that the state service rejected as invalid.
    pub rejected: RejectedWrites,
    pub bucket: TokenBucket,
    /// This node was in contact with another controller in this term of leadership.
    pub had_peers: bool,
    pub leaderless_since: Option<Micros>,
    /// A lease of this node that was revoked, or is left to expire.
    pub revoked_lease: Option<u64>,
}

impl Leadership {
    /// Not leading; `changes` is the state service's limit in writes per second.
    pub fn new(operator: &Operator, changes: f64, now: Micros) -> Self {
        Leadership {
            election: Election::new(operator.leader_lease),
            acquired: None,
            leader: None,
            inflight: BTreeSet::new(),
            open_txns: 0,
            next_txn_at: Micros(0),
            last_scan_at: Micros(0),
            contested: BTreeMap::new(),
            rejected: RejectedWrites::default(),
            bucket: TokenBucket::new(changes * 0.45, changes * 0.4, now),
            had_peers: false,
            leaderless_since: None,
            revoked_lease: None,
        }
    }

    /// Starts a term of leadership: no record of an earlier term is in flight any more.
    pub fn start_term(&mut self, leader: Leader) {
        self.inflight.clear();
        self.contested.clear();
        self.rejected = RejectedWrites::default();
        self.open_txns = 0;
        self.leader = Some(leader);
    }

    /// A transaction failed on the conditions of these keys. If the state replica is only behind, a
    /// short pause resolves it. If not, records that need these keys must not block the others, so
    /// they are skipped for longer each time.
    pub fn record_conflicts(&mut self, failed: &[String], now: Micros) {
        // Drops keys that have not failed again within 10 s after their pause.
        self.contested.retain(|_, (_, until)| now < *until + Micros::secs(10));
        for key in failed {
            let (times, until) = self.contested.entry(key.clone()).or_default();
            *times += 1;
            *until = now + Micros::millis(30 << (*times).min(8));
        }
    }

    /// Whether a new key of this name may be created now.
    pub fn may_create(&self, key: &str, now: Micros) -> bool {
        !self.is_contested(key, now)
    }

    fn is_contested(&self, key: &str, now: Micros) -> bool {
        self.contested.get(key).is_some_and(|(times, until)| *times > 1 && now < *until)
    }

    /// The part of the record whose keys are not contested now.
    pub fn uncontested(&self, w: LeaderWrite, now: Micros) -> Option<LeaderWrite> {
        if self.contested.is_empty() {
            return Some(w);
        }
        let may_use = |key: String| !self.is_contested(&key, now);
        let is_uncontested = match &w {
            // The record's key is named after one of the machines, and any of them will do.
            LeaderWrite::Machines(ids) => {
                let remaining: Vec<_> =
                    ids.iter().filter(|id| may_use(keys::machines(id))).cloned().collect();
                return (!remaining.is_empty()).then_some(LeaderWrite::Machines(remaining));
            }
            LeaderWrite::JobDone(id)
            | LeaderWrite::CancellationComplete(id)
            | LeaderWrite::CancelDependent(id) => may_use(keys::end(*id)),
            LeaderWrite::JobFailed(id, _) => may_use(keys::end(*id)) && may_use(keys::job(*id)),
            LeaderWrite::Progress(id, c) => may_use(keys::progress(*id, *c)) && may_use(keys::end(*id)),
            LeaderWrite::FailureCounts(id, c) => may_use(keys::failures(*id, *c)) && may_use(keys::end(*id)),
            LeaderWrite::RemoveDeletedMachines(key) => may_use(key.clone()),
            LeaderWrite::ScaleOutName(_) => true,
        };
        is_uncontested.then_some(w)
    }

    /// A transaction with these records ended, with whatever result.
    pub fn txn_completed(&mut self, writes: &[LeaderWrite]) {
        self.open_txns = self.open_txns.saturating_sub(1);
        for w in writes {
            self.inflight.remove(w);
        }
    }
}
