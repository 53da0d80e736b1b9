//! Records when a zone was proved reachable.
//!
//! A zone is proved reachable at a time if enough of its machines answered probes that were sent
//! then or later. Only the outcomes of probes count: how long ago a response arrived, or how often
//! machines are probed, says nothing about the zone.
use gorseshore_protocol::ids::Micros;
use std::collections::VecDeque;

/// Silent machines that one answering machine is enough evidence for.
const MAX_SILENT_PER_ANSWERING: usize = 4;
/// Machines that may be deleted by a wrong judgement: this costs machines, but breaks no
/// guarantee. So this many silent machines of a zone require no responses of others, and a zone of
/// no more machines may be deleted without any response from it once no work can be lost with it.
pub(super) const MAX_WRONG_DELETIONS: usize = 3;
/// Proofs kept for a zone. A probe that times out after its proof was dropped is confirmed by a
/// later proof.
const MAX_PROOFS: usize = 64;

/// Machines of a zone that must answer before `silent` others of it count as failed themselves.
pub(super) fn answers_needed(silent: usize) -> usize {
    silent.saturating_sub(MAX_WRONG_DELETIONS).div_ceil(MAX_SILENT_PER_ANSWERING).max(1)
}

/// The outcomes of a zone's latest probes.
#[derive(Debug, Default)]
pub(super) struct ProbeOutcomes {
    /// All running machines, including those never probed.
    pub(super) machines: usize,
    /// Machines whose last probe was not answered.
    pub(super) silent: usize,
    /// When the last answered probe of each other machine was sent.
    answered: Vec<Micros>,
}

impl ProbeOutcomes {
    /// Adds a machine that answered, and when its last answered probe was sent.
    pub(super) fn add_answered(&mut self, sent: Micros) {
        self.answered.push(sent);
    }

    /// When the last answered probe of any machine was sent.
    pub(super) fn last_answered(&self) -> Option<Micros> {
        self.answered.iter().copied().max()
    }

    /// The latest time at which these outcomes prove the zone reachable: enough machines answered
    /// probes that were sent then or later.
    pub(super) fn proof(&self) -> Option<Micros> {
        let mut latest_first = self.answered.clone();
        latest_first.sort_unstable_by(|a, b| b.cmp(a));
        latest_first.get(answers_needed(self.silent) - 1).copied()
    }
}

/// The times at which a zone was proved reachable, in ascending order.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    proofs: VecDeque<Micros>,
}

impl Reachability {
    /// Adds a proof unless a later one is known.
    pub(super) fn add_proof(&mut self, at: Micros) {
        if self.proofs.back().is_some_and(|last| *last >= at) {
            return;
        }
        if self.proofs.len() >= MAX_PROOFS {
            self.proofs.pop_front();
        }
        self.proofs.push_back(at);
    }

    /// The first proof at or after a time.
    pub(super) fn proved_since(&self, at: Micros) -> Option<Micros> {
        let first = self.proofs.partition_point(|proof| *proof < at);
        self.proofs.get(first).copied()
    }
}
