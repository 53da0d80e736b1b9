//! Users' requests, and the proof that the mirror is up to date.
use super::*;

impl Node {
    pub(super) fn request(&mut self, id: RequestId, method: &str, path: &str, body: &[u8]) {
        let path = path.split('?').next().unwrap_or("");
        let rest = path.strip_prefix("/submissions/");
        match (method, path, rest) {
            ("GET", "/ready", _) => {
                if self.ready() {
                    self.out.answer(id, 200, br#"{"ready":true}"#.to_vec());
                } else {
                    self.refuse(id, RefusalReason::NotReady);
                }
            }
            ("POST", "/checkin", _) => self.checkin(id, body),
            ("POST", "/submissions", _) => self.submit(id, body),
            (_, "/ready" | "/checkin" | "/submissions", _) => {
                self.out.answer(id, 405, users::error_body("wrong method"))
            }
            (m, _, Some(rest)) => {
                let (job, abort) = match rest.strip_suffix("/abort") {
                    Some(j) => (j, true),
                    None => (rest, false),
                };
                if m != if abort { "POST" } else { "GET" } {
                    return self.out.answer(id, 405, users::error_body("wrong method"));
                }
                // Jobs with an id of the service's own can be looked at; they end
                // by the interface that they came by.
                match JobId::parse(job).filter(|j| !(abort && j.is_internal())) {
                    None => self.out.answer(id, 404, users::error_body("no such job")),
                    Some(j) if abort => self.wait(Waiter::Abort(id, j), Micros::millis(3500)),
                    Some(j) => {
                        self.status.poll_came(id, self.now);
                        self.wait(Waiter::Poll(id, j), Micros::millis(1500));
                    }
                }
            }
            _ => self.out.answer(id, 404, users::error_body("no such path")),
        }
    }

    pub(super) fn ready(&self) -> bool {
        if !self.mirror.loaded {
            return false;
        }
        if self.mirror.state_ok(self.now) || self.nodes.names.len() == 1 {
            return true;
        }
        // Alone refused: the others serve the users. When all lost the state
        // service, leaving would help nobody.
        let fresh = |p: &&membership::Peer| p.heard.is_some_and(|t| self.now.since(t) < Micros::millis(2500));
        let mut heard = self.peers.states.iter().filter(fresh).peekable();
        heard.peek().is_some() && heard.all(|p| !p.state_ok)
    }

    /// The answer for a job whose end is known; ends never change. A cancellation
    /// is answered for when everybody who must know of it does.
    pub(super) fn final_answer(&mut self, id: RequestId, job: JobId) -> bool {
        let Some(j) = self.mirror.ledger.jobs.get(&job) else { return false };
        match j.phase {
            Phase::Active => return false,
            Phase::Done => {
                let answer = users::job_status_body(job, "done", j.tasks, 0);
                self.out.answer(id, 200, answer);
            }
            Phase::Cancelled if self.may_tell(job) => self.aborted_answer(id, job),
            Phase::Cancelled => self.tell_user(id, job),
        }
        true
    }

    pub(super) fn aborted_answer(&mut self, id: RequestId, job: JobId) {
        let cause = self.mirror.ledger.jobs.get(&job).and_then(|j| j.cause.as_ref());
        let answer = match cause {
            Some(cause) => users::failed_job_body(job, cause),
            None => users::job_status_body(job, "aborted", 0, 0),
        };
        self.out.answer(id, 200, answer);
    }

    pub(super) fn current_answer(&mut self, id: RequestId, job: JobId) {
        if self.final_answer(id, job) {
            return;
        }
        let Some(j) = self.mirror.ledger.jobs.get(&job) else {
            return self.out.answer(id, 404, users::error_body("no such job"));
        };
        let running = self.ctl.running.get(&job).copied().unwrap_or(0);
        let stage = if running > 0 { "running" } else { "queued" };
        self.out.answer(id, 200, users::job_status_body(job, stage, j.done.count_below(j.tasks), running));
    }

    pub(super) fn wait(&mut self, w: Waiter, limit: Micros) {
        if let Waiter::Poll(r, j) | Waiter::Submit(r, j, _) | Waiter::Abort(r, j) = &w
            && self.final_answer(*r, *j)
        {
            return;
        }
        if let Some(reason) = self.refusal(self.users.waiters.len()) {
            return self.cant_ask(&w, reason);
        }
        let until = self.now + limit;
        self.users.waiters.push((w, until));
        self.barrier();
    }

    /// Why a user's request is refused at once, if it is; `waiting` are those of its
    /// kind that wait already.
    fn refusal(&self, waiting: usize) -> Option<RefusalReason> {
        if !self.mirror.loaded {
            return Some(RefusalReason::StateUnread);
        }
        if self.mirror.state_refuses(self.now) {
            return Some(RefusalReason::StateRefused);
        }
        (waiting >= MAX_WAITING).then_some(RefusalReason::TooManyWaiting)
    }

    /// Tells a user to ask again, and counts why.
    pub(super) fn refuse(&mut self, id: RequestId, reason: RefusalReason) {
        self.status.refused(reason);
        self.out.later(id, reason.sentence());
    }

    pub(super) fn submit(&mut self, id: RequestId, body: &[u8]) {
        let parsed = users::parse_submission(body);
        let job = match &parsed {
            Ok(spec) => Some(spec.id),
            Err(_) => users::peek_job_id(body),
        };
        let Some(job) = job else {
            let reason = parsed.err().unwrap_or_default();
            return self.out.answer(id, 400, users::error_body(&reason));
        };
        let checked = parsed.map_err(|e| (400, e)).and_then(|s| self.check(s));
        let known = self.mirror.ledger.jobs.contains_key(&job);
        match checked {
            Ok(spec) if !known && self.unknown_dependency(&spec).is_none() => {
                if let Some(reason) = self.refusal(self.users.writes.len()) {
                    return self.refuse(id, reason);
                }
                let until = self.now + Micros::millis(3500);
                self.users.writes.push_back((UserWrite::Submit(id, Box::new(spec)), until));
                self.write_users();
            }
            checked => self.wait(Waiter::Submit(id, job, Box::new(checked)), Micros::millis(3500)),
        }
    }

    /// What can never run: 422; what can't be told yet: 503.
    pub(super) fn check(&self, s: JobSpec) -> Result<JobSpec, (u16, String)> {
        let Some(team) = self.teams.iter().find(|t| t.name == s.team) else {
            return Err((422, format!("unknown team {}", s.team)));
        };
        if !team.could_run(&s) {
            return Err((422, format!("more than the limit of team {}", s.team)));
        }
        if self.catalogue.flavors.is_empty() {
            return Err((503, RefusalReason::MachineTypesUnknown.sentence().into()));
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
        let service = |id: &&JobId| self.mirror.ledger.jobs.get(*id).is_some_and(|j| j.is_service);
        if let Some(id) = s.dependencies.iter().find(service) {
            return Err((422, format!("awaits: {id} is a service, which is never done")));
        }
        Ok(s)
    }

    /// A job that the submission depends on and that is not in the replica: it was never
    /// accepted, or this replica is behind.
    fn unknown_dependency(&self, s: &JobSpec) -> Option<JobId> {
        s.dependencies.iter().find(|id| !self.mirror.ledger.jobs.contains_key(id)).copied()
    }

    /// Asks once for all that wait whether the mirror is up to date.
    pub(super) fn barrier(&mut self) {
        if self.users.barrier_open || !self.mirror.listed {
            return;
        }
        if !self.users.barrier_bucket.take(self.now, 1.0, 0.0) {
            return;
        }
        let waiting = std::mem::take(&mut self.users.waiters);
        let path = format!(
            "/follow?prefix={}&from={}&hold_ms=0",
            keys::ROOT_PREFIX,
            self.mirror.ledger.applied_revision
        );
        let id = self.state("GET", path, Vec::new(), Micros::millis(1200));
        self.calls.insert(id, Purpose::Barrier(waiting));
        self.users.barrier_open = true;
        self.status.proof_asked(self.now);
    }

    pub(super) fn state(
        &mut self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout: Micros,
    ) -> CallId {
        self.out.call(Call { target: Target::State, method, path, body, timeout })
    }

    pub(super) fn multi(&mut self, m: &Transaction) -> CallId {
        let body = serde_json::to_vec(m).unwrap_or_default();
        self.state("POST", "/multi".into(), body, Micros::millis(2500))
    }

    pub(super) fn resolve(&mut self, w: Waiter) {
        match w {
            Waiter::Guest(t) => self.ask_guest(GuestInput::Proved(t, true)),
            Waiter::Poll(id, job) => {
                self.status.answered_by_proof(id);
                self.current_answer(id, job);
            }
            Waiter::Submit(id, job, checked) => {
                if self.mirror.ledger.jobs.contains_key(&job) {
                    return self.current_answer(id, job);
                }
                // What it depends on may have come with the proof.
                match checked.and_then(|spec| self.check(spec)) {
                    Ok(spec) => {
                        if let Some(dependency) = self.unknown_dependency(&spec) {
                            let reason = format!("awaits: {dependency} was never accepted");
                            return self.out.answer(id, 422, users::error_body(&reason));
                        }
                        let until = self.now + Micros::millis(3000);
                        self.users.writes.push_back((UserWrite::Submit(id, Box::new(spec)), until));
                        self.write_users();
                    }
                    Err((503, _)) => self.refuse(id, RefusalReason::MachineTypesUnknown),
                    Err((status, reason)) => self.out.answer(id, status, users::error_body(&reason)),
                }
            }
            Waiter::Abort(id, job) => {
                if self.final_answer(id, job) {
                    return;
                }
                if !self.mirror.ledger.jobs.contains_key(&job) {
                    return self.out.answer(id, 404, users::error_body("no such job"));
                }
                let until = self.now + Micros::millis(3000);
                let end = jobs::cancelled_value(self.wall_ms, None, false);
                self.users.writes.push_back((UserWrite::Abort(id, job, end), until));
                self.write_users();
            }
        }
    }

    /// The records of a job that was checked (`check`).
    fn records_of(&self, spec: &JobSpec) -> Vec<(String, serde_json::Value)> {
        jobs::job_records(spec, self.wall_ms, &self.limits).unwrap_or_default()
    }

    /// Sends users' changes as far as the budget goes.
    pub(super) fn write_users(&mut self) {
        while let Some((w, until)) = self.users.writes.pop_front() {
            if self.now > until {
                match w {
                    UserWrite::Submit(id, _) | UserWrite::Abort(id, ..) => {
                        self.refuse(id, RefusalReason::WriteBudget);
                    }
                    UserWrite::Guest(t, ..) => self.ask_guest(GuestInput::Called(t, CallResult::NotSent)),
                }
                continue;
            }
            let records = match &w {
                UserWrite::Submit(_, spec) => self.records_of(spec),
                _ => Vec::new(),
            };
            let cost = match &w {
                UserWrite::Guest(_, m, _) => m.writes.len().max(1) as f64,
                _ => records.len().max(1) as f64,
            };
            if !self.users.bucket.take(self.now, cost, 0.0) {
                self.users.writes.push_front((w, until));
                return;
            }
            let (when, writes) = match &w {
                UserWrite::Guest(t, m, as_leader) => {
                    let mut m = Transaction::clone(m);
                    if *as_leader {
                        match self.leadership.election.role {
                            Role::Leader { stamp, .. } if self.leadership.leader.is_some() => {
                                m.preconditions
                                    .push(Precondition { key: keys::LEADER.into(), revision: stamp });
                            }
                            _ => {
                                let t = *t;
                                self.ask_guest(GuestInput::Called(t, CallResult::NotSent));
                                continue;
                            }
                        }
                    }
                    let call = self.multi(&m);
                    self.calls.insert(call, Purpose::Write(w));
                    continue;
                }
                UserWrite::Submit(_, spec) => {
                    (vec![Precondition { key: keys::job(spec.id), revision: 0 }], records)
                }
                UserWrite::Abort(_, job, end) => {
                    let key = keys::end(*job);
                    let stamp = self.mirror.ledger.jobs.get(job).map_or(0, |j| j.revision);
                    let when = vec![
                        Precondition { key: key.clone(), revision: 0 },
                        Precondition { key: keys::job(*job), revision: stamp },
                    ];
                    (when, vec![(key, end.clone())])
                }
            };
            let writes =
                writes.into_iter().map(|(put, v)| Write::Put { key: put, value: v, lease: None }).collect();
            let call = self.multi(&Transaction { preconditions: when, writes });
            self.calls.insert(call, Purpose::Write(w));
        }
    }

    pub(super) fn user_written(&mut self, w: UserWrite, result: &CallResult) {
        match (w, result) {
            (UserWrite::Submit(id, spec), CallResult::Answer { status: 200, body }) => {
                let job = spec.id;
                let stamp = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                debug!("{job}: accepted at {stamp}");
                let cancelled =
                    |id: &JobId| self.mirror.ledger.jobs.get(id).is_some_and(|j| j.phase == Phase::Cancelled);
                // Accepted all the same, and cancelled with what it depends on.
                let stage = if spec.dependencies.iter().any(cancelled) { "aborted" } else { "queued" };
                self.out.answer(id, 201, users::job_status_body(job, stage, 0, 0));
            }
            (UserWrite::Abort(id, job, end), CallResult::Answer { status: 200, body }) => {
                info!("{job}: cancelled");
                let stamp = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                self.ended_by(&[Write::Put { key: keys::end(job), value: end, lease: None }], stamp);
                self.tell_user(id, job);
            }
            (UserWrite::Guest(t, m, _), CallResult::Answer { status: 200, body }) => {
                let stamp = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                let ended = self.ended_by(&m.writes, stamp);
                self.tell_guest(t, &ended, result.clone());
            }
            // The key is there already: the current state is the answer.
            (UserWrite::Submit(id, spec), CallResult::Answer { status: 409, .. }) => {
                self.wait(Waiter::Poll(id, spec.id), Micros::millis(1500));
            }
            (UserWrite::Abort(id, job, _), CallResult::Answer { status: 409, .. }) => {
                self.wait(Waiter::Abort(id, job), Micros::millis(1500));
            }
            (UserWrite::Guest(t, m, as_leader), CallResult::Answer { status: 429, .. }) => {
                self.users.bucket.force(self.now, 1.0);
                self.users
                    .writes
                    .push_back((UserWrite::Guest(t, m, as_leader), self.now + Micros::millis(2000)));
            }
            (UserWrite::Guest(t, ..), r) => self.ask_guest(GuestInput::Called(t, r.clone())),
            (w, CallResult::Answer { status: 429, .. }) => {
                let pause = Micros::millis(100 + self.rng.u64(0..100));
                self.users.bucket.force(self.now, 1.0);
                self.users.writes.push_back((w, self.now + Micros::millis(2000) - pause));
            }
            (UserWrite::Submit(id, _) | UserWrite::Abort(id, ..), _) => {
                self.refuse(id, RefusalReason::WriteUnconfirmed);
            }
        }
    }
}
