//! Leader's records that the state service rejected with 400: they are invalid as they are. Retried
//! in a transaction with others, they would block those forever. So each record of a rejected
//! transaction is retried alone from then on, and one that is rejected alone is skipped for
//! increasing pauses.
use crate::jobs::keys;
use crate::leader::LeaderWrite;
use gorseshore_protocol::ids::Micros;
use log::error;
use std::collections::BTreeMap;

/// Pause after a record is rejected alone for the first time; each further pause is twice as long.
const FIRST_PAUSE: Micros = Micros::secs(1);
/// Limit on how often the pause doubles.
const MAX_DOUBLINGS: u32 = 8;

/// A record that was part of a rejected transaction.
#[derive(Debug, Clone, Copy, Default)]
struct Refusal {
    /// How often it was rejected alone.
    times: u32,
    /// It is skipped until then.
    until: Micros,
}

/// Records to write alone, by key.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    by_key: BTreeMap<String, Refusal>,
}

impl Refusals {
    /// Whether the record must not share a transaction.
    pub fn goes_alone(&self, write: &LeaderWrite) -> bool {
        !self.by_key.is_empty() && self.by_key.contains_key(&key_of(write))
    }

    /// Whether the record is skipped for now.
    pub fn waits(&self, write: &LeaderWrite, now: Micros) -> bool {
        !self.by_key.is_empty() && self.by_key.get(&key_of(write)).is_some_and(|r| now < r.until)
    }

    /// A transaction with these records was rejected.
    pub fn refused(&mut self, writes: &[LeaderWrite], reason: &str, now: Micros) {
        let alone = writes.len() == 1;
        for write in writes {
            let key = key_of(write);
            let refusal = self.by_key.entry(key.clone()).or_default();
            if !alone {
                continue;
            }
            if refusal.times == 0 {
                error!("record refused key={key} reason={reason}");
            }
            let pause = FIRST_PAUSE.0 << refusal.times.min(MAX_DOUBLINGS);
            refusal.times += 1;
            refusal.until = now + Micros(pause);
        }
    }

    /// A transaction with these records was accepted.
    pub fn accepted(&mut self, writes: &[LeaderWrite]) {
        if self.by_key.is_empty() {
            return;
        }
        for write in writes {
            self.by_key.remove(&key_of(write));
        }
    }
}

/// The key that identifies a record, also when its content has changed.
fn key_of(write: &LeaderWrite) -> String {
    match write {
        LeaderWrite::End(id)
        | LeaderWrite::Settle(id)
        | LeaderWrite::CancelledWith(id)
        | LeaderWrite::Fail(id, _) => keys::end(*id),
        LeaderWrite::Machines(ids) => ids.first().map(keys::machines).unwrap_or_default(),
        LeaderWrite::Hire(_) => keys::HIRE.into(),
        LeaderWrite::Progress(id, chunk) => keys::progress(*id, *chunk),
        LeaderWrite::Failures(id, chunk) => keys::failed(*id, *chunk),
        LeaderWrite::Forget(key) => key.clone(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use gorseshore_protocol::ids::JobId;

    #[test]
    fn a_refused_write_holds_up_no_other() {
        let (bad, good) = (LeaderWrite::End(JobId(1)), LeaderWrite::End(JobId(2)));
        let mut refusals = Refusals::default();
        assert!(!refusals.goes_alone(&bad));
        // Rejected together: it is unknown which of them is invalid.
        refusals.refused(&[bad.clone(), good.clone()], "too long", Micros(0));
        for w in [&bad, &good] {
            assert!(refusals.goes_alone(w) && !refusals.waits(w, Micros(0)), "{w:?}");
        }
        refusals.accepted(std::slice::from_ref(&good));
        assert!(!refusals.goes_alone(&good));
        // (rejected alone at, skipped until), in seconds
        let pauses = [(0, 1), (1, 3), (3, 7), (100, 108)];
        for (at, until) in pauses {
            refusals.refused(std::slice::from_ref(&bad), "too long", Micros::secs(at));
            assert!(refusals.waits(&bad, Micros::millis(until * 1000 - 1)), "{at}");
            assert!(!refusals.waits(&bad, Micros::secs(until)), "{at}");
            assert!(refusals.goes_alone(&bad));
        }
        refusals.accepted(std::slice::from_ref(&bad));
        assert!(!refusals.goes_alone(&bad) && !refusals.waits(&bad, Micros(0)));
    }
}
