//! The job specification as a table: what is served, what is accepted without effect, and what is
//! refused and why. The reader checks files against it, so a field that is not listed can't be
//! accepted. `docs/nomad.md` contains the table as Markdown.
use std::fmt::Write;

/// How a field is supported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Support {
    /// Works as the specification says, or as the text says instead.
    Served(&'static str),
    /// Accepted without effect, with a warning that gives this reason. The shape of a field is
    /// checked; the contents of a stanza are not.
    NoEffect(&'static str),
    /// A file that sets the field is refused for this reason.
    Refused(&'static str),
    /// Sent to clients by the interface, and ignored when a client sends it.
    ReadOnly,
}

/// The kind of value that a field holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Text.
    Text,
    /// A whole number from 0.
    Integer,
    /// A number.
    Number,
    /// A boolean.
    Bool,
    /// A duration: `"1h30m"`, or whole nanoseconds.
    Duration,
    /// A list of texts.
    TextList,
    /// A map of texts, as a block or an attribute.
    Map,
    /// Any value.
    Any,
    /// At most one block.
    Block,
    /// Any number of blocks without label.
    Blocks,
    /// Any number of blocks with one label.
    LabeledBlocks,
}

/// A row of the table.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// Path in files, such as `group.task.resources.cpu`; a leading `*` stands for every place
    /// where the stanza may occur.
    pub path: &'static str,
    /// Last part of the name in the interface's JSON.
    pub json: &'static str,
    /// Kind of value.
    pub shape: Shape,
    /// How it is supported.
    pub support: Support,
}

use Shape::{Any, Block, Blocks, Bool, Duration, Integer, LabeledBlocks, Map, Number, Text, TextList};
use Support::{NoEffect, ReadOnly, Refused, Served};

const fn row(path: &'static str, json: &'static str, shape: Shape, support: Support) -> Row {
    Row { path, json, shape, support }
}

const SERVICE_MESH: &str = "there is no service mesh";
const VOLUMES: &str = "there are no volumes: machines come and go with all that is on them";
const SECRETS: &str = "there is no secret store to ask";
const TASK_SETUP: &str = "the worker starts the task by itself; this needs a helper on the machine";
const NETWORK: &str = "workers give tasks no networks or ports of their own";
const SERVICE_DISCOVERY: &str = "there is no service registry to enter it into";
const NO_ROLLING_UPDATE: &str = "a new version replaces the old one as a whole";
const MULTI_REGION: &str = "a job runs at one site";
const DEVICES: &str = "the machine types don't tell of devices";

/// All stanzas and fields.
pub const ROWS: &[Row] = &[
    // Job.
    row("id", "ID", Text, Served("the name that the job goes by; its label if it is not set")),
    row("name", "Name", Text, Served("shown; the id if it is not set")),
    row("namespace", "Namespace", Text, Served("`default` if it is not set; part of the job's name")),
    row("region", "Region", Text, Served("must be `global` or the region in the operators' file")),
    row(
        "type",
        "Type",
        Text,
        Served("`service` (the default) or `batch`; `system` and `sysbatch` are refused"),
    ),
    row(
        "priority",
        "Priority",
        Integer,
        Served("1 to 100, 50 if not set: within the class's rank only, never above it"),
    ),
    row(
        "datacenters",
        "Datacenters",
        TextList,
        Served("zones, `*` for any part of a name; every zone if not set"),
    ),
    row("node_pool", "NodePool", Text, Served("`default` or `all`; there are no other pools")),
    row("all_at_once", "AllAtOnce", Bool, NoEffect("tasks are started as machines have room")),
    row("meta", "Meta", Map, Served("kept with the job, checked against `meta_required` at dispatch")),
    row("vault_token", "VaultToken", Text, Refused(SECRETS)),
    row("consul_token", "ConsulToken", Text, Refused(SERVICE_DISCOVERY)),
    row("constraint", "Constraints", Blocks, Served("narrows machine types and zones at registration")),
    row("affinity", "Affinities", Blocks, Served("machines that match come first where there is a choice")),
    row(
        "spread",
        "Spreads",
        Blocks,
        Served("over `${node.datacenter}`: at most half of a group in one zone"),
    ),
    row("periodic", "Periodic", Block, Served("launches by cron, each exactly once")),
    row("periodic.enabled", "Enabled", Bool, Served("true if not set")),
    row("periodic.cron", "Spec", Text, Served("five fields, or a name such as `@daily`")),
    row("periodic.crons", "Specs", TextList, Served("several of them; the earliest counts")),
    row("periodic.spec_type", "SpecType", Text, Served("`cron`")),
    row("periodic.prohibit_overlap", "ProhibitOverlap", Bool, Served("no launch while an earlier one runs")),
    row("periodic.time_zone", "TimeZone", Text, Served("a name of the time zone database, UTC if not set")),
    row("parameterized", "ParameterizedJob", Block, Served("runs by dispatch only")),
    row(
        "parameterized.payload",
        "Payload",
        Text,
        Served("`optional` (the default), `required` or `forbidden`"),
    ),
    row("parameterized.meta_required", "MetaRequired", TextList, Served("keys that a dispatch must give")),
    row("parameterized.meta_optional", "MetaOptional", TextList, Served("keys that it may give")),
    row("update", "Update", Block, NoEffect(NO_ROLLING_UPDATE)),
    row("multiregion", "Multiregion", Block, Refused(MULTI_REGION)),
    row(
        "migrate",
        "Migrate",
        Block,
        NoEffect("a machine that is drained has its tasks started elsewhere at once"),
    ),
    row("reschedule", "Reschedule", Block, Served("as in a group, for all groups that have none")),
    row("vault", "Vault", Block, Refused(SECRETS)),
    row("ui", "UI", Block, NoEffect("there is no web interface")),
    // Fields that the interface sends to clients.
    row("parent_id", "ParentID", Text, ReadOnly),
    row("dispatched", "Dispatched", Bool, ReadOnly),
    row("dispatch_idempotency_token", "DispatchIdempotencyToken", Text, ReadOnly),
    row("payload", "Payload", Any, ReadOnly),
    row("stop", "Stop", Bool, ReadOnly),
    row("status", "Status", Text, ReadOnly),
    row("status_description", "StatusDescription", Text, ReadOnly),
    row("stable", "Stable", Bool, ReadOnly),
    row("version", "Version", Integer, ReadOnly),
    row("version_tag", "VersionTag", Any, ReadOnly),
    row("submit_time", "SubmitTime", Number, ReadOnly),
    row("create_index", "CreateIndex", Integer, ReadOnly),
    row("modify_index", "ModifyIndex", Integer, ReadOnly),
    row("job_modify_index", "JobModifyIndex", Integer, ReadOnly),
    row("nomad_token_id", "NomadTokenID", Text, ReadOnly),
    row("consul_namespace", "ConsulNamespace", Text, ReadOnly),
    row("vault_namespace", "VaultNamespace", Text, ReadOnly),
    // Group.
    row("group", "TaskGroups", LabeledBlocks, Served("each becomes one array or service")),
    row("group.name", "Name", Text, Served("in JSON; the label in files")),
    row("group.count", "Count", Integer, Served("1 if not set; the class bounds the sum over all groups")),
    row("group.meta", "Meta", Map, Served("kept with the job")),
    row("group.constraint", "Constraints", Blocks, Served("with the job's")),
    row("group.affinity", "Affinities", Blocks, Served("with the job's")),
    row("group.spread", "Spreads", Blocks, Served("with the job's")),
    row("group.restart", "RestartPolicy", Block, Served("failed attempts that a task has on one machine")),
    row(
        "group.reschedule",
        "ReschedulePolicy",
        Block,
        Served("times that it moves on to another machine after that"),
    ),
    row("group.ephemeral_disk", "EphemeralDisk", Block, Served("its size")),
    row("group.ephemeral_disk.size", "SizeMB", Integer, Served("in MB; the class bounds it")),
    row("group.ephemeral_disk.migrate", "Migrate", Bool, Refused("data on a machine goes with the machine")),
    row("group.ephemeral_disk.sticky", "Sticky", Bool, NoEffect("a task moves wherever there is room")),
    row("group.update", "Update", Block, NoEffect(NO_ROLLING_UPDATE)),
    row(
        "group.migrate",
        "Migrate",
        Block,
        NoEffect("a machine that is drained has its tasks started elsewhere at once"),
    ),
    row("group.network", "Networks", Blocks, Refused(NETWORK)),
    row("group.service", "Services", Blocks, Refused(SERVICE_DISCOVERY)),
    row("group.volume", "Volumes", LabeledBlocks, Refused(VOLUMES)),
    row("group.consul", "Consul", Block, Refused(SERVICE_DISCOVERY)),
    row("group.vault", "Vault", Block, Refused(SECRETS)),
    row("group.scaling", "Scaling", Block, NoEffect("there is no autoscaler; `scale` is served")),
    row(
        "group.disconnect",
        "Disconnect",
        Block,
        Refused("a machine that is cut off keeps or loses its tasks by the worker's lease"),
    ),
    row(
        "group.shutdown_delay",
        "ShutdownDelay",
        Duration,
        NoEffect("no service registry has to forget the task first"),
    ),
    row(
        "group.stop_after_client_disconnect",
        "StopAfterClientDisconnect",
        Duration,
        Refused("the worker's lease decides that"),
    ),
    row(
        "group.max_client_disconnect",
        "MaxClientDisconnect",
        Duration,
        Refused("the worker's lease decides that"),
    ),
    row(
        "group.prevent_reschedule_on_lost",
        "PreventRescheduleOnLost",
        Bool,
        Refused("a task whose machine is gone is started again"),
    ),
    row("group.gang", "Gang", Block, Refused("tasks of a group start one by one")),
    // Task.
    row("group.task", "Tasks", LabeledBlocks, Served("one a group")),
    row("group.task.name", "Name", Text, Served("in JSON; the label in files")),
    row(
        "group.task.driver",
        "Driver",
        Text,
        Served("named in the class's images, or the image is `config.image`"),
    ),
    row(
        "group.task.config",
        "Config",
        Any,
        Served("kept with the job for the worker; `image` names the image"),
    ),
    row("group.task.env", "Env", Map, Served("kept with the job for the worker")),
    row("group.task.meta", "Meta", Map, Served("kept with the job")),
    row("group.task.user", "User", Text, Refused("workers run tasks as the user that they run as")),
    row("group.task.leader", "Leader", Bool, NoEffect("a group has one task")),
    row(
        "group.task.kill_timeout",
        "KillTimeout",
        Duration,
        Served("time to end when it is stopped, 5 s if not set"),
    ),
    row("group.task.kill_signal", "KillSignal", Text, NoEffect("the worker's own signal ends the task")),
    row(
        "group.task.shutdown_delay",
        "ShutdownDelay",
        Duration,
        NoEffect("no service registry has to forget the task first"),
    ),
    row("group.task.constraint", "Constraints", Blocks, Served("with the group's")),
    row("group.task.affinity", "Affinities", Blocks, Served("with the group's")),
    row("group.task.restart", "RestartPolicy", Block, Served("in place of the group's")),
    row("group.task.resources", "Resources", Block, Served("what one repeat takes of its machine")),
    row(
        "group.task.resources.cpu",
        "CPU",
        Integer,
        Served("in MHz; `mhz_per_cpu` of the operators' file turns it into CPUs; 100 if not set"),
    ),
    row("group.task.resources.cores", "Cores", Integer, Served("whole CPUs, in place of `cpu`")),
    row("group.task.resources.memory", "MemoryMB", Integer, Served("in MiB; 300 if not set")),
    row("group.task.resources.memory_max", "MemoryMaxMB", Integer, NoEffect("a task has what `memory` says")),
    row("group.task.resources.disk", "DiskMB", Integer, NoEffect("`ephemeral_disk` counts")),
    row("group.task.resources.iops", "IOPS", Integer, NoEffect("it is no longer part of the specification")),
    row("group.task.resources.device", "Devices", Blocks, Refused(DEVICES)),
    row("group.task.resources.network", "Networks", Blocks, Refused(NETWORK)),
    row("group.task.resources.numa", "NUMA", Block, Refused(DEVICES)),
    row("group.task.resources.secrets", "SecretsMB", Integer, Refused(SECRETS)),
    row("group.task.resources.custom", "Custom", Blocks, Refused(DEVICES)),
    row("group.task.logs", "LogConfig", Block, NoEffect("logs are kept as the worker is set to")),
    row("group.task.artifact", "Artifacts", Blocks, Refused(TASK_SETUP)),
    row("group.task.template", "Templates", Blocks, Refused(TASK_SETUP)),
    row("group.task.dispatch_payload", "DispatchPayload", Block, Refused(TASK_SETUP)),
    row(
        "group.task.lifecycle",
        "Lifecycle",
        Block,
        Refused("a group has one task, which starts and ends by itself"),
    ),
    row("group.task.service", "Services", Blocks, Refused(SERVICE_DISCOVERY)),
    row("group.task.volume_mount", "VolumeMounts", Blocks, Refused(VOLUMES)),
    row("group.task.csi_plugin", "CSIPluginConfig", Block, Refused(VOLUMES)),
    row("group.task.vault", "Vault", Block, Refused(SECRETS)),
    row("group.task.consul", "Consul", Block, Refused(SERVICE_DISCOVERY)),
    row("group.task.identity", "Identities", Blocks, Refused(SECRETS)),
    row("group.task.secret", "Secrets", LabeledBlocks, Refused(SECRETS)),
    row(
        "group.task.action",
        "Actions",
        LabeledBlocks,
        Refused("nothing can be run inside a task from outside"),
    ),
    row("group.task.schedule", "Schedule", Block, Refused("a task runs from its start to its end")),
    row("group.task.kind", "Kind", Text, Refused(SERVICE_MESH)),
    row("group.task.scaling", "ScalingPolicies", Blocks, NoEffect("there is no autoscaler")),
    // Stanzas that occur in several places.
    row(
        "*constraint.attribute",
        "LTarget",
        Text,
        Served(
            "`${node.datacenter}`, `${node.class}`, `${node.region}`, `${node.pool}`, `${attr.cpu.numcores}`, `${attr.cpu.totalcompute}`, `${attr.memory.totalbytes}`, `${attr.kernel.name}`, `${attr.unique.spot}`",
        ),
    ),
    row("*constraint.value", "RTarget", Text, Served("what it is compared with")),
    row(
        "*constraint.operator",
        "Operand",
        Text,
        Served(
            "`=`, `!=`, `<`, `<=`, `>`, `>=`, `regexp`, `set_contains`, `set_contains_all`, `set_contains_any`, `is_set`, `is_not_set`",
        ),
    ),
    row("*constraint.regexp", "Regexp", Text, Served("short for the operator")),
    row("*constraint.set_contains", "SetContains", Text, Served("short for the operator")),
    row("*constraint.set_contains_all", "SetContainsAll", Text, Served("short for the operator")),
    row("*constraint.set_contains_any", "SetContainsAny", Text, Served("short for the operator")),
    row("*constraint.version", "Version", Text, Refused("the machine types tell of no versions")),
    row("*constraint.semver", "Semver", Text, Refused("the machine types tell of no versions")),
    row(
        "*constraint.distinct_hosts",
        "DistinctHosts",
        Bool,
        Refused("repeats share machines where there is room"),
    ),
    row(
        "*constraint.distinct_property",
        "DistinctProperty",
        Text,
        Refused("repeats share machines where there is room"),
    ),
    row("*affinity.attribute", "LTarget", Text, Served("as in a constraint")),
    row("*affinity.value", "RTarget", Text, Served("what it is compared with")),
    row("*affinity.operator", "Operand", Text, Served("as in a constraint")),
    row("*affinity.regexp", "Regexp", Text, Served("short for the operator")),
    row("*affinity.set_contains", "SetContains", Text, Served("short for the operator")),
    row("*affinity.set_contains_all", "SetContainsAll", Text, Served("short for the operator")),
    row("*affinity.set_contains_any", "SetContainsAny", Text, Served("short for the operator")),
    row("*affinity.version", "Version", Text, Refused("the machine types tell of no versions")),
    row("*affinity.semver", "Semver", Text, Refused("the machine types tell of no versions")),
    row("*affinity.weight", "Weight", Number, Served("-100 to 100 without 0, 50 if not set")),
    row("*spread.attribute", "Attribute", Text, Served("`${node.datacenter}`; others are refused")),
    row("*spread.weight", "Weight", Integer, Served("0 to 100; 0 switches it off")),
    row(
        "*spread.target",
        "SpreadTarget",
        LabeledBlocks,
        Refused("zones share evenly; shares of their own are not kept"),
    ),
    row("*spread.target.value", "Value", Text, ReadOnly),
    row("*spread.target.percent", "Percent", Integer, ReadOnly),
    row(
        "*restart.attempts",
        "Attempts",
        Integer,
        Served("3 for batch and 2 for service if not set; the class bounds it"),
    ),
    row("*restart.interval", "Interval", Duration, NoEffect("attempts count over the task's whole life")),
    row(
        "*restart.delay",
        "Delay",
        Duration,
        NoEffect("a task that fails waits longer each time, from 0.2 s on"),
    ),
    row("*restart.mode", "Mode", Text, Served("`fail`, or `delay`: no end of attempts")),
    row("*restart.render_templates", "RenderTemplates", Bool, NoEffect("there are no templates")),
    row("*reschedule.attempts", "Attempts", Integer, Served("1 for batch if not set; the class bounds it")),
    row(
        "*reschedule.unlimited",
        "Unlimited",
        Bool,
        Served("no end of attempts; true for services if not set"),
    ),
    row("*reschedule.interval", "Interval", Duration, NoEffect("attempts count over the task's whole life")),
    row(
        "*reschedule.delay",
        "Delay",
        Duration,
        NoEffect("a task that fails waits longer each time, from 0.2 s on"),
    ),
    row(
        "*reschedule.delay_function",
        "DelayFunction",
        Text,
        NoEffect("a task that fails waits longer each time, from 0.2 s on"),
    ),
    row(
        "*reschedule.max_delay",
        "MaxDelay",
        Duration,
        NoEffect("a task that fails waits longer each time, at most 64 s"),
    ),
];

/// The row of a field; `parent` is the path of its stanza.
pub fn find(parent: &str, name: &str) -> Option<&'static Row> {
    fields_of(parent).find(|r| last_segment(r.path) == name)
}

/// The row of a field, by its name in JSON.
pub fn find_json(parent: &str, name: &str) -> Option<&'static Row> {
    fields_of(parent).find(|r| r.json == name)
}

/// All fields of a stanza.
pub fn fields_of(parent: &str) -> impl Iterator<Item = &'static Row> {
    // `group.task.constraint` has the fields of `*constraint`.
    let shared = ["constraint", "affinity", "spread.target", "spread", "restart", "reschedule"]
        .into_iter()
        .find(|s| parent == *s || parent.ends_with(&format!(".{s}")));
    let parent = parent.to_owned();
    ROWS.iter().filter(move |r| match (r.path.strip_prefix('*'), shared) {
        (Some(p), Some(s)) => parent_path(p) == s,
        (None, None) => parent_path(r.path) == parent,
        _ => false,
    })
}

/// The last segment of a path.
pub fn last_segment(path: &str) -> &str {
    let path = path.strip_prefix('*').unwrap_or(path);
    path.rsplit_once('.').map_or(path, |x| x.1)
}

fn parent_path(path: &str) -> &str {
    path.rsplit_once('.').map_or("", |x| x.0)
}

/// The table as Markdown, for `docs/nomad.md`.
pub fn markdown() -> String {
    let mut out = String::from(
        "| stanza or field | in JSON | verdict | what that means |\n| --- | --- | --- | --- |\n",
    );
    for r in ROWS.iter().filter(|r| r.support != ReadOnly) {
        let (support, text) = match r.support {
            Served(t) => ("served", t),
            NoEffect(t) => ("without effect", t),
            Refused(t) => ("refused", t),
            ReadOnly => continue,
        };
        let path = match r.path.strip_prefix('*') {
            Some(p) => format!("… {}", p.replace('.', " ")),
            None => r.path.replace('.', " "),
        };
        let _ = writeln!(out, "| `{path}` | `{}` | {support} | {text} |", r.json);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rows_are_unique_and_belong_to_a_stanza() {
        for (i, r) in ROWS.iter().enumerate() {
            assert!(!ROWS[..i].iter().any(|x| x.path == r.path), "{} stands twice", r.path);
            let up = parent_path(r.path.strip_prefix('*').unwrap_or(r.path));
            let known = up.is_empty()
                || ROWS.iter().any(|x| {
                    let same = x.path.strip_prefix('*').unwrap_or(x.path) == up || last_segment(x.path) == up;
                    same && matches!(x.shape, Block | Blocks | LabeledBlocks)
                });
            assert!(known, "{} is in no stanza", r.path);
        }
        assert_eq!(find("group.task.restart", "attempts").map(|r| r.json), Some("Attempts"));
        assert_eq!(find("group.task", "colour").map(|r| r.path), None);
        assert_eq!(find_json("group", "TaskGroups").map(|r| r.path), None);
    }
}
