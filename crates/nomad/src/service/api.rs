//! Requests of Nomad's HTTP interface: routing, authorization and answers.
use super::records::JobKey;
use super::watch::Stream;
use super::{MAX_PENDING, PendingOperation, Service, tokens, views};
use crate::tree::{Diagnostics, Severity};
use crate::{Inputs, hcl, model, translate};
use gorseshore_core::RequestId;
use gorseshore_core::extension::{ExtensionContext, ExtensionOutput};
use gorseshore_protocol::ids::Micros;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Longest wait of a blocking query.
const MAX_BLOCKING_WAIT: Micros = Micros::secs(600);
/// Wait of a blocking query that sets no `wait`.
const DEFAULT_BLOCKING_WAIT: Micros = Micros::secs(300);
/// Most rows of one page.
const MAX_ROWS_PER_PAGE: usize = 1000;

/// What a blocking query watches.
#[derive(Debug, Clone)]
pub(crate) enum Scope {
    /// One job.
    Job(JobKey),
    /// All jobs.
    All,
}

/// A parsed request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub id: RequestId,
    /// Team of the request's token; `None` if no tokens are configured.
    pub team: Option<String>,
    pub route: Route,
    pub query: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub index: Option<u64>,
    pub wait: Micros,
    /// Whether the request has already waited as a blocking query.
    pub waited: bool,
}

/// The endpoint of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Route {
    Jobs,
    Register,
    Parse,
    Validate,
    Job(String),
    JobResource(String, JobResource),
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

/// A sub-resource of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum JobResource {
    Versions,
    Allocations,
    Evaluations,
    Summary,
    Scale,
}

/// Why a path has no route.
#[derive(Debug, PartialEq)]
pub(crate) enum RouteError {
    Unknown,
    Method,
    Unsupported(&'static str),
}

/// Endpoints of Nomad that are not served, and why.
const UNSUPPORTED_ENDPOINTS: &[(&str, &str)] = &[
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
pub(crate) fn route(method: &str, path: &str) -> Result<Route, RouteError> {
    let Some(rest) = path.strip_prefix("/v1/") else { return Err(RouteError::Unknown) };
    let decode = |s: &str| percent_decode_str(s).decode_utf8_lossy().into_owned();
    let segments: Vec<&str> = rest.trim_end_matches('/').split('/').collect();
    let get = method == "GET";
    let put = method == "POST" || method == "PUT";
    let only = |ok: bool, r: Route| if ok { Ok(r) } else { Err(RouteError::Method) };
    match &segments[..] {
        ["jobs"] if put => Ok(Route::Register),
        ["jobs"] => only(get, Route::Jobs),
        ["jobs", "parse"] => only(put, Route::Parse),
        ["validate", "job"] => only(put, Route::Validate),
        ["job", middle @ .., last] => {
            // A job id may contain slashes, plain or as %2F.
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
            let part = |p| Route::JobResource(id.clone(), p);
            match *last {
                "versions" => only(get, part(JobResource::Versions)),
                "allocations" => only(get, part(JobResource::Allocations)),
                "evaluations" => only(get, part(JobResource::Evaluations)),
                "summary" => only(get, part(JobResource::Summary)),
                "scale" if put => Ok(Route::Scale(id)),
                "scale" => only(get, part(JobResource::Scale)),
                "plan" => only(put, Route::Plan(id)),
                "evaluate" => only(put, Route::Evaluate(id)),
                "dispatch" => only(put, Route::Dispatch(id)),
                "deployments" | "deployment" => {
                    Err(RouteError::Unsupported("a new version replaces the old one as a whole"))
                }
                "revert" | "stable" => {
                    Err(RouteError::Unsupported("register the earlier version's file again"))
                }
                "submission" => {
                    Err(RouteError::Unsupported("the file itself is not kept, only the job that it makes"))
                }
                "services" | "actions" | "action" => {
                    Err(RouteError::Unsupported("tasks have no services and actions"))
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
        ["allocation", _, "stop"] => Err(RouteError::Unsupported(
            "one repeat can't be stopped by itself yet: scale the job, or stop it",
        )),
        ["allocation", ..] => Err(RouteError::Unsupported("tasks have no services and checks")),
        ["evaluations"] => only(get, Route::Evaluations),
        ["evaluation", id] => only(get, Route::Evaluation(decode(id))),
        ["evaluation", ..] => Err(RouteError::Unsupported("a job's allocations tell the same")),
        ["nodes"] => only(get, Route::Nodes),
        ["node", id] => only(get, Route::Node(decode(id))),
        ["node", ..] => Err(RouteError::Unsupported("machines are drained by the scheduler")),
        ["namespaces"] => only(get, Route::Namespaces),
        ["namespace", name] => only(get, Route::Namespace(decode(name))),
        ["regions"] => only(get, Route::Regions),
        ["status", "leader"] => only(get, Route::Leader),
        ["status", "peers"] => only(get, Route::Peers),
        ["agent", "self"] => only(get, Route::Agent),
        ["agent", "health"] => only(get, Route::Health),
        ["agent", ..] => Err(RouteError::Unsupported("a controller is run by its settings")),
        ["event", "stream"] => only(get, Route::Events),
        [first, ..] => match UNSUPPORTED_ENDPOINTS.iter().find(|(name, _)| name == first) {
            Some((_, why)) => Err(RouteError::Unsupported(why)),
            None => Err(RouteError::Unknown),
        },
        [] => Err(RouteError::Unknown),
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
    /// The value of a query parameter; `None` if it is absent or empty.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str).filter(|v| !v.is_empty())
    }
    /// The namespace parameter, or `default`.
    pub fn namespace(&self) -> &str {
        self.query_value("namespace").unwrap_or("default")
    }
    /// What the request itself sets for the job in its body.
    pub fn inputs(&self) -> Inputs {
        Inputs { namespace: self.query_value("namespace").map(str::to_owned), ..Inputs::default() }
    }
    /// Whether the request's token gives access to jobs of `team`.
    pub fn can_access(&self, team: &str) -> bool {
        self.team.as_deref().is_none_or(|t| t == team)
    }
}

impl Service {
    pub(crate) fn request(
        &mut self,
        ctx: &ExtensionContext<'_>,
        id: RequestId,
        method: &str,
        path: &str,
        token: Option<&str>,
        body: Vec<u8>,
    ) {
        let path_only = path.split('?').next().unwrap_or("");
        let route = match route(method, path_only) {
            Ok(r) => r,
            Err(RouteError::Unknown) => return self.answer_error(id, 404, "there is no such path"),
            Err(RouteError::Method) => return self.answer_error(id, 405, "the path has another method"),
            Err(RouteError::Unsupported(why)) => {
                return self.answer_error(id, 501, &format!("not served: {why}"));
            }
        };
        let is_public = matches!(route, Route::Leader | Route::Peers | Route::Health | Route::Regions);
        let team = match token {
            Some(t) => tokens::team(&self.settings.tokens, t).map(str::to_owned),
            None => None,
        };
        if !self.settings.tokens.is_empty() && team.is_none() && !is_public {
            return self.answer_error(id, 403, "Permission denied");
        }
        let query = query_of(path);
        let index = match query.get("index").map(|v| v.parse::<u64>()) {
            Some(Err(_)) => return self.answer_error(id, 400, "index: must be a whole number"),
            Some(Ok(i)) => Some(i),
            None => None,
        };
        let wait =
            match query.get("wait").map(|v| model::parse_duration(&crate::tree::Datum::Text(v.clone()))) {
                Some(Err(e)) => return self.answer_error(id, 400, &format!("wait: {e}")),
                Some(Ok(w)) => w.min(MAX_BLOCKING_WAIT),
                None => DEFAULT_BLOCKING_WAIT,
            };
        let r = Request { id, team, route, query, body, index, wait, waited: false };
        match r.route {
            Route::Health => {
                let ok = ctx.state_loaded && !ctx.state_unavailable;
                let text = if ok { "ok" } else { "the state service can't be asked" };
                let body = json!({"server": {"ok": ok, "message": text}});
                return self.answer(id, if ok { 200 } else { 500 }, 0, &body);
            }
            Route::Parse => return self.parse(&r),
            Route::Validate => return self.validate(&r),
            _ => {}
        }
        if self.pending.len() >= MAX_PENDING {
            return self.answer_error(id, 429, "too many requests are under way here");
        }
        // The remaining routes depend on state, so a read barrier confirms that the replica is up
        // to date before they are answered.
        let operation = self.new_operation(PendingOperation::Request(r));
        self.outputs.push(ExtensionOutput::ReadBarrier(operation));
    }

    /// Answers a request whose read barrier has passed.
    pub(crate) fn serve(&mut self, ctx: &ExtensionContext<'_>, r: Request) {
        let scope = match &r.route {
            Route::Job(j) | Route::JobResource(j, _) => Scope::Job(JobKey::of(r.namespace(), j)),
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
        if reads && self.block_query(ctx, &r, &scope) {
            return;
        }
        let index = ctx.replica.applied_revision;
        let find_job = |s: &Service, j: &str| {
            let key = JobKey::of(r.namespace(), j);
            s.jobs.get(&key).filter(|k| r.can_access(&k.record.team)).cloned().map(|k| (key, k))
        };
        match &r.route {
            Route::Register => self.register(ctx, r),
            Route::Stop(_) | Route::Scale(_) | Route::Dispatch(_) | Route::Force(_) => self.change(ctx, r),
            Route::Plan(_) => self.plan(ctx, &r),
            Route::Jobs => {
                let rows: Vec<(String, Value)> = self
                    .visible_in_namespace(&r)
                    .filter(|k| k.record.id.starts_with(r.query_value("prefix").unwrap_or("")))
                    .map(|k| (format!("{}.{}", k.record.namespace, k.record.id), views::job_stub(ctx, k)))
                    .collect();
                self.answer_page(&r, index, rows);
            }
            Route::Job(j) => match find_job(self, j) {
                None => self.answer_error(r.id, 404, "job not found"),
                Some((key, k)) => {
                    let nonce = k.record.nonce.clone();
                    match self.contents.get(&nonce).cloned() {
                        Some(c) => self.answer(r.id, 200, index, &views::job(ctx, &k, &c)),
                        None => self.read_content(&key, nonce, r.clone()),
                    }
                }
            },
            Route::JobResource(j, part) => {
                let Some((key, k)) = find_job(self, j) else {
                    return self.answer_error(r.id, 404, "job not found");
                };
                let body = match part {
                    JobResource::Versions => {
                        let nonce = k.record.nonce.clone();
                        let Some(c) = self.contents.get(&nonce).cloned() else {
                            return self.read_content(&key, nonce, r.clone());
                        };
                        views::versions(ctx, &k, &c)
                    }
                    JobResource::Allocations => Value::Array(views::allocations(ctx, &k)),
                    JobResource::Evaluations => json!([views::evaluation(ctx, &key, &k)]),
                    JobResource::Summary => views::summary(ctx, &k),
                    JobResource::Scale => views::scale_status(ctx, &k),
                };
                self.answer(r.id, 200, index, &body);
            }
            Route::Evaluate(j) => match find_job(self, j) {
                None => self.answer_error(r.id, 404, "job not found"),
                // The scheduler evaluates every job continuously, so there is nothing to trigger.
                Some((key, k)) => {
                    let eval = views::evaluation_id(&key, k.record.version);
                    self.answer(
                        r.id,
                        200,
                        index,
                        &json!({"EvalID": eval, "EvalCreateIndex": k.modify_revision,
                        "JobModifyIndex": k.modify_revision, "Index": index}),
                    );
                }
            },
            Route::Allocations => {
                let prefix = r.query_value("prefix").unwrap_or("").to_owned();
                let rows: Vec<(String, Value)> = self
                    .visible_in_namespace(&r)
                    .flat_map(|k| views::allocations(ctx, k))
                    .map(|v| (v["ID"].as_str().unwrap_or("").to_owned(), v))
                    .filter(|(id, _)| id.starts_with(&prefix))
                    .collect();
                self.answer_page(&r, index, rows);
            }
            Route::Allocation(id) => {
                let found = views::allocation_of(id).and_then(|(job, i)| {
                    let key = self.jobs_by_native_id.get(&job)?;
                    let k = self.jobs.get(key).filter(|k| r.can_access(&k.record.team))?;
                    views::allocations(ctx, k).into_iter().find(|v| v["ID"] == **id).map(|v| (v, i))
                });
                match found {
                    Some((v, _)) => self.answer(r.id, 200, index, &v),
                    None => self.answer_error(r.id, 404, "alloc not found"),
                }
            }
            Route::Evaluations => {
                let rows: Vec<(String, Value)> = self
                    .visible_in_namespace(&r)
                    .map(|k| views::evaluation(ctx, &k.record.key(), k))
                    .map(|v| (v["ID"].as_str().unwrap_or("").to_owned(), v))
                    .collect();
                self.answer_page(&r, index, rows);
            }
            Route::Evaluation(id) => {
                let found = self
                    .visible_in_namespace(&r)
                    .map(|k| views::evaluation(ctx, &k.record.key(), k))
                    .find(|v| v["ID"] == **id);
                match found {
                    Some(v) => self.answer(r.id, 200, index, &v),
                    None => self.answer_error(r.id, 404, "eval not found"),
                }
            }
            Route::Nodes => {
                let prefix = r.query_value("prefix").unwrap_or("").to_owned();
                let rows = ctx.replica.machines.iter().map(|(id, m)| (id.to_string(), views::node(id, m)));
                let rows: Vec<_> = rows.filter(|(id, _)| id.starts_with(&prefix)).collect();
                self.answer_page(&r, index, rows);
            }
            Route::Node(id) => {
                let found = ctx.replica.machines.iter().find(|(m, _)| m.as_str() == id);
                match found.map(|(id, m)| views::node(id, m)) {
                    Some(v) => self.answer(r.id, 200, index, &v),
                    None => self.answer_error(r.id, 404, "node not found"),
                }
            }
            Route::Namespaces => {
                let mut names: Vec<String> =
                    self.visible_jobs(&r).map(|k| k.record.namespace.clone()).collect();
                names.push("default".into());
                names.sort();
                names.dedup();
                let rows = names.into_iter().map(|n| (n.clone(), views::namespace(&n))).collect();
                self.answer_page(&r, index, rows);
            }
            Route::Namespace(n) => {
                let exists = n == "default" || self.visible_jobs(&r).any(|k| k.record.namespace == *n);
                match exists {
                    true => self.answer(r.id, 200, index, &views::namespace(n)),
                    false => self.answer_error(r.id, 404, "namespace not found"),
                }
            }
            Route::Regions => {
                let region = self.settings.region.clone();
                self.answer(r.id, 200, index, &json!([region]));
            }
            Route::Leader => {
                let leader = ctx.leader.unwrap_or("").to_owned();
                self.answer(r.id, 200, index, &json!(leader));
            }
            Route::Peers => self.answer(r.id, 200, index, &json!([ctx.node_name])),
            Route::Agent => {
                let region = self.settings.region.clone();
                let body = json!({"config": {"Region": region, "Version": {"Version": env!("CARGO_PKG_VERSION")}},
                    "member": {"Name": ctx.node_name, "Status": "alive",
                        "Tags": {"region": region, "role": "gorseshore"}},
                    "stats": {"gorseshore": {"jobs": self.jobs.len().to_string(),
                        "leader": ctx.leads.to_string()}}});
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
                    last_write_at: ctx.now,
                };
                self.open_stream(r.id, stream, r.index.unwrap_or(0));
            }
            Route::Parse | Route::Validate | Route::Health => {}
        }
    }

    /// Jobs of the requested namespace that the token gives access to.
    fn visible_in_namespace<'a>(
        &'a self,
        r: &'a Request,
    ) -> impl Iterator<Item = &'a super::RegisteredJob> + 'a {
        let namespace = r.namespace();
        self.visible_jobs(r).filter(move |k| namespace == "*" || k.record.namespace == namespace)
    }

    fn visible_jobs<'a>(&'a self, r: &'a Request) -> impl Iterator<Item = &'a super::RegisteredJob> + 'a {
        self.jobs.values().filter(|k| r.can_access(&k.record.team))
    }

    /// Answers with one page of rows in the order of their keys; `next_token` is the key of the
    /// first row of the next page.
    fn answer_page(&mut self, r: &Request, index: u64, mut rows: Vec<(String, Value)>) {
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        if let Some(from) = r.query_value("next_token") {
            rows.retain(|(k, _)| k.as_str() >= from);
        }
        let per_page = match r.query_value("per_page").map(str::parse::<usize>) {
            None => MAX_ROWS_PER_PAGE,
            Some(Ok(n)) if n > 0 => n.min(MAX_ROWS_PER_PAGE),
            Some(_) => return self.answer_error(r.id, 400, "per_page: must be a whole number from 1"),
        };
        let next = rows.get(per_page).map(|(k, _)| k.clone());
        let body: Vec<Value> = rows.into_iter().take(per_page).map(|(_, v)| v).collect();
        let headers = next.map(|n| ("X-Nomad-NextToken", n)).into_iter().collect();
        self.answer_with(r.id, 200, index, headers, &Value::Array(body));
    }

    pub(crate) fn read_content(&mut self, key: &JobKey, nonce: String, request: Request) {
        let prefix = super::records::names::chunk_prefix(key, &nonce);
        let operation = self.new_operation(PendingOperation::Content { request, nonce });
        self.outputs.push(ExtensionOutput::Read(operation, prefix));
    }

    /// `POST /v1/jobs/parse`: converts an HCL file to the JSON form of the interface.
    fn parse(&mut self, r: &Request) {
        let body: Value = match serde_json::from_slice(&r.body) {
            Ok(v) => v,
            Err(e) => return self.answer_error(r.id, 400, &format!("not JSON: {e}")),
        };
        let Some(text) = body["JobHCL"].as_str() else {
            return self.answer_error(r.id, 400, "JobHCL: is missing");
        };
        let mut inputs = Inputs::default();
        if let Some(v) = body["Variables"].as_str() {
            inputs.files.push(("Variables".into(), v.to_owned()));
        }
        let mut diagnostics = Diagnostics::default();
        let job = hcl::read(text, &inputs, &mut diagnostics).and_then(|b| model::read(&b, &mut diagnostics));
        diagnostics.assign_positions(text);
        match job.filter(|_| diagnostics.accepted()) {
            Some(j) => self.answer(r.id, 200, 0, &super::records::api_job(&j)),
            None => self.answer_error(r.id, 400, &format_diagnostics(&diagnostics)),
        }
    }

    /// `POST /v1/validate/job`.
    fn validate(&mut self, r: &Request) {
        let Ok(text) = std::str::from_utf8(&r.body) else { return self.answer_error(r.id, 400, "not UTF-8") };
        let j = crate::validate(text, &r.inputs(), &self.settings, &self.site);
        let (errors, warnings): (Vec<_>, Vec<_>) =
            j.diagnostics.list.iter().partition(|f| f.severity != Severity::Warning);
        let show = |l: &[&crate::tree::Diagnostic]| l.iter().map(|f| f.to_string()).collect::<Vec<_>>();
        let (errors, warnings) = (show(&errors), show(&warnings));
        let body = json!({"DriverConfigValidated": true, "ValidationErrors": errors,
            "Error": errors.join("\n"), "Warnings": warnings.join("\n")});
        self.answer(r.id, 200, 0, &body);
    }

    /// `POST /v1/job/ID/plan`: reports what a registration would change, and writes nothing.
    fn plan(&mut self, ctx: &ExtensionContext<'_>, r: &Request) {
        let Ok(text) = std::str::from_utf8(&r.body) else { return self.answer_error(r.id, 400, "not UTF-8") };
        let j = crate::validate(text, &r.inputs(), &self.settings, &self.site);
        let Some(job) = j.job.as_ref().filter(|_| j.accepted()) else {
            return self.answer_error(r.id, 400, &format_diagnostics(&j.diagnostics));
        };
        let team = translate::find_class(job, &self.settings).map(|c| c.team.clone()).unwrap_or_default();
        if !r.can_access(&team) {
            return self.answer_error(r.id, 403, "Permission denied");
        }
        let key = JobKey::of(&job.namespace, &job.id);
        let body = views::plan(ctx, self.jobs.get(&key), &j.groups, &j.diagnostics);
        self.answer(r.id, 200, ctx.replica.applied_revision, &body);
    }
}

/// All diagnostics, one a line.
pub(crate) fn format_diagnostics(diagnostics: &Diagnostics) -> String {
    let lines: Vec<String> = diagnostics.list.iter().map(|f| f.to_string()).collect();
    lines.join("\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_and_methods_select_routes() {
        let job = |s: &str| s.to_owned();
        let cases: [(&str, &str, Result<Route, RouteError>); 22] = [
            ("GET", "/v1/jobs", Ok(Route::Jobs)),
            ("PUT", "/v1/jobs", Ok(Route::Register)),
            ("POST", "/v1/job/a", Ok(Route::Register)),
            ("GET", "/v1/job/a", Ok(Route::Job(job("a")))),
            ("GET", "/v1/job/a%2Fdispatch-1", Ok(Route::Job(job("a/dispatch-1")))),
            ("GET", "/v1/job/a/dispatch-1", Ok(Route::Job(job("a/dispatch-1")))),
            (
                "GET",
                "/v1/job/a/dispatch-1/summary",
                Ok(Route::JobResource(job("a/dispatch-1"), JobResource::Summary)),
            ),
            ("GET", "/v1/job/summary", Ok(Route::Job(job("summary")))),
            ("DELETE", "/v1/job/a", Ok(Route::Stop(job("a")))),
            ("POST", "/v1/job/a/scale", Ok(Route::Scale(job("a")))),
            ("GET", "/v1/job/a/scale", Ok(Route::JobResource(job("a"), JobResource::Scale))),
            ("PUT", "/v1/job/a/periodic/force", Ok(Route::Force(job("a")))),
            ("POST", "/v1/job/a/dispatch", Ok(Route::Dispatch(job("a")))),
            ("GET", "/v1/job/a/dispatch", Err(RouteError::Method)),
            ("DELETE", "/v1/jobs", Err(RouteError::Method)),
            (
                "GET",
                "/v1/job/a/deployments",
                Err(RouteError::Unsupported("a new version replaces the old one as a whole")),
            ),
            ("GET", "/v1/acl/tokens", Err(RouteError::Unsupported("tokens are set in the operators' file"))),
            ("GET", "/v1/nonsense", Err(RouteError::Unknown)),
            ("GET", "/v2/jobs", Err(RouteError::Unknown)),
            ("GET", "/", Err(RouteError::Unknown)),
            ("GET", "/v1/event/stream", Ok(Route::Events)),
            ("GET", "/v1/status/leader", Ok(Route::Leader)),
        ];
        for (method, path, want) in cases {
            assert_eq!(route(method, path), want, "{method} {path}");
        }
    }
}
