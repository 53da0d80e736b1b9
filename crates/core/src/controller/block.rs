//! Applies the leader's updates of the block, the machines leased to this controller. Invariant: the
//! block here is one that the leader had, since an update is applied only on top of its base.
use super::*;

impl Controller {
    /// Applies changes of the block; with `full`, `block` is all of it. Returns the number of
    /// machines granted.
    pub fn apply_block(
        &mut self,
        full: bool,
        block: &[GrantedMachine],
        not_in_block: &[(MachineId, Option<NodeId>)],
    ) -> usize {
        let mut added = 0;
        if full {
            let keep: BTreeSet<&MachineId> = block.iter().map(|g| &g.id).collect();
            self.workers.retain(|id, _| keep.contains(id));
            self.holders.clear();
        }
        for (id, holder) in not_in_block {
            self.workers.remove(id);
            match holder {
                Some(n) => self.holders.insert(id.clone(), *n),
                None => self.holders.remove(id),
            };
        }
        for g in block {
            self.holders.remove(&g.id);
            let w = self.workers.entry(g.id.clone()).or_insert_with(|| {
                added += 1;
                Worker::new(g)
            });
            w.draining = g.draining;
            if w.addr.is_empty() {
                w.addr = g.addr.clone();
            }
            if g.fencing_token > w.fencing_token {
                w.raise_token(g.fencing_token);
                added += 1;
            }
            self.mark_changed(&g.id);
        }
        added
    }

    /// Accepts an update unless it is outdated or a duplicate, or its base was not applied here.
    pub fn accept_update(&mut self, term: u64, seq: u64, base: u64) -> bool {
        if term < self.term || (term == self.term && seq <= self.update_seq) {
            return false;
        }
        if base > 0 && (term > self.term || base > self.update_seq) {
            return false;
        }
        if term > self.term {
            // Sequence numbers and outcomes belong to the leader of one term.
            self.outcomes.clear();
            self.acked = 0;
            self.base = 0;
            self.sync_sent.clear();
            self.pacer = Pacer::default();
            self.lease_until = Micros(0);
            self.running_counts.clear();
            for w in self.workers.values_mut() {
                w.exits.values_mut().for_each(|e| *e = None);
            }
        }
        self.term = term;
        self.update_seq = seq;
        true
    }

    /// Applies counts of running tasks; with `full`, they replace all earlier ones.
    pub fn apply_running_counts(&mut self, full: bool, running: &[(JobId, u32)]) {
        if full {
            self.running_counts.clear();
        }
        for (id, n) in running {
            match n {
                0 => self.running_counts.remove(id),
                n => self.running_counts.insert(*id, *n),
            };
        }
    }

    /// Records for the pacing of further messages that the leader has acknowledged a `Sync`.
    pub fn record_sync_ack(&mut self, ack: u64, now: Micros) {
        self.pacer.acknowledged(ack, now);
    }

    /// Makes the `Sync` numbered `ack`, which the leader has applied, the base of the next one, and
    /// extends the block lease, which counts from when that `Sync` was sent.
    pub fn apply_sync_ack(&mut self, ack: u64, lease: Micros) {
        self.base = ack;
        if let Some(sent) = self.sync_sent.get(&ack).copied() {
            // Less 0.1% for the drift between the clocks.
            self.lease_until = self.lease_until.max(sent + lease.scale(999, 1000));
        }
        self.sync_sent.retain(|s, _| *s >= ack);
        if ack > self.acked {
            self.acked = ack;
            self.outcomes.retain(|_, p| p.first_sync.is_none_or(|s| s > ack));
        }
    }
}
