//! What is due as time goes on: the mirror, the election, the leader's work.
use super::*;
use crate::books::Page;
use crate::leader::changes::{Changes, Recording};

/// Longest transaction of several records; the state service takes 64 KiB.
const MAX_TXN_BYTES: usize = 50_000;

impl Node {
    pub(super) fn tick(&mut self) {
        self.status.ticked(self.now);
        self.expire();
        self.note_informed();
        self.note_placements();
        self.spread_cancellations();
        self.follow();
        if !self.mirror.state_ok(self.now)
            || !self.mirror.loaded
            || !self.users.waiters.is_empty()
            || self.now.since(self.mirror.ok_at.unwrap_or_default()) > Micros::millis(900)
        {
            self.barrier();
        }
        self.write_users();
        self.elect();
        self.lead();
        self.stand_in();
        self.flavors();
        self.answer_held();
        self.drive();
        self.sync(false);
        self.send_relayed();
        self.ask_guest(GuestInput::Tick);
        if self.now.since(self.peers.ping_at) >= Micros::millis(500) {
            self.peers.ping_at = self.now;
            let state_ok = self.mirror.state_ok(self.now);
            let hears: Vec<NodeId> = (0..self.peers.states.len())
                .map(|i| NodeId(i as u8))
                .filter(|n| self.hears(*n, HEARD))
                .collect();
            let queued = self.users.writes.len() as u32;
            let others = self.peers.queued(self.now);
            self.users.share_budget(others, self.nodes.names.len(), self.limits.changes_per_s);
            for i in 0..self.nodes.names.len() {
                if i != self.nodes.me.0 as usize {
                    let hears = hears.clone();
                    let loaded = self.mirror.loaded;
                    self.out.send(NodeId(i as u8), Message::Ping { state_ok, hears, queued, loaded });
                }
            }
        }
    }

    pub(super) fn expire(&mut self) {
        for w in self.users.expired(self.now) {
            self.cant_ask(&w, RefusalReason::ProofFailed);
        }
    }

    pub(super) fn follow(&mut self) {
        if !self.mirror.listed {
            if !self.mirror.listing && self.now >= self.mirror.retry_list_at {
                let (from, first, ledger) = self.mirror.so_far.take().unwrap_or_else(|| {
                    let mut ledger = Box::<StateReplica>::default();
                    ledger.extension_entries = self.has_guest.then(Vec::new);
                    (None, None, ledger)
                });
                self.list(from, first, ledger);
            }
            return;
        }
        if !self.mirror.following && self.now >= self.mirror.follow_at {
            let path = format!(
                "/follow?prefix={}&from={}&hold_ms=10000",
                keys::ROOT_PREFIX,
                self.mirror.ledger.applied_revision
            );
            let id = self.state("GET", path, Vec::new(), Micros::secs(13));
            self.calls.insert(id, Purpose::Follow);
            self.mirror.following = true;
        }
    }

    pub(super) fn list(&mut self, from: Option<String>, first: Option<u64>, ledger: Box<StateReplica>) {
        self.mirror.listing = true;
        if from.is_none() {
            self.mirror.reading = StateReading { began: self.now, ..StateReading::default() };
        }
        let mut path = format!("/store?prefix={}&limit=1000", keys::ROOT_PREFIX);
        if let Some(f) = &from {
            path.push_str("&from=");
            path.push_str(f);
        }
        let id = self.state("GET", path, Vec::new(), Micros::millis(2500));
        self.calls.insert(id, Purpose::List { from, first, ledger });
    }

    pub(super) fn apply(&mut self, news: WatchResponse) {
        let base = self.mirror.ledger.applied_revision;
        let mut messages = Vec::new();
        for e in &news.events {
            if e.revision <= base {
                continue;
            }
            let change = match (&e.put, &e.remove) {
                (Some(k), _) => match self.mirror.ledger.apply(k, Some(&e.value), e.revision) {
                    Change::RelayedMessage(to) => {
                        if to == self.nodes.names[self.nodes.me.0 as usize]
                            && let Some(p) = self.relay.open(&e.value)
                        {
                            messages.push(p);
                        }
                        continue;
                    }
                    c => c,
                },
                (None, Some(k)) => self.mirror.ledger.apply(k, None, e.revision),
                _ => continue,
            };
            if let Some(g) = self.guest.as_mut() {
                match &change {
                    Change::Extension => {
                        let (key, v) = match (&e.put, &e.remove) {
                            (Some(k), _) => (k, Some(&e.value)),
                            (None, Some(k)) => (k, None),
                            (None, None) => continue,
                        };
                        if let Some(name) = key.strip_prefix(keys::EXTENSION_PREFIX) {
                            g.apply(name, v, e.revision);
                        }
                    }
                    Change::Job { id, .. } if id.is_internal() => g.job_changed(*id, e.revision),
                    _ => {}
                }
            }
            self.changed(change);
        }
        self.mirror.ledger.applied_revision = base.max(news.revision);
        // Only now: a hand-out may be of a job whose end came with it.
        for p in messages {
            self.peer(p.from, p.incarnation, p.message);
        }
        if !news.events.is_empty() {
            self.lead();
            self.drive();
            self.ask_guest(GuestInput::News);
        }
    }

    pub(super) fn changed(&mut self, c: Change) {
        let Change::Job { id, cancelled } = c else { return };
        for id in std::iter::once(id).chain(cancelled) {
            if let Some(job) = self.mirror.ledger.jobs.get(&id) {
                self.ctl.job_changed(id, job);
            }
            if let Some(l) = self.leadership.leader.as_mut() {
                l.job_changed(id, &self.mirror.ledger, self.now);
            }
        }
    }

    pub(super) fn elect(&mut self) {
        if !self.mirror.loaded {
            return;
        }
        let turn = if self.mirror.ledger.leader.is_none() {
            self.my_turn()
        } else {
            self.leadership.vacant_since = None;
            false
        };
        match self.leadership.election.role {
            Role::Follower => match &self.mirror.ledger.leader {
                None if self.now >= self.leadership.election.not_before
                    && !self.mirror.state_refuses(self.now)
                    && turn =>
                {
                    self.leadership.election.role = Role::Candidate;
                    let life = self.operator.leader_lease.0 / 1000;
                    let body = json!({ "life_ms": life }).to_string().into_bytes();
                    let id = self.state("POST", "/grants".into(), body, Micros::millis(1000));
                    self.calls.insert(id, Purpose::GrantNew { asked: self.now });
                }
                Some((rec, _))
                    if rec.node == self.nodes.names[self.nodes.me.0 as usize]
                        && self.leadership.ended_lease != Some(rec.lease) =>
                {
                    // An earlier process of this node led; its lease need not
                    // run out first.
                    info!("ending the lease of this node's earlier process");
                    let path = format!("/grants/{}", rec.lease);
                    self.leadership.ended_lease = Some(rec.lease);
                    let id = self.state("DELETE", path, Vec::new(), Micros::millis(1000));
                    self.calls.insert(id, Purpose::EndLease);
                }
                _ => {}
            },
            Role::Candidate => {}
            Role::Leader { lease, stamp, term } => {
                if self.mirror.ledger.applied_revision >= stamp
                    && self.mirror.ledger.leader.as_ref().is_none_or(|(r, s)| *s != stamp || r.term != term)
                {
                    return self.step_down("its key is gone");
                }
                if self.alone() {
                    // Cut off from the others: one that hears more of the
                    // cluster serves it better.
                    self.end_lease(lease);
                    self.step_down("it hears no other controller");
                    self.leadership.election.not_before = self.now + Micros::secs(4);
                    return;
                }
                if self.leadership.election.renewal_due(self.now) {
                    self.leadership.election.renewing = true;
                    self.leadership.election.last_sent = self.now;
                    let path = format!("/grants/{lease}/renew");
                    let timeout = self.operator.leader_lease.scale(1, 3);
                    let id = self.state("POST", path, Vec::new(), timeout);
                    self.calls.insert(id, Purpose::Renew { sent: self.now });
                }
            }
        }
    }

    /// Whether this node, when nobody leads, should try now: those who hear
    /// more of the others go first.
    pub(super) fn my_turn(&mut self) -> bool {
        let unheard = (0..self.peers.states.len())
            .map(|i| NodeId(i as u8))
            .filter(|n| *n != self.nodes.me && !self.hears(*n, HEARD) && !self.peers.refuses(*n, self.now))
            .count() as u64;
        let since = *self.leadership.vacant_since.get_or_insert(self.now);
        self.now.since(since) >= Micros::millis(400 * unheard)
    }

    /// Whether this leader lost all others, and not because they ended.
    pub(super) fn alone(&mut self) -> bool {
        let others: Vec<NodeId> =
            (0..self.peers.states.len()).map(|i| NodeId(i as u8)).filter(|n| *n != self.nodes.me).collect();
        if others.iter().any(|n| self.hears(*n, Micros::millis(3000))) {
            self.leadership.had_peers = true;
            return false;
        }
        self.leadership.had_peers && !others.iter().any(|n| self.peers.refuses(*n, self.now))
    }

    pub(super) fn step_down(&mut self, why: &str) {
        if let Role::Leader { term, lease, .. } = self.leadership.election.role {
            self.leadership.ended_lease = Some(lease);
            warn!("stepped down term={term} reason=\"{why}\"");
        }
        let pause = Micros::millis(200 + self.rng.u64(0..400));
        self.leadership.election.lost(self.now, pause);
        self.leadership.leader = None;
        self.leadership.won = None;
    }

    /// The leader's work.
    pub(super) fn lead(&mut self) {
        // The mirror must hold everything that was there when the key was taken.
        if let Some((term, stamp)) = self.leadership.won
            && self.mirror.ledger.applied_revision >= stamp
            && !self.catalogue.sizes.is_empty()
        {
            self.leadership.won = None;
            if self.mirror.ledger.leader.as_ref().is_some_and(|(r, s)| *s == stamp && r.term == term) {
                let l = Leader::new(
                    self.ctx.clone(),
                    term,
                    stamp,
                    &self.mirror.ledger,
                    &self.catalogue.sizes,
                    self.now,
                    self.wall_ms,
                );
                self.leadership.take_up(l);
                self.sync(true);
            }
        }
        self.take_over_books();
        let may = self.leadership.election.may_lead(self.now);
        let Some(l) = self.leadership.leader.as_mut() else { return };
        if l.exhausted() {
            return self.step_down("its numbers are used up");
        }
        if may {
            l.tick(&self.mirror.ledger, self.now);
        } else {
            l.stop_cancelled(&self.mirror.ledger, self.now);
        }
        let messages = l.messages(self.now, may);
        for (to, m) in messages {
            self.send(to, m);
        }
        if may {
            self.record_witnesses();
            self.leader_writes();
        }
        self.cloud(may);
    }

    /// Gets a new leader the books of the one before: from this node if it was
    /// a witness, else from another.
    fn take_over_books(&mut self) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let Some(w) = l.books_wanted() else { return };
        let term = w.term;
        let me = &self.nodes.names[self.nodes.me.0 as usize];
        let mine = w.nodes.iter().any(|(name, process)| name == me && *process == self.incarnation);
        if mine && let Some(book) = self.kept.get(term) {
            return l.inherit(term, book, &self.mirror.ledger);
        }
        if self.now.since(self.books_asked) < Micros::millis(200) {
            return;
        }
        self.books_asked = self.now;
        let holders = w.nodes.iter().filter_map(|(name, _)| self.nodes.names.iter().position(|n| n == name));
        for n in holders.filter(|n| *n != self.nodes.me.0 as usize) {
            self.out.send(NodeId(n as u8), Message::BooksWanted { term });
        }
    }

    /// Another controller sent the books that were wanted.
    pub(super) fn books_came(&mut self, from: NodeId, incarnation: u64, page: Page) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let Some(w) = l.books_wanted() else { return };
        // Only the very process on record: a later one has not been kept up.
        let name = self.nodes.names.get(from.0 as usize);
        let holds = w.nodes.iter().any(|(n, process)| Some(n) == name && *process == incarnation);
        let term = page.term;
        if holds
            && term == w.term
            && let Some(book) = Book::of(page)
        {
            l.inherit(term, &book, &self.mirror.ledger);
        }
    }

    /// Writes who holds the books, when that changes.
    fn record_witnesses(&mut self) {
        let Role::Leader { stamp: mine, term, .. } = self.leadership.election.role else { return };
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let all = (0..self.peers.states.len()).map(|i| NodeId(i as u8));
        let ended: Vec<NodeId> = all.filter(|n| self.peers.refuses(*n, self.now)).collect();
        let Some((record, stamp)) = l.books_record(&self.mirror.ledger, &ended, self.now) else { return };
        let names: Vec<&str> = record.nodes.iter().map(|(n, _)| n.as_str()).collect();
        debug!("witnesses of term {term}: {}", names.join(", "));
        self.leadership.bucket.force(self.now, 1.0);
        let when = vec![
            Precondition { key: keys::LEADER.into(), revision: mine },
            Precondition { key: keys::STANDBY_REPLICAS.into(), revision: stamp },
        ];
        let put = Write::Put { key: keys::STANDBY_REPLICAS.into(), value: json!(record), lease: None };
        let id = self.multi(&Transaction { preconditions: when, writes: vec![put] });
        self.calls.insert(id, Purpose::BooksRecord(term));
    }

    pub(super) fn leader_writes(&mut self) {
        let Role::Leader { stamp: mine, term, .. } = self.leadership.election.role else { return };
        // What is to be written is looked for in all jobs and machines: not at
        // every input.
        let again = Micros::millis(40);
        if self.leadership.txns >= 3
            || self.now < self.leadership.retry_at
            || self.now.since(self.leadership.wrote_at) < again
        {
            return;
        }
        self.leadership.wrote_at = self.now;
        let Some(l) = self.leadership.leader.as_mut() else { return };
        l.note_unrecorded(&self.mirror.ledger, self.now);
        l.note_recorded(&self.mirror.ledger);
        let Some(l) = self.leadership.leader.as_ref() else { return };
        let todo: Vec<LeaderWrite> = l
            .writes(&self.mirror.ledger, self.limits.value_bytes, self.now)
            .into_iter()
            .filter(|w| !self.leadership.inflight.contains(w))
            .filter(|w| !self.leadership.refused.waits(w, self.now))
            .filter_map(|w| self.leadership.uncontested(w, self.now))
            .collect();
        let mut m = Transaction {
            preconditions: vec![Precondition { key: keys::LEADER.into(), revision: mine }],
            writes: Vec::new(),
        };
        let mut taken = Vec::new();
        let mut size = 0;
        for w in todo {
            let alone = self.leadership.refused.goes_alone(&w);
            if alone && !taken.is_empty() {
                continue;
            }
            let Some(changes) = self.changes_of(&w) else { continue };
            let ops = m.writes.len() + changes.writes.len();
            let conditions = m.preconditions.len() + changes.conditions.len();
            let too_long = !taken.is_empty() && size + changes.len() > MAX_TXN_BYTES;
            if ops > self.limits.txn_ops || conditions > self.limits.txn_conditions() || too_long {
                break;
            }
            // Progress and clearing up leave room for what users wait for.
            let keep = match w {
                LeaderWrite::End(_) | LeaderWrite::Machines(_) | LeaderWrite::Hire(_) => 0.0,
                LeaderWrite::Failures(..) | LeaderWrite::Fail(..) => 0.0,
                LeaderWrite::Progress(..) | LeaderWrite::Settle(_) => 1.0,
                LeaderWrite::CancelledWith(_) | LeaderWrite::Forget(_) => 2.0,
            };
            if !self.leadership.bucket.take(self.now, changes.writes.len() as f64, keep) {
                break;
            }
            if let (LeaderWrite::Fail(id, index), Some(l)) = (&w, &self.leadership.leader) {
                info!("{id}: {}", l.failure_cause(*id, *index));
            }
            size += changes.len();
            m.preconditions.extend(changes.conditions);
            m.writes.extend(changes.writes);
            // One name a transaction: they share a key.
            let full = alone
                || matches!(w, LeaderWrite::Hire(_))
                    && taken.iter().any(|x| matches!(x, LeaderWrite::Hire(_)));
            taken.push(w);
            if full {
                break;
            }
        }
        if taken.is_empty() {
            return;
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            taken.iter().for_each(|w| l.writing(w, true));
        }
        self.leadership.inflight.extend(taken.iter().cloned());
        self.leadership.txns += 1;
        let id = self.multi(&m);
        self.calls.insert(id, Purpose::LeaderWrites(term, taken));
    }

    /// What a leader's write changes.
    fn changes_of(&self, write: &LeaderWrite) -> Option<Changes> {
        let may_create = |key: &str| self.leadership.may_create(key, self.now);
        let recording = Recording {
            ledger: &self.mirror.ledger,
            limits: &self.limits,
            wall_ms: self.wall_ms,
            may_create: &may_create,
        };
        let changes = self.leadership.leader.as_ref()?.changes(write, &recording)?;
        (!changes.is_empty()).then_some(changes)
    }

    pub(super) fn leader_written(&mut self, term: u64, writes: Vec<LeaderWrite>, result: &CallResult) {
        if self.leadership.leader.as_ref().is_none_or(|l| l.term != term) {
            return;
        }
        self.leadership.returned(&writes);
        let Some(l) = self.leadership.leader.as_mut() else { return };
        for w in &writes {
            l.writing(w, false);
        }
        match result {
            CallResult::Answer { status: 200, .. } => {
                for w in &writes {
                    l.written(w);
                }
                self.leadership.refused.accepted(&writes);
                self.lead();
            }
            CallResult::Answer { status: 409, body } => {
                let failed = serde_json::from_slice::<TransactionResponse>(body)
                    .map(|a| a.failed_keys)
                    .unwrap_or_default();
                if failed.iter().any(|k| k == keys::LEADER) {
                    return self.step_down("another took the key");
                }
                // The mirror is behind: what failed will show there.
                debug!("records changed meanwhile: {failed:?}");
                self.leadership.retry_at = self.now + Micros::millis(60);
                self.leadership.contest(&failed, self.now);
            }
            CallResult::Answer { status: 400, body } => {
                let reason = String::from_utf8_lossy(body);
                self.leadership.refused.refused(&writes, &reason, self.now);
            }
            r => {
                debug!("leader's records not confirmed: {r:?}");
                let pause = Micros::millis(150 + self.rng.u64(0..200));
                self.leadership.retry_at = self.now + pause;
            }
        }
    }

    pub(super) fn cloud(&mut self, may: bool) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let term = l.term;
        let wishes = if may {
            l.fleet(&self.catalogue.flavors, self.now)
        } else {
            l.deletions(self.now).into_iter().collect()
        };
        for w in wishes {
            let keep = match w {
                CloudWish::Delete(_) => 0.0,
                CloudWish::Hire(_) => 0.5,
                CloudWish::List(_) => 1.0,
            };
            if !self.catalogue.bucket.take(self.now, 1.0, keep) {
                continue;
            }
            l.wish_sent(&w, self.now);
            let call = match &w {
                CloudWish::Delete(ids) => delete_call(ids.iter().map(|i| i.to_string()).collect()),
                CloudWish::Hire(request) => rent_call(request),
                CloudWish::List(from) => list_call(from.as_deref()),
            };
            let id = self.out.call(call);
            self.calls.insert(id, Purpose::Cloud(term, w));
        }
    }

    pub(super) fn cloud_called(&mut self, term: u64, wish: CloudWish, result: &CallResult) {
        let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term) else { return };
        let body = match result {
            CallResult::Answer { status: 200, body } => Some(body),
            _ => None,
        };
        match wish {
            CloudWish::Delete(ids) => match body {
                Some(_) => l.deleted(&ids, self.now),
                None => l.delete_failed(&ids, self.now),
            },
            CloudWish::Hire(req) => self.hired(req, result),
            CloudWish::List(_) => {
                let page: Option<Rentals> = body.and_then(|b| serde_json::from_slice(b).ok());
                l.listed(page.as_ref(), &self.catalogue.sizes, self.now);
            }
        }
        self.lead();
    }

    pub(super) fn hired(&mut self, req: HireRequest, result: &CallResult) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        match result {
            CallResult::Answer { status: 200, body } => {
                let hosts = serde_json::from_slice::<MachineNames>(body).map(|h| h.names).unwrap_or_default();
                l.hired(&req, Some(&hosts), &self.catalogue.sizes, self.now);
            }
            CallResult::Answer { status: 503, body } if body.windows(11).any(|w| w == b"no capacity") => {
                l.hired(&req, Some(&[]), &self.catalogue.sizes, self.now);
            }
            CallResult::Answer { status: 400, body } => {
                error!("rental refused: {}", String::from_utf8_lossy(body));
                l.hired(&req, Some(&[]), &self.catalogue.sizes, self.now);
            }
            _ => l.hired(&req, None, &self.catalogue.sizes, self.now),
        }
    }

    pub(super) fn flavors(&mut self) {
        if !self.catalogue.due(self.leadership.leader.is_some(), self.now) {
            return;
        }
        self.catalogue.open = true;
        self.catalogue.asked_at = self.now;
        self.catalogue.bucket.force(self.now, 1.0);
        let id = self.out.call(Call {
            target: Target::Cloud,
            method: "GET",
            path: "/flavors".into(),
            body: Vec::new(),
            timeout: Micros::secs(3),
        });
        self.calls.insert(id, Purpose::Flavors);
    }
}
