//! Cancellations: who has been told of one, and who must be before a user is.
//!
//! Invariant: a user hears that a job is cancelled only when
//! - its cancellation is on record, or was told by a controller that saw it so;
//! - the leader of the latest term that is known acts on it: it stops the job's tasks
//!   through their holders and deletes the machines that can't be reached, for which
//!   it needs neither the state service nor a confirmed lease;
//! - every controller that is heard acts on it, with whatever workers report to it;
//! - no other one can order a start of it, by the word of that leader, which knows what
//!   was handed to whom and for how long (`leader/cancelled.rs`).
//!
//! Who was told once stays told: an end never changes, and the leader of a later term
//! has read it before it leads. A process that begins anew is told by all the others.
//! Where one who must know can't be told, the user hears 503 at once or after
//! `PATIENCE`, from any controller, and the telling goes on.
use super::*;
use crate::peer::Cancellation;

/// A user's answer waits for the word of the others for so long, a few times what
/// their answers take; then it is 503, and the user comes back.
const PATIENCE: Micros = Micros::millis(700);
/// Who has not acknowledged a cancellation that a user waits for is told again after this.
const AGAIN: Micros = Micros::millis(150);
/// The same where nobody waits: for processes that have begun since.
const AGAIN_LATER: Micros = Micros::secs(1);
/// All are looked at so often.
const LOOKED_AT: Micros = Micros::millis(100);
/// Cancellations told in one message.
const AT_ONCE: usize = 500;

/// Who waits until everybody who must know does.
#[derive(Debug)]
enum Asker {
    User(RequestId),
    /// The guest, whose transaction ended jobs; how that went.
    Guest(Ticket, CallResult),
}

/// One cancellation.
#[derive(Debug)]
struct Known {
    record: Cancellation,
    since: Micros,
    /// The highest term whose leader acts on it, and vouches that no start follows.
    led: u64,
    /// Another controller waits for this leader's word.
    word_owed: bool,
    askers: Vec<(Asker, Micros)>,
    /// When each controller was last told.
    sent: Vec<Option<Micros>>,
    /// It was told here that all know; the others hear of that once.
    announce: bool,
}

/// Cancellations that somebody may still have to hear of.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    jobs: BTreeMap<JobId, Known>,
    /// Somebody asks, or answered: to be looked at now. Otherwise as time goes on.
    dirty: bool,
    looked: Micros,
}

impl Cancellations {
    /// Takes a cancellation; whether it was not known here.
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
    /// Jobs that a transaction ended, once it is known to be carried out: they are
    /// over here from now on, whenever the state service tells of it.
    pub(super) fn ended_by(&mut self, writes: &[Write], stamp: u64) -> Vec<JobId> {
        let mut ended = Vec::new();
        for w in writes {
            let Write::Put { key: put, value: v, .. } = w else { continue };
            if v["end"] == "aborted"
                && let change @ Change::Job { id, .. } = self.mirror.ledger.apply(put, Some(v), stamp)
            {
                self.changed(change);
                ended.push(id);
            }
        }
        ended
    }

    /// Answers for a cancelled job as soon as a user may be told.
    pub(super) fn tell_user(&mut self, id: RequestId, job: JobId) {
        self.tell(Asker::User(id), job);
    }

    /// The guest hears of its transaction when users may hear of the ends in it.
    pub(super) fn tell_guest(&mut self, t: Ticket, jobs: &[JobId], result: CallResult) {
        // All are told of together, and the guest waits for the last of them.
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

    /// A way to a controller is known: direct, or by another one.
    fn reaches(&self, n: NodeId) -> bool {
        self.hears(n, HEARD) || self.peers.relay(n, self.now).is_some()
    }

    fn not_told(&mut self, asker: Asker) {
        match asker {
            Asker::User(id) => self.refuse(id, RefusalReason::CancellationUnconfirmed),
            Asker::Guest(t, _) => self.ask_guest(GuestInput::Called(t, CallResult::Unknown)),
        }
    }

    /// Takes a cancellation from the mirror.
    fn note_cancelled(&mut self, job: JobId) {
        let Some(j) = self.mirror.ledger.jobs.get(&job).filter(|j| j.phase == Phase::Cancelled) else {
            return;
        };
        let record = Cancellation {
            job,
            at_ms: j.ended_ms,
            stamp: j.end_revision,
            cause: j.cause.clone(),
            told: false,
            known_by: Vec::new(),
        };
        self.cancellations.take(&record, self.nodes.names.len(), self.now);
    }

    /// Whether a user may be told that a job is cancelled.
    pub(super) fn may_tell(&self, job: JobId) -> bool {
        // Nothing of it is on any machine: there is nothing that anybody has to know.
        if self.mirror.ledger.jobs.get(&job).is_some_and(|j| j.fully_stopped) {
            return true;
        }
        let Some(k) = self.cancellations.jobs.get(&job) else { return false };
        k.record.told || self.all_know(k)
    }

    /// Whether everybody who must know of a cancellation does.
    fn all_know(&self, k: &Known) -> bool {
        // A leader that took its key before the record has to be told; whether there is
        // one, only a mirror that holds the record knows.
        let applied = self.mirror.ledger.applied_revision >= k.record.stamp;
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

    /// Tells who has to know, and answers those for whom everybody does.
    pub(super) fn spread_cancellations(&mut self) {
        let (now, me) = (self.now, self.nodes.me);
        let waits = now.since(self.cancellations.looked) < LOOKED_AT;
        if waits && !std::mem::take(&mut self.cancellations.dirty) {
            return;
        }
        self.cancellations.looked = now;
        // What is settled on record is over; what nobody asks about any more was left
        // by its machines long ago, or is the state service's to tell.
        let (keep, ledger) = (self.ctx.cancel.scale(4, 1), &self.mirror.ledger);
        self.cancellations.jobs.retain(|job, k| {
            !k.askers.is_empty()
                || now.since(k.since) < keep && ledger.jobs.get(job).is_none_or(|j| !j.fully_stopped)
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
                // The others may tell users as well, and need not ask each other.
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
                // Who is told the first time after the end learned of it in another
                // way as a rule; then its acknowledgement comes with those of others.
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

    /// Another controller tells of cancellations. A late or repeated one says nothing
    /// new: an end never changes.
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

    /// Ends a job in the mirror, ahead of the state service.
    fn act_on(&mut self, c: &Cancellation) {
        let phase = self.mirror.ledger.jobs.get(&c.job).map(|j| j.phase);
        match phase {
            Some(Phase::Done) => return warn!("{}: cancelled and done", c.job),
            Some(Phase::Cancelled) => {}
            Some(Phase::Active) | None => {
                debug!("{}: told of its cancellation", c.job);
                let end = jobs::cancelled_value(c.at_ms, c.cause.as_deref(), false);
                let change = self.mirror.ledger.apply(&keys::end(c.job), Some(&end), c.stamp);
                self.changed(change);
            }
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            l.told_cancelled(c.job, &self.mirror.ledger, self.now);
        }
    }

    /// The state was read anew: what was told ahead of it still holds.
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

    /// Another controller acts on cancellations.
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
            // A leader that didn't vouch for it may have waited for just this.
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

    /// Notes that this process can know what was cancelled: it has read the state and
    /// can ask for news; or, in an outage, it is in touch with most of the controllers, one
    /// of whom has read it. Fewer may be what is cut off from a state service that goes on
    /// serving the others, and nobody outside need be left to end what they keep alive.
    pub(super) fn note_informed(&mut self) {
        let heard = |n: &NodeId| *n != self.nodes.me && self.hears(*n, HEARD);
        let heard: Vec<NodeId> = self.peers.all().filter(heard).collect();
        let read = self.mirror.loaded || heard.iter().any(|n| self.peers.states[n.0 as usize].loaded);
        let most = (heard.len() + 1) * 2 > self.nodes.names.len();
        if self.mirror.loaded && self.mirror.state_ok(self.now) || read && most {
            self.informed = Some(self.now);
        }
    }

    /// Whether workers may be kept alive by this process's word. Without news, it may
    /// keep tasks alive that were cancelled since: a worker that nobody renews kills them
    /// within its lease, and so within what is left of a cancellation. What was confirmed
    /// before this process began may be any time ago; half is left for that.
    pub(super) fn may_renew(&self) -> bool {
        let spare = self.ctx.cancel - self.ctx.lease;
        match self.informed {
            Some(t) => self.now.since(t) + Micros::secs(1) <= spare,
            None => self.now.since(self.began) <= spare.scale(1, 2),
        }
    }
}
