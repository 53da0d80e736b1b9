//! Reports of which cancellations a controller knows, requested by a process that can't read them
//! from the state service.
//!
//! Invariant: a report holds every cancellation that its sender had acknowledged or confirmed, or
//! knew of otherwise, when the request reached it, but for those that the receiver has acknowledged.
use super::cancellation_knowledge::ReportedKnowledge;
use super::*;
use crate::peer::{Cancellation, KNOWLEDGE_REPORTS, RequestStamp};

/// Without a read of the state service for this time, the other controllers are asked, at each of
/// their pings.
const MAX_READ_AGE: Micros = Micros::millis(1300);

impl Node {
    /// Requests another controller's report, at its ping, if the state service does not tell this
    /// process of cancellations.
    pub(super) fn request_knowledge_report(&mut self, from: NodeId) {
        let Some(peer) = self.peers.states.get(from.0 as usize) else { return };
        let reads = self.replica_sync.proven_at.is_some_and(|t| self.now.since(t) <= MAX_READ_AGE);
        if !reads && peer.contacts.contains(&KNOWLEDGE_REPORTS) {
            let request = RequestStamp { incarnation: self.incarnation, sent: self.now };
            self.out.send(from, Message::KnowledgeRequest(request));
        }
    }

    /// Answers another controller's request. What is sent is tracked until it is acknowledged.
    pub(super) fn send_knowledge_report(&mut self, to: NodeId, request: RequestStamp) {
        let report = Message::KnowledgeReport {
            request,
            memory_age: self.now.since(self.started_at),
            known_until_age: self.cancellation_knowledge.known_until().map(|t| self.now.since(t)),
            cancellations: self.unacknowledged_cancellations(to, request.incarnation),
        };
        self.out.send(to, report);
    }

    /// Answers the request of a version that doesn't know `KnowledgeRequest`. It can't express an age
    /// that is older than its clock, so it gets no answer then.
    pub(super) fn send_cancellations_snapshot(&mut self, to: NodeId, request: RequestStamp) {
        let Some(known_until) = self.cancellation_knowledge.known_until() else { return };
        let known_until_age = self.now.since(known_until);
        if request.sent.before(known_until_age).is_none() {
            return;
        }
        let cancellations = self.unacknowledged_cancellations(to, request.incarnation);
        self.out.send(to, Message::CancellationsSnapshot { request, known_until_age, cancellations });
    }

    /// Handles a report. It says nothing of what was confirmed after the request was sent.
    pub(super) fn knowledge_report_received(
        &mut self,
        from: NodeId,
        request: RequestStamp,
        memory_age: Micros,
        known_until_age: Option<Micros>,
        cancellations: &[Cancellation],
    ) {
        if request.incarnation != self.incarnation {
            return;
        }
        self.cancellations_received(from, cancellations);
        let report = ReportedKnowledge { requested_at: request.sent, memory_age, known_until_age };
        self.cancellation_knowledge.record_report(from, report, self.now);
    }
}
