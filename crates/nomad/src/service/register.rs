//! Changes of a job record: registering, scaling, stopping, dispatching and launching.
//!
//! A change is atomic. It first writes the chunks below a nonce of their own, then the job record,
//! conditioned on the record being unchanged since it was read and on every chunk being as it was
//! written. The client is answered only after the record has been committed or, if the answer to
//! that write was lost, after the replica has shown the record.
use super::api::{Request, Route, format_diagnostics};
use super::records::{
    Content, GroupRecord, JobKey, JobRecord, MAX_PREVIOUS_VERSIONS, MAX_SUPERSEDED_JOBS, ParameterizedRecord,
    PeriodicRecord, PreviousVersion, api_job, hashes, names, payload_word, split_into_chunks,
};
use super::{PendingOperation, RegisteredJob, Service, committed_revision, views, write};
use crate::model::Job;
use crate::translate::{self, PlannedGroup};
use crate::tree::{Diagnostics, Severity};
use crate::validate;
use gorseshore_core::CallResult;
use gorseshore_core::extension::{ExtensionContext, ExtensionOutput};
use gorseshore_core::jobs::{Phase, job_value, keys};
use gorseshore_core::limits::value_len;
use gorseshore_protocol::ids::{JobId, MIN_INTERNAL_JOB_ID, Micros};
use gorseshore_protocol::state::{Precondition, Transaction, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes by which a job record may grow without another check of its size.
const RECORD_SIZE_MARGIN_BYTES: usize = 64;
/// Bytes reserved in a native job's description for the ids of the jobs that it replaces and for a
/// longer count.
const DESCRIPTION_SIZE_MARGIN_BYTES: usize = 22 * MAX_SUPERSEDED_JOBS;
/// Longest stored content of a job in bytes.
const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// How often a change is attempted when others change the job concurrently.
const MAX_ATTEMPTS: u32 = 4;
/// A change that takes longer fails; the client may repeat it.
const CHANGE_TIMEOUT: Micros = Micros::secs(30);

/// State of a change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Step {
    /// Chunks are being written.
    Chunks,
    /// The job record is being written.
    JobRecord,
    /// The job was changed concurrently; the record is rebuilt from the current one.
    Rebuild,
    /// The answer to the write of the job record was lost.
    Confirm,
}

/// A requested change of a job.
#[derive(Debug, Clone)]
pub(crate) enum JobChange {
    /// Register this content.
    Content { job: Box<Job>, class: String, team: String, content: Rc<Content>, warnings: String },
    /// Set the count of a group.
    Scale { group: String, count: u32 },
    /// Stop the job; with `purge`, delete its record afterwards.
    Stop { purge: bool },
    /// Create a child job by launch or dispatch.
    Child { id: String, content: Rc<Content>, launched: Option<u64>, token: Option<JobKey> },
}

/// A change in progress.
#[derive(Debug)]
pub(crate) struct PendingChange {
    /// The client's request; for cron launches a placeholder that is not answered.
    pub request: Request,
    pub by_leader: bool,
    pub key: JobKey,
    pub change: JobChange,
    step: Step,
    /// The record to write, and the revision of the record that it replaces.
    record: Option<JobRecord>,
    expected_revision: u64,
    chunks: Vec<(String, String)>,
    written_chunks: Vec<(String, u64)>,
    /// Number of chunks in the transaction in flight.
    chunks_in_flight: usize,
    attempts: u32,
    deadline: Micros,
}

/// Converts a job and its native descriptions to the stored form.
pub(crate) fn content(job: &Job, groups: &[PlannedGroup]) -> Content {
    let specs = groups.iter().map(|p| (p.group.clone(), job_value(&p.spec, 0))).collect();
    Content { job: api_job(job), specs }
}

impl Service {
    fn new_native_id(&mut self) -> u64 {
        MIN_INTERNAL_JOB_ID + self.rng.u64(0..8 * MIN_INTERNAL_JOB_ID)
    }

    /// `POST /v1/jobs`.
    pub(crate) fn register(&mut self, ctx: &ExtensionContext<'_>, r: Request) {
        let Ok(text) = std::str::from_utf8(&r.body) else { return self.answer_error(r.id, 400, "not UTF-8") };
        if self.site.machines.is_empty() {
            return self.answer_error(r.id, 503, "the machine types are not known yet");
        }
        let mut report = validate(text, &r.inputs(), &self.settings, &self.site);
        let Some(job) = report.job.take().filter(|_| report.diagnostics.accepted()) else {
            return self.answer_error(r.id, 400, &format_diagnostics(&report.diagnostics));
        };
        let class = translate::find_class(&job, &self.settings);
        let Some((class, team)) = class.map(|c| (c.name.clone(), c.team.clone())) else {
            return self.answer_error(r.id, 400, "no class takes the job");
        };
        if !r.can_access(&team) {
            return self.answer_error(r.id, 403, "Permission denied");
        }
        if let Err(text) = self.check_team_limits(ctx, &report.groups) {
            return self.answer_error(r.id, 400, &text);
        }
        let warnings = warnings(&report.diagnostics);
        let content = Rc::new(content(&job, &report.groups));
        let key = JobKey::of(&job.namespace, &job.id);
        let change = JobChange::Content { job: Box::new(job), class, team, content, warnings };
        self.begin_change(ctx, r, key, change, false);
    }

    /// Rejects what native submission answers with 422: a description that is too long, an unknown
    /// team, or a task that alone exceeds its team's limit.
    fn check_team_limits(&self, ctx: &ExtensionContext<'_>, groups: &[PlannedGroup]) -> Result<(), String> {
        for p in groups {
            if value_len(&job_value(&p.spec, ctx.wall_ms)) + DESCRIPTION_SIZE_MARGIN_BYTES
                > ctx.max_value_bytes
            {
                return Err(format!("group {}: the description is too long", p.group));
            }
            let Some(team) = ctx.teams.iter().find(|t| t.name == p.spec.team) else {
                return Err(format!("this site has no team {}", p.spec.team));
            };
            if !team.could_run(&p.spec) {
                return Err(format!("group {}: more than the limit of team {}", p.group, team.name));
            }
        }
        Ok(())
    }

    /// Scaling, stopping, dispatching and forced launches.
    pub(crate) fn change(&mut self, ctx: &ExtensionContext<'_>, r: Request) {
        let (Route::Scale(id) | Route::Stop(id) | Route::Dispatch(id) | Route::Force(id)) = &r.route else {
            return;
        };
        let key = JobKey::of(r.namespace(), id);
        let Some(registered) = self.jobs.get(&key).filter(|k| r.can_access(&k.record.team)).cloned() else {
            return self.answer_error(r.id, 404, "job not found");
        };
        if matches!(r.route, Route::Stop(_)) {
            let purge = r.query_value("purge") == Some("true");
            return self.begin_change(ctx, r, key, JobChange::Stop { purge }, false);
        }
        let Some(content) = self.contents.get(&registered.record.nonce).cloned() else {
            return self.read_content(&key, registered.record.nonce.clone(), r);
        };
        let body: Value = match r.body.is_empty() {
            true => json!({}),
            false => match serde_json::from_slice(&r.body) {
                Ok(v) => v,
                Err(e) => return self.answer_error(r.id, 400, &format!("not JSON: {e}")),
            },
        };
        match &r.route {
            Route::Scale(_) => {
                let group = body["Target"]["Group"].as_str().unwrap_or("").to_owned();
                let Some(count) = body["Count"].as_u64().filter(|n| *n <= crate::model::MAX_COUNT) else {
                    return self.answer_error(r.id, 400, "Count: must be a whole number from 0 to 100000");
                };
                let change = JobChange::Scale { group, count: count as u32 };
                self.begin_change(ctx, r, key, change, false);
            }
            Route::Force(_) => {
                let Some(p) = registered.record.periodic.as_ref().filter(|_| !registered.record.stop) else {
                    return self.answer_error(r.id, 400, "the job is not periodic, or it is stopped");
                };
                if p.prohibit_overlap && self.has_running_child(ctx, &registered.record) {
                    return self.answer_error(
                        r.id,
                        409,
                        "an earlier launch still runs, and overlap is prohibited",
                    );
                }
                let id = format!("{}/periodic-{}", registered.record.id, ctx.wall_ms / 1000);
                let content = child_content(&content, &id, &registered.record.id, &BTreeMap::new(), None);
                let change = JobChange::Child { id, content: Rc::new(content), launched: None, token: None };
                self.begin_change(ctx, r, key, change, false);
            }
            _ => match self.dispatch(ctx, &r, &registered, &content, &body) {
                Ok((change, None)) => self.begin_change(ctx, r, key, change, false),
                Ok((_, Some(done))) => self.answer(r.id, 200, ctx.replica.applied_revision, &done),
                Err(text) => self.answer_error(r.id, 400, &text),
            },
        }
    }

    /// Checks a dispatch against the job's rules for payload and meta. Returns the change, or the
    /// answer of an earlier dispatch with the same idempotency token.
    fn dispatch(
        &mut self,
        ctx: &ExtensionContext<'_>,
        r: &Request,
        registered: &RegisteredJob,
        content: &Content,
        body: &Value,
    ) -> Result<(JobChange, Option<Value>), String> {
        let Some(rules) = registered.record.parameterized.as_ref().filter(|_| !registered.record.stop) else {
            return Err("the job is not parameterized, or it is stopped".into());
        };
        let payload = body["Payload"].as_str().filter(|p| !p.is_empty()).map(str::to_owned);
        match (rules.payload.as_str(), &payload) {
            ("required", None) => return Err("Payload: is required".into()),
            ("forbidden", Some(_)) => return Err("Payload: is forbidden".into()),
            _ => {}
        }
        if let Some(p) = &payload {
            use base64::Engine;
            let bytes = base64::engine::general_purpose::STANDARD.decode(p);
            match bytes {
                Ok(b) if b.len() <= 16 * 1024 => {}
                Ok(_) => return Err("Payload: is longer than 16 KiB".into()),
                Err(e) => return Err(format!("Payload: not base64: {e}")),
            }
        }
        let mut meta = BTreeMap::new();
        for (k, v) in body["Meta"].as_object().into_iter().flatten() {
            if !rules.required.contains(k) && !rules.optional.contains(k) {
                return Err(format!("Meta.{k}: is neither required nor optional"));
            }
            let Some(v) = v.as_str() else { return Err(format!("Meta.{k}: must be text")) };
            meta.insert(k.clone(), v.to_owned());
        }
        if let Some(k) = rules.required.iter().find(|k| !meta.contains_key(*k)) {
            return Err(format!("Meta.{k}: is required"));
        }
        // A repeated dispatch with the same idempotency token returns the first one's job.
        let token = r
            .query_value("idempotency_token")
            .or_else(|| body["IdempotencyToken"].as_str().filter(|t| !t.is_empty()));
        let token = token.map(|t| JobKey::of(&registered.record.key().0, t));
        if let Some(id) = token.as_ref().and_then(|t| self.jobs_by_dispatch_token.get(t)) {
            let key = JobKey::of(&registered.record.namespace, id);
            let revision = self.jobs.get(&key).map_or(0, |k| k.create_revision);
            let done = dispatch_response(id, &key, revision);
            return Ok((JobChange::Stop { purge: false }, Some(done)));
        }
        let id = format!("{}/dispatch-{}-{:08x}", registered.record.id, ctx.wall_ms / 1000, self.rng.u32(..));
        if id.len() > crate::model::MAX_NAME_BYTES {
            return Err(format!(
                "the dispatched job's id would have more than {} bytes",
                crate::model::MAX_NAME_BYTES
            ));
        }
        let content = child_content(content, &id, &registered.record.id, &meta, payload);
        Ok((JobChange::Child { id, content: Rc::new(content), launched: None, token }, None))
    }

    /// Starts a change; the replica is up to date.
    pub(crate) fn begin_change(
        &mut self,
        ctx: &ExtensionContext<'_>,
        request: Request,
        key: JobKey,
        change: JobChange,
        by_leader: bool,
    ) {
        let r = PendingChange {
            request,
            by_leader,
            key,
            change,
            step: Step::Rebuild,
            record: None,
            expected_revision: 0,
            chunks: Vec::new(),
            written_chunks: Vec::new(),
            chunks_in_flight: 0,
            attempts: 0,
            deadline: ctx.now + CHANGE_TIMEOUT,
        };
        self.build_job_record(ctx, r);
    }

    pub(crate) fn fail_change(&mut self, r: &PendingChange, status: u16, text: &str) {
        if r.by_leader {
            self.operations_in_flight.remove(&r.key);
            return self.queue_reconcile(&r.key);
        }
        self.answer_error(r.request.id, status, text);
    }

    fn queue_reconcile(&mut self, key: &JobKey) {
        self.reconcile_queue.insert(key.clone(), Micros(0));
    }

    /// Builds the record to write from the current state of the job.
    fn build_job_record(&mut self, ctx: &ExtensionContext<'_>, mut r: PendingChange) {
        r.attempts += 1;
        if r.attempts > MAX_ATTEMPTS || ctx.now > r.deadline {
            return self.fail_change(
                &r,
                503,
                "others change the job all the time, or the state service is slow",
            );
        }
        let registered = self.jobs.get(&r.key).cloned();
        r.expected_revision = registered.as_ref().map_or(0, |k| k.modify_revision);
        let (record, content) = match &r.change {
            JobChange::Content { job, class, team, content, .. } => {
                let body: Value = serde_json::from_slice(&r.request.body).unwrap_or(Value::Null);
                if body["EnforceIndex"] == true {
                    let expected = body["JobModifyIndex"].as_u64().unwrap_or(0);
                    if expected != r.expected_revision {
                        let text = match r.expected_revision {
                            0 => format!("Enforcing job modify index {expected}: job does not exist"),
                            s => format!(
                                "Enforcing job modify index {expected}: job exists with conflicting job modify index: {s}"
                            ),
                        };
                        return self.fail_change(&r, 409, &text);
                    }
                }
                let (hash, hash_without_counts) = hashes(content);
                if let Some(k) = &registered
                    && !k.record.stop
                    && k.record.hash == hash
                {
                    let answer = registration_response(&r.key, &k.record, k.modify_revision, &r.change);
                    return self.answer(r.request.id, 200, ctx.replica.applied_revision, &answer);
                }
                match self.next_job_record(
                    ctx,
                    registered.as_ref(),
                    job,
                    (class, team),
                    (hash, hash_without_counts),
                ) {
                    Ok(h) => (h, Some(content.clone())),
                    Err(text) => return self.fail_change(&r, 503, &text),
                }
            }
            JobChange::Scale { group, count } => {
                let Some(k) = registered.filter(|k| !k.record.stop && !k.record.is_template()) else {
                    return self.fail_change(
                        &r,
                        400,
                        "a job that is stopped, periodic or parameterized can't be scaled",
                    );
                };
                let Some(old) = self.contents.get(&k.record.nonce).cloned() else {
                    return self.fail_change(&r, 503, "the job changed meanwhile: come back");
                };
                let mut h = JobRecord::clone(&k.record);
                let Some(at) = h.groups.iter().position(|g| g.name == *group) else {
                    return self.fail_change(&r, 400, &format!("Target.Group: the job has no group {group}"));
                };
                if h.groups[at].count == *count {
                    let answer = registration_response(&r.key, &k.record, k.modify_revision, &r.change);
                    return self.answer(r.request.id, 200, ctx.replica.applied_revision, &answer);
                }
                let total: u64 = h.groups.iter().map(|g| g.count as u64).sum::<u64>()
                    - h.groups[at].count as u64
                    + *count as u64;
                let class = self.settings.classes.iter().find(|c| c.name == h.class);
                if let Some(c) = class.filter(|c| total > c.max_count as u64) {
                    let text =
                        format!("{total} repeats over all groups, class {} allows {}", c.name, c.max_count);
                    return self.fail_change(&r, 400, &text);
                }
                // A native job that has ended cannot be scaled, so the group gets a new one.
                let job = ctx.replica.jobs.get(&JobId(h.groups[at].job));
                if job.is_some_and(|j| j.phase != Phase::Active) {
                    h.groups[at].job = self.new_native_id();
                }
                h.groups[at].count = *count;
                let mut content = Content::clone(&old);
                let groups = content.job["TaskGroups"].as_array_mut();
                groups
                    .into_iter()
                    .flatten()
                    .filter(|g| g["Name"] == **group)
                    .for_each(|g| g["Count"] = json!(count));
                if let Some(s) = content.specs.get_mut(group) {
                    s["d"]["n"] = json!(count);
                }
                (h.hash, h.hash_without_counts) = hashes(&content);
                set_next_version(&mut h, &k, ctx.wall_ms);
                (h, Some(Rc::new(content)))
            }
            JobChange::Stop { purge } => {
                let Some(k) = registered else { return self.fail_change(&r, 404, "job not found") };
                if k.record.stop && (k.record.purge || !purge) {
                    let answer = registration_response(&r.key, &k.record, k.modify_revision, &r.change);
                    return self.answer(r.request.id, 200, ctx.replica.applied_revision, &answer);
                }
                let mut h = JobRecord::clone(&k.record);
                (h.stop, h.purge) = (true, h.purge || *purge);
                h.create_revision = Some(k.create_revision);
                (h, None)
            }
            JobChange::Child { id, content, .. } => {
                let Some(k) = registered.filter(|k| !k.record.stop) else {
                    return self.fail_change(&r, 409, "the job was stopped meanwhile");
                };
                let parent = &k.record;
                let (hash, hash_without_counts) = hashes(content);
                let groups = parent.groups.iter().map(|g| (g.name.clone(), g.count)).collect::<Vec<_>>();
                let h = JobRecord {
                    id: id.clone(),
                    name: id.clone(),
                    version: 0,
                    hash,
                    hash_without_counts,
                    at: ctx.wall_ms,
                    create_revision: None,
                    stop: false,
                    groups: groups
                        .into_iter()
                        .map(|(name, count)| GroupRecord { name, count, job: self.new_native_id() })
                        .collect(),
                    superseded_jobs: Vec::new(),
                    periodic: None,
                    parameterized: None,
                    parent: Some(parent.id.clone()),
                    previous_versions: Vec::new(),
                    ..JobRecord::clone(parent)
                };
                (h, Some(content.clone()))
            }
        };
        self.prepare(ctx, r, record, content);
    }

    /// The next record of a job. It keeps the native jobs if only counts differ, and names new ones
    /// otherwise.
    fn next_job_record(
        &mut self,
        ctx: &ExtensionContext<'_>,
        registered: Option<&RegisteredJob>,
        job: &Job,
        (class, team): (&str, &str),
        (hash, hash_without_counts): (String, String),
    ) -> Result<JobRecord, String> {
        let mut record = JobRecord {
            namespace: job.namespace.clone(),
            id: job.id.clone(),
            name: job.name.clone(),
            version: 0,
            hash,
            hash_without_counts,
            nonce: String::new(),
            at: ctx.wall_ms,
            create_revision: None,
            kind: if job.kind == gorseshore_protocol::job::Kind::Service { "service" } else { "batch" }
                .into(),
            priority: job.priority,
            stop: false,
            purge: false,
            class: class.to_owned(),
            team: team.to_owned(),
            datacenters: job.datacenters.iter().map(|d| d.0.clone()).collect(),
            groups: job
                .groups
                .iter()
                .map(|g| GroupRecord { name: g.name.clone(), count: g.count, job: self.new_native_id() })
                .collect(),
            superseded_jobs: Vec::new(),
            periodic: job.periodic.as_ref().map(|p| PeriodicRecord {
                crons: p.crons.clone(),
                time_zone: p.time_zone.clone(),
                prohibit_overlap: p.prohibit_overlap,
                enabled: p.enabled,
            }),
            parameterized: job.parameterized.as_ref().map(|p| ParameterizedRecord {
                payload: payload_word(p.payload).into(),
                required: p.required.clone(),
                optional: p.optional.clone(),
            }),
            parent: None,
            previous_versions: Vec::new(),
        };
        let Some(k) = registered else { return Ok(record) };
        let active = |id: u64| ctx.replica.jobs.get(&JobId(id)).is_none_or(|j| j.phase == Phase::Active);
        if !k.record.stop
            && k.record.hash_without_counts == record.hash_without_counts
            && k.record.groups.iter().all(|g| active(g.job))
        {
            for g in &mut record.groups {
                if let Some(old) = k.record.groups.iter().find(|x| x.name == g.name) {
                    g.job = old.job;
                }
            }
            record.superseded_jobs = k.record.superseded_jobs.clone();
        } else {
            // Native jobs that have ended for good need not be waited for.
            let ended_for_good = |id: &JobId| {
                ctx.replica.jobs.get(id).is_some_and(|j| match j.phase {
                    Phase::Active => false,
                    Phase::Done => true,
                    Phase::Cancelled => j.fully_stopped,
                })
            };
            record.superseded_jobs =
                k.record.native_jobs().filter(|id| !ended_for_good(id)).map(|id| id.0).collect();
            if record.superseded_jobs.len() > MAX_SUPERSEDED_JOBS {
                return Err("earlier versions of the job are still ending".into());
            }
        }
        set_next_version(&mut record, k, ctx.wall_ms);
        Ok(record)
    }

    /// Splits the content into chunks and starts to write them.
    fn prepare(
        &mut self,
        ctx: &ExtensionContext<'_>,
        mut r: PendingChange,
        mut record: JobRecord,
        content: Option<Rc<Content>>,
    ) {
        let target = record.key();
        r.chunks.clear();
        r.written_chunks.clear();
        if let Some(c) = content {
            let text = serde_json::to_string(&*c).unwrap_or_default();
            let chunks = split_into_chunks(&text, ctx.max_value_bytes.saturating_sub(64));
            // The transaction that writes the record has one precondition per chunk; 6 of the
            // allowed preconditions are left for others.
            let max_chunks = (ctx.max_txn_writes * 4).saturating_sub(6);
            if text.len() > MAX_CONTENT_BYTES || chunks.len() > max_chunks {
                let text = format!(
                    "the job takes {} bytes in {} parts, at most {MAX_CONTENT_BYTES} in {max_chunks}",
                    text.len(),
                    chunks.len()
                );
                return self.fail_change(&r, 400, &text);
            }
            record.nonce = format!("{:016x}", self.rng.u64(..));
            for (i, p) in chunks.into_iter().enumerate() {
                r.chunks.push((names::chunk(&target, &record.nonce, i), p));
            }
            self.cache_content(&record.nonce, c);
        }
        // A record that exceeds the value limit drops its oldest previous versions.
        let too_long =
            |record: &JobRecord| value_len(&json!(record)) + RECORD_SIZE_MARGIN_BYTES > ctx.max_value_bytes;
        while too_long(&record) && record.previous_versions.pop().is_some() {}
        if too_long(&record) {
            return self.fail_change(
                &r,
                400,
                "the job has too many groups for a record of the state service",
            );
        }
        r.record = Some(record);
        self.write_next(ctx, r);
    }

    /// Writes the next chunks, or the job record once all chunks are written.
    fn write_next(&mut self, ctx: &ExtensionContext<'_>, mut r: PendingChange) {
        if ctx.now > r.deadline {
            return self.fail_change(&r, 503, "the state service is slow");
        }
        let done = r.written_chunks.len();
        if done < r.chunks.len() {
            r.step = Step::Chunks;
            let (mut size, mut writes) = (200, Vec::new());
            for (name, text) in r.chunks[done..].iter().take(ctx.max_txn_writes) {
                size += text.len() * 2 + 300;
                if size > 50_000 && !writes.is_empty() {
                    break;
                }
                writes.push(put(name, json!(text)));
            }
            r.chunks_in_flight = writes.len();
            let operation = self.new_operation(PendingOperation::Register(Box::new(r)));
            return self.outputs.push(write(
                operation,
                Transaction { preconditions: Vec::new(), writes },
                false,
            ));
        }
        r.step = Step::JobRecord;
        let Some(record) = &r.record else { return };
        let target = record.key();
        let mut conditions = vec![precondition(names::job_record(&r.key), r.expected_revision)];
        let mut writes = vec![put(&names::job_record(&target), json!(record))];
        conditions
            .extend(r.written_chunks.iter().map(|(name, revision)| precondition(name.clone(), *revision)));
        if let JobChange::Child { launched, token, id, .. } = &r.change {
            conditions.push(precondition(names::job_record(&target), 0));
            if let Some(ms) = launched {
                let revision = self.last_launches.get(&r.key).map_or(0, |l| l.1);
                conditions.push(precondition(names::last_launch(&r.key), revision));
                writes.push(put(&names::last_launch(&r.key), json!(ms)));
            }
            if let Some(t) = token {
                conditions.push(precondition(names::dispatch_token(t), 0));
                writes.push(put(&names::dispatch_token(t), json!(id)));
            }
        }
        let by_leader = r.by_leader;
        let operation = self.new_operation(PendingOperation::Register(Box::new(r)));
        self.outputs.push(write(operation, Transaction { preconditions: conditions, writes }, by_leader));
    }

    /// Handles the end of a write of a change.
    pub(crate) fn change_write_ended(
        &mut self,
        ctx: &ExtensionContext<'_>,
        mut r: PendingChange,
        result: &CallResult,
    ) {
        match (r.step, committed_revision(result), result) {
            (Step::Chunks, Some(revision), _) => {
                let done = r.written_chunks.len();
                let in_flight = r.chunks_in_flight;
                let names: Vec<String> =
                    r.chunks[done..done + in_flight].iter().map(|p| p.0.clone()).collect();
                r.written_chunks.extend(names.into_iter().map(|n| (n, revision)));
                self.write_next(ctx, r);
            }
            // Writing chunks twice is harmless: the preconditions of the job record check which
            // write is stored.
            (Step::Chunks, None, _) => self.retry_chunks(ctx, r),
            (_, Some(revision), _) => self.complete_change(ctx, &r, revision),
            (_, None, CallResult::NotSent) => {
                self.fail_change(&r, 503, "the state service can't be asked now")
            }
            (_, None, CallResult::Response { status: 409, .. }) => {
                self.request_read_barrier(r, Step::Rebuild)
            }
            (_, None, CallResult::Unknown) => self.request_read_barrier(r, Step::Confirm),
            (_, None, CallResult::Response { .. }) => {
                self.fail_change(&r, 503, "the state service does not take it now")
            }
        }
    }

    fn retry_chunks(&mut self, ctx: &ExtensionContext<'_>, mut r: PendingChange) {
        r.attempts += 1;
        if r.attempts > MAX_ATTEMPTS {
            return self.fail_change(&r, 503, "the state service did not confirm it");
        }
        self.write_next(ctx, r);
    }

    fn request_read_barrier(&mut self, mut r: PendingChange, step: Step) {
        r.step = step;
        let operation = self.new_operation(PendingOperation::Register(Box::new(r)));
        self.outputs.push(ExtensionOutput::ReadBarrier(operation));
    }

    /// Continues a change after its read barrier; the replica is up to date.
    pub(crate) fn resume_after_barrier(&mut self, ctx: &ExtensionContext<'_>, r: PendingChange) {
        if r.step == Step::Rebuild {
            return self.build_job_record(ctx, r);
        }
        // The answer was lost: checks whether the record was written.
        let target = r.record.as_ref().map(JobRecord::key);
        let committed =
            target.as_ref().and_then(|k| self.jobs.get(k)).filter(|k| Some(&*k.record) == r.record.as_ref());
        match committed.map(|k| k.modify_revision) {
            Some(revision) => self.complete_change(ctx, &r, revision),
            // The write may still be applied later, so its outcome is unknown.
            None => self.fail_change(&r, 503, "the state service did not confirm it: ask again"),
        }
    }

    /// Ends a committed change: answers its client, or queues the job for reconciling if the leader
    /// made the change.
    fn complete_change(&mut self, ctx: &ExtensionContext<'_>, r: &PendingChange, revision: u64) {
        let Some(record) = &r.record else { return };
        log::info!(
            "job version recorded namespace={} job={} version={} revision={revision}",
            record.namespace,
            record.id,
            record.version
        );
        if r.by_leader {
            self.operations_in_flight.remove(&r.key);
            return self.queue_reconcile(&r.key);
        }
        let answer = match &r.change {
            JobChange::Child { id, .. } => dispatch_response(id, &record.key(), revision),
            w => registration_response(&r.key, record, revision, w),
        };
        self.answer(r.request.id, 200, ctx.replica.applied_revision.max(revision), &answer);
    }

    /// Whether a child job of `parent` is still alive.
    pub(crate) fn has_running_child(&self, ctx: &ExtensionContext<'_>, parent: &JobRecord) -> bool {
        self.jobs.values().any(|k| {
            k.record.parent.as_ref() == Some(&parent.id)
                && k.record.namespace == parent.namespace
                && views::status(ctx, &k.record) != "dead"
        })
    }
}

/// Sets the next version number and the history of previous versions.
fn set_next_version(record: &mut JobRecord, registered: &RegisteredJob, wall_ms: u64) {
    let k = &registered.record;
    record.version = k.version + 1;
    record.create_revision = Some(registered.create_revision);
    record.at = wall_ms;
    record.previous_versions = k.previous_versions.clone();
    record
        .previous_versions
        .insert(0, PreviousVersion { version: k.version, nonce: k.nonce.clone(), at: k.at });
    record.previous_versions.truncate(MAX_PREVIOUS_VERSIONS);
}

/// A precondition on a key below the extension's prefix.
pub(crate) fn precondition(name: String, revision: u64) -> Precondition {
    Precondition { key: format!("{}{name}", keys::EXTENSION_PREFIX), revision }
}

/// A put of a key below the extension's prefix.
pub(crate) fn put(name: &str, v: Value) -> Write {
    Write::Put { key: format!("{}{name}", keys::EXTENSION_PREFIX), value: v, lease: None }
}

/// A removal of a key below the extension's prefix.
pub(crate) fn remove(name: &str) -> Write {
    Write::Remove { key: format!("{}{name}", keys::EXTENSION_PREFIX) }
}

fn warnings(diagnostics: &Diagnostics) -> String {
    let lines = diagnostics.list.iter().filter(|f| f.severity == Severity::Warning).map(|f| f.to_string());
    lines.collect::<Vec<_>>().join("\n")
}

/// The content of a child job, created by launch or dispatch.
pub(crate) fn child_content(
    parent: &Content,
    id: &str,
    parent_id: &str,
    meta: &BTreeMap<String, String>,
    payload: Option<String>,
) -> Content {
    let mut c = parent.clone();
    c.job["ID"] = json!(id);
    c.job["Name"] = json!(id);
    c.job["ParentID"] = json!(parent_id);
    c.job["Periodic"] = Value::Null;
    c.job["Dispatched"] = json!(!c.job["ParameterizedJob"].is_null());
    c.job["ParameterizedJob"] = Value::Null;
    if let Some(m) = c.job["Meta"].as_object_mut() {
        m.extend(meta.iter().map(|(k, v)| (k.clone(), json!(v))));
    }
    if let Some(p) = payload {
        c.job["Payload"] = json!(p);
    }
    c
}

fn registration_response(key: &JobKey, record: &JobRecord, revision: u64, change: &JobChange) -> Value {
    let warnings = match change {
        JobChange::Content { warnings, .. } => warnings.as_str(),
        _ => "",
    };
    json!({"EvalID": views::evaluation_id(key, record.version), "EvalCreateIndex": revision,
        "JobModifyIndex": revision, "Warnings": warnings, "Index": revision})
}

fn dispatch_response(id: &str, key: &JobKey, revision: u64) -> Value {
    json!({"DispatchedJobID": id, "EvalID": views::evaluation_id(key, 0), "EvalCreateIndex": revision,
        "JobCreateIndex": revision, "Index": revision})
}
