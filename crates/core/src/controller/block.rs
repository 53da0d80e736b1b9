//! The block as the leader leases it. Invariant: what is here is a block that the
//! leader had, since an update counts only over the one that it builds on.
use super::*;

impl Controller {
    /// Takes what changed of the leader's block; `whole` if that is all of it.
    /// Returns how many machines were granted.
    pub fn apply_block(
        &mut self,
        whole: bool,
        block: &[GrantedMachine],
        elsewhere: &[(MachineId, Option<NodeId>)],
    ) -> usize {
        let mut added = 0;
        if whole {
            let keep: BTreeSet<&MachineId> = block.iter().map(|g| &g.id).collect();
            self.workers.retain(|id, _| keep.contains(id));
            self.holders.clear();
        }
        for (id, holder) in elsewhere {
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
            if g.fencing_token > w.baton {
                w.baton = g.fencing_token;
                w.announce = true;
                w.not_before = Micros(0);
                added += 1;
            }
            self.touch(&g.id);
        }
        added
    }

    /// Whether an update is news, and not one that was held up on the way, and
    /// the one that it builds on was taken.
    pub fn accept_update(&mut self, term: u64, seq: u64, base: u64) -> bool {
        if term < self.term || (term == self.term && seq <= self.update_seq) {
            return false;
        }
        if base > 0 && (term > self.term || base > self.update_seq) {
            return false;
        }
        if term > self.term {
            // Seqs and outcomes belong to a term's leader.
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

    /// Takes numbers of running tasks; `whole` if these are all.
    pub fn apply_running_counts(&mut self, whole: bool, running: &[(JobId, u32)]) {
        if whole {
            self.running_counts.clear();
        }
        for (id, n) in running {
            match n {
                0 => self.running_counts.remove(id),
                n => self.running_counts.insert(*id, *n),
            };
        }
    }

    /// The leader's acknowledgement of a view came.
    pub fn record_sync_ack(&mut self, ack: u64, now: Micros) {
        self.pacer.acknowledged(ack, now);
    }

    /// The leader took the `Sync` numbered `ack`.
    pub fn apply_sync_ack(&mut self, ack: u64, lease: Micros) {
        self.base = ack;
        if let Some(sent) = self.sync_sent.get(&ack).copied() {
            // Less 0.1% for the drift between the clocks.
            self.lease_until = self.lease_until.max(sent + lease.scale(999, 1000));
        }
        self.sync_sent.retain(|s, _| *s >= ack);
        if ack > self.acked {
            self.acked = ack;
            self.outcomes.retain(|_, p| p.told.is_none_or(|t| t > ack));
        }
    }
}
