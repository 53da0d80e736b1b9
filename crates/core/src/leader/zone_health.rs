//! Zone health. A zone whose machines have lost contact, while other zones respond, is closed to
//! renting: a machine rented there would be unreachable too.
//!
//! Invariant: while a zone is closed, at most `probe_allowance` machines of it are booting or requested,
//! and never more than `MAX_PROBE_MACHINES`; the first contact with one of its machines opens it.
use gorseshore_protocol::ids::Micros;
use std::collections::BTreeMap;

/// The silence of fewer machines than this is no evidence about their zone.
const MIN_MACHINES_FOR_EVIDENCE: u32 = 3;
/// Maximum number of machines that may boot in a closed zone. The allowance starts at one and
/// doubles after each `PROBE_DOUBLING_INTERVAL`.
pub const MAX_PROBE_MACHINES: u32 = 8;
/// Time after which the allowance of a closed zone doubles.
const PROBE_DOUBLING_INTERVAL: Micros = Micros::secs(10);

/// The machines of a zone and the last contact with any of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZoneObservation {
    /// Machines believed to be up.
    pub up: u32,
    /// Last contact with any of them, by any controller, in this term.
    pub last_contact: Option<Micros>,
}

/// A change of a zone's state.
#[derive(Debug, Clone, PartialEq)]
pub enum ZoneTransition {
    /// The zone closed: its name, its machines up, and how long none of them had contact.
    Closed(String, u32, Micros),
    /// The zone opened: its name, and how long it was closed.
    Opened(String, Micros),
}

/// The closed zones.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    /// Closed zones, and since when.
    closed: BTreeMap<String, Micros>,
}

impl ZoneHealth {
    /// Opens and closes zones by their observations. Silence counts from `began`, when this
    /// leader began to receive heartbeats; a healthy zone may be silent for `max_silence`.
    pub fn update(
        &mut self,
        observations: &BTreeMap<String, ZoneObservation>,
        began: Micros,
        max_silence: Micros,
        now: Micros,
    ) -> Vec<ZoneTransition> {
        let mut transitions = Vec::new();
        self.closed.retain(|zone, since| {
            let observation = observations.get(zone).copied().unwrap_or_default();
            // A zone without machines can have no further contact.
            let open = observation.up == 0 || observation.last_contact.is_some_and(|t| t > *since);
            if open {
                transitions.push(ZoneTransition::Opened(zone.clone(), now.since(*since)));
            }
            !open
        });
        for (zone, observation) in observations {
            if observation.up < MIN_MACHINES_FOR_EVIDENCE || self.closed.contains_key(zone) {
                continue;
            }
            let silent = now.since(observation.last_contact.unwrap_or(began).max(began));
            // If no zone responds, the fault is the leader's: no zone is closed.
            let others_respond = observations.iter().any(|(z, s)| {
                z != zone && s.last_contact.is_some_and(|t| t > began && now.since(t) < max_silence)
            });
            if silent > max_silence && others_respond {
                self.closed.insert(zone.clone(), now);
                transitions.push(ZoneTransition::Closed(zone.clone(), observation.up, silent));
            }
        }
        transitions
    }

    /// Whether a zone is closed.
    pub fn is_closed(&self, zone: &str) -> bool {
        self.closed.contains_key(zone)
    }

    /// Whether any zone is closed.
    pub fn any_closed(&self) -> bool {
        !self.closed.is_empty()
    }

    /// Machines that may boot in a zone; `None` if it is open, which means no bound.
    pub fn probe_allowance(&self, zone: &str, now: Micros) -> Option<u32> {
        let since = self.closed.get(zone)?;
        let steps = now.since(*since).0 / PROBE_DOUBLING_INTERVAL.0;
        Some(1u32.checked_shl(steps.min(31) as u32).unwrap_or(u32::MAX).min(MAX_PROBE_MACHINES))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_silent_zone_closes_and_the_first_contact_opens_it() {
        // (time in seconds, machines up and last contact in east, the same in west; transitions)
        type Seen = (u32, Option<u64>);
        let steps: [(u64, Seen, Seen, &[&str]); 9] = [
            // A new leader has had no contact yet.
            (102, (50, None), (50, None), &[]),
            // One zone responds; the other has not been silent for long enough.
            (104, (50, Some(104)), (50, None), &[]),
            (110, (50, Some(109)), (50, None), &["close west"]),
            (111, (50, Some(110)), (50, None), &[]),
            // A contact from before the zone closed does not open it.
            (112, (50, Some(111)), (50, Some(103)), &[]),
            (150, (50, Some(149)), (50, Some(149)), &["open west"]),
            // No zone responds: the fault is the leader's.
            (170, (50, Some(149)), (50, Some(149)), &[]),
            // Two silent machines are too few to be evidence.
            (180, (50, Some(179)), (2, Some(149)), &[]),
            (181, (50, Some(180)), (3, Some(149)), &["close west"]),
        ];
        let mut h = ZoneHealth::default();
        for (at, east, west, expected) in steps {
            let observation =
                |(up, heard): Seen| ZoneObservation { up, last_contact: heard.map(Micros::secs) };
            let seen = BTreeMap::from([
                ("east".to_owned(), observation(east)),
                ("west".to_owned(), observation(west)),
            ]);
            let actual: Vec<String> = h
                .update(&seen, Micros::secs(100), Micros::secs(6), Micros::secs(at))
                .iter()
                .map(|t| match t {
                    ZoneTransition::Closed(z, ..) => format!("close {z}"),
                    ZoneTransition::Opened(z, _) => format!("open {z}"),
                })
                .collect();
            assert_eq!(actual, expected, "at {at} s");
        }
        // The allowance doubles up to its bound.
        let allowances: Vec<Option<u32>> =
            [181, 192, 202, 212, 600].map(|s| h.probe_allowance("west", Micros::secs(s))).to_vec();
        assert_eq!(allowances, [Some(1), Some(2), Some(4), Some(8), Some(MAX_PROBE_MACHINES)]);
        assert_eq!(h.probe_allowance("east", Micros::secs(181)), None);
    }
}
