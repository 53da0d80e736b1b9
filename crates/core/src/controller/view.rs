//! What the leader is told. Invariant: a `Sync` holds everything that changed since
//! the one that it names as its base.
use super::*;

impl Controller {
    /// What the leader of `term` has not acknowledged of this controller's view.
    pub fn sync(
        &mut self,
        term: u64,
        strangers: Vec<Sighting>,
        ledger: &StateReplica,
        now: Micros,
    ) -> Message {
        self.sync_seq += 1;
        let seq = self.sync_seq;
        self.sync_sent.insert(seq, now);
        self.pacer.sent(seq, now);
        while self.sync_sent.len() > 64 {
            self.sync_sent.pop_first();
        }
        self.dirty = false;
        let (base, seen) = if term == self.term { (self.base, self.update_seq) } else { (0, 0) };
        let heard = self
            .workers
            .iter()
            .filter(|(_, w)| base > 0 && w.changed <= base && w.reported > base)
            .filter_map(|(id, w)| Some((id.clone(), now.since(w.heard?), w.number())))
            .collect();
        let machines = self
            .workers
            .iter_mut()
            .filter(|(_, w)| base == 0 || w.changed > base)
            .map(|(id, w)| {
                w.exits.values_mut().for_each(|e| *e = e.or(Some(seq)));
                let mut tasks = w.tasks.clone();
                let mut want_baton = false;
                for (k, s) in &w.starts {
                    let in_report = w.tasks.iter().find(|t| (t.task, t.attempt) == *k);
                    if in_report.is_none() {
                        tasks.push(Held { task: k.0, attempt: k.1, state: TaskState::Starting });
                    }
                    let unwanted = over(ledger.jobs.get(&k.0.job), k.0.index) || w.stops.contains_key(k);
                    let ended = in_report.is_some_and(|t| t.state.exited());
                    let ghost = s.seen && in_report.is_none();
                    want_baton |= s.sending == Sending::Uncertain
                        && s.baton == w.baton
                        && (ended || ghost || (unwanted && in_report.is_none()));
                }
                MachineState {
                    id: id.clone(),
                    baton: w.baton,
                    seen_baton: w.seen_baton,
                    last: w.number(),
                    obeys: w.obeys,
                    heard_ago: w.heard.map(|t| now.since(t)),
                    warning: w.warning.map(|(at, left)| left - now.since(at)),
                    want_baton,
                    tasks,
                }
            })
            .collect();
        let outcomes = self
            .outcomes
            .iter_mut()
            .map(|(a, p)| {
                p.told = p.told.or(Some(seq));
                Outcome { attempt: *a, machine: p.machine.clone() }
            })
            .collect();
        Message::Sync { term, seq, base, seen, machines, heard, strangers, outcomes }
    }

    /// Whether the leader may be sent a view, `interval` after the last one if it keeps up.
    pub fn may_sync(&self, interval: Micros, now: Micros) -> bool {
        self.pacer.may_send(interval, now)
    }

    /// Whether the leader of `term` knows nothing of this controller yet.
    pub fn unknown_to(&self, term: u64) -> bool {
        term != self.term || self.base == 0
    }
}
