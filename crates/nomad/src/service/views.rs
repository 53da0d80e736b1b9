//! What the interface shows. Only what is known is told: a task of which this
//! controller can't say whether it runs has the status `unknown`.
use super::Known;
use super::records::{Content, Head, JobKey};
use crate::translate::Planned;
use crate::tree::Faults;
use gorseshore_core::extension::ExtensionContext;
use gorseshore_core::jobs::{Job, MachineRecord, Phase};
use gorseshore_protocol::ids::{JobId, MachineId, Resources};
use serde_json::{Map, Value, json};
use uuid::Uuid;

/// Allocations of one group that are listed.
const LISTED: u32 = 5000;

/// An allocation's id: the native job and the task, readable back, so that no
/// list of ids has to be kept.
pub(crate) fn allocation_id(job: JobId, index: u32) -> Uuid {
    let j = job.0.to_be_bytes();
    let i = index.to_be_bytes();
    // Bytes 6 and 8 hold the version and the variant.
    Uuid::new_v8([j[0], j[1], j[2], j[3], j[4], j[5], 0, j[6], 0, j[7], i[0], i[1], i[2], i[3], 0xa1, 0x0c])
}

/// The task behind an allocation's id.
pub(crate) fn allocation_of(id: &str) -> Option<(JobId, u32)> {
    let b = *Uuid::parse_str(id).ok()?.as_bytes();
    let job = JobId(u64::from_be_bytes([b[0], b[1], b[2], b[3], b[4], b[5], b[7], b[9]]));
    let index = u32::from_be_bytes([b[10], b[11], b[12], b[13]]);
    (allocation_id(job, index).as_bytes() == &b).then_some((job, index))
}

/// The id of the evaluation of a version.
pub(crate) fn evaluation_id(key: &JobKey, version: u64) -> Uuid {
    let k = hex::decode(&key.0).unwrap_or_default();
    let at = |i: usize| k.get(i).copied().unwrap_or(0);
    let v = (version as u32).to_be_bytes();
    let b =
        [at(0), at(1), at(2), at(3), at(4), at(5), 0, at(6), 0, at(7), v[0], v[1], v[2], v[3], 0xe7, 0xa1];
    Uuid::new_v8(b)
}

fn native<'a>(host: &'a ExtensionContext<'_>, id: u64) -> Option<&'a Job> {
    host.replica.jobs.get(&JobId(id))
}

/// `pending`, `running` or `dead`.
pub(crate) fn status(host: &ExtensionContext<'_>, head: &Head) -> &'static str {
    if head.stop {
        return "dead";
    }
    if head.template() {
        return "running";
    }
    let mut all_over = true;
    for g in head.groups.iter().filter(|g| g.count > 0) {
        match native(host, g.job) {
            Some(j) if j.phase == Phase::Active => {
                if host.running.get(&JobId(g.job)).copied().unwrap_or(0) > 0 || !j.done.is_empty() {
                    return "running";
                }
                all_over = false;
            }
            Some(_) => {}
            None => all_over = false,
        }
    }
    if all_over && head.kind == "batch" { "dead" } else { "pending" }
}

/// Why a job ended, if it failed.
fn failure(host: &ExtensionContext<'_>, head: &Head) -> Option<String> {
    head.groups.iter().find_map(|g| native(host, g.job)?.cause.clone())
}

/// Counts of a group's tasks by what became of them.
struct Counts {
    queued: u32,
    running: u32,
    complete: u32,
    failed: u32,
    lost: u32,
}

fn counts(host: &ExtensionContext<'_>, head: &Head, job: u64, count: u32) -> Counts {
    let mut c = Counts { queued: 0, running: 0, complete: 0, failed: 0, lost: 0 };
    match native(host, job) {
        None => c.queued = if head.stop || head.template() { 0 } else { count },
        Some(j) => match j.phase {
            Phase::Done => c.complete = j.tasks,
            Phase::Cancelled if j.cause.is_some() => c.failed = j.tasks,
            Phase::Cancelled => c.complete = j.tasks,
            Phase::Active => {
                c.complete = j.done.count_below(j.tasks);
                c.running = host.running.get(&JobId(job)).copied().unwrap_or(0).min(j.tasks - c.complete);
                c.queued = j.tasks - c.complete - c.running;
            }
        },
    }
    c
}

/// A job's summary.
pub(crate) fn summary(host: &ExtensionContext<'_>, k: &Known) -> Value {
    let mut groups = Map::new();
    for g in &k.head.groups {
        let c = counts(host, &k.head, g.job, g.count);
        groups.insert(
            g.name.clone(),
            json!({"Queued": c.queued, "Complete": c.complete, "Failed": c.failed,
            "Running": c.running, "Starting": 0, "Lost": c.lost, "Unknown": 0}),
        );
    }
    json!({"JobID": k.head.id, "Namespace": k.head.namespace, "Summary": groups,
        "Children": null, "CreateIndex": k.created, "ModifyIndex": k.changed})
}

/// A job in a list.
pub(crate) fn job_stub(host: &ExtensionContext<'_>, k: &Known) -> Value {
    let h = &k.head;
    json!({"ID": h.id, "ParentID": h.parent.as_deref().unwrap_or(""), "Name": h.name, "Namespace": h.namespace,
        "Datacenters": h.datacenters, "Type": h.kind, "Priority": h.priority, "Periodic": h.periodic.is_some(),
        "ParameterizedJob": h.param.is_some(), "Stop": h.stop, "Status": status(host, h),
        "StatusDescription": failure(host, h).unwrap_or_default(), "JobSummary": summary(host, k),
        "CreateIndex": k.created, "ModifyIndex": k.changed, "JobModifyIndex": k.stamp, "Version": h.version,
        "SubmitTime": h.at * 1_000_000})
}

/// A job in an event.
pub(crate) fn event_job(h: &Head) -> Value {
    json!({"ID": h.id, "Name": h.name, "Namespace": h.namespace, "Type": h.kind, "Version": h.version, "Stop": h.stop})
}

/// A job as it was registered, with where it stands.
pub(crate) fn job(host: &ExtensionContext<'_>, k: &Known, c: &Content) -> Value {
    let mut v = c.job.clone();
    let h = &k.head;
    let set = json!({"Stop": h.stop, "Status": status(host, h), "Version": h.version, "Stable": false,
        "StatusDescription": failure(host, h).unwrap_or_default(), "CreateIndex": k.created,
        "ModifyIndex": k.changed, "JobModifyIndex": k.stamp, "SubmitTime": h.at * 1_000_000,
        "ParentID": h.parent.as_deref().unwrap_or("")});
    if let (Some(v), Value::Object(set)) = (v.as_object_mut(), set) {
        v.extend(set);
    }
    v
}

/// Versions: the current one whole, earlier ones by number and time.
pub(crate) fn versions(host: &ExtensionContext<'_>, k: &Known, c: &Content) -> Value {
    let earlier = k.head.earlier.iter().map(|e| {
        json!({"ID": k.head.id, "Namespace": k.head.namespace, "Version": e.version, "SubmitTime": e.at * 1_000_000})
    });
    let all: Vec<Value> = [job(host, k, c)].into_iter().chain(earlier).collect();
    json!({"Versions": all, "Diffs": null})
}

/// The evaluation of a job's current version: what the scheduler makes of it.
pub(crate) fn evaluation(host: &ExtensionContext<'_>, key: &JobKey, k: &Known) -> Value {
    let h = &k.head;
    let mut queued = Map::new();
    for g in &h.groups {
        queued.insert(g.name.clone(), json!(counts(host, h, g.job, g.count).queued));
    }
    let waits = queued.values().any(|v| v.as_u64() > Some(0));
    let made =
        h.template() || h.stop || h.groups.iter().all(|g| g.count == 0 || native(host, g.job).is_some());
    let status = match (made, waits) {
        (false, _) => "pending",
        (true, true) => "blocked",
        (true, false) => "complete",
    };
    json!({"ID": evaluation_id(key, h.version), "Namespace": h.namespace, "JobID": h.id, "Type": h.kind,
        "Priority": h.priority, "TriggeredBy": if h.stop { "job-deregister" } else { "job-register" },
        "JobModifyIndex": k.stamp, "Status": status, "QueuedAllocations": queued,
        "StatusDescription": failure(host, h).unwrap_or_default(),
        "CreateIndex": k.stamp, "ModifyIndex": k.changed})
}

/// The tasks of a job, those of versions that it replaced too.
pub(crate) fn allocations(host: &ExtensionContext<'_>, k: &Known) -> Vec<Value> {
    let h = &k.head;
    let mut out = Vec::new();
    for g in &h.groups {
        if let Some(j) = native(host, g.job) {
            tasks(host, k, &g.name, g.job, j, &mut out);
        }
    }
    for id in &h.old {
        if let Some(j) = native(host, *id) {
            tasks(host, k, "", *id, j, &mut out);
        }
    }
    out
}

fn tasks(host: &ExtensionContext<'_>, k: &Known, group: &str, id: u64, j: &Job, out: &mut Vec<Value>) {
    let h = &k.head;
    let running = host.running.get(&JobId(id)).copied().unwrap_or(0);
    let open = j.tasks - j.done.count_below(j.tasks);
    let most = j.spec.as_ref().and_then(|s| s.max_attempts);
    for i in 0..j.tasks.min(LISTED) {
        let (desired, client) = match j.phase {
            Phase::Done => ("run", "complete"),
            Phase::Cancelled if j.cause.is_some() => ("stop", "failed"),
            Phase::Cancelled if j.fully_stopped => ("stop", "complete"),
            Phase::Cancelled => ("stop", "unknown"),
            Phase::Active if j.done.contains(i) => ("run", "complete"),
            Phase::Active if running == 0 => ("run", "pending"),
            Phase::Active if running >= open => ("run", "running"),
            Phase::Active => ("run", "unknown"),
        };
        let failed = j.failures.get(&i).map_or(0, |f| f.count);
        out.push(json!({"ID": allocation_id(JobId(id), i), "Namespace": h.namespace, "JobID": h.id,
            "Name": format!("{}.{group}[{i}]", h.id), "TaskGroup": group, "JobType": h.kind,
            "JobVersion": h.version, "DesiredStatus": desired, "ClientStatus": client,
            "ClientDescription": j.cause.as_deref().unwrap_or(""),
            "FailedAttempts": failed, "MostAttempts": most,
            "CreateIndex": j.revision, "ModifyIndex": j.revision.max(j.end_revision)}));
    }
}

/// A job's counts, wanted and there.
pub(crate) fn scale_status(host: &ExtensionContext<'_>, k: &Known) -> Value {
    let mut groups = Map::new();
    for g in &k.head.groups {
        let c = counts(host, &k.head, g.job, g.count);
        groups.insert(
            g.name.clone(),
            json!({"Desired": g.count, "Running": c.running, "Placed": c.running,
            "Healthy": c.running, "Unhealthy": 0, "Events": null}),
        );
    }
    json!({"JobID": k.head.id, "Namespace": k.head.namespace, "JobCreateIndex": k.created,
        "JobModifyIndex": k.stamp, "JobStopped": k.head.stop, "TaskGroups": groups})
}

/// A machine.
pub(crate) fn node(id: &MachineId, m: &MachineRecord) -> Value {
    json!({"ID": id.as_str(), "Name": id.as_str(), "Address": m.addr, "Datacenter": m.zone, "NodeClass": m.machine_type,
        "NodePool": "default", "Status": "ready", "SchedulingEligibility": "eligible", "Drain": false,
        "Attributes": {"unique.spot": m.spot.to_string(), "kernel.name": "linux"}})
}

/// A namespace.
pub(crate) fn namespace(name: &str) -> Value {
    json!({"Name": name, "Description": "", "Quota": ""})
}

/// What registering would do, and why some of it would have to wait.
pub(crate) fn plan(
    host: &ExtensionContext<'_>,
    known: Option<&Known>,
    groups: &[Planned],
    faults: &Faults,
) -> Value {
    let (mut desired, mut failed) = (Map::new(), Map::new());
    for p in groups {
        let old = known.and_then(|k| k.head.groups.iter().find(|g| g.name == p.group && !k.head.stop));
        let there = old.map_or(0, |g| g.count);
        let n = p.spec.tasks;
        desired.insert(
            p.group.clone(),
            json!({"Place": n.saturating_sub(there), "Stop": there.saturating_sub(n),
            "InPlaceUpdate": n.min(there), "DestructiveUpdate": 0, "Ignore": 0}),
        );
        // The limit of the team holds for all its jobs; alone it lets so many run.
        if let Some(team) = host.teams.iter().find(|t| t.name == p.spec.team) {
            let max = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
            let most = if max.cpu == 0 { n as u64 } else { max.cpu / p.spec.task_resources.cpu.max(1) };
            if most < n as u64 {
                failed.insert(
                    p.group.clone(),
                    json!({"CoalescedFailures": n as u64 - most - 1,
                    "QuotaExhausted": [format!("cpu of team {}: {most} of {n} at a time", team.name)]}),
                );
            }
        }
        let fits = |f: &gorseshore_protocol::cloud::Flavor| {
            let size = Resources::capacity(f.cpus, f.gpus, f.memory_gb);
            f.zones.iter().any(|z| p.spec.allows(&f.name, z, false, &size))
        };
        if !host.flavors.iter().any(fits) {
            failed.insert(p.group.clone(), json!({"NodesEvaluated": host.flavors.len(),
                "NodesFiltered": host.flavors.len(), "ConstraintFiltered": {"size or constraints": host.flavors.len()}}));
        }
    }
    let warnings: Vec<String> = faults.list.iter().map(|f| f.to_string()).collect();
    json!({"Annotations": {"DesiredTGUpdates": desired}, "FailedTGAllocs": failed, "Diff": null,
        "JobModifyIndex": known.map_or(0, |k| k.stamp), "CreatedEvals": null, "Warnings": warnings.join("\n")})
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_lead_back_to_their_tasks() {
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
