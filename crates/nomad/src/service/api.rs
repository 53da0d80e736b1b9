//! Requests: what is asked, by whom, and which answer it gets.
use super::records::JobKey;
use super::watch::Stream;
use super::{MAX_PENDING, Pending, Service, tokens, views};
use crate::tree::{Faults, Severity};
use crate::{Inputs, hcl, model, translate};
use gorseshore_core::RequestId;
use gorseshore_core::extension::{ExtensionContext, ExtensionOutput};
use gorseshore_protocol::ids::Micros;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Longest wait of a blocking query, and the one without a `wait`.
const LONGEST_WAIT: Micros = Micros::secs(600);
const USUAL_WAIT: Micros = Micros::secs(300);
/// Most rows of a page.
const PAGE: usize = 1000;

/// What a blocking query watches.
#[derive(Debug, Clone)]
pub(crate) enum Scope {
    /// One job.
    Job(JobKey),
    /// Everything.
    All,
}

/// A request that was read.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub id: RequestId,
    /// Team of its token; none if no tokens are set.
    pub team: Option<String>,
    pub route: Route,
    pub query: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub index: Option<u64>,
    pub wait: Micros,
    /// It waited for a change already.
    pub waited: bool,
}

/// What is asked.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Route {
    Jobs,
    Register,
    Parse,
    Validate,
    Job(String),
    JobPart(String, Part),
    Scale(String),
    Plan(String),
    Evaluate(String),
    Dispatch(String),
    Force(String),
    Stop(String),
    Allocations,
    Allocation(String),
    Evaluations,
    Evaluation(String),
    Nodes,
    Node(String),
    Namespaces,
    Namespace(String),
    Regions,
    Leader,
    Peers,
    Agent,
    Health,
    Events,
}

/// What is asked of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Part {
    Versions,
    Allocations,
    Evaluations,
    Summary,
    Scale,
}

/// Why a path has no route.
#[derive(Debug, PartialEq)]
pub(crate) enum NoRoute {
    Unknown,
    Method,
    Unserved(&'static str),
}

/// Parts of the interface that are known and not served, and why.
const UNSERVED: &[(&str, &str)] = &[
    ("acl", "tokens are set in the operators' file"),
    ("client", "logs, files and commands of tasks are not kept yet"),
    ("deployments", "a new version replaces the old one as a whole"),
    ("deployment", "a new version replaces the old one as a whole"),
    ("metrics", "they are in the logs"),
    ("node_pools", "there is one pool, default"),
    ("node_pool", "there is one pool, default"),
    ("operator", "the cluster is run by its settings"),
    ("plugins", "there are no volumes"),
    ("plugin", "there are no volumes"),
    ("quotas", "teams' limits are in the platform's settings"),
    ("quota", "teams' limits are in the platform's settings"),
    ("recommendations", "there is no autoscaler"),
    ("scaling", "there is no autoscaler; a job's scale is served"),
    ("search", "jobs are found by prefix"),
    ("secrets", "there is no secret store"),
    ("sentinel", "classes and their bounds are in the operators' file"),
    ("services", "there is no service registry"),
    ("service", "there is no service registry"),
    ("system", "what is over is cleared up by itself"),
    ("var", "there is no store of variables"),
    ("vars", "there is no store of variables"),
    ("volumes", "there are no volumes"),
    ("volume", "there are no volumes"),
];

/// The route of a request.
pub(crate) fn route(method: &str, path: &str) -> Result<Route, NoRoute> {
    let Some(rest) = path.strip_prefix("/v1/") else { return Err(NoRoute::Unknown) };
    let decode = |s: &str| percent_decode_str(s).decode_utf8_lossy().into_owned();
    let segments: Vec<&str> = rest.trim_end_matches('/').split('/').collect();
    let get = method == "GET";
    let put = method == "POST" || method == "PUT";
    let only = |ok: bool, r: Route| if ok { Ok(r) } else { Err(NoRoute::Method) };
    match &segments[..] {
        ["jobs"] if put => Ok(Route::Register),
        ["jobs"] => only(get, Route::Jobs),
        ["jobs", "parse"] => only(put, Route::Parse),
        ["validate", "job"] => only(put, Route::Validate),
        ["job", middle @ .., last] => {
            // An id may hold slashes, written as they are or as %2F.
            let of = |parts: &[&str]| decode(&parts.join("/"));
            if middle.is_empty() {
                return match method {
                    "GET" => Ok(Route::Job(decode(last))),
                    "DELETE" => Ok(Route::Stop(decode(last))),
                    _ => only(put, Route::Register),
                };
            }
            if let [id @ .., "periodic"] = middle
                && *last == "force"
                && !id.is_empty()
            {
                return only(put, Route::Force(of(id)));
            }
            let id = of(middle);
            let part = |p| Route::JobPart(id.clone(), p);
            match *last {
                "versions" => only(get, part(Part::Versions)),
                "allocations" => only(get, part(Part::Allocations)),
                "evaluations" => only(get, part(Part::Evaluations)),
                "summary" => only(get, part(Part::Summary)),
                "scale" if put => Ok(Route::Scale(id)),
                "scale" => only(get, part(Part::Scale)),
                "plan" => only(put, Route::Plan(id)),
                "evaluate" => only(put, Route::Evaluate(id)),
                "dispatch" => only(put, Route::Dispatch(id)),
                "deployments" | "deployment" => {
                    Err(NoRoute::Unserved("a new version replaces the old one as a whole"))
                }
                "revert" | "stable" => Err(NoRoute::Unserved("register the earlier version's file again")),
                "submission" => {
                    Err(NoRoute::Unserved("the file itself is not kept, only the job that it makes"))
                }
                "services" | "actions" | "action" => {
                    Err(NoRoute::Unserved("tasks have no services and actions"))
                }
                _ => {
                    let id = of(&segments[1..]);
                    match method {
                        "GET" => Ok(Route::Job(id)),
                        "DELETE" => Ok(Route::Stop(id)),
                        _ => only(put, Route::Register),
                    }
                }
            }
        }
        ["allocations"] => only(get, Route::Allocations),
        ["allocation", id] => only(get, Route::Allocation(decode(id))),
        ["allocation", _, "stop"] => {
            Err(NoRoute::Unserved("one repeat can't be stopped by itself yet: scale the job, or stop it"))
        }
        ["allocation", ..] => Err(NoRoute::Unserved("tasks have no services and checks")),
        ["evaluations"] => only(get, Route::Evaluations),
        ["evaluation", id] => only(get, Route::Evaluation(decode(id))),
        ["evaluation", ..] => Err(NoRoute::Unserved("a job's allocations tell the same")),
        ["nodes"] => only(get, Route::Nodes),
        ["node", id] => only(get, Route::Node(decode(id))),
        ["node", ..] => Err(NoRoute::Unserved("machines are drained by the scheduler")),
        ["namespaces"] => only(get, Route::Namespaces),
        ["namespace", name] => only(get, Route::Namespace(decode(name))),
        ["regions"] => only(get, Route::Regions),
        ["status", "leader"] => only(get, Route::Leader),
        ["status", "peers"] => only(get, Route::Peers),
        ["agent", "self"] => only(get, Route::Agent),
        ["agent", "health"] => only(get, Route::Health),
        ["agent", ..] => Err(NoRoute::Unserved("a controller is run by its settings")),
        ["event", "stream"] => only(get, Route::Events),
        [first, ..] => match UNSERVED.iter().find(|(name, _)| name == first) {
            Some((_, why)) => Err(NoRoute::Unserved(why)),
            None => Err(NoRoute::Unknown),
        },
        [] => Err(NoRoute::Unknown),
    }
}

fn query_of(path: &str) -> BTreeMap<String, String> {
    let text = path.split_once('?').map_or("", |x| x.1);
    let decode = |s: &str| percent_decode_str(&s.replace('+', " ")).decode_utf8_lossy().into_owned();
    text.split('&')
        .filter(|p| !p.is_empty())
        .map(|p| p.split_once('=').unwrap_or((p, "")))
        .map(|(k, v)| (decode(k), decode(v)))
        .collect()
}

impl Request {
    /// A query's value.
    pub fn q(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str).filter(|v| !v.is_empty())
    }
    /// The namespace that is asked for.
    pub fn namespace(&self) -> &str {
        self.q("namespace").unwrap_or("default")
    }
    /// What the request says of a job in its body.
    pub fn inputs(&self) -> Inputs {
        Inputs { namespace: self.q("namespace").map(str::to_owned), ..Inputs::default() }
    }
    /// Whether a team's job may be seen.
    pub fn may(&self, team: &str) -> bool {
        self.team.as_deref().is_none_or(|t| t == team)
    }
}

impl Service {
    pub(crate) fn request(
        &mut self,
        host: &ExtensionContext<'_>,
        id: RequestId,
        method: &str,
        path: &str,
        token: Option<&str>,
        body: Vec<u8>,
    ) {
        let bare = path.split('?').next().unwrap_or("");
        let route = match route(method, bare) {
            Ok(r) => r,
            Err(NoRoute::Unknown) => return self.refuse(id, 404, "there is no such path"),
            Err(NoRoute::Method) => return self.refuse(id, 405, "the path has another method"),
            Err(NoRoute::Unserved(why)) => return self.refuse(id, 501, &format!("not served: {why}")),
        };
        let open = matches!(route, Route::Leader | Route::Peers | Route::Health | Route::Regions);
        let team = match token {
            Some(t) => tokens::team(&self.settings.tokens, t).map(str::to_owned),
            None => None,
        };
        if !self.settings.tokens.is_empty() && team.is_none() && !open {
            return self.refuse(id, 403, "Permission denied");
        }
        let query = query_of(path);
        let index = match query.get("index").map(|v| v.parse::<u64>()) {
            Some(Err(_)) => return self.refuse(id, 400, "index: must be a whole number"),
            Some(Ok(i)) => Some(i),
            None => None,
        };
        let wait = match query.get("wait").map(|v| model::span(&crate::tree::Datum::Text(v.clone()))) {
            Some(Err(e)) => return self.refuse(id, 400, &format!("wait: {e}")),
            Some(Ok(w)) => w.min(LONGEST_WAIT),
            None => USUAL_WAIT,
        };
        let r = Request { id, team, route, query, body, index, wait, waited: false };
        match r.route {
            Route::Health => {
                let ok = host.state_loaded && !host.state_unavailable;
                let text = if ok { "ok" } else { "the state service can't be asked" };
                let body = json!({"server": {"ok": ok, "message": text}});
                return self.answer(id, if ok { 200 } else { 500 }, 0, &body);
            }
            Route::Parse => return self.parse(&r),
            Route::Validate => return self.validate(&r),
            _ => {}
        }
        if self.pending.len() >= MAX_PENDING {
            return self.refuse(id, 429, "too many requests are under way here");
        }
        // What isn't final needs the proof that nothing newer is missing.
        let ticket = self.ticket(Pending::Request(r));
        self.out.push(ExtensionOutput::ReadBarrier(ticket));
    }

    /// Answers a request; the mirror is up to date.
    pub(crate) fn serve(&mut self, host: &ExtensionContext<'_>, r: Request) {
        let scope = match &r.route {
            Route::Job(j) | Route::JobPart(j, _) => Scope::Job(JobKey::of(r.namespace(), j)),
            _ => Scope::All,
        };
        let reads = !matches!(
            r.route,
            Route::Register
                | Route::Scale(_)
                | Route::Plan(_)
                | Route::Evaluate(_)
                | Route::Dispatch(_)
                | Route::Force(_)
                | Route::Stop(_)
                | Route::Events
        );
        if reads && self.block(host, &r, &scope) {
            return;
        }
        let index = host.replica.applied_revision;
        let known = |s: &Service, j: &str| {
            let key = JobKey::of(r.namespace(), j);
            s.heads.get(&key).filter(|k| r.may(&k.head.team)).cloned().map(|k| (key, k))
        };
        match &r.route {
            Route::Register => self.register(host, r),
            Route::Stop(_) | Route::Scale(_) | Route::Dispatch(_) | Route::Force(_) => self.change(host, r),
            Route::Plan(_) => self.plan(host, &r),
            Route::Jobs => {
                let rows: Vec<(String, Value)> = self
                    .seen(&r)
                    .filter(|k| k.head.id.starts_with(r.q("prefix").unwrap_or("")))
                    .map(|k| (format!("{}.{}", k.head.namespace, k.head.id), views::job_stub(host, k)))
                    .collect();
                self.page(&r, index, rows);
            }
            Route::Job(j) => match known(self, j) {
                None => self.refuse(r.id, 404, "job not found"),
                Some((key, k)) => {
                    let nonce = k.head.nonce.clone();
                    match self.contents.get(&nonce).cloned() {
                        Some(c) => self.answer(r.id, 200, index, &views::job(host, &k, &c)),
                        None => self.read_content(&key, nonce, r.clone()),
                    }
                }
            },
            Route::JobPart(j, part) => {
                let Some((key, k)) = known(self, j) else { return self.refuse(r.id, 404, "job not found") };
                let body = match part {
                    Part::Versions => {
                        let nonce = k.head.nonce.clone();
                        let Some(c) = self.contents.get(&nonce).cloned() else {
                            return self.read_content(&key, nonce, r.clone());
                        };
                        views::versions(host, &k, &c)
                    }
                    Part::Allocations => Value::Array(views::allocations(host, &k)),
                    Part::Evaluations => json!([views::evaluation(host, &key, &k)]),
                    Part::Summary => views::summary(host, &k),
                    Part::Scale => views::scale_status(host, &k),
                };
                self.answer(r.id, 200, index, &body);
            }
            Route::Evaluate(j) => match known(self, j) {
                None => self.refuse(r.id, 404, "job not found"),
                // The scheduler looks at every job all the time.
                Some((key, k)) => {
                    let eval = views::evaluation_id(&key, k.head.version);
                    self.answer(
                        r.id,
                        200,
                        index,
                        &json!({"EvalID": eval, "EvalCreateIndex": k.stamp,
                        "JobModifyIndex": k.stamp, "Index": index}),
                    );
                }
            },
            Route::Allocations => {
                let prefix = r.q("prefix").unwrap_or("").to_owned();
                let rows: Vec<(String, Value)> = self
                    .seen(&r)
                    .flat_map(|k| views::allocations(host, k))
                    .map(|v| (v["ID"].as_str().unwrap_or("").to_owned(), v))
                    .filter(|(id, _)| id.starts_with(&prefix))
                    .collect();
                self.page(&r, index, rows);
            }
            Route::Allocation(id) => {
                let found = views::allocation_of(id).and_then(|(job, i)| {
                    let key = self.natives.get(&job)?;
                    let k = self.heads.get(key).filter(|k| r.may(&k.head.team))?;
                    views::allocations(host, k).into_iter().find(|v| v["ID"] == **id).map(|v| (v, i))
                });
                match found {
                    Some((v, _)) => self.answer(r.id, 200, index, &v),
                    None => self.refuse(r.id, 404, "alloc not found"),
                }
            }
            Route::Evaluations => {
                let rows: Vec<(String, Value)> = self
                    .seen(&r)
                    .map(|k| views::evaluation(host, &k.head.key(), k))
                    .map(|v| (v["ID"].as_str().unwrap_or("").to_owned(), v))
                    .collect();
                self.page(&r, index, rows);
            }
            Route::Evaluation(id) => {
                let found = self
                    .seen(&r)
                    .map(|k| views::evaluation(host, &k.head.key(), k))
                    .find(|v| v["ID"] == **id);
                match found {
                    Some(v) => self.answer(r.id, 200, index, &v),
                    None => self.refuse(r.id, 404, "eval not found"),
                }
            }
            Route::Nodes => {
                let prefix = r.q("prefix").unwrap_or("").to_owned();
                let rows = host.replica.machines.iter().map(|(id, m)| (id.to_string(), views::node(id, m)));
                let rows: Vec<_> = rows.filter(|(id, _)| id.starts_with(&prefix)).collect();
                self.page(&r, index, rows);
            }
            Route::Node(id) => {
                let found = host.replica.machines.iter().find(|(m, _)| m.as_str() == id);
                match found.map(|(id, m)| views::node(id, m)) {
                    Some(v) => self.answer(r.id, 200, index, &v),
                    None => self.refuse(r.id, 404, "node not found"),
                }
            }
            Route::Namespaces => {
                let mut names: Vec<String> = self.seen_all(&r).map(|k| k.head.namespace.clone()).collect();
                names.push("default".into());
                names.sort();
                names.dedup();
                let rows = names.into_iter().map(|n| (n.clone(), views::namespace(&n))).collect();
                self.page(&r, index, rows);
            }
            Route::Namespace(n) => {
                let there = n == "default" || self.seen_all(&r).any(|k| k.head.namespace == *n);
                match there {
                    true => self.answer(r.id, 200, index, &views::namespace(n)),
                    false => self.refuse(r.id, 404, "namespace not found"),
                }
            }
            Route::Regions => {
                let region = self.settings.region.clone();
                self.answer(r.id, 200, index, &json!([region]));
            }
            Route::Leader => {
                let leader = host.leader.unwrap_or("").to_owned();
                self.answer(r.id, 200, index, &json!(leader));
            }
            Route::Peers => self.answer(r.id, 200, index, &json!([host.node_name])),
            Route::Agent => {
                let region = self.settings.region.clone();
                let body = json!({"config": {"Region": region, "Version": {"Version": env!("CARGO_PKG_VERSION")}},
                    "member": {"Name": host.node_name, "Status": "alive",
                        "Tags": {"region": region, "role": "gorseshore"}},
                    "stats": {"gorseshore": {"jobs": self.heads.len().to_string(),
                        "leader": host.leads.to_string()}}});
                self.answer(r.id, 200, index, &body);
            }
            Route::Events => {
                let topics = r
                    .query
                    .get("topic")
                    .map(|t| t.split(',').map(|t| t.split_once(':').unwrap_or((t, "*"))).collect::<Vec<_>>())
                    .unwrap_or_default();
                let topics = topics.into_iter().map(|(t, k)| (t.to_owned(), k.to_owned())).collect();
                let stream = Stream {
                    team: r.team.clone(),
                    namespace: r.namespace().to_owned(),
                    topics,
                    beat: host.now,
                };
                self.open_stream(r.id, stream, r.index.unwrap_or(0));
            }
            Route::Parse | Route::Validate | Route::Health => {}
        }
    }

    /// Jobs of the namespace that is asked for, as far as the token sees them.
    fn seen<'a>(&'a self, r: &'a Request) -> impl Iterator<Item = &'a super::Known> + 'a {
        let namespace = r.namespace();
        self.seen_all(r).filter(move |k| namespace == "*" || k.head.namespace == namespace)
    }

    fn seen_all<'a>(&'a self, r: &'a Request) -> impl Iterator<Item = &'a super::Known> + 'a {
        self.heads.values().filter(|k| r.may(&k.head.team))
    }

    /// A page of rows by their keys; `next_token` is the key of the next row.
    fn page(&mut self, r: &Request, index: u64, mut rows: Vec<(String, Value)>) {
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        if let Some(from) = r.q("next_token") {
            rows.retain(|(k, _)| k.as_str() >= from);
        }
        let per = match r.q("per_page").map(str::parse::<usize>) {
            None => PAGE,
            Some(Ok(n)) if n > 0 => n.min(PAGE),
            Some(_) => return self.refuse(r.id, 400, "per_page: must be a whole number from 1"),
        };
        let next = rows.get(per).map(|(k, _)| k.clone());
        let body: Vec<Value> = rows.into_iter().take(per).map(|(_, v)| v).collect();
        let headers = next.map(|n| ("X-Nomad-NextToken", n)).into_iter().collect();
        self.answer_with(r.id, 200, index, headers, &Value::Array(body));
    }

    pub(crate) fn read_content(&mut self, key: &JobKey, nonce: String, request: Request) {
        let prefix = super::records::names::parts(key, &nonce);
        let ticket = self.ticket(Pending::Content { request, nonce });
        self.out.push(ExtensionOutput::Read(ticket, prefix));
    }

    /// `POST /v1/jobs/parse`: a file as the interface has it.
    fn parse(&mut self, r: &Request) {
        let body: Value = match serde_json::from_slice(&r.body) {
            Ok(v) => v,
            Err(e) => return self.refuse(r.id, 400, &format!("not JSON: {e}")),
        };
        let Some(text) = body["JobHCL"].as_str() else { return self.refuse(r.id, 400, "JobHCL: is missing") };
        let mut inputs = Inputs::default();
        if let Some(v) = body["Variables"].as_str() {
            inputs.files.push(("Variables".into(), v.to_owned()));
        }
        let mut faults = Faults::default();
        let job = hcl::read(text, &inputs, &mut faults).and_then(|b| model::read(&b, &mut faults));
        faults.place(text);
        match job.filter(|_| faults.accepted()) {
            Some(j) => self.answer(r.id, 200, 0, &super::records::api_job(&j)),
            None => self.refuse(r.id, 400, &told(&faults)),
        }
    }

    /// `POST /v1/validate/job`.
    fn validate(&mut self, r: &Request) {
        let Ok(text) = std::str::from_utf8(&r.body) else { return self.refuse(r.id, 400, "not UTF-8") };
        let j = crate::judge(text, &r.inputs(), &self.settings, &self.site);
        let (errors, warnings): (Vec<_>, Vec<_>) =
            j.faults.list.iter().partition(|f| f.severity != Severity::Warning);
        let show = |l: &[&crate::tree::Fault]| l.iter().map(|f| f.to_string()).collect::<Vec<_>>();
        let (errors, warnings) = (show(&errors), show(&warnings));
        let body = json!({"DriverConfigValidated": true, "ValidationErrors": errors,
            "Error": errors.join("\n"), "Warnings": warnings.join("\n")});
        self.answer(r.id, 200, 0, &body);
    }

    /// `POST /v1/job/ID/plan`: what registering would do; nothing is written.
    fn plan(&mut self, host: &ExtensionContext<'_>, r: &Request) {
        let Ok(text) = std::str::from_utf8(&r.body) else { return self.refuse(r.id, 400, "not UTF-8") };
        let j = crate::judge(text, &r.inputs(), &self.settings, &self.site);
        let Some(job) = j.job.as_ref().filter(|_| j.accepted()) else {
            return self.refuse(r.id, 400, &told(&j.faults));
        };
        let team = translate::class(job, &self.settings).map(|c| c.team.clone()).unwrap_or_default();
        if !r.may(&team) {
            return self.refuse(r.id, 403, "Permission denied");
        }
        let key = JobKey::of(&job.namespace, &job.id);
        let body = views::plan(host, self.heads.get(&key), &j.groups, &j.faults);
        self.answer(r.id, 200, host.replica.applied_revision, &body);
    }
}

/// All faults as a text.
pub(crate) fn told(faults: &Faults) -> String {
    let lines: Vec<String> = faults.list.iter().map(|f| f.to_string()).collect();
    lines.join("\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_have_their_routes() {
        let job = |s: &str| s.to_owned();
        let cases: [(&str, &str, Result<Route, NoRoute>); 22] = [
            ("GET", "/v1/jobs", Ok(Route::Jobs)),
            ("PUT", "/v1/jobs", Ok(Route::Register)),
            ("POST", "/v1/job/a", Ok(Route::Register)),
            ("GET", "/v1/job/a", Ok(Route::Job(job("a")))),
            ("GET", "/v1/job/a%2Fdispatch-1", Ok(Route::Job(job("a/dispatch-1")))),
            ("GET", "/v1/job/a/dispatch-1", Ok(Route::Job(job("a/dispatch-1")))),
            ("GET", "/v1/job/a/dispatch-1/summary", Ok(Route::JobPart(job("a/dispatch-1"), Part::Summary))),
            ("GET", "/v1/job/summary", Ok(Route::Job(job("summary")))),
            ("DELETE", "/v1/job/a", Ok(Route::Stop(job("a")))),
            ("POST", "/v1/job/a/scale", Ok(Route::Scale(job("a")))),
            ("GET", "/v1/job/a/scale", Ok(Route::JobPart(job("a"), Part::Scale))),
            ("PUT", "/v1/job/a/periodic/force", Ok(Route::Force(job("a")))),
            ("POST", "/v1/job/a/dispatch", Ok(Route::Dispatch(job("a")))),
            ("GET", "/v1/job/a/dispatch", Err(NoRoute::Method)),
            ("DELETE", "/v1/jobs", Err(NoRoute::Method)),
            (
                "GET",
                "/v1/job/a/deployments",
                Err(NoRoute::Unserved("a new version replaces the old one as a whole")),
            ),
            ("GET", "/v1/acl/tokens", Err(NoRoute::Unserved("tokens are set in the operators' file"))),
            ("GET", "/v1/nonsense", Err(NoRoute::Unknown)),
            ("GET", "/v2/jobs", Err(NoRoute::Unknown)),
            ("GET", "/", Err(NoRoute::Unknown)),
            ("GET", "/v1/event/stream", Ok(Route::Events)),
            ("GET", "/v1/status/leader", Ok(Route::Leader)),
        ];
        for (method, path, want) in cases {
            assert_eq!(route(method, path), want, "{method} {path}");
        }
    }
}
