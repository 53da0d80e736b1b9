//! Reports of the machine `m`, for the tests of the controller.
use gorseshore_protocol::workers::{Report, ReportedTask};

/// A report of these tasks.
pub(super) fn report(
    agent_epoch: u64,
    sequence: u64,
    fencing_token: u64,
    tasks: Vec<ReportedTask>,
) -> Report {
    Report {
        machine: "m".into(),
        addr: "m:1".into(),
        machine_type: "b".into(),
        zone: "z".into(),
        spot: false,
        agent_epoch,
        sequence,
        fencing_token,
        preemption_notice_s: None,
        tasks,
    }
}

/// A task in a report.
pub(super) fn reported_task(task: &str, attempt: u64, state: &str, cause: Option<&str>) -> ReportedTask {
    ReportedTask {
        task: task.into(),
        attempt,
        state: state.into(),
        cause: cause.map(str::to_owned),
        checkpointed: None,
    }
}
