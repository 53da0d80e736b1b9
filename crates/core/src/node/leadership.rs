//! Leadership: this node's part in the election, and the leader's work and
//! writes while it leads.
use super::refusals::Refusals;
use crate::election::Election;
use crate::jobs::keys;
use crate::leader::{Leader, LeaderWrite};
use crate::rate::Bucket;
use gorseshore_protocol::ids::Micros;
use gorseshore_settings::Operator;
use std::collections::{BTreeMap, BTreeSet};

/// The election, and what this node does as leader.
pub(super) struct Leadership {
    pub election: Election,
    /// Term and stamp of a key that was taken and is not yet in the mirror.
    pub won: Option<(u64, u64)>,
    pub leader: Option<Leader>,
    /// Writes under way.
    pub inflight: BTreeSet<LeaderWrite>,
    pub txns: usize,
    pub retry_at: Micros,
    pub wrote_at: Micros,
    /// Keys whose condition did not hold: how often in a row, and until when
    /// what needs them is left out.
    pub contested: BTreeMap<String, (u32, Micros)>,
    /// Writes that the state service called wrong.
    pub refused: Refusals,
    pub bucket: Bucket,
    /// Another controller was heard in this term as leader.
    pub had_peers: bool,
    pub vacant_since: Option<Micros>,
    /// A lease of this node that was ended, or runs out by itself.
    pub ended_lease: Option<u64>,
}

impl Leadership {
    /// Vacant; `changes` a second are the state service's.
    pub fn new(operator: &Operator, changes: f64, now: Micros) -> Self {
        Leadership {
            election: Election::new(operator.leader_lease),
            won: None,
            leader: None,
            inflight: BTreeSet::new(),
            txns: 0,
            retry_at: Micros(0),
            wrote_at: Micros(0),
            contested: BTreeMap::new(),
            refused: Refusals::default(),
            bucket: Bucket::new(changes * 0.45, changes * 0.4, now),
            had_peers: false,
            vacant_since: None,
            ended_lease: None,
        }
    }

    /// Nothing of an earlier term is under way any more.
    pub fn take_up(&mut self, leader: Leader) {
        self.inflight.clear();
        self.contested.clear();
        self.refused = Refusals::default();
        self.txns = 0;
        self.leader = Some(leader);
    }

    /// A transaction failed on these keys. The mirror may only be behind, which
    /// a moment mends; where it isn't, what needs the key must not hold up the
    /// rest, so it is left out for longer each time.
    pub fn contest(&mut self, failed: &[String], now: Micros) {
        // Who fails no more is forgotten.
        self.contested.retain(|_, (_, until)| now < *until + Micros::secs(10));
        for key in failed {
            let (times, until) = self.contested.entry(key.clone()).or_default();
            *times += 1;
            *until = now + Micros::millis(30 << (*times).min(8));
        }
    }

    /// Whether a new key of this name may be tried.
    pub fn may_create(&self, key: &str, now: Micros) -> bool {
        !self.is_contested(key, now)
    }

    fn is_contested(&self, key: &str, now: Micros) -> bool {
        self.contested.get(key).is_some_and(|(times, until)| *times > 1 && now < *until)
    }

    /// The write as far as its keys are not contested now.
    pub fn uncontested(&self, w: LeaderWrite, now: Micros) -> Option<LeaderWrite> {
        if self.contested.is_empty() {
            return Some(w);
        }
        let free = |key: String| !self.is_contested(&key, now);
        let good = match &w {
            // Any of them can give the record its name.
            LeaderWrite::Machines(ids) => {
                let left: Vec<_> = ids.iter().filter(|id| free(keys::machines(id))).cloned().collect();
                return (!left.is_empty()).then_some(LeaderWrite::Machines(left));
            }
            LeaderWrite::End(id) | LeaderWrite::Settle(id) | LeaderWrite::CancelledWith(id) => {
                free(keys::end(*id))
            }
            LeaderWrite::Fail(id, _) => free(keys::end(*id)) && free(keys::job(*id)),
            LeaderWrite::Progress(id, c) => free(keys::progress(*id, *c)) && free(keys::end(*id)),
            LeaderWrite::Failures(id, c) => free(keys::failures(*id, *c)) && free(keys::end(*id)),
            LeaderWrite::Forget(key) => free(key.clone()),
            LeaderWrite::Hire(_) => true,
        };
        good.then_some(w)
    }

    /// These writes came back, whatever the answer.
    pub fn returned(&mut self, writes: &[LeaderWrite]) {
        self.txns = self.txns.saturating_sub(1);
        for w in writes {
            self.inflight.remove(w);
        }
    }
}
