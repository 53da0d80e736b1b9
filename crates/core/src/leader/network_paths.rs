//! When the network path to a zone was last restored, for each controller and for all of them
//! together. A machine's silence counts only from then on: when a network partition ends, the
//! first contact shows that the path is open again, but says nothing about the other machines,
//! whose heartbeats and responses are still in transit.
use gorseshore_protocol::ids::{Micros, NodeId};
use std::collections::BTreeMap;

/// A network path: when it was last restored, and the last contact over it.
#[derive(Debug, Clone, Copy, Default)]
struct NetworkPath {
    opened_at: Micros,
    last_contact: Micros,
}

/// Network paths by zone, and by controller or for all of them (`None`).
#[derive(Debug, Default)]
pub struct NetworkPaths {
    zones: BTreeMap<String, BTreeMap<Option<NodeId>, NetworkPath>>,
}

impl NetworkPaths {
    /// Records a contact at `at` between a machine of the zone and a controller, or any of them
    /// (`None`). If there was none for longer than `gap`, the path counts as restored at `at`.
    pub fn record_contact(&mut self, by: Option<NodeId>, zone: &str, at: Micros, gap: Micros) {
        let zone = match self.zones.get_mut(zone) {
            Some(z) => z,
            None => self.zones.entry(zone.to_owned()).or_default(),
        };
        let path = zone.entry(by).or_default();
        if at > path.last_contact + gap {
            path.opened_at = at;
        }
        path.last_contact = path.last_contact.max(at);
    }

    /// Since when the path has been open; zero if there was no contact over it.
    pub fn open_since(&self, by: Option<NodeId>, zone: &str) -> Micros {
        self.zones.get(zone).and_then(|z| z.get(&by)).map_or(Micros(0), |path| path.opened_at)
    }
}
