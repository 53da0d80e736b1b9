//! Leadership: this node's part in the election, and the leader's work and
//! writes while it leads.
use crate::election::Election;
use crate::leader::{Leader, LeaderWrite};
use crate::rate::Bucket;
use gorseshore_protocol::ids::Micros;
use gorseshore_settings::Operator;
use std::collections::BTreeSet;

/// The office.
pub(super) struct Office {
    pub election: Election,
    /// Term and stamp of a key that was taken and is not yet in the mirror.
    pub won: Option<(u64, u64)>,
    pub leader: Option<Leader>,
    /// Writes under way.
    pub inflight: BTreeSet<LeaderWrite>,
    pub txns: usize,
    pub retry_at: Micros,
    pub wrote_at: Micros,
    pub bucket: Bucket,
    /// Another controller was heard in this term as leader.
    pub had_company: bool,
    pub vacant_since: Option<Micros>,
    /// A lease of this node that was ended, or runs out by itself.
    pub ended_lease: Option<u64>,
}

impl Office {
    /// Vacant; `changes` a second are the state service's.
    pub fn new(operator: &Operator, changes: f64, now: Micros) -> Self {
        Office {
            election: Election::new(operator.leader_lease),
            won: None,
            leader: None,
            inflight: BTreeSet::new(),
            txns: 0,
            retry_at: Micros(0),
            wrote_at: Micros(0),
            bucket: Bucket::new(changes * 0.45, changes * 0.4, now),
            had_company: false,
            vacant_since: None,
            ended_lease: None,
        }
    }

    /// Nothing of an earlier term is under way any more.
    pub fn take_up(&mut self, leader: Leader) {
        self.inflight.clear();
        self.txns = 0;
        self.leader = Some(leader);
    }

    /// These writes came back, whatever the answer.
    pub fn returned(&mut self, writes: &[LeaderWrite]) {
        self.txns = self.txns.saturating_sub(1);
        for w in writes {
            self.inflight.remove(w);
        }
    }
}
