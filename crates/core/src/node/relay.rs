//! Messages through the state service, for messages that no other way is left
//! for: outgoing ones, and the parts of incoming ones.
use crate::jobs::keys;
use crate::limits::StoreLimits;
use crate::peer::{Envelope, Message};
use data_encoding::BASE64;
use gorseshore_protocol::ids::{Micros, NodeId};
use gorseshore_protocol::state::{Transaction, Write};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

/// Bytes of a part's value beside its text.
const PART_OVERHEAD: usize = 100;
/// Bytes for the text of a transaction's parts, of the 64 KiB that one may have.
const TXN_TEXT_BYTES: usize = 56_000;
/// Most transactions of one message, one after another.
const MAX_TXNS: usize = 4;

/// A part of a message as it is recorded: sender's process, number, place,
/// number of parts, text.
type Part = (u64, u64, usize, usize, String);

/// Messages that wait to go that way, and parts that came.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// The last message of each sort for each controller.
    pub outgoing: BTreeMap<(NodeId, u8), Message>,
    pub next_at: Micros,
    count: u64,
    /// Transactions of the message that is being posted, after the one under way.
    rest: VecDeque<Transaction>,
    /// Messages of which parts have come, by the sender's process: number, text
    /// so far, parts so far.
    open: BTreeMap<u64, (u64, String, usize)>,
}

impl Relay {
    /// Keeps a message until it can be posted; only what stands for a whole
    /// state is worth it.
    pub fn keep(&mut self, to: NodeId, m: &Message) {
        let sort = match m {
            Message::Sync { .. } => 0,
            Message::Update { .. } => 1,
            _ => return,
        };
        self.outgoing.insert((to, sort), m.clone());
    }

    /// Whether the last message is still being posted: parts of two would mix at
    /// the receiver.
    pub fn posting(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Cuts a message into transactions, as many parts in each as the limits
    /// allow, and keeps them to be posted; the number of parts, or `None` if it
    /// is too long.
    pub fn cut(&mut self, to: &str, from: &str, envelope: &Envelope, limits: &StoreLimits) -> Option<usize> {
        let text = BASE64.encode(&envelope.pack());
        let in_txn = TXN_TEXT_BYTES / limits.txn_ops.max(1);
        let room = limits.value_bytes.saturating_sub(PART_OVERHEAD).min(in_txn).max(PART_OVERHEAD);
        let parts: Vec<&str> =
            text.as_bytes().chunks(room).filter_map(|part| std::str::from_utf8(part).ok()).collect();
        if parts.len() > limits.txn_ops * MAX_TXNS {
            return None;
        }
        self.count += 1;
        let put = |(i, part): (usize, &&str)| Write::Put {
            key: keys::relayed_messages(to, &format!("{from}/{i}")),
            value: json!([envelope.incarnation, self.count, i, parts.len(), part]),
            lease: None,
        };
        let writes: Vec<Write> = parts.iter().enumerate().map(put).collect();
        let txn = |writes: &[Write]| Transaction { preconditions: Vec::new(), writes: writes.to_vec() };
        self.rest = writes.chunks(limits.txn_ops.max(1)).map(txn).collect();
        Some(parts.len())
    }

    /// Number of the message that was cut last.
    pub fn number(&self) -> u64 {
        self.count
    }

    /// The next transaction of message `number`, if the one before was taken.
    pub fn next_txn(&mut self, number: u64, taken: bool) -> Option<Transaction> {
        if number != self.count {
            return None;
        }
        if !taken {
            // What comes late without the parts before it is passed over.
            self.rest.clear();
        }
        self.rest.pop_front()
    }

    /// A part came; the parts of one message come in order. The
    /// envelope, once it is whole.
    pub fn open(&mut self, v: &serde_json::Value) -> Option<Envelope> {
        let (sender, number, i, n, text) = Part::deserialize(v).ok()?;
        let partial = self.open.entry(sender).or_default();
        if i == 0 {
            *partial = (number, String::new(), 0);
        }
        if partial.0 != number || partial.2 != i {
            return None;
        }
        partial.1.push_str(&text);
        partial.2 += 1;
        if partial.2 < n {
            return None;
        }
        let (_, text, _) = self.open.remove(&sender)?;
        Envelope::unpack(&BASE64.decode(text.as_bytes()).ok()?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits(value_bytes: usize, txn_ops: usize) -> StoreLimits {
        StoreLimits { value_bytes, txn_ops, requests_per_s: 100.0, changes_per_s: 15.0 }
    }

    fn envelope(bytes: usize) -> Envelope {
        let message = Message::Forward { to: NodeId(1), envelope: vec![7; bytes] };
        Envelope { from: NodeId(0), incarnation: 5, message }
    }

    /// All transactions of the message that was cut last.
    fn transactions(relay: &mut Relay) -> Vec<Transaction> {
        let number = relay.number();
        std::iter::from_fn(|| relay.next_txn(number, true)).collect()
    }

    fn receive(relay: &mut Relay, transactions: &[Transaction]) -> Option<Envelope> {
        let parts = transactions.iter().flat_map(|txn| &txn.writes);
        parts.fold(None, |whole, write| match write {
            Write::Put { value: v, .. } => whole.or(relay.open(v)),
            Write::Remove { .. } => whole,
        })
    }

    #[test]
    fn messages_go_in_parts_within_the_limits() {
        // (longest value, changes in a transaction, bytes, transactions; none: too long)
        let cases = [
            (4000, 8, 100, Some(1)),
            (4000, 8, 20_000, Some(1)),
            (4000, 8, 30_000, Some(2)),
            (2000, 4, 100, Some(1)),
            (2000, 4, 20_000, Some(4)),
            (2000, 4, 30_000, None),
            (16_000, 24, 40_000, Some(1)),
            (65_536, 4, 60_000, Some(2)),
        ];
        for (value_bytes, txn_ops, bytes, want) in cases {
            let what = format!("{value_bytes} {txn_ops} {bytes}");
            let (limits, sent) = (limits(value_bytes, txn_ops), envelope(bytes));
            let (mut from, mut to) = (Relay::default(), Relay::default());
            let parts = from.cut("n1", "n0", &sent, &limits);
            assert_eq!(parts.is_some(), want.is_some(), "{what}");
            let transactions = transactions(&mut from);
            assert_eq!(transactions.len(), want.unwrap_or(0), "{what}");
            for txn in &transactions {
                assert!(txn.writes.len() <= txn_ops, "{what}");
                assert!(serde_json::to_vec(txn).unwrap().len() < 64 * 1024, "{what}");
                for write in &txn.writes {
                    let Write::Put { value: v, .. } = write else { panic!("{write:?}") };
                    assert!(limits.fits(v), "{what}");
                }
            }
            let received = receive(&mut to, &transactions).map(|e| e.pack());
            assert_eq!(received, want.map(|_| sent.pack()), "{what}");
        }
    }

    #[test]
    fn a_message_that_is_broken_off_disturbs_no_other() {
        let small = limits(2000, 4);
        let (mut from, mut to) = (Relay::default(), Relay::default());
        from.cut("n1", "n0", &envelope(20_000), &small);
        let number = from.number();
        let first = from.next_txn(number, true).unwrap();
        assert!(from.posting());
        assert_eq!(from.next_txn(number, false), None);
        assert!(!from.posting());
        let second = envelope(9000);
        from.cut("n1", "n0", &second, &small);
        // The answer of the message before concerns this one no more.
        assert_eq!(from.next_txn(number, false), None);
        assert!(from.posting());
        let second_transactions = transactions(&mut from);
        assert!(receive(&mut to, &[first]).is_none());
        assert_eq!(receive(&mut to, &second_transactions).map(|e| e.pack()), Some(second.pack()));
    }
}
