//! Updates and probe requests from the leader to the controllers. Invariant: an update
//! contains everything that changed since the one that it names as its base, and no
//! assignment that a replica of the placement log may lack.
use super::*;

/// An assignment without an outcome is sent again after this.
const ASSIGNMENT_RETRY_INTERVAL: Micros = Micros::millis(250);

/// Minimum interval between updates with changes to a controller that keeps up.
const CHANGE_INTERVAL: Micros = Micros::millis(15);
/// Minimum interval between updates that only acknowledge a controller's `Sync`.
const ACKNOWLEDGEMENT_INTERVAL: Micros = Micros::millis(100);
/// Interval between updates without content, which show the controller who leads.
const IDLE_INTERVAL: Micros = Micros::millis(500);

impl Leader {
    /// Messages that are due.
    pub fn due_messages(&mut self, now: Micros, lease_ok: bool) -> Vec<(NodeId, Message)> {
        let mut out = Vec::new();
        for (n, id, addr) in std::mem::take(&mut self.probes) {
            out.push((n, Message::Probe { id, addr }));
        }
        if !self.grants_started {
            return out;
        }
        if lease_ok {
            out.extend(self.log_messages(now));
        }
        for i in 0..self.nodes.len() {
            let to = NodeId(i as u8);
            let n = &self.nodes[i];
            if n.incarnation == 0 || n.last_contact.is_none_or(|t| now.since(t) > Micros::secs(5)) {
                continue;
            }
            let interval = match (n.update_due, n.ack_due) {
                (true, _) => CHANGE_INTERVAL,
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

    /// The update with everything that a controller has not acknowledged.
    pub(super) fn update(&mut self, to: NodeId, now: Micros, lease_ok: bool) -> Message {
        if now.since(self.running_counted_at) >= Micros::millis(300) {
            self.running_counted_at = now;
            self.count_running();
        }
        self.update_seq += 1;
        let seq = self.update_seq;
        let node = &mut self.nodes[to.0 as usize];
        node.pacer.sent(seq, now);
        node.update_due = false;
        node.ack_due = false;
        let base = if node.acked_update < self.min_update_base { 0 } else { node.acked_update };
        let (incarnation, acked_sync) = (node.incarnation, node.sync_seq);
        let mut block = Vec::new();
        let mut not_in_block = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| base == 0 || m.changed_in > base) {
            if m.holder == Some(to) {
                let draining = m.draining.is_some() || m.stage == Stage::Deleting;
                block.push(GrantedMachine {
                    id: id.clone(),
                    fencing_token: m.fencing_token,
                    addr: m.addr.clone(),
                    draining,
                });
            } else {
                not_in_block.push((id.clone(), m.holder));
            }
        }
        let deleted = self.deleted_machines.iter().filter(|(_, (_, seq))| base > 0 && *seq > base);
        not_in_block.extend(deleted.map(|(id, _)| (id.clone(), None)));
        let held = |id: &MachineId| self.machines.get(id).is_some_and(|m| m.holder == Some(to));
        // Without a confirmed lease no task is assigned and no block lease renewed. Nor is an
        // assignment sent that a replica may lack.
        let covered = self.placement_log.covered().unwrap_or(0);
        // An assignment that may be lost is sent again, but not with every update: many
        // updates leave before its outcome arrives.
        let due = |pending: &&mut PendingAssignment| {
            pending.to == to
                && pending.log_seq <= covered
                && pending.sent.is_none_or(|t| now.since(t) >= ASSIGNMENT_RETRY_INTERVAL)
        };
        let mut assignments: Vec<(Assignment, u64)> = Vec::new();
        for pending in self.pending_assignments.values_mut().filter(|_| lease_ok).filter(due) {
            pending.sent = Some(now);
            assignments.push((pending.assignment.clone(), pending.log_seq));
        }
        if let Some(at) = assignments.iter().map(|(_, at)| *at).max() {
            self.placement_log.mark_released(at);
        }
        let running = self.jobs.iter().filter(|(_, r)| r.reported_running.1 > base);
        Message::Update {
            term: self.term,
            seq,
            base,
            incarnation,
            acked_sync,
            lease: if lease_ok { self.config.operator.block_lease } else { Micros(0) },
            block,
            not_in_block,
            assignments: assignments.into_iter().map(|(assignment, _)| assignment).collect(),
            stops: self
                .pending_stops
                .values()
                .filter(|(r, _)| held(&r.machine))
                .map(|(r, _)| r.clone())
                .collect(),
            running: running.map(|(id, r)| (*id, r.reported_running.0)).collect(),
        }
    }

    /// Counts each job's running tasks, for display.
    pub(super) fn count_running(&mut self) {
        for r in self.jobs.values_mut() {
            let n = r.bound.keys().filter(|i| !r.done.contains(**i)).count() as u32;
            if n != r.reported_running.0 {
                r.reported_running = (n, self.update_seq + 1);
            }
        }
    }

    /// Marks that a machine changed in a way that controllers have to be notified of.
    pub(super) fn mark_changed(&mut self, id: &MachineId) {
        let seq = self.update_seq + 1;
        self.blocks.clear();
        if let Some(m) = self.machines.get_mut(id) {
            m.changed_in = seq;
            if let Some(n) = m.holder.and_then(|h| self.nodes.get_mut(h.0 as usize)) {
                n.update_due = true;
            }
        }
    }
}
