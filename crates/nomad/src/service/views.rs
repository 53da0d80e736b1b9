//! JSON views of jobs, allocations, evaluations and nodes. Only registered state is reported: a task of
//! which this controller cannot determine whether it runs has the status `unknown`.
use super::RegisteredJob;
use super::records::{Content, JobKey, JobRecord};
use crate::translate::PlannedGroup;
use crate::tree::Diagnostics;
use gorseshore_core::extension::ExtensionContext;
use gorseshore_core::jobs::{Job, MachineRecord, Phase};
use gorseshore_protocol::ids::{JobId, MachineId, Resources};
use serde_json::{Map, Value, json};
use uuid::Uuid;

/// Most allocations listed for one native job.
const MAX_LISTED_ALLOCATIONS: u32 = 5000;

/// An allocation id encodes the native job and the task index, so no mapping from ids has to be
/// stored.
pub(crate) fn allocation_id(job: JobId, index: u32) -> Uuid {
    let j = job.0.to_be_bytes();
    let i = index.to_be_bytes();
    // Bytes 6 and 8 hold the UUID version and variant.
    Uuid::new_v8([j[0], j[1], j[2], j[3], j[4], j[5], 0, j[6], 0, j[7], i[0], i[1], i[2], i[3], 0xa1, 0x0c])
}

/// The native job and task index of an allocation id.
pub(crate) fn allocation_of(id: &str) -> Option<(JobId, u32)> {
    let b = *Uuid::parse_str(id).ok()?.as_bytes();
    let job = JobId(u64::from_be_bytes([b[0], b[1], b[2], b[3], b[4], b[5], b[7], b[9]]));
    let index = u32::from_be_bytes([b[10], b[11], b[12], b[13]]);
    (allocation_id(job, index).as_bytes() == &b).then_some((job, index))
}

/// The evaluation id of a version of a job.
pub(crate) fn evaluation_id(key: &JobKey, version: u64) -> Uuid {
    let k = hex::decode(&key.0).unwrap_or_default();
    let at = |i: usize| k.get(i).copied().unwrap_or(0);
    let v = (version as u32).to_be_bytes();
    let b =
        [at(0), at(1), at(2), at(3), at(4), at(5), 0, at(6), 0, at(7), v[0], v[1], v[2], v[3], 0xe7, 0xa1];
    Uuid::new_v8(b)
}

fn native_job<'a>(ctx: &'a ExtensionContext<'_>, id: u64) -> Option<&'a Job> {
    ctx.replica.jobs.get(&JobId(id))
}

/// Status of a job: `pending`, `running` or `dead`.
pub(crate) fn status(ctx: &ExtensionContext<'_>, record: &JobRecord) -> &'static str {
    if record.stop {
        return "dead";
    }
    if record.is_template() {
        return "running";
    }
    let mut all_ended = true;
    for g in record.groups.iter().filter(|g| g.count > 0) {
        match native_job(ctx, g.job) {
            Some(j) if j.phase == Phase::Active => {
                if ctx.running.get(&JobId(g.job)).copied().unwrap_or(0) > 0 || !j.done.is_empty() {
                    return "running";
                }
                all_ended = false;
            }
            Some(_) => {}
            None => all_ended = false,
        }
    }
    if all_ended && record.kind == "batch" { "dead" } else { "pending" }
}

/// The failure cause of the first failed group.
fn failure(ctx: &ExtensionContext<'_>, record: &JobRecord) -> Option<String> {
    record.groups.iter().find_map(|g| native_job(ctx, g.job)?.cause.clone())
}

/// Tasks of a group by state.
struct TaskCounts {
    queued: u32,
    running: u32,
    complete: u32,
    failed: u32,
    lost: u32,
}

fn task_counts(ctx: &ExtensionContext<'_>, record: &JobRecord, job: u64, count: u32) -> TaskCounts {
    let mut c = TaskCounts { queued: 0, running: 0, complete: 0, failed: 0, lost: 0 };
    match native_job(ctx, job) {
        None => c.queued = if record.stop || record.is_template() { 0 } else { count },
        Some(j) => match j.phase {
            Phase::Done => c.complete = j.tasks,
            Phase::Cancelled if j.cause.is_some() => c.failed = j.tasks,
            Phase::Cancelled => c.complete = j.tasks,
            Phase::Active => {
                c.complete = j.done.count_below(j.tasks);
                c.running = ctx.running.get(&JobId(job)).copied().unwrap_or(0).min(j.tasks - c.complete);
                c.queued = j.tasks - c.complete - c.running;
            }
        },
    }
    c
}

/// Summary of a job: tasks by group and state.
pub(crate) fn summary(ctx: &ExtensionContext<'_>, k: &RegisteredJob) -> Value {
    let mut groups = Map::new();
    for g in &k.record.groups {
        let c = task_counts(ctx, &k.record, g.job, g.count);
        groups.insert(
            g.name.clone(),
            json!({"Queued": c.queued, "Complete": c.complete, "Failed": c.failed,
            "Running": c.running, "Starting": 0, "Lost": c.lost, "Unknown": 0}),
        );
    }
    json!({"JobID": k.record.id, "Namespace": k.record.namespace, "Summary": groups,
        "Children": null, "CreateIndex": k.create_revision, "ModifyIndex": k.last_change_revision})
}

/// A job in a list.
pub(crate) fn job_stub(ctx: &ExtensionContext<'_>, k: &RegisteredJob) -> Value {
    let h = &k.record;
    json!({"ID": h.id, "ParentID": h.parent.as_deref().unwrap_or(""), "Name": h.name, "Namespace": h.namespace,
        "Datacenters": h.datacenters, "Type": h.kind, "Priority": h.priority, "Periodic": h.periodic.is_some(),
        "ParameterizedJob": h.parameterized.is_some(), "Stop": h.stop, "Status": status(ctx, h),
        "StatusDescription": failure(ctx, h).unwrap_or_default(), "JobSummary": summary(ctx, k),
        "CreateIndex": k.create_revision, "ModifyIndex": k.last_change_revision, "JobModifyIndex": k.modify_revision, "Version": h.version,
        "SubmitTime": h.at * 1_000_000})
}

/// A job in an event.
pub(crate) fn event_job(h: &JobRecord) -> Value {
    json!({"ID": h.id, "Name": h.name, "Namespace": h.namespace, "Type": h.kind, "Version": h.version, "Stop": h.stop})
}

/// A job as registered, with its current status.
pub(crate) fn job(ctx: &ExtensionContext<'_>, k: &RegisteredJob, c: &Content) -> Value {
    let mut v = c.job.clone();
    let h = &k.record;
    let set = json!({"Stop": h.stop, "Status": status(ctx, h), "Version": h.version, "Stable": false,
        "StatusDescription": failure(ctx, h).unwrap_or_default(), "CreateIndex": k.create_revision,
        "ModifyIndex": k.last_change_revision, "JobModifyIndex": k.modify_revision, "SubmitTime": h.at * 1_000_000,
        "ParentID": h.parent.as_deref().unwrap_or("")});
    if let (Some(v), Value::Object(set)) = (v.as_object_mut(), set) {
        v.extend(set);
    }
    v
}

/// Versions of a job: the current one in full, previous ones by number and time.
pub(crate) fn versions(ctx: &ExtensionContext<'_>, k: &RegisteredJob, c: &Content) -> Value {
    let previous = k.record.previous_versions.iter().map(|e| {
        json!({"ID": k.record.id, "Namespace": k.record.namespace, "Version": e.version, "SubmitTime": e.at * 1_000_000})
    });
    let all: Vec<Value> = [job(ctx, k, c)].into_iter().chain(previous).collect();
    json!({"Versions": all, "Diffs": null})
}

/// The evaluation of a job's current version.
pub(crate) fn evaluation(ctx: &ExtensionContext<'_>, key: &JobKey, k: &RegisteredJob) -> Value {
    let h = &k.record;
    let mut queued = Map::new();
    for g in &h.groups {
        queued.insert(g.name.clone(), json!(task_counts(ctx, h, g.job, g.count).queued));
    }
    let has_queued = queued.values().any(|v| v.as_u64() > Some(0));
    let all_recorded = h.is_template()
        || h.stop
        || h.groups.iter().all(|g| g.count == 0 || native_job(ctx, g.job).is_some());
    let status = match (all_recorded, has_queued) {
        (false, _) => "pending",
        (true, true) => "blocked",
        (true, false) => "complete",
    };
    json!({"ID": evaluation_id(key, h.version), "Namespace": h.namespace, "JobID": h.id, "Type": h.kind,
        "Priority": h.priority, "TriggeredBy": if h.stop { "job-deregister" } else { "job-register" },
        "JobModifyIndex": k.modify_revision, "Status": status, "QueuedAllocations": queued,
        "StatusDescription": failure(ctx, h).unwrap_or_default(),
        "CreateIndex": k.modify_revision, "ModifyIndex": k.last_change_revision})
}

/// Allocations of a job, including those of superseded versions.
pub(crate) fn allocations(ctx: &ExtensionContext<'_>, k: &RegisteredJob) -> Vec<Value> {
    let h = &k.record;
    let mut out = Vec::new();
    for g in &h.groups {
        if let Some(j) = native_job(ctx, g.job) {
            push_allocations(ctx, k, &g.name, g.job, j, &mut out);
        }
    }
    for id in &h.superseded_jobs {
        if let Some(j) = native_job(ctx, *id) {
            push_allocations(ctx, k, "", *id, j, &mut out);
        }
    }
    out
}

fn push_allocations(
    ctx: &ExtensionContext<'_>,
    k: &RegisteredJob,
    group: &str,
    id: u64,
    j: &Job,
    out: &mut Vec<Value>,
) {
    let h = &k.record;
    let running = ctx.running.get(&JobId(id)).copied().unwrap_or(0);
    let unfinished = j.tasks - j.done.count_below(j.tasks);
    let max_attempts = j.spec.as_ref().and_then(|s| s.max_attempts);
    for i in 0..j.tasks.min(MAX_LISTED_ALLOCATIONS) {
        let (desired, client) = match j.phase {
            Phase::Done => ("run", "complete"),
            Phase::Cancelled if j.cause.is_some() => ("stop", "failed"),
            Phase::Cancelled if j.fully_stopped => ("stop", "complete"),
            Phase::Cancelled => ("stop", "unknown"),
            Phase::Active if j.done.contains(i) => ("run", "complete"),
            Phase::Active if running == 0 => ("run", "pending"),
            Phase::Active if running >= unfinished => ("run", "running"),
            Phase::Active => ("run", "unknown"),
        };
        let failed = j.failures.get(&i).map_or(0, |f| f.count);
        out.push(json!({"ID": allocation_id(JobId(id), i), "Namespace": h.namespace, "JobID": h.id,
            "Name": format!("{}.{group}[{i}]", h.id), "TaskGroup": group, "JobType": h.kind,
            "JobVersion": h.version, "DesiredStatus": desired, "ClientStatus": client,
            "ClientDescription": j.cause.as_deref().unwrap_or(""),
            "FailedAttempts": failed, "MostAttempts": max_attempts,
            "CreateIndex": j.revision, "ModifyIndex": j.revision.max(j.end_revision)}));
    }
}

/// Requested and running counts of a job.
pub(crate) fn scale_status(ctx: &ExtensionContext<'_>, k: &RegisteredJob) -> Value {
    let mut groups = Map::new();
    for g in &k.record.groups {
        let c = task_counts(ctx, &k.record, g.job, g.count);
        groups.insert(
            g.name.clone(),
            json!({"Desired": g.count, "Running": c.running, "Placed": c.running,
            "Healthy": c.running, "Unhealthy": 0, "Events": null}),
        );
    }
    json!({"JobID": k.record.id, "Namespace": k.record.namespace, "JobCreateIndex": k.create_revision,
        "JobModifyIndex": k.modify_revision, "JobStopped": k.record.stop, "TaskGroups": groups})
}

/// A machine as a node.
pub(crate) fn node(id: &MachineId, m: &MachineRecord) -> Value {
    json!({"ID": id.as_str(), "Name": id.as_str(), "Address": m.addr, "Datacenter": m.zone, "NodeClass": m.machine_type,
        "NodePool": "default", "Status": "ready", "SchedulingEligibility": "eligible", "Drain": false,
        "Attributes": {"unique.spot": m.spot.to_string(), "kernel.name": "linux"}})
}

/// A namespace.
pub(crate) fn namespace(name: &str) -> Value {
    json!({"Name": name, "Description": "", "Quota": ""})
}

/// What a registration would change, and which tasks could not run at once.
pub(crate) fn plan(
    ctx: &ExtensionContext<'_>,
    registered: Option<&RegisteredJob>,
    groups: &[PlannedGroup],
    diagnostics: &Diagnostics,
) -> Value {
    let (mut desired, mut failed) = (Map::new(), Map::new());
    for p in groups {
        let old =
            registered.and_then(|k| k.record.groups.iter().find(|g| g.name == p.group && !k.record.stop));
        let current_count = old.map_or(0, |g| g.count);
        let n = p.spec.tasks;
        desired.insert(
            p.group.clone(),
            json!({"Place": n.saturating_sub(current_count), "Stop": current_count.saturating_sub(n),
            "InPlaceUpdate": n.min(current_count), "DestructiveUpdate": 0, "Ignore": 0}),
        );
        // The team's limit covers all its jobs; computed as if the team had only this one.
        if let Some(team) = ctx.teams.iter().find(|t| t.name == p.spec.team) {
            let max = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
            let max_running =
                if max.cpu == 0 { n as u64 } else { max.cpu / p.spec.task_resources.cpu.max(1) };
            if max_running < n as u64 {
                failed.insert(
                    p.group.clone(),
                    json!({"CoalescedFailures": n as u64 - max_running - 1,
                    "QuotaExhausted": [format!("cpu of team {}: {max_running} of {n} at a time", team.name)]}),
                );
            }
        }
        let fits = |f: &gorseshore_protocol::cloud::Flavor| {
            let size = Resources::capacity(f.cpus, f.gpus, f.memory_gb);
            f.zones.iter().any(|z| p.spec.allows(&f.name, z, false, &size))
        };
        if !ctx.flavors.iter().any(fits) {
            failed.insert(p.group.clone(), json!({"NodesEvaluated": ctx.flavors.len(),
                "NodesFiltered": ctx.flavors.len(), "ConstraintFiltered": {"size or constraints": ctx.flavors.len()}}));
        }
    }
    let warnings: Vec<String> = diagnostics.list.iter().map(|f| f.to_string()).collect();
    json!({"Annotations": {"DesiredTGUpdates": desired}, "FailedTGAllocs": failed, "Diff": null,
        "JobModifyIndex": registered.map_or(0, |k| k.modify_revision), "CreatedEvals": null, "Warnings": warnings.join("\n")})
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn allocation_ids_decode_to_their_tasks() {
        for (job, index) in [(0, 0), (1_000_000_000_000_000_007, 3), (u64::MAX, u32::MAX)] {
            let id = allocation_id(JobId(job), index).to_string();
            assert_eq!(allocation_of(&id), Some((JobId(job), index)), "{id}");
        }
        for id in [
            "",
            "x",
            "00000000-0000-0000-0000-000000000000",
            &evaluation_id(&JobKey::of("a", "b"), 1).to_string(),
        ] {
            assert_eq!(allocation_of(id), None, "{id}");
        }
    }
}
