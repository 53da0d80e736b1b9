//! Connection admission: decides which inbound connections stay open when the
//! process runs out of sockets. A state machine that does no I/O.
//!
//! A process reserves some of its sockets for its own calls and for the other
//! controllers ([`ConnectionLimits::new`]); the rest serve inbound connections.
//! A client's class is unknown until its first request, so connections are accepted
//! before they are classified: for that time, up to `headroom` connections beyond
//! `max_persistent` may be open. Workers have the highest priority, because their tasks are terminated
//! without a timely response; then the load balancer's health check, submissions and
//! cancellations, and polls. A connection over the limit gets a response at once and
//! is closed. The connection that has been idle for longest is evicted, those of
//! users before those of workers.
//!
//! Invariant: at most `max_persistent` + `headroom` connections are open, and no
//! connection is evicted while a request is in progress.
use gorseshore_protocol::ids::Micros;
use std::collections::{BTreeSet, HashMap};

/// Identifies an inbound connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// How many of a process's sockets each use may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Inbound connections that may stay open.
    pub max_persistent: usize,
    /// Further inbound connections that may be open until their first request shows
    /// the client's class.
    pub headroom: usize,
    /// Concurrent calls to workers.
    pub max_worker_calls: usize,
    /// Idle connections to workers that may always be kept for the next call.
    pub reserved_idle_to_workers: usize,
    /// Connections of the extension's clients.
    pub extension: usize,
}

impl ConnectionLimits {
    /// Divides the `sockets` of a process among their uses. Listeners, calls to the
    /// state service and the cloud, and three connections with each of
    /// `other_controllers` (one in each direction, one being replaced) are reserved first.
    pub fn new(sockets: usize, other_controllers: usize, extension: bool) -> Self {
        let reserved = 48 + 3 * other_controllers;
        let available = sockets.saturating_sub(reserved).max(16);
        let headroom = available / 16;
        let max_worker_calls = (available / 8).max(4);
        let reserved_idle_to_workers = available / 32;
        let extension = if extension { available / 5 } else { 0 };
        ConnectionLimits {
            max_persistent: available - headroom - max_worker_calls - reserved_idle_to_workers - extension,
            headroom,
            max_worker_calls,
            reserved_idle_to_workers,
            extension,
        }
    }

    /// The limits of the extension's listener.
    pub fn for_extension(self) -> Self {
        let headroom = self.extension / 16;
        ConnectionLimits { max_persistent: self.extension - headroom, headroom, ..self }
    }
}

/// Class of a client, determined by its last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientClass {
    /// Has sent no request yet.
    Unknown,
    /// Queries a job's status.
    Poll,
    /// Submits or cancels a job.
    JobChange,
    /// The load balancer's health check.
    HealthCheck,
    /// A worker's heartbeat.
    Worker,
}

impl ClientClass {
    /// Classifies a client by its request's method and path.
    pub fn from_request(method: &str, path: &str) -> ClientClass {
        match (method, path.split('?').next().unwrap_or("")) {
            ("POST", "/checkin") => ClientClass::Worker,
            ("GET", "/ready") => ClientClass::HealthCheck,
            ("POST", _) => ClientClass::JobChange,
            _ => ClientClass::Poll,
        }
    }
}

/// What to do with a request and its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Serve the request and keep the connection open.
    KeepAlive,
    /// Serve the request, then close the connection.
    CloseAfterResponse,
    /// Respond that the client may retry later, then close the connection.
    Reject,
}

/// A new connection without a request may be evicted for another one after this time.
const FIRST_REQUEST_TIMEOUT: Micros = Micros::secs(1);

/// Open connections by client class, and the rejected, closed and evicted ones since the
/// counts were last taken.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Workers.
    pub workers: usize,
    /// Users and the load balancer.
    pub users: usize,
    /// Connections without a request so far.
    pub unidentified: usize,
    /// Polls, submissions and cancellations rejected at the connection limit.
    pub requests_rejected: u64,
    /// Connections closed before their first request.
    pub closed_before_request: u64,
    /// Idle connections of users evicted for others.
    pub users_evicted: u64,
    /// Idle connections of workers evicted for others.
    pub workers_evicted: u64,
    /// Heartbeats answered on a connection that was then closed at the limit.
    pub workers_closed_at_limit: u64,
}

impl std::fmt::Display for ConnectionCounts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "connections_workers={} connections_users={} connections_unidentified={} refused_no_connection={} \
             closed_unasked={} evicted_users={} evicted_workers={} workers_not_kept={}",
            self.workers,
            self.users,
            self.unidentified,
            self.requests_rejected,
            self.closed_before_request,
            self.users_evicted,
            self.workers_evicted,
            self.workers_closed_at_limit
        )
    }
}

#[derive(Debug)]
struct Connection {
    class: ClientClass,
    /// Start of its wait for a request; `None` while a request is served.
    idle_since: Option<Micros>,
}

/// The open connections and the choice of those to evict.
#[derive(Debug)]
pub struct Admission {
    limits: ConnectionLimits,
    last_id: u64,
    connections: HashMap<ConnId, Connection>,
    /// Idle connections of users and of unidentified clients, by the start of their wait.
    idle_users: BTreeSet<(Micros, ConnId)>,
    /// Idle connections of workers, by the start of their wait.
    idle_workers: BTreeSet<(Micros, ConnId)>,
    /// Evicted connections that are not closed yet.
    closing: BTreeSet<ConnId>,
    /// Connections evicted or closed unidentified, and requests rejected, since the start.
    closed_or_rejected: u64,
    counts: ConnectionCounts,
}

impl Admission {
    /// Starts without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Admission {
            limits,
            last_id: 0,
            connections: HashMap::new(),
            idle_users: BTreeSet::new(),
            idle_workers: BTreeSet::new(),
            closing: BTreeSet::new(),
            closed_or_rejected: 0,
            counts: ConnectionCounts::default(),
        }
    }

    /// Number of open connections, and how many may stay open.
    pub fn open_and_limit(&self) -> (usize, usize) {
        (self.connections.len(), self.limits.max_persistent)
    }

    /// Connections evicted or closed before a request, and requests rejected, since the start.
    pub fn closed_or_rejected(&self) -> u64 {
        self.closed_or_rejected
    }

    /// Open connections by class, and the counters since the last call, which are reset.
    pub fn take_counts(&mut self) -> ConnectionCounts {
        let mut counts = std::mem::take(&mut self.counts);
        for connection in self.connections.values() {
            match connection.class {
                ClientClass::Worker => counts.workers += 1,
                ClientClass::Unknown => counts.unidentified += 1,
                ClientClass::Poll | ClientClass::JobChange | ClientClass::HealthCheck => counts.users += 1,
            }
        }
        counts
    }

    /// Number of open connections over `max_persistent`, without those being closed.
    fn excess(&self) -> usize {
        (self.connections.len() - self.closing.len()).saturating_sub(self.limits.max_persistent)
    }

    /// A client connected. Returns the connection's id, or `None` if the headroom for
    /// unidentified connections is used up too; and the connection to evict.
    pub fn on_connect(&mut self, now: Micros) -> (Option<ConnId>, Option<ConnId>) {
        let evicted = self.evict_idle(1, ClientClass::Unknown, now);
        if self.connections.len() >= self.limits.max_persistent + self.limits.headroom {
            return (None, evicted);
        }
        self.last_id += 1;
        let id = ConnId(self.last_id);
        self.connections.insert(id, Connection { class: ClientClass::Unknown, idle_since: Some(now) });
        self.idle_users.insert((now, id));
        (Some(id), evicted)
    }

    /// Counts a new connection that is closed before its first request, because no
    /// other one closed in time.
    pub fn record_closed_before_request(&mut self) {
        self.counts.closed_before_request += 1;
        self.closed_or_rejected += 1;
    }

    /// A request arrived. Returns what to do with it, and the connection to evict for it.
    pub fn on_request(
        &mut self,
        id: ConnId,
        class: ClientClass,
        now: Micros,
    ) -> (AdmissionDecision, Option<ConnId>) {
        self.mark_busy(id);
        let Some(connection) = self.connections.get_mut(&id) else {
            return (AdmissionDecision::CloseAfterResponse, None);
        };
        connection.class = class;
        if self.closing.contains(&id) {
            // Evicted at the moment of its request: it gets its response first.
            return (AdmissionDecision::CloseAfterResponse, None);
        }
        let excess = self.excess();
        if excess == 0 {
            return (AdmissionDecision::KeepAlive, None);
        }
        let headroom = self.limits.headroom;
        match class {
            ClientClass::Worker => match self.evict_idle(0, class, now) {
                Some(evicted) => (AdmissionDecision::KeepAlive, Some(evicted)),
                None => {
                    self.counts.workers_closed_at_limit += 1;
                    (AdmissionDecision::CloseAfterResponse, None)
                }
            },
            ClientClass::Poll | ClientClass::Unknown if excess * 2 > headroom => self.reject(),
            ClientClass::JobChange if excess * 4 > headroom * 3 => self.reject(),
            _ => (AdmissionDecision::CloseAfterResponse, None),
        }
    }

    fn reject(&mut self) -> (AdmissionDecision, Option<ConnId>) {
        self.counts.requests_rejected += 1;
        self.closed_or_rejected += 1;
        (AdmissionDecision::Reject, None)
    }

    fn mark_busy(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(since) = connection.idle_since.take() {
            self.idle_users.remove(&(since, id));
            self.idle_workers.remove(&(since, id));
        }
    }

    /// The connection got its response and waits for the next request.
    pub fn on_response(&mut self, id: ConnId, now: Micros) {
        self.mark_busy(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.idle_since = Some(now);
        let list = if connection.class == ClientClass::Worker {
            &mut self.idle_workers
        } else {
            &mut self.idle_users
        };
        list.insert((now, id));
    }

    /// The connection is closed.
    pub fn on_close(&mut self, id: ConnId) {
        self.mark_busy(id);
        self.connections.remove(&id);
        self.closing.remove(&id);
    }

    /// Evicts the connection that has been idle for longest if `additional` connections
    /// don't fit under the limit: of a user, or of a client that sent no request within
    /// [`FIRST_REQUEST_TIMEOUT`]; for a worker also of another worker, which reconnects
    /// for its next heartbeat.
    fn evict_idle(&mut self, additional: usize, class: ClientClass, now: Micros) -> Option<ConnId> {
        if self.connections.len() - self.closing.len() + additional <= self.limits.max_persistent {
            return None;
        }
        let is_new = |(since, id): &&(Micros, ConnId)| {
            self.connections[id].class == ClientClass::Unknown && now.since(*since) < FIRST_REQUEST_TIMEOUT
        };
        let user = self.idle_users.iter().find(|x| !is_new(x)).copied();
        let any =
            user.or_else(|| self.idle_workers.first().copied().filter(|_| class == ClientClass::Worker));
        let (_, id) = any?;
        self.mark_busy(id);
        match self.connections[&id].class {
            ClientClass::Worker => self.counts.workers_evicted += 1,
            ClientClass::Unknown => self.counts.closed_before_request += 1,
            ClientClass::Poll | ClientClass::JobChange | ClientClass::HealthCheck => {
                self.counts.users_evicted += 1
            }
        }
        self.closing.insert(id);
        self.closed_or_rejected += 1;
        Some(id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: ConnectionLimits = ConnectionLimits {
        max_persistent: 4,
        headroom: 4,
        max_worker_calls: 1,
        reserved_idle_to_workers: 1,
        extension: 0,
    };

    fn ms(t: u64) -> Micros {
        Micros::millis(t)
    }

    /// Opens a connection, sends a request and answers it. Returns the connection if it stays.
    fn serve_request(a: &mut Admission, class: ClientClass, t: u64) -> Option<ConnId> {
        let (id, evicted) = a.on_connect(ms(t));
        evicted.into_iter().for_each(|id| a.on_close(id));
        let id = id?;
        let (decision, evicted) = a.on_request(id, class, ms(t));
        evicted.into_iter().for_each(|id| a.on_close(id));
        match decision {
            AdmissionDecision::KeepAlive => a.on_response(id, ms(t)),
            _ => a.on_close(id),
        }
        (decision == AdmissionDecision::KeepAlive).then_some(id)
    }

    #[test]
    fn longest_idle_is_evicted_and_users_before_workers() {
        let mut a = Admission::new(LIMITS);
        let users: Vec<_> = (0..4).map(|i| serve_request(&mut a, ClientClass::Poll, i).unwrap()).collect();
        // A fifth user evicts the one that was idle for longest.
        let fifth = serve_request(&mut a, ClientClass::JobChange, 10).unwrap();
        assert!(!a.connections.contains_key(&users[0]) && a.connections.len() == 4);
        let workers: Vec<_> =
            (0..4).map(|i| serve_request(&mut a, ClientClass::Worker, 20 + i).unwrap()).collect();
        assert!(!a.connections.contains_key(&fifth) && a.connections.len() == 4);
        // Only workers are connected: a user is served and closed, a worker evicts
        // the one whose last heartbeat is oldest.
        assert_eq!(serve_request(&mut a, ClientClass::JobChange, 30), None);
        assert_eq!(a.connections.len(), 4);
        assert!(serve_request(&mut a, ClientClass::Worker, 31).is_some());
        assert!(!a.connections.contains_key(&workers[0]) && a.connections.contains_key(&workers[1]));
    }

    #[test]
    fn connections_with_a_request_are_not_evicted_and_headroom_is_bounded() {
        let mut a = Admission::new(LIMITS);
        // All connections have a request in progress.
        let busy: Vec<_> = (0..4)
            .map(|i| {
                let id = a.on_connect(ms(i)).0.unwrap();
                assert_eq!(a.on_request(id, ClientClass::Poll, ms(i)).0, AdmissionDecision::KeepAlive);
                id
            })
            .collect();
        // (client class, decision); no connection is evicted for any of them
        let steps = [
            (ClientClass::Worker, AdmissionDecision::CloseAfterResponse),
            (ClientClass::Poll, AdmissionDecision::CloseAfterResponse),
            (ClientClass::Poll, AdmissionDecision::Reject),
            (ClientClass::JobChange, AdmissionDecision::Reject),
        ];
        for (class, expected) in steps {
            let (id, evicted) = a.on_connect(ms(10));
            assert_eq!(evicted, None);
            assert_eq!(a.on_request(id.unwrap(), class, ms(10)), (expected, None), "{class:?}");
        }
        assert_eq!(a.on_connect(ms(11)), (None, None));
        assert_eq!(a.connections.len(), 8);
        assert!(busy.iter().all(|id| a.connections.contains_key(id)));
        // A connection that is evicted at the moment of its request gets its response first.
        let mut a = Admission::new(LIMITS);
        let first = a.on_connect(ms(0)).0.unwrap();
        assert_eq!(a.on_request(first, ClientClass::Poll, ms(0)).0, AdmissionDecision::KeepAlive);
        a.on_response(first, ms(0));
        let others: Vec<_> = (0..3).map(|i| a.on_connect(ms(i)).0.unwrap()).collect();
        assert_eq!(a.on_connect(ms(5)).1, Some(first));
        assert!(a.closing.contains(&first));
        assert_eq!(
            a.on_request(first, ClientClass::Poll, ms(6)),
            (AdmissionDecision::CloseAfterResponse, None)
        );
        // New connections have a second to send a request, then they are evicted.
        assert_eq!(a.on_connect(ms(7)).1, None);
        assert_eq!(a.on_connect(ms(1500)).1, Some(others[0]));
    }

    #[test]
    fn limits_sum_to_at_most_the_sockets() {
        for sockets in [64, 200, 1024, 1500, 3208, 3742, 60_000] {
            for others in [0, 2, 6, 30] {
                for extension in [false, true] {
                    let limits = ConnectionLimits::new(sockets, others, extension);
                    let reserved = 48 + 3 * others;
                    let sum = limits.max_persistent
                        + limits.headroom
                        + limits.max_worker_calls
                        + limits.reserved_idle_to_workers
                        + limits.extension;
                    assert!(sum + reserved <= sockets.max(reserved + 16), "{sockets} {others}: {limits:?}");
                    assert!(
                        limits.max_persistent >= 8 && limits.max_worker_calls >= 2,
                        "{sockets} {others}: {limits:?}"
                    );
                }
            }
        }
    }
}
