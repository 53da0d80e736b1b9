//! Blocking queries and the event stream.
//!
//! Invariant: the index of an answer is the revision up to which the mirror is
//! whole. A query that names an index waits only if everything that changed
//! since is known here; otherwise it is answered at once. So no change is
//! missed and no index goes backwards, whichever controller is asked next.
use super::api::{Request, Scope};
use super::records::Head;
use super::{Service, views};
use gorseshore_core::RequestId;
use gorseshore_core::extension::{Answer, ExtensionContext, ExtensionOutput};
use gorseshore_protocol::ids::Micros;
use serde_json::{Value, json};

/// A query that waits for a change.
#[derive(Debug)]
pub(crate) struct Blocked {
    pub request: Request,
    pub scope: Scope,
    pub index: u64,
    pub until: Micros,
}

/// A reader of events.
#[derive(Debug)]
pub(crate) struct Stream {
    pub team: Option<String>,
    pub namespace: String,
    pub topics: Vec<(String, String)>,
    pub beat: Micros,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub(crate) struct Event {
    pub index: u64,
    pub kind: &'static str,
    pub namespace: String,
    pub key: String,
    pub team: String,
    pub payload: Value,
}

/// Events kept for readers that come back.
const EVENTS_KEPT: usize = 1000;
/// An idle stream hears so often that it is alive.
const BEAT: Micros = Micros::secs(10);

impl Service {
    /// The last revision at which something in a scope changed.
    fn changed_in(&self, scope: &Scope) -> u64 {
        match scope {
            // A job that is gone again, or not there yet, changes with all.
            Scope::Job(key) => self.heads.get(key).map_or(self.changed, |k| k.changed),
            Scope::All => self.changed,
        }
    }

    /// Lets a query wait if nothing changed since its index; true if it waits.
    pub(crate) fn block(&mut self, host: &ExtensionContext<'_>, request: &Request, scope: &Scope) -> bool {
        let Some(index) = request.index.filter(|i| *i > 0) else { return false };
        if request.waited || index < self.floor || self.changed_in(scope) > index {
            return false;
        }
        if self.waiting.len() >= self.settings.max_waiters {
            self.refuse(request.id, 429, "too many queries wait here: come back, or ask another controller");
            return true;
        }
        let until = host.now + request.wait;
        let mut request = request.clone();
        request.waited = true;
        self.waiting.push(Blocked { request, scope: scope.clone(), index, until });
        true
    }

    /// Answers queries whose scope changed.
    pub(crate) fn wake(&mut self, host: &ExtensionContext<'_>) {
        if self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let (ready, still): (Vec<Blocked>, Vec<Blocked>) = waiting.into_iter().partition(|b| {
            host.now >= b.until || b.index < self.floor || self.changed_in(&b.scope) > b.index
        });
        self.waiting = still;
        for b in ready {
            self.serve(host, b.request);
        }
    }

    /// Ends waits whose time is over, and keeps streams alive.
    pub(crate) fn expire(&mut self, host: &ExtensionContext<'_>) {
        if self.waiting.iter().any(|b| host.now >= b.until) {
            self.wake(host);
        }
        for (id, s) in &mut self.streams {
            if host.now.since(s.beat) >= BEAT {
                s.beat = host.now;
                self.out.push(ExtensionOutput::Chunk(*id, b"{}\n".to_vec()));
            }
        }
    }

    /// Remembers an event and tells the streams.
    pub(crate) fn event(&mut self, kind: &'static str, head: &Head, index: u64) {
        if self.loading {
            return;
        }
        let e = Event {
            index,
            kind,
            namespace: head.namespace.clone(),
            key: head.id.clone(),
            team: head.team.clone(),
            payload: json!({"Job": views::event_job(head)}),
        };
        let line = line(&e);
        for (id, s) in &self.streams {
            if s.wants(&e) {
                self.out.push(ExtensionOutput::Chunk(*id, line.clone()));
            }
        }
        self.events.push_back(e);
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Opens a stream from an index on.
    pub(crate) fn open_stream(&mut self, id: RequestId, stream: Stream, index: u64) {
        if self.streams.len() >= self.settings.max_streams {
            return self.refuse(id, 429, "too many event streams are open here");
        }
        self.out.push(ExtensionOutput::Open(id, Answer { status: 200, ..Answer::default() }));
        // The first line says that the stream stands.
        self.out.push(ExtensionOutput::Chunk(id, b"{}\n".to_vec()));
        if index > 0 {
            for e in self.events.iter().filter(|e| e.index > index && stream.wants(e)) {
                self.out.push(ExtensionOutput::Chunk(id, line(e)));
            }
        }
        self.streams.insert(id, stream);
    }
}

impl Stream {
    fn wants(&self, e: &Event) -> bool {
        let topic = |(t, k): &(String, String)| (t == "*" || t == "Job") && (k == "*" || *k == e.key);
        (self.namespace == "*" || self.namespace == e.namespace)
            && self.team.as_ref().is_none_or(|t| *t == e.team)
            && (self.topics.is_empty() || self.topics.iter().any(topic))
    }
}

fn line(e: &Event) -> Vec<u8> {
    let event = json!({"Topic": "Job", "Type": e.kind, "Key": e.key, "Namespace": e.namespace,
        "FilterKeys": [], "Index": e.index, "Payload": e.payload});
    format!("{}\n", json!({"Index": e.index, "Events": [event]})).into_bytes()
}
