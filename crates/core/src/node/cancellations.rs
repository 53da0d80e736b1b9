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
//! - no other controller can send a start command for the job, which that leader guarantees: it
//!   knows what was assigned to which controller and until when (`leader/cancelled.rs`).
//!
//! An acknowledgement stays valid: a job's end never changes, and the leader of a later term has
//! read the record before it leads. A restarted process is notified by all other controllers. Where
//! a controller that must acknowledge is unreachable, the client gets 503, at once or after
//! `CONFIRMATION_TIMEOUT`, from any controller, and the notifications go on.
use super::query_wait::ConfirmationWait;
use super::*;
use crate::peer::Cancellation;

/// How long a client's response waits for acknowledgements, a few times their usual round trip;
/// then the response is 503 and the client retries.
const CONFIRMATION_TIMEOUT: Micros = Micros::millis(700);
/// How long until a controller that has not acknowledged a cancellation is notified again, while a
/// client waits for the confirmation.
const RETRY_INTERVAL: Micros = Micros::millis(150);
/// The same while no client waits: reaches processes that have restarted since.
const IDLE_RETRY_INTERVAL: Micros = Micros::secs(1);
/// How often all cancellations are scanned.
const SCAN_INTERVAL: Micros = Micros::millis(100);
/// Most cancellations in one message.
const MAX_CANCELLATIONS_PER_MESSAGE: usize = 500;

/// A request that waits until every controller that must know of a cancellation has acknowledged
/// it.
#[derive(Debug)]
enum Requester {
    User(RequestId),
    /// The extension, whose transaction ended jobs, and the result of that transaction.
    Extension(OperationId, CallResult),
}

/// A cancellation and its acknowledgements.
#[derive(Debug)]
struct TrackedCancellation {
    record: Cancellation,
    /// When this process learned of it.
    since: Micros,
    /// The highest term whose leader acts on it and guarantees that no start follows.
    guaranteed_term: u64,
    /// This leader owes another controller that guarantee.
    guarantee_owed: bool,
    /// Requests that wait for its confirmation, and when each of them expires.
    requesters: Vec<(Requester, Micros)>,
    /// When each controller was last notified.
    notified_at: Vec<Option<Micros>>,
    /// This process found that it may be confirmed; the other controllers are notified of that
    /// once.
    announce_confirmation: bool,
}

/// Cancellations that some controller may not have acknowledged yet.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    jobs: BTreeMap<JobId, TrackedCancellation>,
    /// A request or an acknowledgement arrived: scan at the next call. Otherwise every
    /// `SCAN_INTERVAL`.
    scan_now: bool,
    scanned_at: Micros,
}

impl Cancellations {
    /// Whether a request waits for the confirmation of this job's cancellation.
    pub fn is_awaited(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|tracked| !tracked.requesters.is_empty())
    }

    /// Merges a cancellation; returns whether it was new here.
    fn merge(&mut self, c: &Cancellation, nodes: usize, now: Micros) -> bool {
        if let Some(tracked) = self.jobs.get_mut(&c.job) {
            tracked.record.may_confirm |= c.may_confirm;
            for (mine, theirs) in tracked.record.acknowledged_by.iter_mut().zip(&c.acknowledged_by) {
                *mine = (*mine).max(*theirs);
            }
            return false;
        }
        let mut record = c.clone();
        record.acknowledged_by.resize(nodes, 0);
        let notified_at = vec![None; nodes];
        self.jobs.insert(
            c.job,
            TrackedCancellation {
                record,
                since: now,
                guaranteed_term: 0,
                guarantee_owed: false,
                requesters: Vec::new(),
                notified_at,
                announce_confirmation: false,
            },
        );
        true
    }
}

impl Node {
    /// Applies job ends of a transaction that the state service has confirmed, ahead of the watch's
    /// events. Returns the jobs that ended.
    pub(super) fn apply_confirmed_ends(&mut self, writes: &[Write], revision: u64) -> Vec<JobId> {
        let mut ended = Vec::new();
        for w in writes {
            let Write::Put { key: put, value: v, .. } = w else { continue };
            if v["end"] == "aborted"
                && let change @ Change::Job { id, .. } =
                    self.replica_sync.replica.apply(put, Some(v), revision)
            {
                self.record_job_change(change);
                ended.push(id);
            }
        }
        ended
    }

    /// Answers a request about a cancelled job as soon as the cancellation may be confirmed.
    pub(super) fn confirm_to_client(&mut self, id: RequestId, job: JobId) {
        self.request_confirmation(Requester::User(id), job);
    }

    /// Completes the extension's transaction when the job ends in it may be confirmed.
    pub(super) fn confirm_to_extension(&mut self, t: OperationId, jobs: &[JobId], result: CallResult) {
        // All controllers are notified of all jobs together; the extension waits for the last one.
        for job in jobs {
            self.track_cancellation(*job);
        }
        match jobs.last() {
            Some(job) => self.request_confirmation(Requester::Extension(t, result), *job),
            None => self.run_extension(ExtensionInput::OperationCompleted(t, result)),
        }
    }

    fn request_confirmation(&mut self, requester: Requester, job: JobId) {
        self.track_cancellation(job);
        let until = self.now + CONFIRMATION_TIMEOUT;
        let reachable = self.leader_node().is_some_and(|n| n == self.members.own_id || self.has_path(n));
        let Some(tracked) = self.cancellations.jobs.get_mut(&job) else { return };
        if !tracked.record.may_confirm && !reachable {
            let wait = ConfirmationWait::NoPathToLeader { leader: self.leader_node() };
            return self.fail_confirmation(requester, job, &wait);
        }
        tracked.requesters.push((requester, until));
        self.cancellations.scan_now = true;
        self.propagate_cancellations();
    }

    /// Whether a network path to a controller is known: direct, or through another controller.
    fn has_path(&self, n: NodeId) -> bool {
        self.in_contact(n, PEER_TIMEOUT) || self.peers.find_relay(n, self.now).is_some()
    }

    fn complete_confirmation(&mut self, requester: Requester, job: JobId) {
        match requester {
            Requester::User(id) => self.answer_cancelled(id, job),
            Requester::Extension(t, result) => {
                self.run_extension(ExtensionInput::OperationCompleted(t, result))
            }
        }
    }

    fn fail_confirmation(&mut self, requester: Requester, job: JobId, wait: &ConfirmationWait) {
        match requester {
            Requester::User(id) => {
                let since = self.cancellations.jobs.get(&job).map_or(self.now, |tracked| tracked.since);
                self.log_unconfirmed(job, self.now.since(since), wait);
                self.refuse(id, RefusalReason::CancellationUnconfirmed)
            }
            Requester::Extension(t, _) => {
                self.run_extension(ExtensionInput::OperationCompleted(t, CallResult::Unknown))
            }
        }
    }

    /// Records a cancellation from the state replica.
    fn track_cancellation(&mut self, job: JobId) {
        let Some(j) = self.replica_sync.replica.jobs.get(&job).filter(|j| j.phase == Phase::Cancelled) else {
            return;
        };
        let record = Cancellation {
            job,
            ended_ms: j.ended_ms,
            record_version: j.end_revision,
            cause: j.cause.clone(),
            may_confirm: false,
            acknowledged_by: Vec::new(),
        };
        self.cancellations.merge(&record, self.members.names.len(), self.now);
    }

    /// All cancellations whose tasks may not be gone, in the state replica or by notification, but for
    /// those that this process of another controller has acknowledged. From now on they are tracked.
    pub(super) fn unacknowledged_cancellations(&mut self, by: NodeId, incarnation: u64) -> Vec<Cancellation> {
        let jobs = &self.replica_sync.replica.jobs;
        let unsettled: Vec<JobId> = jobs.iter().filter(|(_, j)| j.is_stopping()).map(|(id, _)| *id).collect();
        unsettled.into_iter().for_each(|id| self.track_cancellation(id));
        let records = self.cancellations.jobs.values().map(|tracked| &tracked.record);
        let acknowledged = |c: &Cancellation| {
            c.acknowledged_by.get(by.0 as usize).is_some_and(|known| *known >= incarnation)
        };
        records.filter(|c| !acknowledged(c)).cloned().collect()
    }

    /// Whether a cancellation may be confirmed to a client.
    pub(super) fn is_confirmed(&self, job: JobId) -> bool {
        // Nothing of the job is on any machine, so no controller needs to know.
        if self.replica_sync.replica.jobs.get(&job).is_some_and(|j| j.fully_stopped) {
            return true;
        }
        let Some(tracked) = self.cancellations.jobs.get(&job) else { return false };
        tracked.record.may_confirm || self.is_acknowledged(tracked)
    }

    /// Whether every controller that must know of a cancellation has acknowledged it.
    fn is_acknowledged(&self, tracked: &TrackedCancellation) -> bool {
        self.confirmation_wait(tracked).is_none()
    }

    /// What the confirmation of a cancellation waits for; `None` if it may be confirmed.
    fn confirmation_wait(&self, tracked: &TrackedCancellation) -> Option<ConfirmationWait> {
        // A leader that acquired its key before the record was written has to be notified. Only a
        // state replica that holds the record shows whether there is such a leader.
        let (record, applied) = (tracked.record.record_version, self.replica_sync.replica.applied_revision);
        if applied < record {
            return Some(ConfirmationWait::ReplicaBehind { record, applied });
        }
        let is_unaware = |n: &NodeId| {
            let incarnation = self.peers.states[n.0 as usize].incarnation;
            *n != self.members.own_id
                && self.in_contact(*n, PEER_TIMEOUT)
                && tracked.record.acknowledged_by[n.0 as usize] < incarnation
        };
        if self.peers.all().any(|n| is_unaware(&n)) {
            return Some(ConfirmationWait::Acknowledgements(self.peers.all().filter(is_unaware).collect()));
        }
        let term = self.leader_term();
        let guaranteed_term = tracked.guaranteed_term.max(self.guaranteed_term(tracked).unwrap_or(0));
        (guaranteed_term == 0 || guaranteed_term < term).then(|| ConfirmationWait::Guarantee {
            leader: self.leader_node(),
            term,
            guaranteed_term,
        })
    }

    /// The term of this leader, if no start of the job can follow.
    fn guaranteed_term(&self, tracked: &TrackedCancellation) -> Option<u64> {
        let leader = self.leadership.leader.as_ref()?;
        let down: Vec<NodeId> =
            self.peers.all().filter(|n| self.peers.is_process_down(*n, self.now)).collect();
        let start_possible =
            leader.may_still_start(tracked.record.job, &tracked.record.acknowledged_by, &down, self.now);
        (!start_possible).then_some(leader.term)
    }

    /// Notifies controllers that have to know, and answers requests whose cancellation is fully
    /// acknowledged.
    pub(super) fn propagate_cancellations(&mut self) {
        let (now, me) = (self.now, self.members.own_id);
        let recently_scanned = now.since(self.cancellations.scanned_at) < SCAN_INTERVAL;
        if recently_scanned && !std::mem::take(&mut self.cancellations.scan_now) {
            return;
        }
        self.cancellations.scanned_at = now;
        // Drops cancellations whose completion is on record. Without a waiting request, one is kept
        // for four times the cancellation time only: by then its tasks have left their machines, or
        // the state service provides the record.
        let (keep, replica) = (self.leader_config.cancel_timeout.scale(4, 1), &self.replica_sync.replica);
        self.cancellations.jobs.retain(|job, tracked| {
            !tracked.requesters.is_empty()
                || now.since(tracked.since) < keep && replica.jobs.get(job).is_none_or(|j| !j.fully_stopped)
        });
        if self.cancellations.jobs.is_empty() {
            return;
        }
        let awaited = self.cancellations.jobs.iter().filter(|(_, tracked)| !tracked.requesters.is_empty());
        let confirmed: Vec<JobId> =
            awaited.map(|(job, _)| *job).filter(|job| self.is_confirmed(*job)).collect();
        let mut done = Vec::new();
        for job in confirmed {
            let Some(tracked) = self.cancellations.jobs.get_mut(&job) else { continue };
            if !std::mem::replace(&mut tracked.record.may_confirm, true) {
                // The other controllers may confirm it to clients as well, without querying each
                // other.
                tracked.announce_confirmation = true;
                tracked.notified_at.fill(None);
            }
            done.extend(tracked.requesters.drain(..).map(|(a, _)| (a, job)));
        }
        for (requester, job) in done {
            self.complete_confirmation(requester, job);
        }
        self.expire_requesters();
        let leader = self.leader_node();
        let term = self.leader_term();
        for n in self.peers.all().filter(|n| *n != me) {
            let is_leader = Some(n) == leader;
            if !self.has_path(n) {
                continue;
            }
            let i = n.0 as usize;
            let incarnation = self.peers.states[i].incarnation;
            let due = |tracked: &&mut TrackedCancellation| {
                let is_awaited =
                    !tracked.requesters.is_empty() || tracked.guarantee_owed && !tracked.record.may_confirm;
                let interval = if is_awaited { RETRY_INTERVAL } else { IDLE_RETRY_INTERVAL };
                // Unless a client waits, the first notification is delayed: the controller usually
                // learns of the end from the state service, and its acknowledgement is batched with
                // others.
                let initial_delay =
                    if is_awaited || tracked.record.may_confirm { Micros(0) } else { IDLE_RETRY_INTERVAL };
                let acknowledged = tracked.record.acknowledged_by[i] >= incarnation
                    && !(is_leader && is_awaited && tracked.guaranteed_term < term);
                let to_announce = tracked.announce_confirmation && tracked.notified_at[i].is_none();
                (!acknowledged || to_announce)
                    && now.since(tracked.since) >= initial_delay
                    && tracked.notified_at[i].is_none_or(|t| now.since(t) >= interval)
            };
            let mut batch = Vec::new();
            for tracked in
                self.cancellations.jobs.values_mut().filter(due).take(MAX_CANCELLATIONS_PER_MESSAGE)
            {
                tracked.notified_at[i] = Some(now);
                batch.push(tracked.record.clone());
            }
            if !batch.is_empty() {
                self.send(n, Message::Cancellations(batch));
            }
        }
    }

    /// Refuses the requests that have waited for `CONFIRMATION_TIMEOUT`.
    fn expire_requesters(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        for (job, tracked) in &mut self.cancellations.jobs {
            let overdue = tracked.requesters.extract_if(.., |(_, until)| now >= *until);
            expired.extend(overdue.map(|(requester, _)| (*job, requester)));
        }
        for (job, requester) in expired {
            let tracked = self.cancellations.jobs.get(&job);
            match tracked.and_then(|tracked| self.confirmation_wait(tracked)) {
                Some(wait) => self.fail_confirmation(requester, job, &wait),
                None => self.complete_confirmation(requester, job),
            }
        }
    }

    /// Handles another controller's notification of cancellations. A late or repeated one changes
    /// nothing: a job's end never changes.
    pub(super) fn cancellations_received(&mut self, from: NodeId, batch: &[Cancellation]) {
        let nodes = self.members.names.len();
        for c in batch {
            self.cancellations.merge(c, nodes, self.now);
            self.record_acknowledgement(c.job, self.members.own_id, self.incarnation);
            self.apply_cancellation(c);
        }
        let (mut guaranteed, mut others) = (Vec::new(), Vec::new());
        let leading_term = self.leadership.leader.as_ref().map(|l| l.term);
        for c in batch {
            let is_guaranteed = self
                .cancellations
                .jobs
                .get(&c.job)
                .is_some_and(|tracked| self.guaranteed_term(tracked).is_some());
            if let Some(tracked) = self.cancellations.jobs.get_mut(&c.job) {
                tracked.guarantee_owed = leading_term.is_some() && !is_guaranteed;
            }
            if is_guaranteed { guaranteed.push(c.job) } else { others.push(c.job) }
        }
        for (jobs, leading_term) in [(guaranteed, leading_term), (others, None)] {
            if !jobs.is_empty() {
                self.send(from, Message::CancellationsAck { jobs, leading_term });
            }
        }
        self.send_worker_calls();
    }

    /// Ends a job in the state replica, ahead of the state service.
    fn apply_cancellation(&mut self, c: &Cancellation) {
        let phase = self.replica_sync.replica.jobs.get(&c.job).map(|j| j.phase);
        match phase {
            Some(Phase::Done) => {
                return warn!("{}: ignored a notification of its cancellation: the job is done", c.job);
            }
            Some(Phase::Cancelled) => {}
            // The replica holds every record up to its revision that is not settled: this
            // cancellation is complete.
            None if self.is_applied(c.record_version) => {}
            Some(Phase::Active) | None => {
                debug!("{}: cancelled on notification by another controller", c.job);
                let end = jobs::cancelled_value(c.ended_ms, c.cause.as_deref(), false);
                let change = self.replica_sync.replica.apply(&keys::end(c.job), Some(&end), c.record_version);
                self.record_job_change(change);
            }
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            l.track_cancellation(c.job, &self.replica_sync.replica, self.now);
        }
    }

    /// Whether the state replica has applied the record of this revision.
    fn is_applied(&self, record_version: u64) -> bool {
        record_version > 0 && record_version <= self.replica_sync.replica.applied_revision
    }

    /// Applies the known cancellations again after the state was read from the start: they still
    /// hold.
    pub(super) fn reapply_cancellations(&mut self) {
        let batch: Vec<Cancellation> =
            self.cancellations.jobs.values().map(|tracked| tracked.record.clone()).collect();
        batch.iter().for_each(|c| self.apply_cancellation(c));
    }

    fn record_acknowledgement(&mut self, job: JobId, n: NodeId, incarnation: u64) {
        if let Some(tracked) = self.cancellations.jobs.get_mut(&job) {
            let known = &mut tracked.record.acknowledged_by[n.0 as usize];
            *known = (*known).max(incarnation);
        }
    }

    /// Handles another controller's acknowledgement that it acts on cancellations.
    pub(super) fn cancellations_acknowledged(
        &mut self,
        from: NodeId,
        incarnation: u64,
        jobs: &[JobId],
        leading_term: Option<u64>,
    ) {
        let term = self.leader_term();
        let leader = self.leader_node().filter(|n| *n != from && *n != self.members.own_id);
        for job in jobs {
            self.record_acknowledgement(*job, from, incarnation);
            let Some(tracked) = self.cancellations.jobs.get_mut(job) else { continue };
            tracked.guaranteed_term = tracked.guaranteed_term.max(leading_term.unwrap_or(0));
            // A leader that gave no guarantee may have been waiting for exactly this
            // acknowledgement.
            if let Some(i) = leader.map(|n| n.0 as usize)
                && tracked.guaranteed_term < term
                && tracked.record.acknowledged_by[i] >= self.peers.states[i].incarnation.max(1)
            {
                tracked.notified_at[i] = None;
            }
        }
        self.cancellations.scan_now = true;
        self.propagate_cancellations();
    }
}
