//! Start-time fair queueing (SFQ) between teams.
//!
//! A task's start tag is the larger of the virtual time and its team's last
//! finish tag; its finish tag is the start tag plus cost / weight; the virtual
//! time is the last served start tag. Only the head task of a team needs a
//! tag: a task behind it starts at the finish tag of the one before.
use std::collections::BTreeMap;

/// Virtual time, in millionths of a cost unit at weight one.
pub type Tag = u64;

/// Tag units per cost unit.
const TAGS_PER_COST_UNIT: f64 = 1e6;

#[derive(Debug, Default, Clone)]
struct Team {
    /// `cost / weight`, in tag units.
    step: Tag,
    finish: Tag,
    /// Start tag of the head task while the team has pending tasks.
    head: Option<Tag>,
}

/// The tags of one queue. A new leader starts with a fresh one.
#[derive(Debug, Default, Clone)]
pub struct FairQueue {
    virtual_time: Tag,
    teams: BTreeMap<String, Team>,
}

impl FairQueue {
    /// Sets whether a team has pending tasks. A team that becomes pending gets its head tag here;
    /// one that no longer is loses it, keeping its finish tag.
    pub fn set_pending(&mut self, team: &str, pending: bool, cost: f64, weight: f64) {
        let v = self.virtual_time;
        let t = match self.teams.get_mut(team) {
            Some(t) => t,
            None => self.teams.entry(team.to_owned()).or_default(),
        };
        t.step = (cost / weight * TAGS_PER_COST_UNIT).max(1.0) as Tag;
        match (pending, t.head) {
            (true, None) => t.head = Some(v.max(t.finish)),
            (false, Some(_)) => t.head = None,
            _ => {}
        }
    }

    /// The pending teams, smallest start tag first; ties are broken by name, so that the order is
    /// deterministic.
    pub fn order(&self) -> Vec<(Tag, String)> {
        let mut v: Vec<(Tag, String)> =
            self.teams.iter().filter_map(|(n, t)| t.head.map(|h| (h, n.clone()))).collect();
        v.sort();
        v
    }

    /// Serves the head task of `team`: advances the virtual time and the team's tags.
    pub fn serve(&mut self, team: &str) {
        if let Some(t) = self.teams.get_mut(team)
            && let Some(head) = t.head
        {
            self.virtual_time = head;
            t.finish = head + t.step;
            t.head = Some(t.finish);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Serves `n` tasks, each from the first team that `eligible` allows.
    fn run(q: &mut FairQueue, n: usize, eligible: impl Fn(&str) -> bool) -> String {
        let mut out = String::new();
        for _ in 0..n {
            let Some((_, t)) = q.order().into_iter().find(|(_, t)| eligible(t)) else { break };
            q.serve(&t);
            out.push_str(&t);
        }
        out
    }

    #[test]
    fn serve_orders() {
        // (weights of the pending teams, teams at their limit; order served)
        let cases: [(&[(&str, f64)], &str, &str); 5] = [
            (&[("a", 1.0)], "", "aaaaaa"),
            (&[("a", 1.0), ("b", 1.0)], "", "ababab"),
            (&[("a", 2.0), ("b", 1.0)], "", "abaaba"),
            (&[("a", 1.0), ("b", 1.0), ("c", 1.0)], "b", "acacac"),
            (&[("a", 1.0)], "a", ""),
        ];
        for (teams, limited, expected) in cases {
            let mut q = FairQueue::default();
            for (t, w) in teams {
                q.set_pending(t, true, 1.0, *w);
            }
            assert_eq!(run(&mut q, 6, |t| !limited.contains(t)), expected, "{teams:?}");
        }
    }

    #[test]
    fn a_late_light_team_is_served_next_without_credit_for_its_absence() {
        let mut q = FairQueue::default();
        q.set_pending("heavy", true, 1.0, 1.0);
        run(&mut q, 100, |_| true);
        q.set_pending("light", true, 1.0, 1.0);
        // The virtual time (99) lies below heavy's head (100): light goes first,
        // then they alternate; light gets no credit for the time before it was pending.
        assert_eq!(run(&mut q, 5, |_| true), "lightheavylightheavylight");
    }

    #[test]
    fn leaving_and_returning_does_not_reset_a_finish_tag() {
        let mut q = FairQueue::default();
        q.set_pending("a", true, 1.0, 1.0);
        q.set_pending("b", true, 1.0, 1.0);
        assert_eq!(run(&mut q, 1, |t| t == "a"), "a");
        q.set_pending("a", false, 1.0, 1.0);
        q.set_pending("a", true, 1.0, 1.0);
        assert_eq!(run(&mut q, 2, |_| true), "ba");
    }

    #[test]
    fn a_skipped_team_keeps_its_tag_and_catches_up() {
        let mut q = FairQueue::default();
        q.set_pending("a", true, 1.0, 1.0);
        q.set_pending("b", true, 1.0, 1.0);
        run(&mut q, 3, |t| t == "a");
        assert_eq!(run(&mut q, 4, |_| true), "bbba");
    }
}
