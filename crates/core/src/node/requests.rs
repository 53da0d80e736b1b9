//! Clients' requests, and the read barrier that shows that the state replica is up to date.
use super::*;

impl Node {
    pub(super) fn route_request(&mut self, id: RequestId, method: &str, path: &str, body: &[u8]) {
        let path = path.split('?').next().unwrap_or("");
        let rest = path.strip_prefix("/submissions/");
        match (method, path, rest) {
            ("GET", "/ready", _) => {
                if self.readiness().serves() {
                    self.out.respond(id, 200, br#"{"ready":true}"#.to_vec());
                } else {
                    self.refuse(id, RefusalReason::NotReady);
                }
            }
            ("POST", "/checkin", _) => self.receive_heartbeat(id, body),
            ("POST", "/submissions", _) => self.submit(id, body),
            (_, "/ready" | "/checkin" | "/submissions", _) => {
                self.out.respond(id, 405, users::error_body("wrong method"))
            }
            (m, _, Some(rest)) => {
                let (job, abort) = match rest.strip_suffix("/abort") {
                    Some(j) => (j, true),
                    None => (rest, false),
                };
                if m != if abort { "POST" } else { "GET" } {
                    return self.out.respond(id, 405, users::error_body("wrong method"));
                }
                // Jobs with an id assigned by the service (from the extension) can be queried here,
                // but are cancelled only through the interface that submitted them.
                match JobId::parse(job).filter(|j| !(abort && j.is_internal())) {
                    None => self.out.respond(id, 404, users::error_body("no such job")),
                    Some(j) if abort => self.await_read_barrier(Waiter::Abort(id, j), Micros::millis(3500)),
                    Some(j) => {
                        self.status.poll_received(id, j, self.now);
                        self.await_read_barrier(Waiter::Poll(id, j), past_jobs::REQUEST_TIMEOUT);
                    }
                }
            }
            _ => self.out.respond(id, 404, users::error_body("no such path")),
        }
    }

    /// Answers for a job that has ended; ends never change. A cancellation is confirmed only when
    /// every controller that must know of it has acknowledged it. Returns false if the job is
    /// active or unknown.
    pub(super) fn answer_if_ended(&mut self, id: RequestId, job: JobId) -> bool {
        if self.lacks_job(job) {
            return false;
        }
        let Some(j) = self.replica_sync.replica.jobs.get(&job) else { return false };
        match j.phase {
            Phase::Active => return false,
            Phase::Done => {
                self.log_answer(job, "done");
                let body = users::job_status_body(job, "done", j.tasks, 0);
                self.out.respond(id, 200, body);
            }
            Phase::Cancelled if self.is_confirmed(job) => self.answer_cancelled(id, job),
            Phase::Cancelled => self.confirm_to_client(id, job),
        }
        true
    }

    pub(super) fn answer_cancelled(&mut self, id: RequestId, job: JobId) {
        self.log_answer(job, "aborted");
        let cause = self.replica_sync.replica.jobs.get(&job).and_then(|j| j.cause.as_ref());
        let body = match cause {
            Some(cause) => users::failed_job_body(job, cause),
            None => users::job_status_body(job, "aborted", 0, 0),
        };
        self.out.respond(id, 200, body);
    }

    /// Answers with the state of a job that the replica holds and that has not ended.
    fn answer_active(&mut self, id: RequestId, job: JobId) {
        let Some(j) = self.replica_sync.replica.jobs.get(&job) else { return };
        let running = self.controller.running_counts.get(&job).copied().unwrap_or(0);
        let stage = if running > 0 { "running" } else { "queued" };
        self.out.respond(id, 200, users::job_status_body(job, stage, j.done.count_below(j.tasks), running));
    }

    pub(super) fn await_read_barrier(&mut self, w: Waiter, limit: Micros) {
        if let Waiter::Poll(r, j) | Waiter::Submit(r, j, _) | Waiter::Abort(r, j) = &w
            && self.answer_if_ended(*r, *j)
        {
            return;
        }
        let until = self.now + limit;
        if let Waiter::Poll(_, j) | Waiter::Abort(_, j) = &w
            && self.lacks_job(*j)
        {
            return self.await_past_job(*j, w, until);
        }
        if let Some(reason) = self.refusal_reason(self.pending.waiters.len()) {
            return self.fail_waiter(&w, reason);
        }
        self.pending.waiters.push((w, until));
        self.start_read_barrier();
    }

    /// Why a request is refused at once, if it is; `waiting` is the number of requests of its kind
    /// that wait already.
    fn refusal_reason(&self, waiting: usize) -> Option<RefusalReason> {
        if !self.replica_sync.loaded {
            return Some(RefusalReason::StateUnread);
        }
        if self.replica_sync.state_unavailable(self.now) {
            return Some(RefusalReason::StateRefused);
        }
        (waiting >= MAX_PENDING).then_some(RefusalReason::TooManyWaiting)
    }

    /// Answers 503 with `Retry-After`, and counts the reason.
    pub(super) fn refuse(&mut self, id: RequestId, reason: RefusalReason) {
        self.status.refused(reason);
        self.out.respond_unavailable(id, reason.message());
    }

    pub(super) fn submit(&mut self, id: RequestId, body: &[u8]) {
        let parsed = users::parse_submission(body);
        let job = match &parsed {
            Ok(spec) => Some(spec.id),
            Err(_) => users::peek_job_id(body),
        };
        let Some(job) = job else {
            let reason = parsed.err().unwrap_or_default();
            return self.out.respond(id, 400, users::error_body(&reason));
        };
        let checked = parsed.map_err(|e| (400, e)).and_then(|s| self.validate_submission(s));
        let known = self.replica_sync.replica.jobs.contains_key(&job);
        match checked {
            Ok(spec) if !known && self.unknown_dependency(&spec).is_none() => {
                if let Some(reason) = self.refusal_reason(self.pending.writes.len()) {
                    return self.refuse(id, reason);
                }
                let until = self.now + Micros::millis(3500);
                self.pending.writes.push_back((PendingWrite::Submit(id, Box::new(spec)), until));
                self.send_pending_writes();
            }
            checked => {
                self.await_read_barrier(Waiter::Submit(id, job, Box::new(checked)), Micros::millis(3500))
            }
        }
    }

    /// Rejects with 422 a job that can never run, and with 503 one that can't be checked yet.
    pub(super) fn validate_submission(&self, s: JobSpec) -> Result<JobSpec, (u16, String)> {
        let Some(team) = self.teams.iter().find(|t| t.name == s.team) else {
            return Err((422, format!("unknown team {}", s.team)));
        };
        if !team.could_run(&s) {
            return Err((422, format!("more than the limit of team {}", s.team)));
        }
        if self.catalogue.flavors.is_empty() {
            return Err((503, RefusalReason::MachineTypesUnknown.message().into()));
        }
        let fits = self.catalogue.flavors.iter().any(|f| {
            let size = Resources::capacity(f.cpus, f.gpus, f.memory_gb);
            f.zones.iter().any(|z| s.allows(&f.name, z, false, &size))
        });
        if !fits {
            return Err((422, "a task fits no allowed machine type".into()));
        }
        if jobs::job_records(&s, self.wall_ms, &self.limits).is_none() {
            return Err((400, "the description is too long".into()));
        }
        if s.dependencies.contains(&s.id) {
            return Err((422, "awaits: the job itself".into()));
        }
        let service = |id: &&JobId| self.replica_sync.replica.jobs.get(*id).is_some_and(|j| j.is_service);
        if let Some(id) = s.dependencies.iter().find(service) {
            return Err((422, format!("awaits: {id} is a service, which is never done")));
        }
        Ok(s)
    }

    /// A dependency of the submission that is not in the state replica: it is settled, was never
    /// accepted, or this replica is behind.
    fn unknown_dependency(&self, s: &JobSpec) -> Option<JobId> {
        s.dependencies.iter().find(|id| self.lacks_job(**id)).copied()
    }

    /// Starts one read barrier for all waiting requests.
    pub(super) fn start_read_barrier(&mut self) {
        if self.pending.barrier_in_flight || !self.replica_sync.listed {
            return;
        }
        if !self.pending.barrier_bucket.take(self.now, 1.0, 0.0) {
            return;
        }
        let waiting = std::mem::take(&mut self.pending.waiters);
        let path = format!(
            "/follow?prefix={}&from={}&hold_ms=0",
            keys::ROOT_PREFIX,
            self.replica_sync.replica.applied_revision
        );
        let id = self.call_state_service("GET", path, Vec::new(), Micros::millis(1200));
        self.calls.insert(id, CallPurpose::ReadBarrier { waiters: waiting, sent: self.now });
        self.pending.barrier_in_flight = true;
        self.status.read_barrier_sent(self.now);
    }

    pub(super) fn call_state_service(
        &mut self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Micros,
    ) -> CallId {
        self.out.call(Call { target: Target::State, method, path, body, timeout })
    }

    pub(super) fn send_transaction(&mut self, m: &Transaction) -> CallId {
        let body = serde_json::to_vec(m).unwrap_or_default();
        self.call_state_service("POST", "/multi".into(), body, Micros::millis(2500))
    }

    /// Goes on with a request whose read barrier is complete, or whose job was read by key.
    pub(super) fn complete_waiter(&mut self, w: Waiter, until: Micros) {
        match w {
            Waiter::Extension(t) => self.run_extension(ExtensionInput::ReadBarrierDone(t, true)),
            Waiter::Poll(id, job) | Waiter::Abort(id, job) if self.answer_if_ended(id, job) => {}
            Waiter::Poll(_, job) | Waiter::Abort(_, job) if self.unread_job(job).is_some() => {
                if let Some(unread) = self.unread_job(job) {
                    self.await_past_job(unread, w, until);
                }
            }
            Waiter::Poll(id, job) => {
                self.status.check_read_barrier(id);
                self.answer_active(id, job);
            }
            Waiter::Submit(id, job, checked) => self.complete_submission(id, job, *checked, until),
            Waiter::Abort(id, job) => {
                let until = self.now + Micros::millis(3000);
                let end = jobs::cancelled_value(self.wall_ms, None, false);
                self.pending.writes.push_back((PendingWrite::Abort(id, job, end), until));
                self.send_pending_writes();
            }
        }
    }

    /// Goes on with a submission whose job may exist already.
    fn complete_submission(
        &mut self,
        id: RequestId,
        job: JobId,
        checked: Result<JobSpec, (u16, String)>,
        until: Micros,
    ) {
        if self.answer_if_ended(id, job) {
            return;
        }
        if !self.lacks_job(job) {
            return match self.unread_job(job) {
                Some(unread) => {
                    self.await_past_job(unread, Waiter::Submit(id, job, Box::new(checked)), until)
                }
                None => self.answer_active(id, job),
            };
        }
        // Meanwhile the dependency may have been read.
        match checked.and_then(|spec| self.validate_submission(spec)) {
            Ok(spec) => {
                if let Some(dependency) = self.unknown_dependency(&spec) {
                    let waiter = Waiter::Submit(id, job, Box::new(Ok(spec)));
                    return self.await_past_job(dependency, waiter, until);
                }
                let until = self.now + Micros::millis(3000);
                self.pending.writes.push_back((PendingWrite::Submit(id, Box::new(spec)), until));
                self.send_pending_writes();
            }
            Err((503, _)) => self.refuse(id, RefusalReason::MachineTypesUnknown),
            // A job that was accepted is never refused when it is submitted again.
            Err(refused) => {
                let waiter = Waiter::Submit(id, job, Box::new(Err(refused)));
                self.await_past_job(job, waiter, until)
            }
        }
    }

    /// The records of a job that passed `check`.
    fn records_of(&self, spec: &JobSpec) -> Vec<(String, serde_json::Value)> {
        jobs::job_records(spec, self.wall_ms, &self.limits).unwrap_or_default()
    }

    /// Sends clients' writes within the write budget.
    pub(super) fn send_pending_writes(&mut self) {
        while let Some((w, until)) = self.pending.writes.pop_front() {
            if self.now > until {
                match w {
                    PendingWrite::Submit(id, _) | PendingWrite::Abort(id, ..) => {
                        self.refuse(id, RefusalReason::WriteBudget);
                    }
                    PendingWrite::Extension(t, ..) => {
                        self.run_extension(ExtensionInput::OperationCompleted(t, CallResult::NotSent))
                    }
                }
                continue;
            }
            let records = match &w {
                PendingWrite::Submit(_, spec) => self.records_of(spec),
                _ => Vec::new(),
            };
            let cost = match &w {
                PendingWrite::Extension(_, m, _) => m.writes.len().max(1) as f64,
                _ => records.len().max(1) as f64,
            };
            if !self.pending.write_bucket.take(self.now, cost, 0.0) {
                self.pending.writes.push_front((w, until));
                return;
            }
            let (when, writes) = match &w {
                PendingWrite::Extension(t, m, as_leader) => {
                    let mut m = Transaction::clone(m);
                    if *as_leader {
                        match self.leadership.election.role {
                            Role::Leader { key_revision, .. } if self.leadership.leader.is_some() => {
                                m.preconditions
                                    .push(Precondition { key: keys::LEADER.into(), revision: key_revision });
                            }
                            _ => {
                                let t = *t;
                                self.run_extension(ExtensionInput::OperationCompleted(
                                    t,
                                    CallResult::NotSent,
                                ));
                                continue;
                            }
                        }
                    }
                    let call = self.send_transaction(&m);
                    self.calls.insert(call, CallPurpose::Write(w));
                    continue;
                }
                PendingWrite::Submit(_, spec) => {
                    (vec![Precondition { key: keys::job(spec.id), revision: 0 }], records)
                }
                PendingWrite::Abort(_, job, end) => {
                    let key = keys::end(*job);
                    let revision = self.replica_sync.replica.jobs.get(job).map_or(0, |j| j.revision);
                    let when = vec![
                        Precondition { key: key.clone(), revision: 0 },
                        Precondition { key: keys::job(*job), revision },
                    ];
                    (when, vec![(key, end.clone())])
                }
            };
            let writes =
                writes.into_iter().map(|(put, v)| Write::Put { key: put, value: v, lease: None }).collect();
            let call = self.send_transaction(&Transaction { preconditions: when, writes });
            self.calls.insert(call, CallPurpose::Write(w));
        }
    }

    pub(super) fn pending_write_completed(&mut self, w: PendingWrite, result: &CallResult) {
        match (w, result) {
            (PendingWrite::Submit(id, spec), CallResult::Response { status: 200, body }) => {
                let job = spec.id;
                let revision = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                debug!("{job}: accepted revision={revision}");
                // A dependency that was not read may have been cancelled: the job is answered as a
                // known one, once that is read.
                if spec.dependencies.iter().any(|dependency| self.unread_job(*dependency).is_some()) {
                    let limit = past_jobs::REQUEST_TIMEOUT;
                    return self.await_read_barrier(Waiter::Poll(id, job), limit);
                }
                let cancelled = |id: &JobId| {
                    self.replica_sync.replica.jobs.get(id).is_some_and(|j| j.phase == Phase::Cancelled)
                };
                // Accepted, but cancelled together with its dependency.
                let stage = if spec.dependencies.iter().any(cancelled) { "aborted" } else { "queued" };
                self.out.respond(id, 201, users::job_status_body(job, stage, 0, 0));
            }
            (PendingWrite::Abort(id, job, end), CallResult::Response { status: 200, body }) => {
                info!("{job}: cancelled");
                let revision = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                self.apply_confirmed_ends(
                    &[Write::Put { key: keys::end(job), value: end, lease: None }],
                    revision,
                );
                self.confirm_to_client(id, job);
            }
            (PendingWrite::Extension(t, m, _), CallResult::Response { status: 200, body }) => {
                let revision = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                let ended = self.apply_confirmed_ends(&m.writes, revision);
                self.confirm_to_extension(t, &ended, result.clone());
            }
            // The key exists already: the response is the job's current state.
            (PendingWrite::Submit(id, spec), CallResult::Response { status: 409, .. }) => {
                self.await_read_barrier(Waiter::Poll(id, spec.id), past_jobs::REQUEST_TIMEOUT);
            }
            (PendingWrite::Abort(id, job, _), CallResult::Response { status: 409, .. }) => {
                self.await_read_barrier(Waiter::Abort(id, job), past_jobs::REQUEST_TIMEOUT);
            }
            (PendingWrite::Extension(t, m, as_leader), CallResult::Response { status: 429, .. }) => {
                self.pending.write_bucket.take_unconditionally(self.now, 1.0);
                self.pending
                    .writes
                    .push_back((PendingWrite::Extension(t, m, as_leader), self.now + Micros::millis(2000)));
            }
            (PendingWrite::Extension(t, ..), r) => {
                self.run_extension(ExtensionInput::OperationCompleted(t, r.clone()))
            }
            (w, CallResult::Response { status: 429, .. }) => {
                let pause = Micros::millis(100 + self.rng.u64(0..100));
                self.pending.write_bucket.take_unconditionally(self.now, 1.0);
                let until = self.now + Micros::millis(2000).saturating_sub(pause);
                self.pending.writes.push_back((w, until));
            }
            (PendingWrite::Submit(id, _) | PendingWrite::Abort(id, ..), _) => {
                self.refuse(id, RefusalReason::WriteUnconfirmed);
            }
        }
    }
}
