//! The users' load balancer, by the rules of the users' interface: a state machine without
//! sockets, used by the seeded simulations and behind real sockets by the soak.
//!
//! It works on connections and knows nothing of requests. A backend is healthy by the outcomes of
//! its probes only; a backend that was removed stays out for a pause that doubles with each removal
//! within [`REMOVAL_MEMORY`].
use gorseshore_protocol::ids::Micros;
use std::collections::VecDeque;

/// Interval of a backend's probes.
pub const PROBE_INTERVAL: Micros = Micros::secs(1);
/// A probe without a response within this has failed.
pub const PROBE_TIMEOUT: Micros = Micros::secs(1);
/// A backend that has not accepted a connection within this is passed over for the next one.
pub const CONNECT_TIMEOUT: Micros = Micros::millis(500);
/// Most backends that are tried for one connection.
pub const MAX_CONNECT_ATTEMPTS: usize = 3;

/// Probes that are remembered.
const PROBE_HISTORY: usize = 6;
/// Failures among the remembered probes that remove a backend.
const MAX_FAILED_PROBES: usize = 3;
/// Failures in a row that remove a backend, and successes in a row that bring it back.
const PROBES_IN_ROW: usize = 2;
/// Shortest and longest time for which a removed backend stays out.
const MIN_PAUSE: Micros = Micros::secs(3);
const MAX_PAUSE: Micros = Micros::secs(60);
/// For this long, an earlier removal doubles the pause of the next one.
const REMOVAL_MEMORY: Micros = Micros::secs(120);
/// Time in which a backend that becomes healthy is brought up to its share of new connections.
const RAMP_UP: Micros = Micros::secs(10);
/// Open connections of a backend that has been unhealthy for this long are reset.
const RESET_DELAY: Micros = Micros::secs(5);
/// Failed connections in a row after which a backend is passed over, and for how long.
const MAX_FAILED_CONNECTIONS: u32 = 3;
const FAILED_CONNECTION_PAUSE: Micros = Micros::secs(3);

/// A backend as the load balancer sees it.
#[derive(Debug, Default)]
struct Backend {
    healthy: bool,
    was_healthy: bool,
    /// Outcomes of the latest probes, the oldest first.
    probes: VecDeque<bool>,
    healthy_since: Micros,
    unhealthy_since: Option<Micros>,
    removals: VecDeque<Micros>,
    /// Not healthy again before this.
    excluded_until: Micros,
    open_connections: usize,
    failed_connections: u32,
    passed_over_until: Micros,
}

impl Backend {
    /// Whether the last `PROBES_IN_ROW` probes had this outcome.
    fn row_of(&self, ok: bool) -> bool {
        self.probes.len() >= PROBES_IN_ROW
            && self.probes.iter().rev().take(PROBES_IN_ROW).all(|probe| *probe == ok)
    }

    fn remove(&mut self, now: Micros) {
        self.healthy = false;
        self.unhealthy_since = Some(now);
        self.removals.retain(|at| now.since(*at) < REMOVAL_MEMORY);
        let doublings = self.removals.len().min(16) as u32;
        let pause = MIN_PAUSE.scale(1 << doublings, 1).min(MAX_PAUSE);
        self.excluded_until = now + pause;
        self.removals.push_back(now);
    }

    fn restore(&mut self, now: Micros) {
        self.healthy = true;
        self.was_healthy = true;
        self.healthy_since = now;
        self.unhealthy_since = None;
    }

    /// Part of its share of new connections that the backend gets now, from 0 to 1.
    fn ramp(&self, now: Micros) -> f64 {
        (now.since(self.healthy_since).0 as f64 / RAMP_UP.0 as f64).clamp(0.05, 1.0)
    }
}

/// The load balancer's view of all backends.
#[derive(Debug)]
pub struct LoadBalancer {
    backends: Vec<Backend>,
}

impl LoadBalancer {
    /// Backends that were never healthy.
    pub fn new(backends: usize) -> Self {
        LoadBalancer { backends: (0..backends).map(|_| Backend::default()).collect() }
    }

    /// Whether a backend is healthy.
    pub fn is_healthy(&self, n: usize) -> bool {
        self.backends[n].healthy
    }

    /// Number of healthy backends.
    pub fn healthy_count(&self) -> usize {
        self.backends.iter().filter(|b| b.healthy).count()
    }

    /// Until when a removed backend stays out, whatever its probes show.
    pub fn excluded_until(&self, n: usize) -> Micros {
        self.backends[n].excluded_until
    }

    /// Records the outcome of a probe of `GET /ready`.
    pub fn probe_ended(&mut self, n: usize, ok: bool, now: Micros) {
        let backend = &mut self.backends[n];
        backend.probes.push_back(ok);
        if backend.probes.len() > PROBE_HISTORY {
            backend.probes.pop_front();
        }
        let failed = backend.probes.iter().filter(|ok| !**ok).count();
        if backend.healthy {
            if backend.row_of(false) || failed >= MAX_FAILED_PROBES {
                backend.remove(now);
            }
        } else if ok && (!backend.was_healthy || backend.row_of(true) && now >= backend.excluded_until) {
            backend.restore(now);
            backend.probes.clear();
        }
    }

    /// Chooses a backend for a new connection, other than those in `tried`: of the healthy ones that
    /// with the fewest open connections, for its share.
    pub fn choose(&self, tried: &[usize], now: Micros) -> Option<usize> {
        let load = |backend: &Backend| (backend.open_connections + 1) as f64 / backend.ramp(now);
        let eligible = |(n, backend): &(usize, &Backend)| {
            backend.healthy && now >= backend.passed_over_until && !tried.contains(n)
        };
        let backends = self.backends.iter().enumerate().filter(eligible);
        backends.min_by(|(_, a), (_, b)| load(a).total_cmp(&load(b))).map(|(n, _)| n)
    }

    /// A connection to a backend was opened.
    pub fn connected(&mut self, n: usize) {
        self.backends[n].open_connections += 1;
        self.backends[n].failed_connections = 0;
    }

    /// A backend refused a connection or did not accept it in time.
    pub fn connect_failed(&mut self, n: usize, now: Micros) {
        let backend = &mut self.backends[n];
        backend.failed_connections += 1;
        if backend.failed_connections >= MAX_FAILED_CONNECTIONS {
            backend.failed_connections = 0;
            backend.passed_over_until = now + FAILED_CONNECTION_PAUSE;
        }
    }

    /// An open connection to a backend was closed.
    pub fn disconnected(&mut self, n: usize) {
        self.backends[n].open_connections = self.backends[n].open_connections.saturating_sub(1);
    }

    /// Whether a backend's open connections are reset.
    pub fn resets_connections(&self, n: usize, now: Micros) -> bool {
        self.backends[n].unhealthy_since.is_some_and(|since| now.since(since) >= RESET_DELAY)
    }
}

#[cfg(test)]
mod tests;
