//! Scores machines for the placement of a task.
use gorseshore_protocol::ids::Resources;
use gorseshore_protocol::job::{JobSpec, Kind};

/// No task is placed on a machine whose worker has this many, exited ones included: a report of
/// them all has to fit into 64 KiB.
pub const MAX_REPORTED_TASKS: usize = 500;

/// The attributes of a machine that placement uses.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: &'a Resources,
    /// Free resources.
    pub free: Resources,
    /// Whether it has the task's image.
    pub has_image: bool,
    /// CPUs of on-demand machines in its zone, in thousandths.
    pub zone_cpu: u64,
}

/// Score of a machine for a task; smaller is better.
pub type Score = (u64, u8, u64, u8, u64);

/// Scores a machine for a task of the job; `None` if the job does not allow the machine, the task
/// does not fit, or the machine is not in `zone`.
pub fn score(spec: &JobSpec, c: &Candidate<'_>, zone: Option<&str>) -> Option<Score> {
    if !spec.allows(c.machine_type, c.zone, c.spot, c.size) || !c.free.fits(&spec.task_resources) {
        return None;
    }
    if zone.is_some_and(|z| z != c.zone) {
        return None;
    }
    // Interruptible tasks avoid on-demand machines while spot machines have free capacity, because
    // replicas need those. A machine with the image saves the fetch. Among equals, the machine
    // with the fewest CPUs left is filled first.
    let on_demand = (spec.spot && !c.spot) as u8;
    let left = c.free.saturating_sub(spec.task_resources).cpu;
    let fetch = !c.has_image as u8;
    // The job's preferences come before the fetch, but no array takes an on-demand machine because
    // of them.
    let penalty = spec.placement_penalty(c.machine_type, c.zone);
    Some(match spec.kind {
        // Replicas go to the zone with the most on-demand CPUs: the replicas of spread jobs need
        // the capacity in the other zones.
        Kind::Service => (penalty, fetch, u64::MAX - c.zone_cpu, on_demand, left),
        Kind::Array => (0, on_demand, penalty, fetch, left),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use gorseshore_protocol::users::parse_submission;

    fn spec(edit: &str) -> JobSpec {
        let base = r#"{"ref":"j-000001","lot":"l","crew":"t","manner":"array","rank":"standard",
            "pieces":4,"cpus":2,"gpus":0,"memory_gb":4,"bundle":"i","image_gb":1,"builds":null,
            "yard":null,"same_place":false,"apart":false,"loaners":true,"guess_s":10,"mark_s":0,
            "stow_s":0}"#;
        let mut v: serde_json::Value = serde_json::from_str(base).unwrap();
        let e: serde_json::Value = serde_json::from_str(edit).unwrap();
        for (k, x) in e.as_object().unwrap() {
            v[k] = x.clone();
        }
        parse_submission(v.to_string().as_bytes()).unwrap()
    }

    #[test]
    fn the_machine_with_the_smallest_score_is_taken() {
        let size = Resources::capacity(8.0, 0.0, 32.0);
        let c = |zone, spot, cpus: f64, image| Candidate {
            machine_type: "b",
            zone,
            spot,
            size: &size,
            free: Resources::capacity(cpus, 0.0, 32.0),
            has_image: image,
            zone_cpu: 0,
        };
        // (changes to the job, required zone, machines; index of the best one)
        let cases = [
            ("{}", None, vec![c("a", true, 8.0, false), c("a", true, 2.0, false)], Some(1)),
            ("{}", None, vec![c("a", false, 2.0, true), c("a", true, 8.0, false)], Some(1)),
            ("{}", None, vec![c("a", true, 2.0, false), c("a", true, 8.0, true)], Some(1)),
            (r#"{"loaners":false}"#, None, vec![c("a", true, 8.0, true)], None),
            (r#"{"yard":"b"}"#, None, vec![c("a", true, 8.0, true)], None),
            (r#"{"builds":["x"]}"#, None, vec![c("a", true, 8.0, true)], None),
            (r#"{"builds":["x","b"]}"#, None, vec![c("a", true, 8.0, true)], Some(0)),
            ("{}", Some("b"), vec![c("a", true, 8.0, true), c("b", true, 8.0, false)], Some(1)),
            ("{}", None, vec![c("a", true, 1.9, true)], None),
            (r#"{"memory_gb":33}"#, None, vec![c("a", true, 8.0, true)], None),
        ];
        for (edit, zone, machines, expected) in cases {
            let s = spec(edit);
            let best = machines
                .iter()
                .enumerate()
                .filter_map(|(i, m)| Some((score(&s, m, zone)?, i)))
                .min()
                .map(|(_, i)| i);
            assert_eq!(best, expected, "{edit} {zone:?}");
        }
    }
}
