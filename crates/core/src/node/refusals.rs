//! Leader's writes that the state service answered with 400: never valid as they
//! are. Repeated together with others they would hold those up for ever, so each
//! of a refused transaction goes alone from then on, and one that is refused
//! alone is left out for growing pauses.
use crate::jobs::keys;
use crate::leader::LeaderWrite;
use gorseshore_protocol::ids::Micros;
use log::error;
use std::collections::BTreeMap;

/// The first pause of a write that was refused alone; each further one is twice
/// as long.
const FIRST_PAUSE: Micros = Micros::secs(1);
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 8;

/// A write that was part of a refused transaction.
#[derive(Debug, Clone, Copy, Default)]
struct Refusal {
    /// How often it was refused alone.
    times: u32,
    /// It is left out until then.
    until: Micros,
}

/// Writes that go alone, by the key that they are about.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    by_key: BTreeMap<String, Refusal>,
}

impl Refusals {
    /// Whether the write must not share a transaction.
    pub fn goes_alone(&self, write: &LeaderWrite) -> bool {
        !self.by_key.is_empty() && self.by_key.contains_key(&key_of(write))
    }

    /// Whether the write is left out for now.
    pub fn waits(&self, write: &LeaderWrite, now: Micros) -> bool {
        !self.by_key.is_empty() && self.by_key.get(&key_of(write)).is_some_and(|r| now < r.until)
    }

    /// A transaction of these writes was refused.
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

    /// A transaction of these writes was taken.
    pub fn accepted(&mut self, writes: &[LeaderWrite]) {
        if self.by_key.is_empty() {
            return;
        }
        for write in writes {
            self.by_key.remove(&key_of(write));
        }
    }
}

/// The key that tells a write from others: also when what it says has changed.
fn key_of(write: &LeaderWrite) -> String {
    match write {
        LeaderWrite::End(id)
        | LeaderWrite::Settle(id)
        | LeaderWrite::CancelledWith(id)
        | LeaderWrite::Fail(id, _) => keys::end(*id),
        LeaderWrite::Machines(ids) => ids.first().map(keys::machines).unwrap_or_default(),
        LeaderWrite::Hire(_) => keys::LAST_RENTAL_REQUEST.into(),
        LeaderWrite::Progress(id, chunk) => keys::progress(*id, *chunk),
        LeaderWrite::Failures(id, chunk) => keys::failures(*id, *chunk),
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
        // Together: nobody knows yet which of them it was.
        refusals.refused(&[bad.clone(), good.clone()], "too long", Micros(0));
        for w in [&bad, &good] {
            assert!(refusals.goes_alone(w) && !refusals.waits(w, Micros(0)), "{w:?}");
        }
        refusals.accepted(std::slice::from_ref(&good));
        assert!(!refusals.goes_alone(&good));
        // (refused alone at, left out until), in seconds
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
