//! Detects that this process itself runs late. Messages that it has not processed yet say nothing
//! about their senders: a late leader must not take its own delay for the silence of machines.
use gorseshore_protocol::ids::Micros;

/// A tick is due every 20 ms; a leader whose ticks are further apart than this is late.
const MAX_TICK_GAP: Micros = Micros::millis(250);

/// A machine whose last contact is this long ago is silent, however late the leader is.
const CERTAIN_SILENCE_TIMEOUT: Micros = Micros::secs(60);

/// Times of the last tick and of the last late one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lateness {
    started_at: Micros,
    /// The process is late if its ticks are further apart than this.
    max_tick_gap: Micros,
    last_tick: Micros,
    last_late_tick: Option<Micros>,
}

impl Lateness {
    /// For a leader that starts now.
    pub(crate) fn new(now: Micros) -> Self {
        Lateness::with_limit(MAX_TICK_GAP, now)
    }

    /// For a process that is late if its ticks are further apart than `max_tick_gap`.
    pub(crate) fn with_limit(max_tick_gap: Micros, now: Micros) -> Self {
        Lateness { started_at: now, max_tick_gap, last_tick: now, last_late_tick: None }
    }

    /// Records a tick.
    pub(crate) fn record_tick(&mut self, now: Micros) {
        if now.since(self.last_tick) > self.max_tick_gap {
            self.last_late_tick = Some(now);
        }
        self.last_tick = now;
    }

    /// Whether a tick at `from` or later was late, or the next one is late now.
    pub(crate) fn was_late_since(&self, from: Micros, now: Micros) -> bool {
        self.last_late_tick.is_some_and(|at| from <= at) || now.since(self.last_tick) > self.max_tick_gap
    }

    /// The time from which the silence of a machine counts whose last contact was at `last`: that
    /// contact or, if later, the leader's last late tick, or its start if no tick was late.
    pub(crate) fn silence_start(&self, last: Micros) -> Micros {
        self.silence_start_capped(last, CERTAIN_SILENCE_TIMEOUT)
    }

    /// The same for a sender that is silent after `certain`, however late the leader is.
    pub(crate) fn silence_start_capped(&self, last: Micros, certain: Micros) -> Micros {
        last.max(self.last_late_tick.unwrap_or(self.started_at).min(last + certain))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silence_counts_from_the_last_late_tick_of_the_leader() {
        let ms = Micros::millis;
        // (ticks of the leader, last contact of a machine, time from which its silence counts)
        let cases: [(&[u64], u64, u64); 5] = [
            (&[1_000, 1_250, 1_500], 900, 1_000),
            (&[1_000, 1_250, 1_501], 900, 1_501),
            (&[1_000, 3_000, 3_200, 3_400], 2_500, 3_000),
            (&[1_000, 3_000, 3_200, 3_400], 3_100, 3_100),
            (&[1_000, 100_000], 10_000, 70_000),
        ];
        for (ticks, last_contact, expected) in cases {
            let mut lateness = Lateness::new(ms(1_000));
            ticks.iter().for_each(|at| lateness.record_tick(ms(*at)));
            assert_eq!(lateness.silence_start(ms(last_contact)), ms(expected), "{ticks:?} {last_contact}");
        }
    }
}
