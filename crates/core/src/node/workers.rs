//! Check-ins.
use super::*;

impl Node {
    pub(super) fn checkin(&mut self, id: RequestId, body: &[u8]) {
        let Ok(r) = serde_json::from_slice::<Report>(body) else {
            return self.out.answer(id, 400, users::error("not a report"));
        };
        let Some(tasks) = read_tasks(&r) else {
            return self.out.answer(id, 400, users::error("a task's name is unreadable"));
        };
        let machine = MachineId::from(&*r.host);
        match self.ctl.checkin(&r, tasks, &self.mirror.ledger, self.now) {
            CheckinReply::Orders(baton, orders) => {
                let body = serde_json::to_vec(&CheckinAnswer { baton: baton.0, orders }).unwrap_or_default();
                self.out.answer(id, 200, body);
            }
            CheckinReply::Elsewhere(to) => {
                let rec = MachineRecord {
                    build: r.build.clone(),
                    zone: r.yard.clone(),
                    spot: r.loaners,
                    addr: r.addr.clone(),
                };
                self.tell_seen(&machine, rec);
                match self.holder_to_name(&machine, to) {
                    Some(n) => self.send_elsewhere(id, n),
                    // A grant may come in a moment: the answer waits for it.
                    None => {
                        let until = self.now + Micros::millis(600);
                        if let Some((old, r, _)) = self.held_check_ins.held.insert(machine, (id, r, until)) {
                            self.keep_alive(old, &r);
                        }
                    }
                }
            }
        }
        self.drive();
    }

    /// The holder that a worker is sent to, unless it was sent there just now
    /// and came back: it can't reach it.
    fn holder_to_name(&mut self, machine: &MachineId, holder: Option<NodeId>) -> Option<NodeId> {
        let n = holder.filter(|n| *n != self.nodes.me && self.hears(*n, HEARD))?;
        let now = self.now;
        self.held_check_ins.redirected.retain(|_, t| now.since(*t) < Micros::secs(12));
        match self.held_check_ins.redirected.get(machine) {
            Some(t) if now.since(*t) > Micros::millis(1500) => None,
            Some(_) => Some(n),
            None => {
                self.held_check_ins.redirected.insert(machine.clone(), now);
                Some(n)
            }
        }
    }

    /// Renews the lease of a worker whose machine this node does not hold, and
    /// whose holder it does not know or the worker can't reach: with the token
    /// that the worker showed, so that nothing is started and a newer grant is
    /// not touched. Only what is over is stopped.
    fn keep_alive(&mut self, id: RequestId, r: &Report) {
        let tasks = read_tasks(r).unwrap_or_default();
        let orders = Controller::stops_for_stranger(&tasks, &self.mirror.ledger);
        let body = serde_json::to_vec(&CheckinAnswer { baton: r.baton, orders }).unwrap_or_default();
        self.out.answer(id, 200, body);
    }

    pub(super) fn send_elsewhere(&mut self, id: RequestId, to: NodeId) {
        let body = match self.nodes.names.get(to.0 as usize) {
            Some(name) => json!({ "foreman": name }),
            None => json!({}),
        };
        self.out.answer(id, 421, body.to_string().into_bytes());
    }

    pub(super) fn tell_seen(&mut self, id: &MachineId, rec: MachineRecord) {
        if self.mirror.ledger.machines.contains_key(id) {
            // The leader knows it: the next `Sync` names it.
            self.held_check_ins.strangers.insert(id.clone(), self.now);
            self.ctl.dirty = true;
        } else if let Some(to) = self.leader_node() {
            let m = Message::Seen {
                id: id.clone(),
                build: rec.build,
                zone: rec.zone,
                spot: rec.spot,
                addr: rec.addr,
            };
            self.send(to, m);
        }
    }

    pub(super) fn answer_held(&mut self) {
        let due: Vec<MachineId> = self
            .held_check_ins
            .held
            .iter()
            .filter(|(m, (.., until))| self.ctl.holds(m) || self.now >= *until)
            .map(|(m, _)| m.clone())
            .collect();
        for m in due {
            let Some((id, r, _)) = self.held_check_ins.held.remove(&m) else { continue };
            let tasks = read_tasks(&r).unwrap_or_default();
            match self.ctl.checkin(&r, tasks, &self.mirror.ledger, self.now) {
                CheckinReply::Orders(baton, orders) => {
                    let body =
                        serde_json::to_vec(&CheckinAnswer { baton: baton.0, orders }).unwrap_or_default();
                    self.out.answer(id, 200, body);
                }
                CheckinReply::Elsewhere(to) => match self.holder_to_name(&m, to) {
                    Some(n) => self.send_elsewhere(id, n),
                    None => self.keep_alive(id, &r),
                },
            }
        }
    }

    /// Sends what the block's workers should hear.
    pub(super) fn drive(&mut self) {
        for (call, machine) in self.ctl.drive(&self.mirror.ledger, self.now, &mut self.out) {
            self.calls.insert(call, Purpose::Worker(machine));
        }
    }
}
