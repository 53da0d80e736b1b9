//! Machines whose heartbeats arrive while no response and no command reaches them. Such a
//! machine appears alive, but its worker's lease expires, its tasks are killed, and the worker
//! starts a new agent epoch. Its tasks stay bound to it until it is deleted, because it never
//! receives the current fencing token and cannot report under it.
//!
//! Invariant: a machine is deleted for this only after unanswered probes by controllers, and
//! only one in `MACHINES_PER_DELETION` machines, or two, in `DELETION_WINDOW`.
use super::*;

/// A missing acknowledgement that lasts longer is not a lost packet: the machine accepts tasks
/// again only after a pause, which doubles with each episode.
const MIN_EPISODE_DURATION: Micros = Micros::secs(8);
/// Half of the first pause, in seconds: the pause is this value shifted left by the number of
/// episodes, at most 5.
const TRUST_PAUSE_BASE_S: u64 = 2;
/// Other controllers probe a machine after it has acknowledged nothing for this long.
const DOUBT_BEFORE_PROBE: Micros = Micros::secs(2);
/// After this many unanswered probes, commands do not reach the machine.
const MIN_UNANSWERED_PROBES: u32 = 3;
/// A machine without contact for longer is silent, which `Leader::delete_silent` handles.
const SILENCE_TIMEOUT: Micros = Micros::secs(12);
/// One machine in this many, and always two, may be deleted for this in `DELETION_WINDOW`.
const MACHINES_PER_DELETION: usize = 20;
const DELETION_WINDOW: Micros = Micros::secs(10);

/// Whether responses and commands reach a machine.
#[derive(Debug)]
pub(super) struct CommandReachability {
    /// Its last heartbeat to its holder shows that responses reach it.
    pub acknowledges_commands: bool,
    /// When it last showed this, to any controller.
    last_acknowledged: Micros,
    /// Since when it has acknowledged nothing, and the probes sent since then.
    unacknowledged_since: Option<Micros>,
    probes_sent: u32,
    probed_at: Micros,
    episodes: u32,
    /// No task is assigned to it before this.
    pub trusted_at: Micros,
}

impl CommandReachability {
    pub(super) fn new(now: Micros) -> Self {
        CommandReachability {
            acknowledges_commands: true,
            last_acknowledged: now,
            unacknowledged_since: None,
            probes_sent: 0,
            probed_at: Micros(0),
            episodes: 0,
            trusted_at: Micros(0),
        }
    }

    /// Its holder reports the heartbeat that it received at `at`; `None` if that was before this
    /// process's clock began.
    pub(super) fn holder_reported(&mut self, acknowledges_commands: bool, at: Option<Micros>, now: Micros) {
        self.acknowledges_commands = acknowledges_commands;
        match at {
            Some(at) if acknowledges_commands => self.acknowledged(at, now),
            // Every acknowledgement that this process knows of is later.
            None if acknowledges_commands => {}
            // Counts from the arrival of the heartbeat, so that an acknowledgement that arrives
            // before the holder's report is processed still ends it.
            _ => _ = self.unacknowledged_since.get_or_insert(at.unwrap_or_default()),
        }
    }

    /// A controller, the holder or another one (`elsewhere`), received the machine's heartbeat or
    /// probed it and had a response (`probed`).
    pub(super) fn contacted_by_other(&mut self, probed: bool, elsewhere: bool, now: Micros) {
        if probed {
            self.acknowledged(now, now);
        } else if elsewhere {
            self.unacknowledged_since.get_or_insert(now);
        }
    }

    /// It acknowledged at `at`. An acknowledgement from before `unacknowledged_since` does not
    /// end the episode.
    fn acknowledged(&mut self, at: Micros, now: Micros) {
        self.last_acknowledged = self.last_acknowledged.max(at);
        let Some(since) = self.unacknowledged_since.filter(|since| at >= *since) else { return };
        self.unacknowledged_since = None;
        self.probes_sent = 0;
        if now.since(since) > MIN_EPISODE_DURATION {
            self.episodes += 1;
            self.trusted_at = now + Micros::secs(TRUST_PAUSE_BASE_S << self.episodes.min(5));
        }
    }

    /// Whether other controllers should probe it now: the last probe has timed out.
    pub(super) fn probe_due(&self, now: Micros) -> bool {
        self.unacknowledged_for(DOUBT_BEFORE_PROBE, now) && now.since(self.probed_at) > PROBE_TIMEOUT
    }

    /// Counts a probe by other controllers, if one is due.
    pub(super) fn record_probe(&mut self, now: Micros) {
        if self.probe_due(now) {
            self.probes_sent += 1;
            self.probed_at = now;
        }
    }

    /// Whether it has acknowledged nothing for longer than `span`.
    pub(super) fn unacknowledged_for(&self, span: Micros, now: Micros) -> bool {
        self.unacknowledged_since.is_some_and(|t| now.since(t) > span)
    }
}

impl Machine {
    /// Its holder reports a heartbeat that changed nothing.
    pub(super) fn holder_reported_unchanged(&mut self, from: NodeId, at: Option<Micros>, now: Micros) {
        if let Some(at) = at
            && self.holder == Some(from)
            && self.confirmed
            && self.command_reachability.acknowledges_commands
        {
            self.command_reachability.acknowledged(at, now);
        }
    }
}

impl Leader {
    /// Deletes machines that commands do not reach. A machine with tasks is deleted shortly
    /// before its worker's lease ends, so that one that recovers in time loses no task.
    pub(super) fn delete_unreachable_for_commands(&mut self, now: Micros) {
        let lease = self.config.worker_lease;
        let mut held: BTreeMap<NodeId, (usize, usize)> = BTreeMap::new();
        let (mut up, mut any_unacknowledged) = (0, false);
        for m in self.machines.values().filter(|m| m.stage == Stage::Up) {
            let unacknowledged = m.command_reachability.unacknowledged_since.is_some();
            (up, any_unacknowledged) = (up + 1, any_unacknowledged || unacknowledged);
            if let Some(h) = m.holder {
                let (n, of) = held.entry(h).or_default();
                (*n, *of) = (*n + unacknowledged as usize, *of + 1);
            }
        }
        if !any_unacknowledged {
            return;
        }
        while self.unreachable_deletions.front().is_some_and(|t| now.since(*t) > DELETION_WINDOW) {
            self.unreachable_deletions.pop_front();
        }
        let left = (up / MACHINES_PER_DELETION).max(2).saturating_sub(self.unreachable_deletions.len());
        let mut to_delete = Vec::new();
        for (id, m) in &self.machines {
            let reachability = &m.command_reachability;
            let last = m.last_contact.max(self.last_seen.get(id).map(|x| x.1));
            let alive = last.is_some_and(|t| now.since(t) < SILENCE_TIMEOUT);
            // The last probe may still be answered.
            if m.stage != Stage::Up
                || reachability.unacknowledged_since.is_none()
                || !alive
                || reachability.probes_sent <= MIN_UNANSWERED_PROBES
            {
                continue;
            }
            let limit = if m.bound.is_empty() { lease.scale(2, 1) } else { lease.scale(7, 10) };
            let span = now.since(self.lateness.silence_start(reachability.last_acknowledged));
            // If most machines of a controller acknowledge nothing, its outbound network path is
            // cut: other controllers take the machines over.
            let of_holder = m.holder.and_then(|h| held.get(&h)).copied().unwrap_or_default();
            let outbound_cut = of_holder.1 >= 4 && of_holder.0 * 2 > of_holder.1;
            if span > limit && (!outbound_cut || span > lease.scale(2, 1)) {
                to_delete.push((std::cmp::Reverse(span), id.clone()));
            }
        }
        to_delete.sort();
        for (span, id) in to_delete.into_iter().take(left) {
            self.unreachable_deletions.push_back(now);
            let why =
                format!("it sends heartbeats but has acknowledged nothing for {:.1} s", span.0.as_secs_f64());
            self.delete(&id, &why, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_later_acknowledgement_ends_an_episode() {
        let s = Micros::secs;
        // (event, its time in seconds; unacknowledged after it, trusted again at second)
        type Step = (fn(&mut CommandReachability, Micros), u64, bool, u64);
        let steps: [Step; 9] = [
            (|reachability, t| reachability.holder_reported(true, Some(t), t), 1, false, 0),
            (|reachability, t| reachability.contacted_by_other(false, true, t), 5, true, 0),
            // The holder reports a heartbeat from before the episode.
            (|reachability, t| reachability.holder_reported(true, Some(Micros::secs(4)), t), 6, true, 0),
            (|reachability, t| reachability.holder_reported(true, Some(t), t), 9, false, 0),
            (|reachability, t| reachability.holder_reported(false, Some(t), t), 20, true, 0),
            (|reachability, t| reachability.contacted_by_other(true, true, t), 30, false, 34),
            (|reachability, t| reachability.holder_reported(false, Some(t), t), 40, true, 34),
            (|reachability, t| reachability.contacted_by_other(false, false, t), 45, true, 34),
            (|reachability, t| reachability.holder_reported(true, Some(t), t), 50, false, 58),
        ];
        let mut reachability = CommandReachability::new(s(0));
        for (i, (step, at, unacknowledged_since, trusted)) in steps.into_iter().enumerate() {
            step(&mut reachability, s(at));
            assert_eq!(
                (reachability.unacknowledged_since.is_some(), reachability.trusted_at),
                (unacknowledged_since, s(trusted)),
                "step {i}"
            );
        }
    }
}
