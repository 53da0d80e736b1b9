//! What the leader makes of zones from what it hears. A zone of which nothing
//! is heard any more, while others are heard, is closed to renting: a machine
//! rented there boots into the same silence. Invariant: while a zone is closed,
//! at most `allowed` machines of it are booting or asked for, and never more
//! than `MOST_PROBES`; the first machine heard opens it.
use gorseshore_protocol::ids::Micros;
use std::collections::BTreeMap;

/// The silence of fewer machines says nothing about their zone.
const MIN_MACHINES_FOR_EVIDENCE: u32 = 3;
/// Machines that may boot in a closed zone: one at first, twice as many after
/// each `PROBE_DOUBLING_INTERVAL`, up to this.
pub const MOST_PROBES: u32 = 8;
/// How long a closed zone's allowance of probes stays as it is.
const PROBE_DOUBLING_INTERVAL: Micros = Micros::secs(10);

/// What there is of a zone, and when it was last heard.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sight {
    /// Machines that are up as far as is known.
    pub up: u32,
    /// When any of them was last heard, by whomever, in this term.
    pub heard: Option<Micros>,
}

/// A zone's state changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Turn {
    /// Nothing of so many machines was heard for so long.
    Closed(String, u32, Micros),
    /// A machine was heard after so long.
    Opened(String, Micros),
}

/// Zones as they are taken to be.
#[derive(Debug, Default)]
pub struct Health {
    closed: BTreeMap<String, Micros>,
}

impl Health {
    /// Takes what is seen of each zone. `began` is when this leader began to
    /// listen and `patience` how long a sound zone may be silent.
    pub fn look(
        &mut self,
        sights: &BTreeMap<String, Sight>,
        began: Micros,
        patience: Micros,
        now: Micros,
    ) -> Vec<Turn> {
        let mut turns = Vec::new();
        self.closed.retain(|zone, since| {
            let sight = sights.get(zone).copied().unwrap_or_default();
            // Without machines there is nothing left to hear of it.
            let open = sight.up == 0 || sight.heard.is_some_and(|t| t > *since);
            if open {
                turns.push(Turn::Opened(zone.clone(), now.since(*since)));
            }
            !open
        });
        for (zone, sight) in sights {
            if sight.up < MIN_MACHINES_FOR_EVIDENCE || self.closed.contains_key(zone) {
                continue;
            }
            let silent = now.since(sight.heard.unwrap_or(began).max(began));
            // Who hears nothing at all learns nothing about one zone.
            let heard_elsewhere = sights
                .iter()
                .any(|(z, s)| z != zone && s.heard.is_some_and(|t| t > began && now.since(t) < patience));
            if silent > patience && heard_elsewhere {
                self.closed.insert(zone.clone(), now);
                turns.push(Turn::Closed(zone.clone(), sight.up, silent));
            }
        }
        turns
    }

    /// Whether a zone is closed.
    pub fn is_closed(&self, zone: &str) -> bool {
        self.closed.contains_key(zone)
    }

    /// Whether any zone is closed.
    pub fn any_closed(&self) -> bool {
        !self.closed.is_empty()
    }

    /// How many machines may boot in a zone; no bound while it is open.
    pub fn allowed(&self, zone: &str, now: Micros) -> Option<u32> {
        let since = self.closed.get(zone)?;
        let steps = now.since(*since).0 / PROBE_DOUBLING_INTERVAL.0;
        Some(1u32.checked_shl(steps.min(31) as u32).unwrap_or(u32::MAX).min(MOST_PROBES))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_silent_zone_closes_and_the_first_machine_heard_opens_it() {
        // (seconds, machines and when heard in east, the same in west; what turns)
        type Seen = (u32, Option<u64>);
        let steps: [(u64, Seen, Seen, &[&str]); 9] = [
            // A new leader has heard nobody yet.
            (102, (50, None), (50, None), &[]),
            // It hears one zone; the other gets its time.
            (104, (50, Some(104)), (50, None), &[]),
            (110, (50, Some(109)), (50, None), &["close west"]),
            (111, (50, Some(110)), (50, None), &[]),
            // What was heard before the closing does not open it.
            (112, (50, Some(111)), (50, Some(103)), &[]),
            (150, (50, Some(149)), (50, Some(149)), &["open west"]),
            // Nothing is heard of any: it is the leader that is deaf.
            (170, (50, Some(149)), (50, Some(149)), &[]),
            // Two machines are no zone.
            (180, (50, Some(179)), (2, Some(149)), &[]),
            (181, (50, Some(180)), (3, Some(149)), &["close west"]),
        ];
        let mut h = Health::default();
        for (at, east, west, want) in steps {
            let sight = |(up, heard): Seen| Sight { up, heard: heard.map(Micros::secs) };
            let seen = BTreeMap::from([("east".to_owned(), sight(east)), ("west".to_owned(), sight(west))]);
            let got: Vec<String> = h
                .look(&seen, Micros::secs(100), Micros::secs(6), Micros::secs(at))
                .iter()
                .map(|t| match t {
                    Turn::Closed(z, ..) => format!("close {z}"),
                    Turn::Opened(z, _) => format!("open {z}"),
                })
                .collect();
            assert_eq!(got, want, "at {at} s");
        }
        // Probes: bounded, and growing.
        let allowed: Vec<Option<u32>> =
            [181, 192, 202, 212, 600].map(|s| h.allowed("west", Micros::secs(s))).to_vec();
        assert_eq!(allowed, [Some(1), Some(2), Some(4), Some(8), Some(MOST_PROBES)]);
        assert_eq!(h.allowed("east", Micros::secs(181)), None);
    }
}
