//! Runs the extension: passes inputs to it and carries out its outputs.
use super::*;

/// Most keys of one read.
const MAX_READ_KEYS: usize = 2000;

impl Node {
    /// Passes an input to the extension, if there is one, and carries out its outputs.
    pub(super) fn run_extension(&mut self, input: ExtensionInput) {
        if !self.has_extension {
            return;
        }
        // The extension is taken out of the node while it handles an input: an output may cause
        // another input at once, which waits in the queue.
        self.extension_inputs.push(input);
        let Some(mut extension) = self.extension.take() else { return };
        while !self.extension_inputs.is_empty() {
            let input = self.extension_inputs.remove(0);
            let me = &self.members.names[self.members.own_id.0 as usize];
            let context = ExtensionContext {
                now: self.now,
                wall_ms: self.wall_ms,
                replica: &self.replica_sync.replica,
                running: &self.controller.running_counts,
                flavors: &self.catalogue.flavors,
                teams: &self.teams,
                state_loaded: self.replica_sync.loaded,
                state_unavailable: self.replica_sync.state_unavailable(self.now),
                leads: self.leadership.leader.is_some() && self.leadership.election.may_lead(self.now),
                leader: self.replica_sync.replica.leader.as_ref().map(|(r, _)| r.node.as_str()),
                node_name: me,
                max_value_bytes: self.limits.value_bytes,
                max_txn_writes: self.limits.txn_ops,
            };
            let outputs = extension.handle(&context, input);
            for o in outputs {
                self.apply_extension_output(o);
            }
        }
        self.extension = Some(extension);
    }

    fn apply_extension_output(&mut self, o: ExtensionOutput) {
        match o {
            ExtensionOutput::Answer(id, a) => self.out.items.push(Output::ExtensionResponse(id, a)),
            ExtensionOutput::Open(id, a) => self.out.items.push(Output::StreamOpen(id, a)),
            ExtensionOutput::Chunk(id, data) => self.out.items.push(Output::StreamChunk(id, data)),
            ExtensionOutput::Close(id) => self.out.items.push(Output::StreamClose(id)),
            ExtensionOutput::ReadBarrier(t) => {
                self.await_read_barrier(Waiter::Extension(t), Micros::millis(1500))
            }
            ExtensionOutput::Read(t, prefix) => {
                let none = Listing { entries: Vec::new(), truncated: false, revision: 0 };
                self.read_extension_page(t, format!("{}{prefix}", keys::EXTENSION_PREFIX), none);
            }
            ExtensionOutput::Write { ticket, multi, as_leader } => {
                if self.pending.writes.len() >= MAX_PENDING {
                    return self
                        .run_extension(ExtensionInput::OperationCompleted(ticket, CallResult::NotSent));
                }
                let until = self.now + Micros::millis(3500);
                self.pending
                    .writes
                    .push_back((PendingWrite::Extension(ticket, Box::new(multi), as_leader), until));
                self.send_pending_writes();
            }
        }
    }

    fn read_extension_page(&mut self, t: OperationId, prefix: String, so_far: Listing) {
        let from = so_far.entries.last().map_or(String::new(), |p| format!("&from={}", p.key));
        let path = format!("/store?prefix={prefix}{from}&limit=1000");
        let id = self.call_state_service("GET", path, Vec::new(), Micros::millis(2500));
        self.calls.insert(id, CallPurpose::ExtensionRead(t, prefix, so_far));
    }

    /// Handles a page of the extension's read; the extension gets the result when all pages are
    /// there.
    pub(super) fn extension_page_received(
        &mut self,
        t: OperationId,
        prefix: String,
        mut so_far: Listing,
        result: CallResult,
    ) {
        let page: Option<Listing> = match &result {
            CallResult::Response { status: 200, body } => serde_json::from_slice(body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            return self.run_extension(ExtensionInput::OperationCompleted(t, CallResult::NotSent));
        };
        so_far.entries.extend(page.entries);
        so_far.revision = page.revision;
        if page.truncated && so_far.entries.len() < MAX_READ_KEYS {
            return self.read_extension_page(t, prefix, so_far);
        }
        let body = serde_json::to_vec(&so_far).unwrap_or_default();
        self.run_extension(ExtensionInput::OperationCompleted(t, CallResult::Response { status: 200, body }));
    }

    /// Fails a request whose read barrier can't be completed.
    pub(super) fn fail_waiter(&mut self, w: &Waiter, reason: RefusalReason) {
        match w.requester() {
            Ok(id) => {
                if let Waiter::Poll(_, job) = w {
                    self.log_unproved(*job, reason);
                }
                self.refuse(id, reason)
            }
            Err(t) => self.run_extension(ExtensionInput::ReadBarrierDone(t, false)),
        }
    }
}
