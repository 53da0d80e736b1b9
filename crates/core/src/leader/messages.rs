//! What the leader tells the controllers. Invariant: an update holds everything that
//! changed since the one that it names as its base, and no hand-out that a witness may
//! not know of.
use super::*;

/// A hand-out that had no outcome for so long is sent again.
const HAND_OUT_AGAIN: Micros = Micros::millis(250);

/// Orders go to a controller this often, if it keeps up.
const NEWS_INTERVAL: Micros = Micros::millis(15);
/// What it told is acknowledged this often.
const ACKNOWLEDGEMENT_INTERVAL: Micros = Micros::millis(100);
/// It is told who leads this often.
const IDLE_INTERVAL: Micros = Micros::millis(500);

impl Leader {
    /// Messages that are due.
    pub fn messages(&mut self, now: Micros, lease_ok: bool) -> Vec<(NodeId, Message)> {
        let mut out = Vec::new();
        for (n, id, addr) in std::mem::take(&mut self.probes) {
            out.push((n, Message::Probe { id, addr }));
        }
        if !self.granted {
            return out;
        }
        if lease_ok {
            out.extend(self.books_messages(now));
        }
        for i in 0..self.nodes.len() {
            let to = NodeId(i as u8);
            let n = &self.nodes[i];
            if n.incarnation == 0 || n.heard.is_none_or(|t| now.since(t) > Micros::secs(5)) {
                continue;
            }
            let interval = match (n.dirty, n.owed) {
                (true, _) => NEWS_INTERVAL,
                (false, true) => ACKNOWLEDGEMENT_INTERVAL,
                (false, false) => IDLE_INTERVAL,
            };
            let due = n.pacer.may_send(interval, now);
            if due {
                let m = self.update(to, now, lease_ok);
                out.push((to, m));
            }
        }
        out
    }

    /// What a controller has not acknowledged of the leader's orders.
    pub(super) fn update(&mut self, to: NodeId, now: Micros, lease_ok: bool) -> Message {
        if now.since(self.counted) >= Micros::millis(300) {
            self.counted = now;
            self.count_running();
        }
        self.version += 1;
        let seq = self.version;
        let node = &mut self.nodes[to.0 as usize];
        node.pacer.sent(seq, now);
        node.dirty = false;
        node.owed = false;
        let base = if node.seen < self.forgotten { 0 } else { node.seen };
        let (incarnation, ack) = (node.incarnation, node.sync_seq);
        let mut block = Vec::new();
        let mut elsewhere = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| base == 0 || m.stamp > base) {
            if m.holder == Some(to) {
                let draining = m.draining.is_some() || m.stage == Stage::Deleting;
                block.push(GrantedMachine {
                    id: id.clone(),
                    fencing_token: m.baton,
                    addr: m.addr.clone(),
                    draining,
                });
            } else {
                elsewhere.push((id.clone(), m.holder));
            }
        }
        let gone = self.gone.iter().filter(|(_, (_, stamp))| base > 0 && *stamp > base);
        elsewhere.extend(gone.map(|(id, _)| (id.clone(), None)));
        let held = |id: &MachineId| self.machines.get(id).is_some_and(|m| m.holder == Some(to));
        // Without a confirmed lease nothing is handed out or renewed.
        // Nor is anything that a witness may not know of.
        let covered = self.books.covered().unwrap_or(0);
        // One that may have been lost goes again; not with every update, which comes
        // many times before the outcome does.
        let due = |h: &&mut OnItsWay| {
            h.to == to && h.covered_by <= covered && h.sent.is_none_or(|t| now.since(t) >= HAND_OUT_AGAIN)
        };
        let mut open: Vec<(Assignment, u64)> = Vec::new();
        for h in self.handouts.values_mut().filter(|_| lease_ok).filter(due) {
            h.sent = Some(now);
            open.push((h.out.clone(), h.covered_by));
        }
        if let Some(at) = open.iter().map(|(_, at)| *at).max() {
            self.books.release(at);
        }
        let running = self.jobs.iter().filter(|(_, r)| r.reported_running.1 > base);
        Message::Update {
            term: self.term,
            seq,
            base,
            incarnation,
            acked_sync: ack,
            lease: if lease_ok { self.ctx.operator.block_lease } else { Micros(0) },
            block,
            not_in_block: elsewhere,
            assignments: open.into_iter().map(|(h, _)| h).collect(),
            stops: self.stops.values().filter(|(r, _)| held(&r.machine)).map(|(r, _)| r.clone()).collect(),
            running: running.map(|(id, r)| (*id, r.reported_running.0)).collect(),
        }
    }

    /// Numbers of running tasks, for display.
    pub(super) fn count_running(&mut self) {
        for r in self.jobs.values_mut() {
            let n = r.bound.keys().filter(|i| !r.done.contains(**i)).count() as u32;
            if n != r.reported_running.0 {
                r.reported_running = (n, self.version + 1);
            }
        }
    }

    /// What controllers are told of a machine changed.
    pub(super) fn tell(&mut self, id: &MachineId) {
        let stamp = self.version + 1;
        self.blocks.clear();
        if let Some(m) = self.machines.get_mut(id) {
            m.stamp = stamp;
            if let Some(n) = m.holder.and_then(|h| self.nodes.get_mut(h.0 as usize)) {
                n.dirty = true;
            }
        }
    }
}
