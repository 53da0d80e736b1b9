//! Jobs that are not in the state replica: their rows are read from the state service by key.
//!
//! The replica holds all jobs that are not settled (`StateReplica`). A job that it lacks is
//! settled, was never accepted, or was accepted a moment ago. Both of its rows are read, each a
//! strongly consistent read by itself:
//! - a settled end is final, and the job is added to the replica, which holds a bounded number of
//!   settled jobs;
//! - no record: the job was not accepted before the read;
//! - otherwise the job is active, and the replica is behind: the request waits for a read barrier.
//!
//! Invariants: a job is answered 404 only after a read that began after the request arrived and
//! found no record. Reads are coalesced by job and bounded in number and rate, whatever is asked.
use super::*;
use gorseshore_protocol::state::KeyValue;
use std::collections::VecDeque;

/// How many settled jobs the replica holds for users who ask again, also in an outage.
pub(super) const SETTLED_JOBS_HELD: usize = 256;
/// Part of this controller's share of the state service's requests that reads by key may take, in
/// percent.
const REQUEST_SHARE_PERCENT: f64 = 40.0;
/// Requests to the state service for one job: its end and its record.
const READS_PER_JOB: f64 = 2.0;
const READ_TIMEOUT: Micros = Micros::millis(1200);
/// How long a request may wait until its read is sent.
pub(super) const REQUEST_TIMEOUT: Micros = Micros::millis(1500);
/// How often the replica is searched for settled jobs to drop and for missing ones to read.
const SWEEP_INTERVAL: Micros = Micros::secs(1);
/// A job that was found to be active, or never accepted, is not read again for its tasks or its
/// dependents within this.
const REPEAT_INTERVAL: Micros = Micros::secs(5);

/// A row of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobRow {
    Record,
    End,
}

/// A row that was read: its value and revision, or `None` if the key does not exist.
type ReadRow = Option<(serde_json::Value, u64)>;

/// A job whose rows are read.
#[derive(Debug, Default)]
struct Read {
    /// Requests that wait for it, and until when.
    waiters: Vec<(Waiter, Micros)>,
    /// The replica needs its outcome, for a dependent job or for tasks on a machine.
    for_replica: bool,
    /// Its reads were sent.
    sent: bool,
    record: Option<ReadRow>,
    end: Option<ReadRow>,
}

/// Reads of settled jobs by key.
#[derive(Debug)]
pub(super) struct PastJobs {
    /// How many settled jobs the replica holds.
    pub held: usize,
    reads: BTreeMap<JobId, Read>,
    /// Jobs whose reads were not sent yet.
    queue: VecDeque<JobId>,
    bucket: TokenBucket,
    swept_at: Micros,
    /// Jobs that are needed here and were found active or never accepted, and when.
    not_settled: BTreeMap<JobId, Micros>,
}

impl PastJobs {
    /// Reads within a part of this controller's requests per second.
    pub fn new(requests_per_s: f64, now: Micros) -> Self {
        let rate = requests_per_s * REQUEST_SHARE_PERCENT / 100.0;
        PastJobs {
            held: SETTLED_JOBS_HELD,
            reads: BTreeMap::new(),
            queue: VecDeque::new(),
            bucket: TokenBucket::new(rate, rate.max(READS_PER_JOB), now),
            swept_at: now,
            not_settled: BTreeMap::new(),
        }
    }

    fn read(&mut self, job: JobId) -> &mut Read {
        if !self.reads.contains_key(&job) {
            self.queue.push_back(job);
        }
        self.reads.entry(job).or_default()
    }

    /// Takes out the requests whose time is up, and forgets reads that nobody waits for. A read that
    /// was sent answers whoever waited for it: above the rate limit nobody would be answered else.
    fn take_expired(&mut self, now: Micros) -> Vec<Waiter> {
        let mut expired = Vec::new();
        for read in self.reads.values_mut().filter(|read| !read.sent) {
            let overdue = read.waiters.extract_if(.., |(_, until)| now >= *until);
            expired.extend(overdue.map(|(waiter, _)| waiter));
        }
        self.reads.retain(|_, read| read.sent || read.for_replica || !read.waiters.is_empty());
        let reads = &self.reads;
        self.queue.retain(|job| reads.contains_key(job));
        expired
    }

    /// Requests that wait for reads.
    fn waiters(&self) -> impl Iterator<Item = &Waiter> {
        self.reads.values().flat_map(|read| &read.waiters).map(|(waiter, _)| waiter)
    }
}

/// Dependencies that a waiting submission names.
fn named_dependencies(waiter: &Waiter) -> &[JobId] {
    match waiter {
        Waiter::Submit(_, _, checked) => checked.as_ref().as_ref().map_or(&[], |spec| &spec.dependencies),
        _ => &[],
    }
}

/// Dependencies of a submission that is being written.
fn written_dependencies(write: &PendingWrite) -> &[JobId] {
    match write {
        PendingWrite::Submit(_, spec) => &spec.dependencies,
        _ => &[],
    }
}

impl Node {
    /// Sets how many settled jobs are held in memory.
    pub fn with_settled_jobs_held(mut self, held: usize) -> Self {
        self.past_jobs.held = held;
        self
    }

    /// For tests: how many settled jobs the state replica holds.
    pub fn settled_jobs_held(&self) -> usize {
        self.replica_sync.replica.settled_count()
    }

    /// Whether a job's rows have to be read before it can be answered.
    pub(super) fn lacks_job(&self, job: JobId) -> bool {
        self.replica_sync.replica.jobs.get(&job).is_none_or(|j| j.is_settled() && j.revision == 0)
    }

    /// A job whose rows have to be read before this one can be answered: the job itself, or one that
    /// it depends on, with which it may have been cancelled.
    pub(super) fn unread_job(&self, job: JobId) -> Option<JobId> {
        let replica = &self.replica_sync.replica;
        if self.lacks_job(job) { Some(job) } else { replica.missing_dependency_of(job) }
    }

    /// Reads a job that the replica lacks; the request goes on when it was read.
    pub(super) fn await_past_job(&mut self, job: JobId, waiter: Waiter, until: Micros) {
        let reason = if self.replica_sync.state_unavailable(self.now) {
            Some(RefusalReason::StateRefused)
        } else if self.now >= until {
            Some(RefusalReason::JobUnread)
        } else if self.past_jobs.reads.len() >= MAX_PENDING {
            Some(RefusalReason::TooManyWaiting)
        } else {
            None
        };
        if let Some(reason) = reason {
            return self.fail_waiter(&waiter, reason);
        }
        self.past_jobs.read(job).waiters.push((waiter, until));
        self.send_past_job_reads();
    }

    /// Reads a job that the replica needs and lacks.
    fn fetch_past_job(&mut self, job: JobId) {
        let recently = |t: &Micros| self.now.since(*t) < REPEAT_INTERVAL;
        if !self.replica_sync.loaded
            || self.replica_sync.replica.jobs.contains_key(&job)
            || self.past_jobs.not_settled.get(&job).is_some_and(recently)
        {
            return;
        }
        self.past_jobs.read(job).for_replica = true;
    }

    /// Reads the jobs of reported tasks that the replica lacks: tasks of an ended job have to be
    /// stopped, and exited ones cleared.
    pub(super) fn fetch_jobs_of_tasks(&mut self, tasks: impl IntoIterator<Item = TaskId>) {
        let jobs = &self.replica_sync.replica.jobs;
        let lacking: BTreeSet<JobId> =
            tasks.into_iter().map(|task| task.job).filter(|job| !jobs.contains_key(job)).collect();
        lacking.into_iter().for_each(|job| self.fetch_past_job(job));
    }

    /// Drops settled jobs, reads missing ones, and refuses requests that waited too long; at every
    /// tick.
    pub(super) fn tend_past_jobs(&mut self) {
        for waiter in self.past_jobs.take_expired(self.now) {
            self.fail_waiter(&waiter, RefusalReason::JobUnread);
        }
        let missing: Vec<JobId> = self.replica_sync.replica.missing_dependencies().collect();
        missing.into_iter().for_each(|job| self.fetch_past_job(job));
        if self.now.since(self.past_jobs.swept_at) >= SWEEP_INTERVAL {
            self.past_jobs.swept_at = self.now;
            let now = self.now;
            self.past_jobs.not_settled.retain(|_, t| now.since(*t) < REPEAT_INTERVAL);
            let on_workers = self.controller.jobs_on_workers();
            self.drop_settled_jobs(&on_workers);
            on_workers.into_iter().for_each(|job| self.fetch_past_job(job));
        }
        self.send_past_job_reads();
    }

    /// Jobs that submissions under way depend on: their answers tell whether these were cancelled.
    fn dependencies_of_submissions(&self) -> BTreeSet<JobId> {
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let waiting = self.pending.waiters.iter().map(|(waiter, _)| waiter).chain(self.past_jobs.waiters());
        waiting.for_each(|waiter| jobs.extend(named_dependencies(waiter)));
        self.pending.writes.iter().for_each(|(write, _)| jobs.extend(written_dependencies(write)));
        for purpose in self.calls.values() {
            match purpose {
                CallPurpose::Write(write) => jobs.extend(written_dependencies(write)),
                CallPurpose::ReadBarrier { waiters, .. } => {
                    waiters.iter().for_each(|(waiter, _)| jobs.extend(named_dependencies(waiter)))
                }
                _ => {}
            }
        }
        jobs
    }

    fn drop_settled_jobs(&mut self, on_workers: &BTreeSet<JobId>) {
        let submitted = self.dependencies_of_submissions();
        let (leader, extension) = (self.leadership.leader.as_ref(), self.extension.as_ref());
        let cancellations = &self.cancellations;
        let in_use = |id: JobId| {
            on_workers.contains(&id)
                || leader.is_some_and(|l| l.refers_to(id))
                || id.is_internal() && extension.is_some_and(|e| e.refers_to(id))
                || cancellations.is_awaited(id)
                || submitted.contains(&id)
        };
        self.replica_sync.replica.drop_settled(self.past_jobs.held, in_use);
    }

    /// Sends reads within their budget.
    fn send_past_job_reads(&mut self) {
        while let Some(job) = self.past_jobs.queue.front().copied() {
            if !self.past_jobs.bucket.take(self.now, READS_PER_JOB, 0.0) {
                return;
            }
            self.past_jobs.queue.pop_front();
            let Some(read) = self.past_jobs.reads.get_mut(&job) else { continue };
            read.sent = true;
            for (row, key) in [(JobRow::End, keys::end(job)), (JobRow::Record, keys::job(job))] {
                let id = self.call_state_service("GET", format!("/store/{key}"), Vec::new(), READ_TIMEOUT);
                self.calls.insert(id, CallPurpose::JobRow(job, row));
            }
        }
    }

    pub(super) fn job_row_received(&mut self, job: JobId, row: JobRow, result: &CallResult) {
        let Some(read) = self.past_jobs.reads.get_mut(&job) else { return };
        let value: Option<ReadRow> = match result {
            CallResult::Response { status: 200, body } => {
                serde_json::from_slice::<KeyValue>(body).ok().map(|kv| Some((kv.value, kv.revision)))
            }
            CallResult::Response { status: 404, .. } => Some(None),
            _ => None,
        };
        let Some(value) = value else { return self.past_job_unread(job, result) };
        match row {
            JobRow::Record => read.record = Some(value),
            JobRow::End => read.end = Some(value),
        }
        if read.record.is_some()
            && read.end.is_some()
            && let Some(read) = self.past_jobs.reads.remove(&job)
        {
            self.past_job_read(job, read);
        }
    }

    /// A row could not be read. Above the rate limit it is read again, otherwise the users retry.
    fn past_job_unread(&mut self, job: JobId, result: &CallResult) {
        let Some(read) = self.past_jobs.reads.remove(&job) else { return };
        let limited = matches!(result, CallResult::Response { status: 429, .. });
        for (waiter, until) in read.waiters {
            if limited {
                self.past_jobs.read(job).waiters.push((waiter, until));
            } else {
                self.fail_waiter(&waiter, RefusalReason::JobUnread);
            }
        }
    }

    fn past_job_read(&mut self, job: JobId, read: Read) {
        let (record, end) = (read.record.flatten(), read.end.flatten());
        let applied = self.replica_sync.replica.applied_revision;
        let lacked = self.lacks_job(job);
        // The replica has applied the row of an end that it lacks: the job was settled by then, also
        // where the row doesn't say so, as for a job that never started.
        let settled_end = end
            .filter(|(value, revision)| JobEnd::parse(value).is_settled() || lacked && *revision <= applied);
        if let Some((value, revision)) = &settled_end
            && lacked
        {
            let record = record.as_ref().map(|(value, revision)| (value, *revision));
            let change = self.replica_sync.replica.add_settled(job, record, (value, *revision));
            self.record_job_change(change);
        }
        if settled_end.is_none() && read.for_replica {
            self.past_jobs.not_settled.insert(job, self.now);
        }
        for (waiter, until) in read.waiters {
            if settled_end.is_some() {
                self.complete_waiter(waiter, until);
            } else if record.is_none() {
                self.answer_never_accepted(job, waiter);
            } else {
                self.await_replica(waiter, until);
            }
        }
    }

    /// A waiting request concerns an active job that the replica does not hold yet.
    fn await_replica(&mut self, waiter: Waiter, until: Micros) {
        if !self.replica_sync.loaded {
            return self.fail_waiter(&waiter, RefusalReason::StateUnread);
        }
        if self.now >= until {
            return self.fail_waiter(&waiter, RefusalReason::ReadBarrierFailed);
        }
        self.pending.waiters.push((waiter, until));
        self.start_read_barrier();
    }

    /// Answers a request that waited for a job that has no record.
    fn answer_never_accepted(&mut self, job: JobId, waiter: Waiter) {
        match waiter {
            Waiter::Poll(id, asked) | Waiter::Abort(id, asked) if asked == job => {
                self.log_answer(job, "unknown");
                self.out.respond(id, 404, users::error_body("no such job"));
            }
            Waiter::Submit(id, asked, checked) if self.lacks_job(asked) => match *checked {
                Ok(_) => {
                    let reason = format!("awaits: {job} was never accepted");
                    self.out.respond(id, 422, users::error_body(&reason));
                }
                Err((status, reason)) => self.out.respond(id, status, users::error_body(&reason)),
            },
            waiter => self.fail_waiter(&waiter, RefusalReason::JobUnread),
        }
    }
}
