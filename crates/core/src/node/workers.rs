//! Check-ins.
use super::*;

impl Node {
    pub(super) fn checkin(&mut self, id: RequestId, body: &[u8]) {
        let Ok(r) = serde_json::from_slice::<Report>(body) else {
            return self.out.answer(id, 400, users::error_body("not a report"));
        };
        let Some(tasks) = read_tasks(&r) else {
            return self.out.answer(id, 400, users::error_body("a task's name is unreadable"));
        };
        self.note_heartbeat(&r, &tasks);
        let machine = MachineId::from(&*r.machine);
        // What contradicts the records is no report of that machine: two workers under
        // one name, or one that is set up wrongly. It is neither used nor kept alive.
        if self.mirror.ledger.machines.get(&machine).is_some_and(|rec| !rec.matches_report(&r)) {
            if self.held_check_ins.apart.insert(machine.clone()) {
                warn!("{machine}: reports as {} in {}, which its record contradicts", r.machine_type, r.zone);
            }
            return self.send_elsewhere(id, None);
        }
        match self.ctl.checkin(&r, tasks, &self.mirror.ledger, self.now) {
            CheckinReply::Orders(baton, orders) => self.renew(id, baton.0, orders),
            CheckinReply::Elsewhere(to) | CheckinReply::Lost(to)
                if !self.held_check_ins.is_news(&machine, r.heartbeat_seq()) =>
            {
                // A copy, or held up on the way: nobody waits for the answer.
                self.send_elsewhere(id, to);
            }
            reply @ (CheckinReply::Elsewhere(to) | CheckinReply::Lost(to)) => {
                self.tell_seen(&machine, MachineRecord::from_report(&r), r.heartbeat_seq(), false);
                // Others reach it if it has a token from them, here or since it was
                // kept alive here; one without tasks loses nothing on its way to them.
                let kept = self.held_check_ins.kept.get(&machine).copied();
                let lost = matches!(reply, CheckinReply::Lost(_))
                    || kept.is_some_and(|b| r.fencing_token > b)
                    || r.tasks.is_empty();
                match self.holder_to_name(&machine, to) {
                    Some(n) => self.send_elsewhere(id, Some(n)),
                    // This node reaches nobody and can't serve it. One with tasks that
                    // nobody seems to reach is kept alive: all may be as cut off.
                    None if lost && self.out_of_touch() => {
                        debug!("{machine}: sent on, this controller can't serve it");
                        // Back with the same token: they couldn't either.
                        self.held_check_ins.kept_alive(machine, r.fencing_token);
                        self.send_elsewhere(id, None);
                    }
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
        self.held_check_ins.kept_alive(MachineId::from(&*r.machine), r.fencing_token);
        self.renew(id, r.fencing_token, orders);
    }

    /// Answers a check-in, which renews its worker's lease, if this process may.
    fn renew(&mut self, id: RequestId, baton: u64, orders: Vec<Command>) {
        if !self.may_renew() {
            return self.send_elsewhere(id, None);
        }
        let body = serde_json::to_vec(&HeartbeatResponse { fencing_token: baton, commands: orders })
            .unwrap_or_default();
        self.out.answer(id, 200, body);
    }

    /// Neither the state service nor another controller is heard.
    pub(super) fn out_of_touch(&self) -> bool {
        !self.mirror.state_ok(self.now)
            && self.peers.all().all(|n| n == self.nodes.me || !self.hears(n, HEARD))
    }

    pub(super) fn send_elsewhere(&mut self, id: RequestId, to: Option<NodeId>) {
        let body = match to.and_then(|n| self.nodes.names.get(n.0 as usize)) {
            Some(name) => json!({ "foreman": name }),
            None => json!({}),
        };
        self.out.answer(id, 421, body.to_string().into_bytes());
    }

    pub(super) fn tell_seen(
        &mut self,
        id: &MachineId,
        rec: MachineRecord,
        report: HeartbeatSeq,
        asked: bool,
    ) {
        if self.mirror.ledger.machines.contains_key(id) {
            // The leader knows it: the next `Sync` names it.
            self.held_check_ins.strangers.insert(id.clone(), (self.now, report, asked));
            self.ctl.dirty = true;
        } else if let Some(to) = self.leader_node() {
            let m = Message::Seen {
                id: id.clone(),
                build: rec.machine_type,
                zone: rec.zone,
                spot: rec.spot,
                addr: rec.addr,
                report,
                asked,
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
                CheckinReply::Orders(baton, orders) => self.renew(id, baton.0, orders),
                CheckinReply::Elsewhere(to) | CheckinReply::Lost(to) => match self.holder_to_name(&m, to) {
                    Some(n) => self.send_elsewhere(id, Some(n)),
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
