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
struct Rejection {
    /// How often it was rejected alone.
    rejected_alone: u32,
    /// It is skipped until then.
    until: Micros,
}

/// Records to write alone, by key.
#[derive(Debug, Default)]
pub(super) struct RejectedWrites {
    rejections: BTreeMap<String, Rejection>,
}

impl RejectedWrites {
    /// Whether the record must not share a transaction.
    pub fn must_be_alone(&self, write: &LeaderWrite) -> bool {
        !self.rejections.is_empty() && self.rejections.contains_key(&write_key(write))
    }

    /// Whether the record is skipped for now.
    pub fn is_paused(&self, write: &LeaderWrite, now: Micros) -> bool {
        !self.rejections.is_empty() && self.rejections.get(&write_key(write)).is_some_and(|r| now < r.until)
    }

    /// A transaction with these records was rejected.
    pub fn record_rejection(&mut self, writes: &[LeaderWrite], reason: &str, now: Micros) {
        let alone = writes.len() == 1;
        for write in writes {
            let key = write_key(write);
            let rejection = self.rejections.entry(key.clone()).or_default();
            if !alone {
                continue;
            }
            if rejection.rejected_alone == 0 {
                error!("record refused key={key} reason={reason}");
            }
            let pause = FIRST_PAUSE.0 << rejection.rejected_alone.min(MAX_DOUBLINGS);
            rejection.rejected_alone += 1;
            rejection.until = now + Micros(pause);
        }
    }

    /// A transaction with these records was accepted.
    pub fn record_success(&mut self, writes: &[LeaderWrite]) {
        if self.rejections.is_empty() {
            return;
        }
        for write in writes {
            self.rejections.remove(&write_key(write));
        }
    }
}

/// The key that identifies a record, also when its content has changed.
fn write_key(write: &LeaderWrite) -> String {
    match write {
        LeaderWrite::JobDone(id)
        | LeaderWrite::CancellationComplete(id)
        | LeaderWrite::CancelDependent(id)
        | LeaderWrite::JobFailed(id, _) => keys::end(*id),
        LeaderWrite::Machines(ids) => ids.first().map(keys::machines).unwrap_or_default(),
        LeaderWrite::ScaleOutName(_) => keys::LAST_RENTAL_REQUEST.into(),
        LeaderWrite::Progress(id, chunk) => keys::progress(*id, *chunk),
        LeaderWrite::FailureCounts(id, chunk) => keys::failures(*id, *chunk),
        LeaderWrite::RemoveDeletedMachines(key) => key.clone(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use gorseshore_protocol::ids::JobId;

    #[test]
    fn a_rejected_write_does_not_block_others() {
        let (rejected, good) = (LeaderWrite::JobDone(JobId(1)), LeaderWrite::JobDone(JobId(2)));
        let mut writes = RejectedWrites::default();
        assert!(!writes.must_be_alone(&rejected));
        // Rejected together: it is unknown which of them is invalid.
        writes.record_rejection(&[rejected.clone(), good.clone()], "too long", Micros(0));
        for w in [&rejected, &good] {
            assert!(writes.must_be_alone(w) && !writes.is_paused(w, Micros(0)), "{w:?}");
        }
        writes.record_success(std::slice::from_ref(&good));
        assert!(!writes.must_be_alone(&good));
        // (rejected alone at, skipped until), in seconds
        let pauses = [(0, 1), (1, 3), (3, 7), (100, 108)];
        for (at, until) in pauses {
            writes.record_rejection(std::slice::from_ref(&rejected), "too long", Micros::secs(at));
            assert!(writes.is_paused(&rejected, Micros::millis(until * 1000 - 1)), "{at}");
            assert!(!writes.is_paused(&rejected, Micros::secs(until)), "{at}");
            assert!(writes.must_be_alone(&rejected));
        }
        writes.record_success(std::slice::from_ref(&rejected));
        assert!(!writes.must_be_alone(&rejected) && !writes.is_paused(&rejected, Micros(0)));
    }
}
