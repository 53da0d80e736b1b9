//! Blocks: grants of machines to controllers, and deletion of silent machines.
use super::assignments::may_hold;
use super::*;

/// Interval between scans of the fleet for machines to move or to watch.
const BLOCK_SCAN_INTERVAL: Micros = Micros::millis(100);
/// Interval between scans of the fleet for tasks of cancelled jobs.
const CANCELLATION_SCAN_INTERVAL: Micros = Micros::millis(200);

/// A controller that has sent no `Sync` for this long is out of contact.
pub(super) const CONTACT_TIMEOUT: Micros = Micros::millis(2500);
/// A leader that was behind may still have unhandled messages of a controller. It counts the
/// controller's silence from when it was last behind, but from this long after the last
/// handled message at the latest; `CONTACT_TIMEOUT` comes on top.
const MAX_BACKLOG_ALLOWANCE: Micros = Micros::secs(5);

/// Silent machines that the other controllers are asked to probe in one scan.
const MAX_PROBES_PER_SCAN: usize = 25;

/// Fencing tokens that are raised for late starts in one scan; the machines whose last grant is the
/// oldest come first.
const MAX_TOKEN_RAISES_PER_SCAN: usize = 25;
/// A machine's fencing token is raised for late starts at most once in this time.
const TOKEN_RAISE_INTERVAL: Micros = Micros::secs(1);
/// Assignments under way, which a raise would refuse, delay it for this long after the last grant.
const TOKEN_RAISE_MAX_DELAY: Micros = Micros::secs(5);

/// How long a new leader waits for the placement log of the earlier term.
const LOG_WAIT_TIMEOUT: Micros = Micros::millis(1200);

impl Machine {
    /// Whether its holder has asked for a higher fencing token, and it may be raised now.
    fn may_raise_token(&self, now: Micros) -> bool {
        let since_grant = now.since(self.granted_at);
        self.needs_new_token
            && self.confirmed
            && since_grant > TOKEN_RAISE_INTERVAL
            && (self.reserved.is_empty() || since_grant > TOKEN_RAISE_MAX_DELAY)
    }
}

impl Leader {
    pub(super) fn in_contact(&self, n: NodeId, now: Micros) -> bool {
        let last_contact = self.nodes.get(n.0 as usize).and_then(|x| x.last_contact);
        last_contact.is_some_and(|t| {
            now.since(self.lateness.silence_start_capped(t, MAX_BACKLOG_ALLOWANCE)) < CONTACT_TIMEOUT
        })
    }

    /// Which controllers are in contact, by their index.
    pub(super) fn controllers_in_contact(&self, now: Micros) -> Vec<bool> {
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
            .filter(|n| self.in_contact(*n, now) && load[n.0 as usize] < self.config.operator.block_size)
            .min_by_key(|n| {
                (Some(*n) != prefer, self.config.zones[n.0 as usize] != zone, load[n.0 as usize], *n)
            })
    }

    pub(super) fn grant(&mut self, id: &MachineId, to: NodeId, why: &str, now: Micros) {
        let token = FencingToken(self.next_token());
        let Some(m) = self.machines.get_mut(id) else { return };
        match m.holder {
            Some(h) if h == to => {
                info!("{id}: token raised from={} to={} holder={}: {why}", m.fencing_token.0, token.0, to.0)
            }
            Some(h) => {
                info!("{id}: block moves from controller {} to {} token={}: {why}", h.0, to.0, token.0)
            }
            None => debug!("{id}: granted to controller {} token={}: {why}", to.0, token.0),
        }
        if m.holder != Some(to) {
            m.holder_contact = Micros(0);
            m.holder_changed_at = now;
        }
        m.holder = Some(to);
        m.fencing_token = token;
        m.confirmed = false;
        m.granted_at = now;
        m.needs_new_token = false;
        m.probed_at = None;
        // The new holder has to receive a heartbeat itself; those to the last holder say nothing
        // about that. The other controllers learn of the grant with their next update, and the
        // one that the worker sends heartbeats to at once.
        self.mark_changed(id);
        if let Some((n, _)) = self.last_seen.get(id)
            && let Some(n) = self.nodes.get_mut(n.0 as usize)
        {
            n.update_due = true;
        }
    }

    /// Grants and moves machines, watches them, and schedules tasks. Called about every 20 ms
    /// while this node may lead.
    pub fn tick(&mut self, state_replica: &StateReplica, now: Micros) {
        self.lateness.record_tick(now);
        if !self.grants_started {
            let all_in_contact = self.controllers_in_contact(now).into_iter().all(|c| c);
            let waited = now.since(self.term_start);
            if !(all_in_contact || waited >= Micros::millis(700))
                || self.awaits_log && waited < LOG_WAIT_TIMEOUT
            {
                return;
            }
            if self.awaits_log {
                self.awaits_log = false;
                warn!(
                    "no replica of the earlier placement log is available; silent machines may hold any task"
                );
            }
            self.grants_started = true;
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
        if !self.unreleased_jobs.is_empty() {
            self.release(state_replica);
        }
        // Scans of the whole fleet run only as often as what they watch requires.
        if now.since(self.blocks_checked_at) >= BLOCK_SCAN_INTERVAL {
            self.blocks_checked_at = now;
            self.move_machines(now);
            self.delete_silent(now);
            self.delete_unreachable_for_commands(now);
        }
        self.stop_cancelled(state_replica, now);
        if self.needs_scheduling && now.since(self.scheduled_at) >= Micros::millis(20) {
            self.needs_scheduling = false;
            self.scheduled_at = now;
            self.schedule(now);
        }
    }

    pub(super) fn move_machines(&mut self, now: Micros) {
        let mut moves: Vec<(MachineId, NodeId, &'static str)> = Vec::new();
        let mut unheld = Vec::new();
        let mut raises: Vec<(Micros, MachineId, NodeId)> = Vec::new();
        let mut load = self.loads();
        for (id, m) in &self.machines {
            if m.stage != Stage::Up || !m.recorded {
                continue;
            }
            let seen = self.last_seen.get(id).filter(|(_, t)| now.since(*t) < Micros::secs(4)).map(|x| x.0);
            match m.holder {
                None => unheld.push((id.clone(), m.zone.clone())),
                Some(h) => {
                    let silence_start = m.last_contact.map(|t| self.lateness.silence_start(t));
                    let silent = silence_start.is_none_or(|t| now.since(t) > Micros::millis(3500))
                        && now.since(m.granted_at) > Micros::millis(1500);
                    if let Some(s) = seen
                        && s != h
                        && self.in_contact(s, now)
                        && (silent || !self.in_contact(h, now))
                    {
                        moves.push((id.clone(), s, "its worker sends heartbeats to that controller"));
                    } else if m.may_raise_token(now) {
                        raises.push((m.granted_at, id.clone(), h));
                    } else if m.confirmed
                        && self.config.zones[h.0 as usize] != m.zone
                        && now.since(m.granted_at) > Micros::secs(10)
                        && m.reserved.is_empty()
                        && let Some(to) = self.choose_holder(&load, &m.zone, None, now)
                        && self.config.zones[to.0 as usize] == m.zone
                        && now.since(self.nodes[to.0 as usize].incarnation_since) > Micros::secs(4)
                        && (silent || moves.len() < 2)
                    {
                        moves.push((id.clone(), to, "a controller of its zone is available again"));
                    }
                }
            }
        }
        raises.sort();
        let raises = raises.into_iter().take(MAX_TOKEN_RAISES_PER_SCAN);
        moves.extend(raises.map(|(_, id, holder)| (id, holder, "a new token rules out late starts")));
        if !moves.is_empty() {
            for (id, to, why) in moves {
                self.grant(&id, to, why, now);
            }
            load = self.loads();
        }
        for (id, zone) in unheld {
            self.grant_unheld(&mut load, &id, &zone, now);
        }
        let full = !load.is_empty() && load.iter().all(|n| *n >= self.config.operator.block_size);
        if std::mem::replace(&mut self.blocks_full, full) != full && full {
            warn!("every block holds block_size machines; no controller holds the rest");
        }
    }

    /// Grants a machine without a holder to the controller that held it, to one of its zone,
    /// or to one that its worker sends heartbeats to. If none of these is in contact, the zone may be
    /// partitioned together with its controller, which goes on renewing its workers' leases;
    /// a grant to a controller on the other side of the partition would not help.
    pub(super) fn grant_unheld(&mut self, load: &mut [usize], id: &MachineId, zone: &str, now: Micros) {
        let Some(m) = self.machines.get(id) else { return };
        let seen = self.last_seen.get(id).filter(|(_, t)| now.since(*t) < Micros::secs(4)).map(|x| x.0);
        let last = m.last_holder.filter(|h| self.in_contact(*h, now));
        let own = self
            .choose_holder(load, zone, last, now)
            .filter(|n| Some(*n) == last || self.config.zones[n.0 as usize] == zone);
        let Some(to) = own.or_else(|| self.choose_holder(load, zone, seen, now)) else { return };
        let of_zone = self.config.zones[to.0 as usize] == zone;
        let zone_without_controller = !self.config.zones.iter().any(|z| z == zone);
        if of_zone || zone_without_controller || Some(to) == last || seen.is_some() {
            self.grant(id, to, "no holder", now);
            load[to.0 as usize] += 1;
        }
    }

    pub(super) fn delete_silent(&mut self, now: Micros) {
        let mut to_delete = Vec::new();
        let mut probes = Vec::new();
        // A partition between zones looks as if all machines beyond it failed, one after the
        // other as their heartbeats fall due. A machine is taken for dead quickly only on proof
        // that the network path is open: its holder received a heartbeat from another machine of
        // the zone after this one's heartbeat was overdue.
        let mut latest: BTreeMap<(NodeId, &str), (Micros, u32)> = BTreeMap::new();
        let mut zone_latest: BTreeMap<&str, Micros> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.stage == Stage::Up) {
            let (Some(h), Some(t)) = (m.holder, m.last_contact) else { continue };
            if !self.in_contact(h, now) {
                continue;
            }
            let (last, n) = latest.entry((h, &m.zone)).or_default();
            *last = (*last).max(m.holder_contact);
            *n += 1;
            let last = zone_latest.entry(&m.zone).or_default();
            *last = (*last).max(t);
        }
        // Within this time it should have sent a heartbeat, or have answered its holder's probe.
        let overdue =
            (self.config.report_interval.scale(5, 4) + Micros::secs(1)).min(PROBE_AFTER + PROBE_TIMEOUT);
        let heard_by = latest.iter().map(|((h, zone), (t, _))| (Some(*h), *zone, *t));
        for (by, zone, at) in heard_by.chain(zone_latest.iter().map(|(z, t)| (None, *z, *t))) {
            self.network_paths.record_contact(by, zone, at, overdue);
        }
        for (id, m) in &self.machines {
            if m.stage != Stage::Up {
                continue;
            }
            // A holder that was out of contact first gets 3 s to report its machines.
            let contact = m.holder.map_or(Micros(0), |h| self.nodes[h.0 as usize].contact_since);
            let limit = self.config.operator.silent_delete;
            // An earlier one than the clock's zero bounds nothing.
            let reported = (contact + Micros::secs(3)).before(limit).unwrap_or_default();
            // The time also starts again with a new holder: without that, a day's run deleted a
            // hundred machines at the moment they were granted to their zone's controller. So
            // it does when the network path to the holder, or to any controller, has just
            // opened.
            let open_since = |by| self.network_paths.open_since(by, &m.zone);
            let opened = m.holder.map_or(Micros(0), |h| open_since(Some(h))).max(open_since(None));
            let last = m.last_contact.unwrap_or(m.stage_since);
            let base = self
                .lateness
                .silence_start(last)
                .max(self.term_start)
                .max(reported)
                .max(m.holder_changed_at)
                .max(opened);
            let silent = now.since(base);
            let seen = self.last_seen.get(id).is_some_and(|(_, t)| now.since(*t) < Micros::secs(5));
            let probe_due = silent > Micros::millis(3200)
                && m.probed_at.is_none_or(|t| now.since(t) > Micros::millis(1500));
            if probe_due || m.command_reachability.probe_due(now) {
                probes.push((m.probed_at, id.clone()));
            }
            let path_proven_from = base + overdue;
            let (holder_contact, holder_machines) =
                m.holder.and_then(|h| latest.get(&(h, m.zone.as_str()))).copied().unwrap_or_default();
            let holder_in_zone = m
                .holder
                .is_some_and(|h| self.in_contact(h, now) && self.config.zones[h.0 as usize] == m.zone);
            let zone_contact = zone_latest.get(m.zone.as_str()).copied().unwrap_or_default();
            let limit = if holder_contact >= path_proven_from || holder_in_zone && holder_machines < 2 {
                limit
            } else if holder_in_zone {
                // The holder receives no heartbeat from any machine of the zone: it may itself be
                // partitioned, and the workers soon turn to other controllers.
                limit.scale(2, 1)
            } else if zone_contact >= path_proven_from {
                // Other controllers receive heartbeats from the zone: its workers switch to them
                // one after the other, each after a few controllers that do not answer.
                limit.scale(4, 1)
            } else {
                Micros::secs(60)
            };
            if silent > limit && !seen {
                to_delete.push((id.clone(), silent));
            }
        }
        // Least recently probed first, and only as many as a controller can probe beside its
        // work: after the loss of most controllers all machines are silent at once, and their
        // heartbeats resume without probes.
        probes.sort();
        probes.truncate(MAX_PROBES_PER_SCAN);
        for (_, id) in probes {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.probed_at = Some(now);
            m.command_reachability.record_probe(now);
            let (holder, addr) = (m.holder, m.addr.clone());
            for n in 0..self.nodes.len() {
                let n = NodeId(n as u8);
                if Some(n) != holder && self.in_contact(n, now) && !addr.is_empty() {
                    self.probes.push((n, id.clone(), addr.clone()));
                }
            }
        }
        for (id, silent) in to_delete {
            let holder = self.machines.get(&id).and_then(|m| m.holder);
            let contact = holder.is_some_and(|h| self.in_contact(h, now));
            let by = match holder {
                Some(h) if contact => format!("controller {}, which is in contact", h.0),
                Some(h) => format!("controller {}, which is out of contact", h.0),
                None => "no controller".into(),
            };
            self.delete(&id, &format!("silent for {:.1} s, held by {by}", silent.as_secs_f64()), now);
        }
    }

    /// Stops the remaining tasks of cancelled jobs. Also called while the leader's lease is not
    /// confirmed: a stop does no harm, and a cancellation must not wait for the state service.
    pub fn stop_cancelled(&mut self, state_replica: &StateReplica, now: Micros) {
        if now.since(self.cancellations_checked_at) < CANCELLATION_SCAN_INTERVAL {
            return;
        }
        self.cancellations_checked_at = now;
        self.delete_for_cancelled(state_replica, now);
        // A controller that the state service refuses doesn't know of the cancellation, so the
        // leader sends it the stops.
        let mut stops = Vec::new();
        for (id, m) in &self.machines {
            for (t, (a, _)) in &m.tasks {
                if self.cancelled_jobs.contains_key(&t.job)
                    && self.pending_stops.get(&(*t, *a)).is_none_or(|s| s.0.grace.0 > 0)
                {
                    stops.push((*t, *a, id.clone()));
                }
            }
        }
        for (t, a, id) in stops {
            self.request_stop(t, a, &id, Micros(0), now);
        }
    }

    /// Deletes machines that may hold a cancelled job's task that could not be stopped.
    pub(super) fn delete_for_cancelled(&mut self, state_replica: &StateReplica, now: Micros) {
        let mut to_delete = Vec::new();
        let mut finished = Vec::new();
        for (job, by) in &self.cancelled_jobs {
            let run = self.jobs.get(job);
            // A job stays here until it is recorded that no task of it is left: a machine that
            // could hold one may appear at any later time.
            let record = state_replica.jobs.get(job).filter(|j| !j.fully_stopped);
            if run.is_none_or(|r| r.bound.is_empty())
                && record.is_none()
                && now > *by + self.config.cancel_timeout
            {
                finished.push(*job);
            }
            if now >= self.deletion_due(*by, 95, Micros::millis(1500)) {
                let bound = || run.iter().flat_map(|r| r.bound.values());
                to_delete.extend(bound().flat_map(|b| b.reported_on.iter()).map(|id| (id.clone(), *job)));
                // An assigned task may be on any machine of the block that its job allows.
                let holds = |id: &MachineId, attempt: Attempt| {
                    let (Some(r), Some(m)) = (run, self.machines.get(id)) else { return false };
                    m.suits(&r.spec) && may_hold(m, attempt)
                };
                for (b, h) in bound().filter_map(|b| Some((b, b.unresolved_assignment.as_ref()?))) {
                    let machines = h.candidates.iter().filter(|id| holds(id, b.attempt));
                    to_delete.extend(machines.map(|id| (id.clone(), *job)));
                }
            }
            // Machines without a heartbeat in this term may hold its tasks.
            if now >= self.deletion_due(*by, 90, Micros::millis(2500))
                && let Some(spec) = record.and_then(|j| j.spec.as_ref())
            {
                for (id, m) in self.machines.iter().filter(|(_, m)| m.tasks_unknown) {
                    if m.suits(spec) {
                        to_delete.push((id.clone(), *job));
                    }
                }
            }
        }
        for (id, job) in to_delete {
            if self.machines.get(&id).is_some_and(|m| m.stage == Stage::Up) {
                self.delete(&id, &format!("a task of cancelled {job} may be on it"), now);
            }
        }
        for j in finished {
            self.cancelled_jobs.remove(&j);
        }
        // Removes ended jobs without bound tasks.
        self.jobs.retain(|_, r| !r.bound.is_empty() || !r.ended);
    }

    /// When to delete machines that may hold tasks which have to be terminated `by` a given
    /// time: early enough to bridge a temporary outage of the cloud. A new leader first waits
    /// 4 s for its controllers' reports, but only until `last` percent of the time allowed
    /// since the confirmation to the client have passed, so that a series of leaders that each
    /// start to wait does not use it up. A leader whose term begins too late to have waited
    /// `min_wait` by then waits the full 4 s; then the cancellation enforcers at the other
    /// controllers have to meet the deadline (`crate::cancellation_enforcer`).
    fn deletion_due(&self, by: Micros, last: u64, min_wait: Micros) -> Micros {
        let reports_in = self.term_start + Micros::secs(4);
        // A share of the time allowed that ended before the clock's zero is past, as the zero is.
        let before_end =
            |percent| by.before(self.config.cancel_timeout.scale(percent, 100)).unwrap_or_default();
        let last = before_end(100 - last);
        let wait = if last >= self.term_start + min_wait { reports_in.min(last) } else { reports_in };
        wait.max(before_end(35))
    }

    pub(super) fn delete(&mut self, id: &MachineId, why: &str, now: Micros) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.stage == Stage::Deleting {
            return;
        }
        let age = now.since(m.first_known_at);
        let total = m.size.cpu as u128 * age.0 as u128;
        info!(
            "{id}: deleted ({} in {}{}) after {:.0} s, {}% used: {why}",
            m.machine_type,
            m.zone,
            if m.spot { ", spot" } else { "" },
            age.as_secs_f64(),
            m.used_cpu_time * 100 / total.max(1)
        );
        m.stage = Stage::Deleting;
        m.stage_since = now;
        m.delete_sent_at = None;
        self.needs_scheduling = true;
        self.mark_changed(id);
    }
}
