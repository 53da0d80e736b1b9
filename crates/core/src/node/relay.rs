//! Messages relayed through the state service when no other path is left: outgoing ones, and
//! received parts of incoming ones.
use crate::jobs::keys;
use crate::limits::StoreLimits;
use crate::peer::{Envelope, Message};
use data_encoding::BASE64;
use gorseshore_protocol::ids::{Micros, NodeId};
use gorseshore_protocol::state::{Transaction, Write};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

/// Bytes of a part's value besides its text.
const PART_OVERHEAD_BYTES: usize = 100;
/// Bytes for the text of a transaction's parts, out of the 64 KiB that a transaction may have.
const TXN_TEXT_BYTES: usize = 56_000;
/// Most transactions of one message; they are posted one after another.
const MAX_TXNS_PER_MESSAGE: usize = 4;

/// A part of a message as it is stored: the sender's incarnation, message number, index of the
/// part, number of parts, text.
type MessagePart = (u64, u64, usize, usize, String);

/// Messages that wait to be posted, and received parts.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// The last message of each kind for each controller.
    pub outgoing: BTreeMap<(NodeId, u8), Message>,
    pub next_at: Micros,
    last_number: u64,
    /// Transactions of the current message that follow the one in flight.
    remaining_txns: VecDeque<Transaction>,
    /// Messages received in part, by the sender's incarnation: message number, text so far, parts
    /// so far.
    incomplete: BTreeMap<u64, (u64, String, usize)>,
}

impl Relay {
    /// Queues a message until it can be posted. Only messages that carry a sender's state are worth
    /// it; a newer one replaces an older one.
    pub fn enqueue(&mut self, to: NodeId, m: &Message) {
        let kind = match m {
            Message::Sync { .. } => 0,
            Message::Update { .. } => 1,
            _ => return,
        };
        self.outgoing.insert((to, kind), m.clone());
    }

    /// Whether a message is still being posted: the parts of two messages would mix at the
    /// receiver.
    pub fn is_posting(&self) -> bool {
        !self.remaining_txns.is_empty()
    }

    /// Splits a message into transactions, each with as many parts as the limits allow, and queues
    /// them. Returns the number of parts, or `None` if the message is too long.
    pub fn split(
        &mut self,
        to: &str,
        from: &str,
        envelope: &Envelope,
        limits: &StoreLimits,
    ) -> Option<usize> {
        let text = BASE64.encode(&envelope.to_bytes());
        let in_txn = TXN_TEXT_BYTES / limits.txn_ops.max(1);
        let part_bytes =
            limits.value_bytes.saturating_sub(PART_OVERHEAD_BYTES).min(in_txn).max(PART_OVERHEAD_BYTES);
        let parts: Vec<&str> =
            text.as_bytes().chunks(part_bytes).filter_map(|part| std::str::from_utf8(part).ok()).collect();
        if parts.len() > limits.txn_ops * MAX_TXNS_PER_MESSAGE {
            return None;
        }
        self.last_number += 1;
        let put = |(i, part): (usize, &&str)| Write::Put {
            key: keys::relayed_messages(to, &format!("{from}/{i}")),
            value: json!([envelope.incarnation, self.last_number, i, parts.len(), part]),
            lease: None,
        };
        let writes: Vec<Write> = parts.iter().enumerate().map(put).collect();
        let txn = |writes: &[Write]| Transaction { preconditions: Vec::new(), writes: writes.to_vec() };
        self.remaining_txns = writes.chunks(limits.txn_ops.max(1)).map(txn).collect();
        Some(parts.len())
    }

    /// Number of the last message that was split.
    pub fn number(&self) -> u64 {
        self.last_number
    }

    /// The next transaction of message `number`, if the previous one succeeded.
    pub fn next_txn(&mut self, number: u64, previous_posted: bool) -> Option<Transaction> {
        if number != self.last_number {
            return None;
        }
        if !previous_posted {
            // The receiver skips later parts without the parts before them.
            self.remaining_txns.clear();
        }
        self.remaining_txns.pop_front()
    }

    /// Handles a received part; the parts of one message arrive in order. Returns the envelope once
    /// it is complete.
    pub fn receive_part(&mut self, v: &serde_json::Value) -> Option<Envelope> {
        let (sender, number, i, n, text) = MessagePart::deserialize(v).ok()?;
        let partial = self.incomplete.entry(sender).or_default();
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
        let (_, text, _) = self.incomplete.remove(&sender)?;
        Envelope::from_bytes(&BASE64.decode(text.as_bytes()).ok()?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits(value_bytes: usize, txn_ops: usize) -> StoreLimits {
        StoreLimits { value_bytes, txn_ops, requests_per_s: 100.0, writes_per_s: 15.0 }
    }

    fn envelope(bytes: usize) -> Envelope {
        let message = Message::Forward { to: NodeId(1), envelope: vec![7; bytes] };
        Envelope { from: NodeId(0), incarnation: 5, message }
    }

    /// All transactions of the last message that was split.
    fn transactions(relay: &mut Relay) -> Vec<Transaction> {
        let number = relay.number();
        std::iter::from_fn(|| relay.next_txn(number, true)).collect()
    }

    fn receive(relay: &mut Relay, transactions: &[Transaction]) -> Option<Envelope> {
        let parts = transactions.iter().flat_map(|txn| &txn.writes);
        parts.fold(None, |whole, write| match write {
            Write::Put { value: v, .. } => whole.or(relay.receive_part(v)),
            Write::Remove { .. } => whole,
        })
    }

    #[test]
    fn messages_are_split_within_the_limits() {
        // (longest value, writes per transaction, message bytes, transactions; `None`: too long)
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
        for (value_bytes, txn_ops, bytes, expected) in cases {
            let case = format!("{value_bytes} {txn_ops} {bytes}");
            let (limits, sent) = (limits(value_bytes, txn_ops), envelope(bytes));
            let (mut from, mut to) = (Relay::default(), Relay::default());
            let parts = from.split("n1", "n0", &sent, &limits);
            assert_eq!(parts.is_some(), expected.is_some(), "{case}");
            let transactions = transactions(&mut from);
            assert_eq!(transactions.len(), expected.unwrap_or(0), "{case}");
            for txn in &transactions {
                assert!(txn.writes.len() <= txn_ops, "{case}");
                assert!(serde_json::to_vec(txn).unwrap().len() < 64 * 1024, "{case}");
                for write in &txn.writes {
                    let Write::Put { value: v, .. } = write else { panic!("{write:?}") };
                    assert!(limits.fits(v), "{case}");
                }
            }
            let received = receive(&mut to, &transactions).map(|e| e.to_bytes());
            assert_eq!(received, expected.map(|_| sent.to_bytes()), "{case}");
        }
    }

    #[test]
    fn an_aborted_message_does_not_affect_others() {
        let small = limits(2000, 4);
        let (mut from, mut to) = (Relay::default(), Relay::default());
        from.split("n1", "n0", &envelope(20_000), &small);
        let number = from.number();
        let first = from.next_txn(number, true).unwrap();
        assert!(from.is_posting());
        assert_eq!(from.next_txn(number, false), None);
        assert!(!from.is_posting());
        let second = envelope(9000);
        from.split("n1", "n0", &second, &small);
        // A late result of the previous message does not affect this one.
        assert_eq!(from.next_txn(number, false), None);
        assert!(from.is_posting());
        let second_transactions = transactions(&mut from);
        assert!(receive(&mut to, &[first]).is_none());
        assert_eq!(receive(&mut to, &second_transactions).map(|e| e.to_bytes()), Some(second.to_bytes()));
    }
}
