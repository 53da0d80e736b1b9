//! When the way to a zone last opened, for each controller and for all of them
//! together. A machine counts as silent from then on only: when a cut ends, the
//! first machine that is heard says that the way is open again, and nothing yet
//! about the others, whose reports and answers are still on theirs.
use gorseshore_protocol::ids::{Micros, NodeId};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, Default)]
struct NetworkPath {
    since: Micros,
    last: Micros,
}

/// Ways to zones as they were heard.
#[derive(Debug, Default)]
pub struct Ways {
    zones: BTreeMap<String, BTreeMap<Option<NodeId>, NetworkPath>>,
}

impl Ways {
    /// A machine of the zone was heard at `at` by a controller, or by any of
    /// them (`None`). After more than `gap` without a word the way opens anew.
    pub fn heard(&mut self, by: Option<NodeId>, zone: &str, at: Micros, gap: Micros) {
        let zone = match self.zones.get_mut(zone) {
            Some(z) => z,
            None => self.zones.entry(zone.to_owned()).or_default(),
        };
        let way = zone.entry(by).or_default();
        if at > way.last + gap {
            way.since = at;
        }
        way.last = way.last.max(at);
    }

    /// Since when the way has been open; zero if nothing was heard on it.
    pub fn open_since(&self, by: Option<NodeId>, zone: &str) -> Micros {
        self.zones.get(zone).and_then(|z| z.get(&by)).map_or(Micros(0), |w| w.since)
    }
}
