//! Counts the consecutive unanswered probes of a machine that are evidence of its failure.
//!
//! An unanswered probe is confirmed by a proof that the machine's zone was reachable when the probe
//! was sent or later. Only a probe sent after that proof can be confirmed next. Probes sent during
//! a network partition therefore all wait for the same proof, the first one after the partition
//! ends, and only one of them is confirmed. A probe that was in transit as the partition began may
//! be confirmed as well. Hence three confirmed probes are required.
use super::reachability::Reachability;
use gorseshore_protocol::ids::Micros;

/// A machine is silent once its first confirmed probe was sent this long ago.
const SILENCE_TIMEOUT: Micros = Micros::secs(3);
/// Confirmed probes that are required as well.
const MIN_CONFIRMED_PROBES: u32 = 3;

/// The unanswered probes of a machine since its last contact.
#[derive(Debug, Default)]
pub(super) struct Silence {
    confirmed: u32,
    /// When the first confirmed probe was sent.
    first_sent: Option<Micros>,
    /// The proof that confirmed the last probe.
    confirmed_by: Option<Micros>,
    /// When the latest probe that waits for a proof was sent.
    unconfirmed: Option<Micros>,
}

impl Silence {
    /// Records an unanswered probe. Of the probes that wait for a proof only the latest counts.
    pub(super) fn probe_unanswered(&mut self, sent: Micros) {
        if self.confirmed_by.is_none_or(|proof| sent > proof) {
            self.unconfirmed = self.unconfirmed.max(Some(sent));
        }
    }

    /// Confirms the waiting probe if the zone was proved reachable since it was sent.
    pub(super) fn confirm(&mut self, zone: &Reachability) {
        let Some(sent) = self.unconfirmed else { return };
        let Some(proof) = zone.proved_since(sent) else { return };
        self.unconfirmed = None;
        self.confirmed += 1;
        self.first_sent.get_or_insert(sent);
        self.confirmed_by = Some(proof);
    }

    /// Whether a probe waits for its zone to be proved reachable.
    pub(super) fn waits_for_proof(&self) -> bool {
        self.unconfirmed.is_some()
    }

    /// Whether the first confirmed probe was sent at least `duration` ago.
    pub(super) fn lasts(&self, duration: Micros, now: Micros) -> bool {
        self.first_sent.is_some_and(|sent| now.since(sent) >= duration)
    }

    /// Whether the machine is proven silent.
    pub(super) fn is_proven(&self, now: Micros) -> bool {
        self.lasts(SILENCE_TIMEOUT, now) && self.confirmed >= MIN_CONFIRMED_PROBES
    }
}
