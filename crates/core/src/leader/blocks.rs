//! Blocks: who holds which machine, and machines that fall silent.
use super::assignments::may_hold;
use super::*;

/// How often the fleet is gone through for machines to move or to watch.
const BLOCKS_EVERY: Micros = Micros::millis(100);
/// How often it is gone through for tasks of cancelled jobs.
const STOPS_EVERY: Micros = Micros::millis(200);

/// A controller that said nothing for so long is out of contact.
pub(super) const CONTACT_TIMEOUT: Micros = Micros::millis(2500);
/// What waits for a leader that is behind may be its word; this long after the last one it isn't,
/// but for `CONTACT_TIMEOUT`.
const CONTACT_LOST_FOR_CERTAIN: Micros = Micros::secs(5);

/// Silent machines that the other controllers ask after at a time, so often.
const PROBES_AT_ONCE: usize = 25;

/// The books of the term before are waited for so long.
const BOOKS_WAIT: Micros = Micros::millis(1200);

impl Leader {
    pub(super) fn in_contact(&self, n: NodeId, now: Micros) -> bool {
        let heard = self.nodes.get(n.0 as usize).and_then(|x| x.heard);
        heard.is_some_and(|t| {
            now.since(self.lateness.silence_start_capped(t, CONTACT_LOST_FOR_CERTAIN)) < CONTACT_TIMEOUT
        })
    }

    /// Which controllers are in contact, by their number.
    pub(super) fn contacts(&self, now: Micros) -> Vec<bool> {
        (0..self.nodes.len()).map(|i| self.in_contact(NodeId(i as u8), now)).collect()
    }

    /// How many machines each controller holds.
    pub(super) fn loads(&self) -> Vec<usize> {
        let mut load = vec![0usize; self.nodes.len()];
        for m in self.machines.values() {
            if let Some(h) = m.holder {
                load[h.0 as usize] += 1;
            }
        }
        load
    }

    /// The controller that a machine should be granted to.
    pub(super) fn choose_holder(
        &self,
        load: &[usize],
        zone: &str,
        prefer: Option<NodeId>,
        now: Micros,
    ) -> Option<NodeId> {
        (0..self.nodes.len())
            .map(|i| NodeId(i as u8))
            .filter(|n| self.in_contact(*n, now) && load[n.0 as usize] < self.ctx.operator.block_size)
            .min_by_key(|n| {
                (Some(*n) != prefer, self.ctx.zones[n.0 as usize] != zone, load[n.0 as usize], *n)
            })
    }

    pub(super) fn grant(&mut self, id: &MachineId, to: NodeId, why: &str, now: Micros) {
        let baton = FencingToken(self.draw());
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.holder.is_some_and(|h| h != to) {
            info!("{id}: block moves from controller {} to {}: {why}", m.holder.map_or(0, |h| h.0), to.0);
        }
        if m.holder != Some(to) {
            m.held_heard = Micros(0);
            m.moved_at = now;
        }
        m.holder = Some(to);
        m.baton = baton;
        m.confirmed = false;
        m.granted_at = now;
        m.want_baton = false;
        m.probed = None;
        // The new holder's word is needed; what the last one heard says nothing
        // about it. The others learn of it with their next message, and the one
        // that its worker reports to at once.
        self.tell(id);
        if let Some((n, _)) = self.last_seen.get(id)
            && let Some(n) = self.nodes.get_mut(n.0 as usize)
        {
            n.dirty = true;
        }
    }

    /// Grants, moves, watches and decides. Called about every 20 ms while
    /// this node may lead.
    pub fn tick(&mut self, ledger: &StateReplica, now: Micros) {
        self.lateness.record_tick(now);
        if !self.granted {
            let all = self.contacts(now).into_iter().all(|c| c);
            let waited = now.since(self.began);
            if !(all || waited >= Micros::millis(700)) || self.wants_books && waited < BOOKS_WAIT {
                return;
            }
            if self.wants_books {
                self.wants_books = false;
                warn!("the books of before are not to be had: machines that are not heard may hold anything");
            }
            self.granted = true;
            let ids: Vec<(MachineId, Option<NodeId>, String)> =
                self.machines.iter().map(|(i, m)| (i.clone(), m.holder, m.zone.clone())).collect();
            for (id, holder, _) in &ids {
                if let Some(m) = self.machines.get_mut(id) {
                    m.holder = None;
                    m.last_holder = *holder;
                }
            }
            let mut load = self.loads();
            for (id, _, zone) in ids {
                self.grant_unheld(&mut load, &id, &zone, now);
            }
        }
        if !self.held.is_empty() {
            self.release(ledger);
        }
        // Passes over the whole fleet: often enough for what they watch.
        if now.since(self.blocks_at) >= BLOCKS_EVERY {
            self.blocks_at = now;
            self.move_blocks(now);
            self.watch_silent(now);
            self.delete_unreachable_for_commands(now);
        }
        self.stop_cancelled(ledger, now);
        if self.dirty && now.since(self.scheduled) >= Micros::millis(20) {
            self.dirty = false;
            self.scheduled = now;
            self.schedule(now);
        }
    }

    pub(super) fn move_blocks(&mut self, now: Micros) {
        let mut moves: Vec<(MachineId, NodeId, &'static str)> = Vec::new();
        let mut unheld = Vec::new();
        let mut load = self.loads();
        for (id, m) in &self.machines {
            if m.stage != Stage::Up || !m.recorded {
                continue;
            }
            let seen = self.last_seen.get(id).filter(|(_, t)| now.since(*t) < Micros::secs(4)).map(|x| x.0);
            match m.holder {
                None => unheld.push((id.clone(), m.zone.clone())),
                Some(h) => {
                    let silence_start = m.heard.map(|t| self.lateness.silence_start(t));
                    let silent = silence_start.is_none_or(|t| now.since(t) > Micros::millis(3500))
                        && now.since(m.granted_at) > Micros::millis(1500);
                    if let Some(s) = seen
                        && s != h
                        && self.in_contact(s, now)
                        && (silent || !self.in_contact(h, now))
                    {
                        moves.push((id.clone(), s, "its worker reports there"));
                    } else if m.want_baton && m.confirmed && now.since(m.granted_at) > Micros::secs(1) {
                        moves.push((id.clone(), h, "a late start is ruled out"));
                    } else if m.confirmed
                        && self.ctx.zones[h.0 as usize] != m.zone
                        && now.since(m.granted_at) > Micros::secs(10)
                        && m.reserved.is_empty()
                        && let Some(to) = self.choose_holder(&load, &m.zone, None, now)
                        && self.ctx.zones[to.0 as usize] == m.zone
                        && now.since(self.nodes[to.0 as usize].since) > Micros::secs(4)
                        && (silent || moves.len() < 2)
                    {
                        moves.push((id.clone(), to, "a controller of its zone is back"));
                    }
                }
            }
        }
        if !moves.is_empty() {
            for (id, to, why) in moves {
                self.grant(&id, to, why, now);
            }
            load = self.loads();
        }
        for (id, zone) in unheld {
            self.grant_unheld(&mut load, &id, &zone, now);
        }
        let full = !load.is_empty() && load.iter().all(|n| *n >= self.ctx.operator.block_size);
        if std::mem::replace(&mut self.blocks_full, full) != full && full {
            warn!("every block holds block_size machines; the rest are held by nobody");
        }
    }

    /// Grants a machine without a holder: to the one that held it, to one of
    /// its zone, or to one that its worker reports to. When none of these is
    /// in contact, the zone may be cut off with its controller, which goes on
    /// renewing its workers; a grant to a node beyond the cut would help nobody.
    pub(super) fn grant_unheld(&mut self, load: &mut [usize], id: &MachineId, zone: &str, now: Micros) {
        let Some(m) = self.machines.get(id) else { return };
        let seen = self.last_seen.get(id).filter(|(_, t)| now.since(*t) < Micros::secs(4)).map(|x| x.0);
        let last = m.last_holder.filter(|h| self.in_contact(*h, now));
        let own = self
            .choose_holder(load, zone, last, now)
            .filter(|n| Some(*n) == last || self.ctx.zones[n.0 as usize] == zone);
        let Some(to) = own.or_else(|| self.choose_holder(load, zone, seen, now)) else { return };
        let of_zone = self.ctx.zones[to.0 as usize] == zone;
        let no_own = !self.ctx.zones.iter().any(|z| z == zone);
        if of_zone || no_own || Some(to) == last || seen.is_some() {
            self.grant(id, to, "no holder", now);
            load[to.0 as usize] += 1;
        }
    }

    pub(super) fn watch_silent(&mut self, now: Micros) {
        let mut doomed = Vec::new();
        let mut probes = Vec::new();
        // A cut between zones looks like the death of all machines behind it,
        // one after the other as their reports fall due. A machine is taken for
        // dead quickly only on proof that the way is open: its holder heard
        // another machine of the zone after this one's report was overdue.
        let mut latest: BTreeMap<(NodeId, &str), (Micros, u32)> = BTreeMap::new();
        let mut zone_latest: BTreeMap<&str, Micros> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.stage == Stage::Up) {
            let (Some(h), Some(t)) = (m.holder, m.heard) else { continue };
            if !self.in_contact(h, now) {
                continue;
            }
            let (last, n) = latest.entry((h, &m.zone)).or_default();
            *last = (*last).max(m.held_heard);
            *n += 1;
            let last = zone_latest.entry(&m.zone).or_default();
            *last = (*last).max(t);
        }
        // By then it should have reported, or have answered its holder.
        let overdue = (self.ctx.report.scale(5, 4) + Micros::secs(1)).min(PROBE_AFTER + PROBE_TIMEOUT);
        let heard_by = latest.iter().map(|((h, zone), (t, _))| (Some(*h), *zone, *t));
        for (by, zone, at) in heard_by.chain(zone_latest.iter().map(|(z, t)| (None, *z, *t))) {
            self.ways.record_contact(by, zone, at, overdue);
        }
        for (id, m) in &self.machines {
            if m.stage != Stage::Up {
                continue;
            }
            // A holder that was out of contact first gets to say what it heard.
            let contact = m.holder.map_or(Micros(0), |h| self.nodes[h.0 as usize].contact_since);
            let limit = self.ctx.operator.silent_delete;
            let spoke = (contact + Micros::secs(3)) - limit;
            // A new holder gets its time too: a day lost a hundred machines in
            // the moment in which they were given to their zone's controller.
            // So does a way that has just opened, to its holder or to anybody.
            let way = |by| self.ways.open_since(by, &m.zone);
            let opened = m.holder.map_or(Micros(0), |h| way(Some(h))).max(way(None));
            let last = m.heard.unwrap_or(m.since);
            let base =
                self.lateness.silence_start(last).max(self.began).max(spoke).max(m.moved_at).max(opened);
            let silent = now.since(base);
            let seen = self.last_seen.get(id).is_some_and(|(_, t)| now.since(*t) < Micros::secs(5));
            let lost =
                silent > Micros::millis(3200) && m.probed.is_none_or(|t| now.since(t) > Micros::millis(1500));
            if lost || m.hearing.probe_due(now) {
                probes.push((m.probed, id.clone()));
            }
            let open = base + overdue;
            let (here, held) =
                m.holder.and_then(|h| latest.get(&(h, m.zone.as_str()))).copied().unwrap_or_default();
            let near =
                m.holder.is_some_and(|h| self.in_contact(h, now) && self.ctx.zones[h.0 as usize] == m.zone);
            let zone = zone_latest.get(m.zone.as_str()).copied().unwrap_or_default();
            let limit = if here >= open || near && held < 2 {
                limit
            } else if near {
                // The holder hears none of its machines: it may be the one that
                // is cut off, and the workers turn to others soon.
                limit.scale(2, 1)
            } else if zone >= open {
                // Others hear the zone: its workers turn to them one after the
                // other, each after a few that do not answer.
                limit.scale(4, 1)
            } else {
                Micros::secs(60)
            };
            if silent > limit && !seen {
                doomed.push((id.clone(), silent));
            }
        }
        // Those that were asked longest ago first, as many as a controller can
        // ask beside its work: after the loss of most controllers all machines
        // are silent at once, and their reports come by themselves.
        probes.sort();
        probes.truncate(PROBES_AT_ONCE);
        for (_, id) in probes {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.probed = Some(now);
            m.hearing.record_probe(now);
            let (holder, addr) = (m.holder, m.addr.clone());
            for n in 0..self.nodes.len() {
                let n = NodeId(n as u8);
                if Some(n) != holder && self.in_contact(n, now) && !addr.is_empty() {
                    self.probes.push((n, id.clone(), addr.clone()));
                }
            }
        }
        for (id, silent) in doomed {
            let holder = self.machines.get(&id).and_then(|m| m.holder);
            let contact = holder.is_some_and(|h| self.in_contact(h, now));
            let by = match holder {
                Some(h) if contact => format!("controller {}, which is in contact", h.0),
                Some(h) => format!("controller {}, which is out of contact", h.0),
                None => "nobody".into(),
            };
            self.delete(&id, &format!("silent for {:.1} s, held by {by}", silent.as_secs_f64()), now);
        }
    }

    /// Stops what is left of cancelled jobs. Also called while the lease is not
    /// confirmed: a stop does no harm, and a cancellation doesn't wait for the
    /// state service.
    pub fn stop_cancelled(&mut self, ledger: &StateReplica, now: Micros) {
        if now.since(self.stops_at) < STOPS_EVERY {
            return;
        }
        self.stops_at = now;
        self.watch_cancelled(ledger, now);
        // A controller that the state service refuses doesn't know of the
        // cancellation; the leader tells it.
        let mut stops = Vec::new();
        for (id, m) in &self.machines {
            for (t, (a, _)) in &m.tasks {
                if self.aborted.contains_key(&t.job)
                    && self.stops.get(&(*t, *a)).is_none_or(|s| s.0.grace.0 > 0)
                {
                    stops.push((*t, *a, id.clone()));
                }
            }
        }
        for (t, a, id) in stops {
            self.request_stop(t, a, &id, Micros(0), now);
        }
    }

    /// A cancelled job's task that can't be stopped goes with its machine.
    pub(super) fn watch_cancelled(&mut self, ledger: &StateReplica, now: Micros) {
        let mut doomed = Vec::new();
        let mut over = Vec::new();
        for (job, by) in &self.aborted {
            let run = self.jobs.get(job);
            // What is not recorded as gone stays here until it is: a machine that could
            // hold it may turn up at any later time.
            let record = ledger.jobs.get(job).filter(|j| !j.fully_stopped);
            if run.is_none_or(|r| r.bound.is_empty()) && record.is_none() && now > *by + self.ctx.cancel {
                over.push(*job);
            }
            if now >= self.deletion_due(*by, 95, Micros::millis(1500)) {
                let bound = || run.iter().flat_map(|r| r.bound.values());
                doomed.extend(bound().flat_map(|b| b.reported_on.iter()).map(|id| (id.clone(), *job)));
                // A hand-out went to a machine that its job may use.
                let holds = |id: &MachineId, attempt: Attempt| {
                    let (Some(r), Some(m)) = (run, self.machines.get(id)) else { return false };
                    m.suits(&r.spec) && may_hold(m, attempt)
                };
                for (b, h) in bound().filter_map(|b| Some((b, b.unresolved_assignment.as_ref()?))) {
                    let machines = h.machines.iter().filter(|id| holds(id, b.attempt));
                    doomed.extend(machines.map(|id| (id.clone(), *job)));
                }
            }
            // Machines that nobody heard in this term may hold its tasks.
            if now >= self.deletion_due(*by, 90, Micros::millis(2500))
                && let Some(spec) = record.and_then(|j| j.spec.as_ref())
            {
                for (id, m) in self.machines.iter().filter(|(_, m)| m.unknown) {
                    if m.suits(spec) {
                        doomed.push((id.clone(), *job));
                    }
                }
            }
        }
        for (id, job) in doomed {
            if self.machines.get(&id).is_some_and(|m| m.stage == Stage::Up) {
                self.delete(&id, &format!("a task of cancelled {job} may be on it"), now);
            }
        }
        for j in over {
            self.aborted.remove(&j);
        }
        // Jobs that are over and hold nothing any more.
        self.jobs.retain(|id, r| {
            !r.bound.is_empty() || ledger.jobs.get(id).is_none_or(|j| j.phase == Phase::Active)
        });
    }

    /// When machines go that may hold tasks which have to be gone `by` then: early enough
    /// for a cloud that is out of order for a while. A new leader first hears what its
    /// controllers know, but not beyond `last` hundredths of the time that there was from
    /// the telling on: a string of leaders that each begin to wait must not use it up. One
    /// that begins after that, or has not had `least` by then, takes its whole time; what is
    /// left in time is the deputies' (`crate::deputy`).
    fn deletion_due(&self, by: Micros, last: u64, least: Micros) -> Micros {
        let heard = self.began + Micros::secs(4);
        let last = by - self.ctx.cancel.scale(100 - last, 100);
        let wait = if last >= self.began + least { heard.min(last) } else { heard };
        wait.max(by - self.ctx.cancel.scale(35, 100))
    }

    pub(super) fn delete(&mut self, id: &MachineId, why: &str, now: Micros) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.stage == Stage::Deleting {
            return;
        }
        let age = now.since(m.born);
        let whole = m.size.cpu as u128 * age.0 as u128;
        info!(
            "{id}: deleted ({} in {}{}) after {:.0} s, {}% used: {why}",
            m.build,
            m.zone,
            if m.spot { ", spot" } else { "" },
            age.as_secs_f64(),
            m.busy * 100 / whole.max(1)
        );
        m.stage = Stage::Deleting;
        m.since = now;
        m.delete_sent = None;
        self.dirty = true;
        self.tell(id);
    }
}
