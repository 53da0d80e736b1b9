//! Registering, scaling, stopping, dispatching: every change of a job's head.
//!
//! A change is one accepted-or-not step: parts first, under a name of their
//! own, then the head, on condition that the head is as it was read and that
//! all parts are as they were written. An answer comes only after that record,
//! or, where its answer was lost, after the mirror has shown it.
use super::api::{Request, Route, told};
use super::records::{
    Content, Earlier, GroupHead, Head, JobKey, OLD_KEPT, ParamHead, PeriodicHead, VERSIONS_KEPT, api_job,
    cut, hashes, names, payload_word,
};
use super::{Known, Pending, Service, revision, views, write};
use crate::judge;
use crate::model::Job;
use crate::translate::{self, Planned};
use crate::tree::{Faults, Severity};
use gorseshore_core::CallResult;
use gorseshore_core::extension::{ExtensionContext, ExtensionOutput};
use gorseshore_core::jobs::{Phase, job_value, keys};
use gorseshore_core::limits::value_len;
use gorseshore_protocol::ids::{JobId, MIN_INTERNAL_JOB_ID, Micros};
use gorseshore_protocol::state::{Precondition, Transaction, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes that a head may grow by without being judged anew.
const HEAD_MARGIN: usize = 64;
/// The same for a group's description: jobs that it replaces, and a count.
const DESCRIPTION_MARGIN: usize = 22 * OLD_KEPT;
/// Longest content of a job, in bytes as it is stored.
const MAX_CONTENT: usize = 64 * 1024;
/// How often a change starts anew when others change the job meanwhile.
const TRIES: u32 = 4;
/// A change that takes longer is given up; the request's user may repeat it.
const TIME: Micros = Micros::secs(30);

/// Where a change stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Step {
    /// Parts are being written.
    Parts,
    /// The head is being written.
    Head,
    /// Others changed the job: it is looked at again.
    Again,
    /// The answer to the head's writing was lost.
    Confirm,
}

/// What is to become of a job.
#[derive(Debug, Clone)]
pub(crate) enum Wish {
    /// This content.
    Content { job: Box<Job>, class: String, team: String, content: Rc<Content>, warnings: String },
    /// Other counts.
    Scale { group: String, count: u32 },
    /// No more.
    Stop { purge: bool },
    /// A child of it.
    Child { id: String, content: Rc<Content>, launched: Option<u64>, token: Option<JobKey> },
}

/// A change under way.
#[derive(Debug)]
pub(crate) struct Registration {
    /// Who waits for it; nobody for launches by cron.
    pub request: Request,
    pub by_leader: bool,
    pub key: JobKey,
    pub wish: Wish,
    step: Step,
    /// The head to write and the version that it replaces.
    head: Option<Head>,
    seen: u64,
    parts: Vec<(String, String)>,
    written: Vec<(String, u64)>,
    /// Parts of the transaction under way.
    open: usize,
    tries: u32,
    until: Micros,
}

/// A content put into the form that is stored.
pub(crate) fn content(job: &Job, groups: &[Planned]) -> Content {
    let specs = groups.iter().map(|p| (p.group.clone(), job_value(&p.spec, 0))).collect();
    Content { job: api_job(job), specs }
}

impl Service {
    fn native(&mut self) -> u64 {
        MIN_INTERNAL_JOB_ID + self.rng.u64(0..8 * MIN_INTERNAL_JOB_ID)
    }

    /// `POST /v1/jobs`.
    pub(crate) fn register(&mut self, host: &ExtensionContext<'_>, r: Request) {
        let Ok(text) = std::str::from_utf8(&r.body) else { return self.refuse(r.id, 400, "not UTF-8") };
        if self.site.machines.is_empty() {
            return self.refuse(r.id, 503, "the machine types are not known yet");
        }
        let mut judged = judge(text, &r.inputs(), &self.settings, &self.site);
        let Some(job) = judged.job.take().filter(|_| judged.faults.accepted()) else {
            return self.refuse(r.id, 400, &told(&judged.faults));
        };
        let class = translate::class(&job, &self.settings);
        let Some((class, team)) = class.map(|c| (c.name.clone(), c.team.clone())) else {
            return self.refuse(r.id, 400, "no class takes the job");
        };
        if !r.may(&team) {
            return self.refuse(r.id, 403, "Permission denied");
        }
        if let Err(text) = self.limits(host, &judged.groups) {
            return self.refuse(r.id, 400, &text);
        }
        let warnings = warnings(&judged.faults);
        let content = Rc::new(content(&job, &judged.groups));
        let key = JobKey::of(&job.namespace, &job.id);
        let wish = Wish::Content { job: Box::new(job), class, team, content, warnings };
        self.begin_change(host, r, key, wish, false);
    }

    /// What natively is a 422: a task that alone is over its team's limit.
    fn limits(&self, host: &ExtensionContext<'_>, groups: &[Planned]) -> Result<(), String> {
        for p in groups {
            if value_len(&job_value(&p.spec, host.wall_ms)) + DESCRIPTION_MARGIN > host.max_value_bytes {
                return Err(format!("group {}: the description is too long", p.group));
            }
            let Some(team) = host.teams.iter().find(|t| t.name == p.spec.team) else {
                return Err(format!("this site has no team {}", p.spec.team));
            };
            if !team.could_run(&p.spec) {
                return Err(format!("group {}: more than the limit of team {}", p.group, team.name));
            }
        }
        Ok(())
    }

    /// Scaling, stopping, dispatching, a launch by hand.
    pub(crate) fn change(&mut self, host: &ExtensionContext<'_>, r: Request) {
        let (Route::Scale(id) | Route::Stop(id) | Route::Dispatch(id) | Route::Force(id)) = &r.route else {
            return;
        };
        let key = JobKey::of(r.namespace(), id);
        let Some(known) = self.heads.get(&key).filter(|k| r.may(&k.head.team)).cloned() else {
            return self.refuse(r.id, 404, "job not found");
        };
        if matches!(r.route, Route::Stop(_)) {
            let purge = r.q("purge") == Some("true");
            return self.begin_change(host, r, key, Wish::Stop { purge }, false);
        }
        let Some(content) = self.contents.get(&known.head.nonce).cloned() else {
            return self.read_content(&key, known.head.nonce.clone(), r);
        };
        let body: Value = match r.body.is_empty() {
            true => json!({}),
            false => match serde_json::from_slice(&r.body) {
                Ok(v) => v,
                Err(e) => return self.refuse(r.id, 400, &format!("not JSON: {e}")),
            },
        };
        match &r.route {
            Route::Scale(_) => {
                let group = body["Target"]["Group"].as_str().unwrap_or("").to_owned();
                let Some(count) = body["Count"].as_u64().filter(|n| *n <= crate::model::MAX_COUNT) else {
                    return self.refuse(r.id, 400, "Count: must be a whole number from 0 to 100000");
                };
                let wish = Wish::Scale { group, count: count as u32 };
                self.begin_change(host, r, key, wish, false);
            }
            Route::Force(_) => {
                let Some(p) = known.head.periodic.as_ref().filter(|_| !known.head.stop) else {
                    return self.refuse(r.id, 400, "the job is not periodic, or it is stopped");
                };
                if p.prohibit_overlap && self.child_runs(host, &known.head) {
                    return self.refuse(r.id, 409, "an earlier launch still runs, and overlap is prohibited");
                }
                let id = format!("{}/periodic-{}", known.head.id, host.wall_ms / 1000);
                let content = child_content(&content, &id, &known.head.id, &BTreeMap::new(), None);
                let wish = Wish::Child { id, content: Rc::new(content), launched: None, token: None };
                self.begin_change(host, r, key, wish, false);
            }
            _ => match self.dispatch(host, &r, &known, &content, &body) {
                Ok((wish, None)) => self.begin_change(host, r, key, wish, false),
                Ok((_, Some(done))) => self.answer(r.id, 200, host.replica.applied_revision, &done),
                Err(text) => self.refuse(r.id, 400, &text),
            },
        }
    }

    /// Checks a dispatch against the job's rules for payload and meta.
    fn dispatch(
        &mut self,
        host: &ExtensionContext<'_>,
        r: &Request,
        known: &Known,
        content: &Content,
        body: &Value,
    ) -> Result<(Wish, Option<Value>), String> {
        let Some(rules) = known.head.param.as_ref().filter(|_| !known.head.stop) else {
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
        // A dispatch that is asked for again under its token is the same one.
        let token =
            r.q("idempotency_token").or_else(|| body["IdempotencyToken"].as_str().filter(|t| !t.is_empty()));
        let token = token.map(|t| JobKey::of(&known.head.key().0, t));
        if let Some(id) = token.as_ref().and_then(|t| self.dispatches.get(t)) {
            let key = JobKey::of(&known.head.namespace, id);
            let stamp = self.heads.get(&key).map_or(0, |k| k.created);
            let done = dispatched(id, &key, stamp);
            return Ok((Wish::Stop { purge: false }, Some(done)));
        }
        let id = format!("{}/dispatch-{}-{:08x}", known.head.id, host.wall_ms / 1000, self.rng.u32(..));
        if id.len() > crate::model::MAX_NAME {
            return Err(format!(
                "the dispatched job's id would have more than {} bytes",
                crate::model::MAX_NAME
            ));
        }
        let content = child_content(content, &id, &known.head.id, &meta, payload);
        Ok((Wish::Child { id, content: Rc::new(content), launched: None, token }, None))
    }

    /// Starts a change; the mirror is up to date.
    pub(crate) fn begin_change(
        &mut self,
        host: &ExtensionContext<'_>,
        request: Request,
        key: JobKey,
        wish: Wish,
        by_leader: bool,
    ) {
        let r = Registration {
            request,
            by_leader,
            key,
            wish,
            step: Step::Again,
            head: None,
            seen: 0,
            parts: Vec::new(),
            written: Vec::new(),
            open: 0,
            tries: 0,
            until: host.now + TIME,
        };
        self.decide(host, r);
    }

    pub(crate) fn give_up(&mut self, r: &Registration, status: u16, text: &str) {
        if r.by_leader {
            self.busy.remove(&r.key);
            return self.dirty_later(&r.key);
        }
        self.refuse(r.request.id, status, text);
    }

    fn dirty_later(&mut self, key: &JobKey) {
        self.dirty.insert(key.clone(), Micros(0));
    }

    /// What is to be written, by the job as it is now.
    fn decide(&mut self, host: &ExtensionContext<'_>, mut r: Registration) {
        r.tries += 1;
        if r.tries > TRIES || host.now > r.until {
            return self.give_up(&r, 503, "others change the job all the time, or the state service is slow");
        }
        let known = self.heads.get(&r.key).cloned();
        r.seen = known.as_ref().map_or(0, |k| k.stamp);
        let (head, content) = match &r.wish {
            Wish::Content { job, class, team, content, .. } => {
                let body: Value = serde_json::from_slice(&r.request.body).unwrap_or(Value::Null);
                if body["EnforceIndex"] == true {
                    let want = body["JobModifyIndex"].as_u64().unwrap_or(0);
                    if want != r.seen {
                        let text = match r.seen {
                            0 => format!("Enforcing job modify index {want}: job does not exist"),
                            s => format!(
                                "Enforcing job modify index {want}: job exists with conflicting job modify index: {s}"
                            ),
                        };
                        return self.give_up(&r, 409, &text);
                    }
                }
                let (hash, shape) = hashes(content);
                if let Some(k) = &known
                    && !k.head.stop
                    && k.head.hash == hash
                {
                    let answer = registered(&r.key, &k.head, k.stamp, &r.wish);
                    return self.answer(r.request.id, 200, host.replica.applied_revision, &answer);
                }
                match self.next_head(host, known.as_ref(), job, (class, team), (hash, shape)) {
                    Ok(h) => (h, Some(content.clone())),
                    Err(text) => return self.give_up(&r, 503, &text),
                }
            }
            Wish::Scale { group, count } => {
                let Some(k) = known.filter(|k| !k.head.stop && !k.head.template()) else {
                    return self.give_up(
                        &r,
                        400,
                        "a job that is stopped, periodic or parameterized can't be scaled",
                    );
                };
                let Some(old) = self.contents.get(&k.head.nonce).cloned() else {
                    return self.give_up(&r, 503, "the job changed meanwhile: come back");
                };
                let mut h = Head::clone(&k.head);
                let Some(at) = h.groups.iter().position(|g| g.name == *group) else {
                    return self.give_up(&r, 400, &format!("Target.Group: the job has no group {group}"));
                };
                if h.groups[at].count == *count {
                    let answer = registered(&r.key, &k.head, k.stamp, &r.wish);
                    return self.answer(r.request.id, 200, host.replica.applied_revision, &answer);
                }
                let total: u64 = h.groups.iter().map(|g| g.count as u64).sum::<u64>()
                    - h.groups[at].count as u64
                    + *count as u64;
                let class = self.settings.classes.iter().find(|c| c.name == h.class);
                if let Some(c) = class.filter(|c| total > c.max_count as u64) {
                    let text =
                        format!("{total} repeats over all groups, class {} allows {}", c.name, c.max_count);
                    return self.give_up(&r, 400, &text);
                }
                // One that is over can't be scaled: the group begins anew.
                let job = host.replica.jobs.get(&JobId(h.groups[at].job));
                if job.is_some_and(|j| j.phase != Phase::Active) {
                    h.groups[at].job = self.native();
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
                (h.hash, h.shape) = hashes(&content);
                advance(&mut h, &k, host.wall_ms);
                (h, Some(Rc::new(content)))
            }
            Wish::Stop { purge } => {
                let Some(k) = known else { return self.give_up(&r, 404, "job not found") };
                if k.head.stop && (k.head.purge || !purge) {
                    let answer = registered(&r.key, &k.head, k.stamp, &r.wish);
                    return self.answer(r.request.id, 200, host.replica.applied_revision, &answer);
                }
                let mut h = Head::clone(&k.head);
                (h.stop, h.purge) = (true, h.purge || *purge);
                h.created = Some(k.created);
                (h, None)
            }
            Wish::Child { id, content, .. } => {
                let Some(k) = known.filter(|k| !k.head.stop) else {
                    return self.give_up(&r, 409, "the job was stopped meanwhile");
                };
                let parent = &k.head;
                let (hash, shape) = hashes(content);
                let groups = parent.groups.iter().map(|g| (g.name.clone(), g.count)).collect::<Vec<_>>();
                let h = Head {
                    id: id.clone(),
                    name: id.clone(),
                    version: 0,
                    hash,
                    shape,
                    at: host.wall_ms,
                    created: None,
                    stop: false,
                    groups: groups
                        .into_iter()
                        .map(|(name, count)| GroupHead { name, count, job: self.native() })
                        .collect(),
                    old: Vec::new(),
                    periodic: None,
                    param: None,
                    parent: Some(parent.id.clone()),
                    earlier: Vec::new(),
                    ..Head::clone(parent)
                };
                (h, Some(content.clone()))
            }
        };
        self.prepare(host, r, head, content);
    }

    /// A job's next head: the same native jobs where only counts differ, new
    /// ones otherwise.
    fn next_head(
        &mut self,
        host: &ExtensionContext<'_>,
        known: Option<&Known>,
        job: &Job,
        (class, team): (&str, &str),
        (hash, shape): (String, String),
    ) -> Result<Head, String> {
        let mut head = Head {
            namespace: job.namespace.clone(),
            id: job.id.clone(),
            name: job.name.clone(),
            version: 0,
            hash,
            shape,
            nonce: String::new(),
            at: host.wall_ms,
            created: None,
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
                .map(|g| GroupHead { name: g.name.clone(), count: g.count, job: self.native() })
                .collect(),
            old: Vec::new(),
            periodic: job.periodic.as_ref().map(|p| PeriodicHead {
                crons: p.crons.clone(),
                time_zone: p.time_zone.clone(),
                prohibit_overlap: p.prohibit_overlap,
                enabled: p.enabled,
            }),
            param: job.parameterized.as_ref().map(|p| ParamHead {
                payload: payload_word(p.payload).into(),
                required: p.required.clone(),
                optional: p.optional.clone(),
            }),
            parent: None,
            earlier: Vec::new(),
        };
        let Some(k) = known else { return Ok(head) };
        let active = |id: u64| host.replica.jobs.get(&JobId(id)).is_none_or(|j| j.phase == Phase::Active);
        if !k.head.stop && k.head.shape == head.shape && k.head.groups.iter().all(|g| active(g.job)) {
            for g in &mut head.groups {
                if let Some(old) = k.head.groups.iter().find(|x| x.name == g.name) {
                    g.job = old.job;
                }
            }
            head.old = k.head.old.clone();
        } else {
            // Of what is gone for good nothing has to be waited for.
            let gone = |id: &JobId| {
                host.replica.jobs.get(id).is_some_and(|j| match j.phase {
                    Phase::Active => false,
                    Phase::Done => true,
                    Phase::Cancelled => j.fully_stopped,
                })
            };
            head.old = k.head.natives().filter(|id| !gone(id)).map(|id| id.0).collect();
            if head.old.len() > OLD_KEPT {
                return Err("earlier versions of the job are still ending".into());
            }
        }
        advance(&mut head, k, host.wall_ms);
        Ok(head)
    }

    /// Names the parts and begins to write.
    fn prepare(
        &mut self,
        host: &ExtensionContext<'_>,
        mut r: Registration,
        mut head: Head,
        content: Option<Rc<Content>>,
    ) {
        let target = head.key();
        r.parts.clear();
        r.written.clear();
        if let Some(c) = content {
            let text = serde_json::to_string(&*c).unwrap_or_default();
            let parts = cut(&text, host.max_value_bytes.saturating_sub(64));
            // The head's conditions name every part.
            let most = (host.max_txn_writes * 4).saturating_sub(6);
            if text.len() > MAX_CONTENT || parts.len() > most {
                let text = format!(
                    "the job takes {} bytes in {} parts, at most {MAX_CONTENT} in {most}",
                    text.len(),
                    parts.len()
                );
                return self.give_up(&r, 400, &text);
            }
            head.nonce = format!("{:016x}", self.rng.u64(..));
            for (i, p) in parts.into_iter().enumerate() {
                r.parts.push((names::part(&target, &head.nonce, i), p));
            }
            self.keep_content(&head.nonce, c);
        }
        // A head of longer values than may be written now gives up its oldest versions.
        let too_long = |head: &Head| value_len(&json!(head)) + HEAD_MARGIN > host.max_value_bytes;
        while too_long(&head) && head.earlier.pop().is_some() {}
        if too_long(&head) {
            return self.give_up(&r, 400, "the job has too many groups for a record of the state service");
        }
        r.head = Some(head);
        self.go_on(host, r);
    }

    /// Writes the next parts, or the head.
    fn go_on(&mut self, host: &ExtensionContext<'_>, mut r: Registration) {
        if host.now > r.until {
            return self.give_up(&r, 503, "the state service is slow");
        }
        let done = r.written.len();
        if done < r.parts.len() {
            r.step = Step::Parts;
            let (mut size, mut writes) = (200, Vec::new());
            for (name, text) in r.parts[done..].iter().take(host.max_txn_writes) {
                size += text.len() * 2 + 300;
                if size > 50_000 && !writes.is_empty() {
                    break;
                }
                writes.push(put(name, json!(text)));
            }
            r.open = writes.len();
            let ticket = self.ticket(Pending::Register(Box::new(r)));
            return self.out.push(write(ticket, Transaction { preconditions: Vec::new(), writes }, false));
        }
        r.step = Step::Head;
        let Some(head) = &r.head else { return };
        let target = head.key();
        let mut conditions = vec![when(names::head(&r.key), r.seen)];
        let mut writes = vec![put(&names::head(&target), json!(head))];
        conditions.extend(r.written.iter().map(|(name, stamp)| when(name.clone(), *stamp)));
        if let Wish::Child { launched, token, id, .. } = &r.wish {
            conditions.push(when(names::head(&target), 0));
            if let Some(ms) = launched {
                let stamp = self.launches.get(&r.key).map_or(0, |l| l.1);
                conditions.push(when(names::launch(&r.key), stamp));
                writes.push(put(&names::launch(&r.key), json!(ms)));
            }
            if let Some(t) = token {
                conditions.push(when(names::token(t), 0));
                writes.push(put(&names::token(t), json!(id)));
            }
        }
        let by_leader = r.by_leader;
        let ticket = self.ticket(Pending::Register(Box::new(r)));
        self.out.push(write(ticket, Transaction { preconditions: conditions, writes }, by_leader));
    }

    /// A write of a change ended.
    pub(crate) fn register_written(
        &mut self,
        host: &ExtensionContext<'_>,
        mut r: Registration,
        result: &CallResult,
    ) {
        match (r.step, revision(result), result) {
            (Step::Parts, Some(stamp), _) => {
                let done = r.written.len();
                let open = r.open;
                let names: Vec<String> = r.parts[done..done + open].iter().map(|p| p.0.clone()).collect();
                r.written.extend(names.into_iter().map(|n| (n, stamp)));
                self.go_on(host, r);
            }
            // Written twice does no harm: the head's conditions see which.
            (Step::Parts, None, _) => self.retry_parts(host, r),
            (_, Some(stamp), _) => self.finish(host, &r, stamp),
            (_, None, CallResult::NotSent) => self.give_up(&r, 503, "the state service can't be asked now"),
            (_, None, CallResult::Response { status: 409, .. }) => self.look_again(r, Step::Again),
            (_, None, CallResult::Unknown) => self.look_again(r, Step::Confirm),
            (_, None, CallResult::Response { .. }) => {
                self.give_up(&r, 503, "the state service does not take it now")
            }
        }
    }

    fn retry_parts(&mut self, host: &ExtensionContext<'_>, mut r: Registration) {
        r.tries += 1;
        if r.tries > TRIES {
            return self.give_up(&r, 503, "the state service did not confirm it");
        }
        self.go_on(host, r);
    }

    fn look_again(&mut self, mut r: Registration, step: Step) {
        r.step = step;
        let ticket = self.ticket(Pending::Register(Box::new(r)));
        self.out.push(ExtensionOutput::ReadBarrier(ticket));
    }

    /// The mirror is up to date again.
    pub(crate) fn register_proved(&mut self, host: &ExtensionContext<'_>, r: Registration) {
        if r.step == Step::Again {
            return self.decide(host, r);
        }
        // The answer was lost: is it there?
        let target = r.head.as_ref().map(Head::key);
        let there =
            target.as_ref().and_then(|k| self.heads.get(k)).filter(|k| Some(&*k.head) == r.head.as_ref());
        match there.map(|k| k.stamp) {
            Some(stamp) => self.finish(host, &r, stamp),
            // It may still come: only the state service could tell, later.
            None => self.give_up(&r, 503, "the state service did not confirm it: ask again"),
        }
    }

    /// It is recorded.
    fn finish(&mut self, host: &ExtensionContext<'_>, r: &Registration, stamp: u64) {
        let Some(head) = &r.head else { return };
        log::info!("{} {}: version {} recorded at {stamp}", head.namespace, head.id, head.version);
        if r.by_leader {
            self.busy.remove(&r.key);
            return self.dirty_later(&r.key);
        }
        let answer = match &r.wish {
            Wish::Child { id, .. } => dispatched(id, &head.key(), stamp),
            w => registered(&r.key, head, stamp, w),
        };
        self.answer(r.request.id, 200, host.replica.applied_revision.max(stamp), &answer);
    }

    /// Whether a job that this one launched still runs.
    pub(crate) fn child_runs(&self, host: &ExtensionContext<'_>, parent: &Head) -> bool {
        self.heads.values().any(|k| {
            k.head.parent.as_ref() == Some(&parent.id)
                && k.head.namespace == parent.namespace
                && views::status(host, &k.head) != "dead"
        })
    }
}

/// A version more than the one known.
fn advance(head: &mut Head, known: &Known, wall_ms: u64) {
    let k = &known.head;
    head.version = k.version + 1;
    head.created = Some(known.created);
    head.at = wall_ms;
    head.earlier = k.earlier.clone();
    head.earlier.insert(0, Earlier { version: k.version, nonce: k.nonce.clone(), at: k.at });
    head.earlier.truncate(VERSIONS_KEPT);
}

/// A condition on a name below the guest's space.
pub(crate) fn when(name: String, stamp: u64) -> Precondition {
    Precondition { key: format!("{}{name}", keys::EXTENSION_PREFIX), revision: stamp }
}

/// A put below the guest's space.
pub(crate) fn put(name: &str, v: Value) -> Write {
    Write::Put { key: format!("{}{name}", keys::EXTENSION_PREFIX), value: v, lease: None }
}

/// A removal below the guest's space.
pub(crate) fn remove(name: &str) -> Write {
    Write::Remove { key: format!("{}{name}", keys::EXTENSION_PREFIX) }
}

fn warnings(faults: &Faults) -> String {
    let lines = faults.list.iter().filter(|f| f.severity == Severity::Warning).map(|f| f.to_string());
    lines.collect::<Vec<_>>().join("\n")
}

/// The content of a job that another one makes.
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

fn registered(key: &JobKey, head: &Head, stamp: u64, wish: &Wish) -> Value {
    let warnings = match wish {
        Wish::Content { warnings, .. } => warnings.as_str(),
        _ => "",
    };
    json!({"EvalID": views::evaluation_id(key, head.version), "EvalCreateIndex": stamp,
        "JobModifyIndex": stamp, "Warnings": warnings, "Index": stamp})
}

fn dispatched(id: &str, key: &JobKey, stamp: u64) -> Value {
    json!({"DispatchedJobID": id, "EvalID": views::evaluation_id(key, 0), "EvalCreateIndex": stamp,
        "JobCreateIndex": stamp, "Index": stamp})
}
