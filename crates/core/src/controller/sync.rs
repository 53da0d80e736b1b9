//! Reports to the leader. Invariant: a `Sync` holds everything that changed since the one that it
//! names as its base.
use super::*;

impl Controller {
    /// The part of this controller's view that the leader of `term` has not acknowledged.
    pub fn sync(
        &mut self,
        term: u64,
        unleased_reports: Vec<UnleasedReport>,
        state_replica: &StateReplica,
        now: Micros,
    ) -> Message {
        self.sync_seq += 1;
        let seq = self.sync_seq;
        self.sync_sent.insert(seq, now);
        self.pacer.sent(seq, now);
        while self.sync_sent.len() > 64 {
            self.sync_sent.pop_first();
        }
        self.sync_pending = false;
        let (base, acked_update) = if term == self.term { (self.base, self.update_seq) } else { (0, 0) };
        let contacts = self
            .workers
            .iter()
            .filter(|(_, w)| base > 0 && w.changed_in <= base && w.reported_in > base)
            .filter_map(|(id, w)| Some((id.clone(), now.since(w.last_contact?), w.heartbeat_seq())))
            .collect();
        let machines = self
            .workers
            .iter_mut()
            .filter(|(_, w)| base == 0 || w.changed_in > base)
            .map(|(id, w)| {
                w.exits.values_mut().for_each(|e| *e = e.or(Some(seq)));
                let mut tasks = w.tasks.clone();
                let starting = w.starts.keys().filter(|k| !w.has(k));
                tasks.extend(starting.map(|k| TaskStatus {
                    task: k.0,
                    attempt: k.1,
                    state: TaskState::Starting,
                }));
                w.token_requested = w.needs_new_token(state_replica, now);
                MachineState {
                    id: id.clone(),
                    fencing_token: w.fencing_token,
                    seen_fencing_token: w.seen_fencing_token,
                    last_report: w.heartbeat_seq(),
                    acknowledges_commands: w.acknowledges_commands,
                    last_contact_age: w.last_contact.map(|t| now.since(t)),
                    preemption_notice: w
                        .preemption_notice
                        .map(|(at, left)| left.saturating_sub(now.since(at))),
                    needs_new_fencing_token: w.token_requested,
                    tasks,
                }
            })
            .collect();
        let outcomes = self
            .outcomes
            .iter_mut()
            .map(|(a, p)| {
                p.first_sync = p.first_sync.or(Some(seq));
                AssignmentOutcome { attempt: *a, machine: p.machine.clone() }
            })
            .collect();
        Message::Sync { term, seq, base, acked_update, machines, contacts, unleased_reports, outcomes }
    }

    /// Whether the next `Sync` may be sent: `interval` after the last one if the leader keeps up.
    pub fn may_sync(&self, interval: Micros, now: Micros) -> bool {
        self.pacer.may_send(interval, now)
    }

    /// Whether the leader of `term` has not applied any `Sync` of this controller yet.
    pub fn needs_full_sync(&self, term: u64) -> bool {
        term != self.term || self.base == 0
    }
}
