//! Cancellations: which controllers have acknowledged one, and which must have before it is
//! confirmed to the client.
//!
//! Invariant: a cancellation is confirmed to a client only when
//! - it is recorded in the state service, as read here or reported by a controller that read the
//!   record;
//! - the leader of the latest known term acts on it: it stops the job's tasks through the
//!   controllers that hold their machines, and deletes the machines that are unreachable, for which
//!   it needs neither the state service nor a confirmed lease;
//! - every controller within contact acts on it, for all workers that report to it;
//! - no other controller can order a start of the job, which that leader guarantees: it knows what
//!   was assigned to which controller and until when (`leader/cancelled.rs`).
//!
//! An acknowledgement stays valid: a job's end never changes, and the leader of a later term has
//! read the record before it leads. A restarted process is notified by all other controllers. Where
//! a controller that must acknowledge is unreachable, the client gets 503, at once or after
//! `CONFIRMATION_TIMEOUT`, from any controller, and the notifications go on.
use super::*;
use crate::peer::Cancellation;

/// How long a client's response waits for acknowledgements, a few times their usual round trip;
/// then the response is 503 and the client retries.
const PATIENCE: Micros = Micros::millis(700);
/// How long until a controller that has not acknowledged a cancellation is notified again, while a
/// client waits for the confirmation.
const AGAIN: Micros = Micros::millis(150);
/// The same while no client waits: reaches processes that have restarted since.
const AGAIN_LATER: Micros = Micros::secs(1);
/// How often all cancellations are scanned.
const LOOKED_AT: Micros = Micros::millis(100);
/// Most cancellations in one message.
const AT_ONCE: usize = 500;

/// A request that waits until every controller that must know of a cancellation has acknowledged
/// it.
#[derive(Debug)]
enum Asker {
    User(RequestId),
    /// The extension, whose transaction ended jobs, and the result of that transaction.
    Guest(Ticket, CallResult),
}

/// A cancellation and its acknowledgements.
#[derive(Debug)]
struct Known {
    record: Cancellation,
    since: Micros,
    /// The highest term whose leader acts on it and guarantees that no start follows.
    led: u64,
    /// This leader owes another controller that guarantee.
    word_owed: bool,
    askers: Vec<(Asker, Micros)>,
    /// When each controller was last notified.
    sent: Vec<Option<Micros>>,
    /// It was confirmed complete here; the other controllers are notified of that once.
    announce: bool,
}

/// Cancellations that some controller may not have acknowledged yet.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    jobs: BTreeMap<JobId, Known>,
    /// A request or an acknowledgement arrived: scan at the next call. Otherwise every
    /// `SCAN_INTERVAL`.
    dirty: bool,
    looked: Micros,
}

impl Cancellations {
    /// Merges a cancellation; returns whether it was new here.
    fn take(&mut self, c: &Cancellation, nodes: usize, now: Micros) -> bool {
        if let Some(k) = self.jobs.get_mut(&c.job) {
            k.record.told |= c.told;
            for (mine, theirs) in k.record.known_by.iter_mut().zip(&c.known_by) {
                *mine = (*mine).max(*theirs);
            }
            return false;
        }
        let mut record = c.clone();
        record.known_by.resize(nodes, 0);
        let sent = vec![None; nodes];
        self.jobs.insert(
            c.job,
            Known { record, since: now, led: 0, word_owed: false, askers: Vec::new(), sent, announce: false },
        );
        true
    }
}

impl Node {
    /// Applies job ends of a transaction that the state service has confirmed, ahead of the watch's
    /// events. Returns the jobs that ended.
    pub(super) fn ended_by(&mut self, writes: &[Write], stamp: u64) -> Vec<JobId> {
        let mut ended = Vec::new();
        for w in writes {
            let Write::Put { put, v, .. } = w else { continue };
            if v["end"] == "aborted"
                && let change @ Change::Job { id, .. } = self.mirror.ledger.apply(put, Some(v), stamp)
            {
                self.changed(change);
                ended.push(id);
            }
        }
        ended
    }

    /// Answers a request about a cancelled job as soon as the cancellation may be confirmed.
    pub(super) fn tell_user(&mut self, id: RequestId, job: JobId) {
        self.tell(Asker::User(id), job);
    }

    /// Completes the extension's transaction when the job ends in it may be confirmed.
    pub(super) fn tell_guest(&mut self, t: Ticket, jobs: &[JobId], result: CallResult) {
        // All controllers are notified of all jobs together; the extension waits for the last one.
        for job in jobs {
            self.note_cancelled(*job);
        }
        match jobs.last() {
            Some(job) => self.tell(Asker::Guest(t, result), *job),
            None => self.ask_guest(GuestInput::Called(t, result)),
        }
    }

    fn tell(&mut self, asker: Asker, job: JobId) {
        self.note_cancelled(job);
        let until = self.now + PATIENCE;
        let reachable = self.leader_node().is_some_and(|n| n == self.nodes.me || self.reaches(n));
        let Some(k) = self.cancellations.jobs.get_mut(&job) else { return };
        if !k.record.told && !reachable {
            return self.not_told(asker);
        }
        k.askers.push((asker, until));
        self.cancellations.dirty = true;
        self.spread_cancellations();
    }

    /// Whether a network path to a controller is known: direct, or through another controller.
    fn reaches(&self, n: NodeId) -> bool {
        self.hears(n, HEARD) || self.peers.relay(n, self.now).is_some()
    }

    fn not_told(&mut self, asker: Asker) {
        match asker {
            Asker::User(id) => self.refuse(id, RefusalReason::CancellationUnconfirmed),
            Asker::Guest(t, _) => self.ask_guest(GuestInput::Called(t, CallResult::Unknown)),
        }
    }

    /// Records a cancellation from the state replica.
    fn note_cancelled(&mut self, job: JobId) {
        let Some(j) = self.mirror.ledger.jobs.get(&job).filter(|j| j.phase == Phase::Aborted) else { return };
        let record = Cancellation {
            job,
            at_ms: j.ended_ms,
            stamp: j.end_stamp,
            cause: j.cause.clone(),
            told: false,
            known_by: Vec::new(),
        };
        self.cancellations.take(&record, self.nodes.names.len(), self.now);
    }

    /// Whether a cancellation may be confirmed to a client.
    pub(super) fn may_tell(&self, job: JobId) -> bool {
        // Nothing of the job is on any machine, so no controller needs to know.
        if self.mirror.ledger.jobs.get(&job).is_some_and(|j| j.settled) {
            return true;
        }
        let Some(k) = self.cancellations.jobs.get(&job) else { return false };
        k.record.told || self.all_know(k)
    }

    /// Whether every controller that must know of a cancellation has acknowledged it.
    fn all_know(&self, k: &Known) -> bool {
        // A leader that acquired its key before the record was written has to be notified. Only a
        // state replica that holds the record shows whether there is such a leader.
        let applied = self.mirror.ledger.applied >= k.record.stamp;
        let heard_know = self.peers.all().filter(|n| *n != self.nodes.me && self.hears(*n, HEARD)).all(|n| {
            let process = self.peers.states[n.0 as usize].incarnation;
            k.record.known_by[n.0 as usize] >= process
        });
        applied && heard_know && {
            let vouched = k.led.max(self.vouched_term(k).unwrap_or(0));
            vouched > 0 && vouched >= self.leader_term()
        }
    }

    /// The term of this leader, if no start of the job can follow.
    fn vouched_term(&self, k: &Known) -> Option<u64> {
        let leader = self.leadership.leader.as_ref()?;
        let ended: Vec<NodeId> = self.peers.all().filter(|n| self.peers.refuses(*n, self.now)).collect();
        let open = leader.start_may_follow(k.record.job, &k.record.known_by, &ended, self.now);
        (!open).then_some(leader.term)
    }

    /// Notifies controllers that have to know, and answers requests whose cancellation is fully
    /// acknowledged.
    pub(super) fn spread_cancellations(&mut self) {
        let (now, me) = (self.now, self.nodes.me);
        let waits = now.since(self.cancellations.looked) < LOOKED_AT;
        if waits && !std::mem::take(&mut self.cancellations.dirty) {
            return;
        }
        self.cancellations.looked = now;
        // Drops jobs whose settlement is on record. Without a waiting request, a cancellation is
        // kept only for four times the cancellation time: by then its tasks have left their
        // machines, or the state service provides it.
        let (keep, ledger) = (self.ctx.cancel.scale(4, 1), &self.mirror.ledger);
        self.cancellations.jobs.retain(|job, k| {
            !k.askers.is_empty()
                || now.since(k.since) < keep && ledger.jobs.get(job).is_none_or(|j| !j.settled)
        });
        if self.cancellations.jobs.is_empty() {
            return;
        }
        let asked = self.cancellations.jobs.iter().filter(|(_, k)| !k.askers.is_empty());
        let told: Vec<JobId> = asked.map(|(job, _)| *job).filter(|job| self.may_tell(*job)).collect();
        let mut done = Vec::new();
        for job in told {
            let Some(k) = self.cancellations.jobs.get_mut(&job) else { continue };
            if !std::mem::replace(&mut k.record.told, true) {
                // The other controllers may confirm it to clients as well, without querying each
                // other.
                k.announce = true;
                k.sent.fill(None);
            }
            done.extend(k.askers.drain(..).map(|(a, _)| (a, job)));
        }
        for (asker, job) in done {
            match asker {
                Asker::User(id) => self.aborted_answer(id, job),
                Asker::Guest(t, result) => self.ask_guest(GuestInput::Called(t, result)),
            }
        }
        let mut late = Vec::new();
        for k in self.cancellations.jobs.values_mut() {
            let (gone, left): (Vec<_>, Vec<_>) =
                std::mem::take(&mut k.askers).into_iter().partition(|(_, until)| now >= *until);
            k.askers = left;
            late.extend(gone.into_iter().map(|(a, _)| a));
        }
        late.into_iter().for_each(|a| self.not_told(a));
        let leader = self.leader_node();
        let term = self.leader_term();
        for n in self.peers.all().filter(|n| *n != me) {
            let leads = Some(n) == leader;
            if !self.reaches(n) {
                continue;
            }
            let i = n.0 as usize;
            let process = self.peers.states[i].incarnation;
            let due = |k: &&mut Known| {
                let waited = !k.askers.is_empty() || k.word_owed && !k.record.told;
                let again = if waited { AGAIN } else { AGAIN_LATER };
                // A controller that is not notified yet usually learns of the end from the state
                // service; then its acknowledgement is batched with others.
                let first = if waited || k.record.told { Micros(0) } else { AGAIN_LATER };
                let knows = k.record.known_by[i] >= process && !(leads && waited && k.led < term);
                let news = k.announce && k.sent[i].is_none();
                (!knows || news)
                    && now.since(k.since) >= first
                    && k.sent[i].is_none_or(|t| now.since(t) >= again)
            };
            let mut all = Vec::new();
            for k in self.cancellations.jobs.values_mut().filter(due).take(AT_ONCE) {
                k.sent[i] = Some(now);
                all.push(k.record.clone());
            }
            if !all.is_empty() {
                self.send(n, Message::Cancelled(all));
            }
        }
    }

    /// Handles another controller's notification of cancellations. A late or repeated one changes
    /// nothing: a job's end never changes.
    pub(super) fn cancellations_came(&mut self, from: NodeId, all: &[Cancellation]) {
        let nodes = self.nodes.names.len();
        for c in all {
            self.cancellations.take(c, nodes, self.now);
            self.mark_known(c.job, self.nodes.me, self.incarnation);
            self.act_on(c);
        }
        let (mut vouched, mut others) = (Vec::new(), Vec::new());
        let leads = self.leadership.leader.as_ref().map(|l| l.term);
        for c in all {
            let sure = self.cancellations.jobs.get(&c.job).is_some_and(|k| self.vouched_term(k).is_some());
            if let Some(k) = self.cancellations.jobs.get_mut(&c.job) {
                k.word_owed = leads.is_some() && !sure;
            }
            if sure { vouched.push(c.job) } else { others.push(c.job) }
        }
        for (jobs, leads) in [(vouched, leads), (others, None)] {
            if !jobs.is_empty() {
                self.send(from, Message::CancelledKnown { jobs, leads });
            }
        }
        self.drive();
    }

    /// Ends a job in the state replica, ahead of the state service.
    fn act_on(&mut self, c: &Cancellation) {
        let phase = self.mirror.ledger.jobs.get(&c.job).map(|j| j.phase);
        match phase {
            Some(Phase::Done) => return warn!("{}: notified of its cancellation after it was done", c.job),
            Some(Phase::Aborted) => {}
            Some(Phase::Active) | None => {
                debug!("{}: notified of its cancellation", c.job);
                let end = jobs::cancelled_value(c.at_ms, c.cause.as_deref(), false);
                let change = self.mirror.ledger.apply(&keys::end(c.job), Some(&end), c.stamp);
                self.changed(change);
            }
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            l.told_cancelled(c.job, &self.mirror.ledger, self.now);
        }
    }

    /// Applies the known cancellations again after the state was read from the start: they still
    /// hold.
    pub(super) fn reapply_cancellations(&mut self) {
        let all: Vec<Cancellation> = self.cancellations.jobs.values().map(|k| k.record.clone()).collect();
        all.iter().for_each(|c| self.act_on(c));
    }

    fn mark_known(&mut self, job: JobId, n: NodeId, process: u64) {
        if let Some(k) = self.cancellations.jobs.get_mut(&job) {
            let known = &mut k.record.known_by[n.0 as usize];
            *known = (*known).max(process);
        }
    }

    /// Handles another controller's acknowledgement that it acts on cancellations.
    pub(super) fn cancellations_known(
        &mut self,
        from: NodeId,
        process: u64,
        jobs: &[JobId],
        leads: Option<u64>,
    ) {
        let term = self.leader_term();
        let leader = self.leader_node().filter(|n| *n != from && *n != self.nodes.me);
        for job in jobs {
            self.mark_known(*job, from, process);
            let Some(k) = self.cancellations.jobs.get_mut(job) else { continue };
            k.led = k.led.max(leads.unwrap_or(0));
            // A leader that gave no guarantee may have been waiting for exactly this
            // acknowledgement.
            if let Some(i) = leader.map(|n| n.0 as usize)
                && k.led < term
                && k.record.known_by[i] >= self.peers.states[i].incarnation.max(1)
            {
                k.sent[i] = None;
            }
        }
        self.cancellations.dirty = true;
        self.spread_cancellations();
    }

    /// Records that this process can know of new cancellations: it has read the state and reaches
    /// the state service; or, in an outage, it is in contact with a majority of controllers, one of
    /// which has read the state. A minority may be cut off from a state service that still serves
    /// the other controllers, and no controller outside the minority may be left to stop the tasks
    /// that it keeps alive.
    pub(super) fn note_informed(&mut self) {
        let heard = |n: &NodeId| *n != self.nodes.me && self.hears(*n, HEARD);
        let heard: Vec<NodeId> = self.peers.all().filter(heard).collect();
        let read = self.mirror.loaded || heard.iter().any(|n| self.peers.states[n.0 as usize].loaded);
        let most = (heard.len() + 1) * 2 > self.nodes.names.len();
        if self.mirror.loaded && self.mirror.state_ok(self.now) || read && most {
            self.informed = Some(self.now);
        }
    }

    /// Whether this process may renew workers' leases. Without new events, it may keep tasks alive
    /// that were cancelled since: a worker whose lease is not renewed kills its tasks within the
    /// lease, and so within what is left of the cancellation time. A cancellation from before this
    /// process started may have been confirmed at any earlier time; half of the spare time is left
    /// for that.
    pub(super) fn may_renew(&self) -> bool {
        let spare = self.ctx.cancel - self.ctx.lease;
        match self.informed {
            Some(t) => self.now.since(t) + Micros::secs(1) <= spare,
            None => self.now.since(self.began) <= spare.scale(1, 2),
        }
    }
}
