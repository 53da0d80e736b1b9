//! Where a task goes.
use gorseshore_protocol::ids::Resources;
use gorseshore_protocol::job::{JobSpec, Kind};

/// A machine as placement sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Type.
    pub build: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: &'a Resources,
    /// Free room.
    pub free: Resources,
    /// It has the task's image.
    pub image: bool,
    /// Ordinary CPUs in its zone, in thousandths.
    pub zone_cpu: u64,
}

/// Smaller is better.
pub type Score = (u64, u8, u64, u8, u64);

/// How well a machine suits, smaller is better; `None` if it may not or can't
/// hold the task.
pub fn score(spec: &JobSpec, c: &Candidate<'_>, zone: Option<&str>) -> Option<Score> {
    if !spec.allows(c.build, c.zone, c.spot, c.size) || !c.free.fits(&spec.task_resources) {
        return None;
    }
    if zone.is_some_and(|z| z != c.zone) {
        return None;
    }
    // Work that may be interrupted keeps off ordinary machines while spot ones
    // have room: replicas need them. A machine with the image saves the fetch;
    // among equals the fullest one is filled up.
    let kind = (spec.spot && !c.spot) as u8;
    let left = c.free.saturating_sub(spec.task_resources).cpu;
    let fetch = !c.image as u8;
    // What the job prefers comes before the fetch, but no array takes room on
    // ordinary machines for it.
    let dislike = spec.placement_penalty(c.build, c.zone);
    Some(match spec.kind {
        // Replicas keep to the zone with the most ordinary machines: those of
        // spread jobs need the room in the others.
        Kind::Service => (dislike, fetch, u64::MAX - c.zone_cpu, kind, left),
        Kind::Array => (0, kind, dislike, fetch, left),
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
    fn the_best_machine_is_taken() {
        let size = Resources::capacity(8.0, 0.0, 32.0);
        let c = |zone, spot, cpus: f64, image| Candidate {
            build: "b",
            zone,
            spot,
            size: &size,
            free: Resources::capacity(cpus, 0.0, 32.0),
            image,
            zone_cpu: 0,
        };
        // (changes to the job, zone asked for, machines, the one taken)
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
        for (edit, zone, machines, want) in cases {
            let s = spec(edit);
            let best = machines
                .iter()
                .enumerate()
                .filter_map(|(i, m)| Some((score(&s, m, zone)?, i)))
                .min()
                .map(|(_, i)| i);
            assert_eq!(best, want, "{edit} {zone:?}");
        }
    }
}
