//! Blocking queries and the event stream.
//!
//! Invariant: the index of an answer is the revision up to which the replica is complete. A query
//! with an index waits only if every change since that index is registered to this controller; otherwise
//! it is answered at once. So no change is missed and no index goes backwards, whichever controller
//! serves the next query.
use super::api::{Request, Scope};
use super::records::JobRecord;
use super::{Service, views};
use gorseshore_core::RequestId;
use gorseshore_core::extension::{Answer, ExtensionContext, ExtensionOutput};
use gorseshore_protocol::ids::Micros;
use serde_json::{Value, json};

/// A query that waits for a change.
#[derive(Debug)]
pub(crate) struct BlockedQuery {
    pub request: Request,
    pub scope: Scope,
    pub index: u64,
    pub deadline: Micros,
}

/// An open event stream.
#[derive(Debug)]
pub(crate) struct Stream {
    pub team: Option<String>,
    pub namespace: String,
    pub topics: Vec<(String, String)>,
    pub last_write_at: Micros,
}

/// An event of a job.
#[derive(Debug, Clone)]
pub(crate) struct Event {
    pub index: u64,
    pub kind: &'static str,
    pub namespace: String,
    pub key: String,
    pub team: String,
    pub payload: Value,
}

/// Most events kept for clients that reconnect.
const MAX_BUFFERED_EVENTS: usize = 1000;
/// Interval of keep-alive lines on an idle stream.
const STREAM_KEEPALIVE_INTERVAL: Micros = Micros::secs(10);

impl Service {
    /// The last revision at which something in a scope changed.
    fn changed_in(&self, scope: &Scope) -> u64 {
        match scope {
            // For a job that is deleted or does not exist yet, any change counts.
            Scope::Job(key) => {
                self.jobs.get(key).map_or(self.last_change_revision, |k| k.last_change_revision)
            }
            Scope::All => self.last_change_revision,
        }
    }

    /// Blocks a query if nothing in its scope changed since its index; returns whether it was
    /// answered or blocked here.
    pub(crate) fn block_query(
        &mut self,
        ctx: &ExtensionContext<'_>,
        request: &Request,
        scope: &Scope,
    ) -> bool {
        let Some(index) = request.index.filter(|i| *i > 0) else { return false };
        if request.waited || index < self.history_start || self.changed_in(scope) > index {
            return false;
        }
        if self.blocked_queries.len() >= self.settings.max_waiters {
            self.answer_error(
                request.id,
                429,
                "too many queries wait here: come back, or ask another controller",
            );
            return true;
        }
        let until = ctx.now + request.wait;
        let mut request = request.clone();
        request.waited = true;
        self.blocked_queries.push(BlockedQuery { request, scope: scope.clone(), index, deadline: until });
        true
    }

    /// Answers blocked queries whose scope changed or whose wait is over.
    pub(crate) fn answer_ready_queries(&mut self, ctx: &ExtensionContext<'_>) {
        if self.blocked_queries.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.blocked_queries);
        let (ready, still): (Vec<BlockedQuery>, Vec<BlockedQuery>) = waiting.into_iter().partition(|b| {
            ctx.now >= b.deadline || b.index < self.history_start || self.changed_in(&b.scope) > b.index
        });
        self.blocked_queries = still;
        for b in ready {
            self.serve(ctx, b.request);
        }
    }

    /// Answers queries whose wait is over, and sends keep-alive lines on streams.
    pub(crate) fn expire_queries(&mut self, ctx: &ExtensionContext<'_>) {
        if self.blocked_queries.iter().any(|b| ctx.now >= b.deadline) {
            self.answer_ready_queries(ctx);
        }
        for (id, s) in &mut self.streams {
            if ctx.now.since(s.last_write_at) >= STREAM_KEEPALIVE_INTERVAL {
                s.last_write_at = ctx.now;
                self.outputs.push(ExtensionOutput::Chunk(*id, b"{}\n".to_vec()));
            }
        }
    }

    /// Buffers an event and sends it to matching streams.
    pub(crate) fn publish_event(&mut self, kind: &'static str, record: &JobRecord, index: u64) {
        if self.loading {
            return;
        }
        let e = Event {
            index,
            kind,
            namespace: record.namespace.clone(),
            key: record.id.clone(),
            team: record.team.clone(),
            payload: json!({"Job": views::event_job(record)}),
        };
        let line = event_line(&e);
        for (id, s) in &self.streams {
            if s.matches(&e) {
                self.outputs.push(ExtensionOutput::Chunk(*id, line.clone()));
            }
        }
        self.events.push_back(e);
        if self.events.len() > MAX_BUFFERED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Opens an event stream that starts after an index.
    pub(crate) fn open_stream(&mut self, id: RequestId, stream: Stream, index: u64) {
        if self.streams.len() >= self.settings.max_streams {
            return self.answer_error(id, 429, "too many event streams are open here");
        }
        self.outputs.push(ExtensionOutput::Open(id, Answer { status: 200, ..Answer::default() }));
        // An empty first line confirms that the stream is open.
        self.outputs.push(ExtensionOutput::Chunk(id, b"{}\n".to_vec()));
        if index > 0 {
            for e in self.events.iter().filter(|e| e.index > index && stream.matches(e)) {
                self.outputs.push(ExtensionOutput::Chunk(id, event_line(e)));
            }
        }
        self.streams.insert(id, stream);
    }
}

impl Stream {
    fn matches(&self, e: &Event) -> bool {
        let topic = |(t, k): &(String, String)| (t == "*" || t == "Job") && (k == "*" || *k == e.key);
        (self.namespace == "*" || self.namespace == e.namespace)
            && self.team.as_ref().is_none_or(|t| *t == e.team)
            && (self.topics.is_empty() || self.topics.iter().any(topic))
    }
}

fn event_line(e: &Event) -> Vec<u8> {
    let event = json!({"Topic": "Job", "Type": e.kind, "Key": e.key, "Namespace": e.namespace,
        "FilterKeys": [], "Index": e.index, "Payload": e.payload});
    format!("{}\n", json!({"Index": e.index, "Events": [event]})).into_bytes()
}
