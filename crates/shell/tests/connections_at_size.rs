//! Connection admission of one controller with 4,000 workers, which all report to it while the
//! other controllers are unavailable, and with users who poll their jobs.
use gorseshore_protocol::ids::Micros;
use gorseshore_shell::admission::{Admission, AdmissionDecision, ClientClass, ConnId, ConnectionLimits};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const WORKERS: usize = 4_000;
const JOBS: usize = 1_500;
const HEARTBEAT_INTERVAL: Micros = Micros::secs(5);
const POLL_INTERVAL: Micros = Micros::secs(5);
/// Time from a connection to its first request, at an overloaded controller.
const FIRST_REQUEST_DELAY: Micros = Micros::millis(150);
const RESPONSE_DELAY: Micros = Micros::millis(5);
/// A job counts as lost if no poll about it is answered for this time.
const LOST_JOB_TIMEOUT: Micros = Micros::secs(75);
const DURATION: Micros = Micros::secs(90);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client starts a request, on its connection or a new one.
    StartRequest(usize),
    /// Its request is received.
    Request(usize, ConnId),
    /// Its request gets its response.
    Response(usize, ConnId),
}

struct Simulation {
    admission: Admission,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    connection: Vec<Option<ConnId>>,
    client: HashMap<ConnId, usize>,
    last_response: Vec<Micros>,
    max_unanswered: Micros,
    rejected_polls: usize,
    new_connections: usize,
}

impl Simulation {
    /// The clients are the workers, followed by one user for each job.
    fn new(limits: ConnectionLimits) -> Self {
        let mut events = BinaryHeap::new();
        for client in 0..WORKERS + JOBS {
            let start = Micros(client as u64 * HEARTBEAT_INTERVAL.0 / (WORKERS + JOBS) as u64);
            events.push(Reverse((start, Event::StartRequest(client))));
        }
        Simulation {
            admission: Admission::new(limits),
            now: Micros(0),
            events,
            connection: vec![None; WORKERS + JOBS],
            client: HashMap::new(),
            last_response: vec![Micros(0); WORKERS + JOBS],
            max_unanswered: Micros(0),
            rejected_polls: 0,
            new_connections: 0,
        }
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    fn close(&mut self, connection: Option<ConnId>) {
        let Some(connection) = connection else { return };
        self.admission.on_close(connection);
        if let Some(client) = self.client.remove(&connection)
            && self.connection[client] == Some(connection)
        {
            self.connection[client] = None;
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > DURATION {
                return;
            }
            self.now = at;
            match event {
                Event::StartRequest(client) => self.start_request(client),
                Event::Request(client, connection) => self.receive_request(client, connection),
                Event::Response(client, connection) => self.respond(client, connection),
            }
        }
    }

    fn start_request(&mut self, client: usize) {
        let interval = if client < WORKERS { HEARTBEAT_INTERVAL } else { POLL_INTERVAL };
        self.schedule(interval, Event::StartRequest(client));
        if let Some(connection) = self.connection[client] {
            return self.receive_request(client, connection);
        }
        let (connection, evicted) = self.admission.on_connect(self.now);
        self.close(evicted);
        match connection {
            Some(connection) => {
                self.new_connections += 1;
                self.client.insert(connection, client);
                self.schedule(FIRST_REQUEST_DELAY, Event::Request(client, connection));
            }
            None => self.admission.record_closed_before_request(),
        }
    }

    fn receive_request(&mut self, client: usize, connection: ConnId) {
        let class = if client < WORKERS { ClientClass::Worker } else { ClientClass::Poll };
        let (decision, evicted) = self.admission.on_request(connection, class, self.now);
        self.close(evicted);
        self.connection[client] = (decision == AdmissionDecision::KeepAlive).then_some(connection);
        match decision {
            AdmissionDecision::Reject => {
                self.rejected_polls += 1;
                self.admission.on_close(connection);
            }
            AdmissionDecision::KeepAlive | AdmissionDecision::CloseAfterResponse => {
                self.schedule(RESPONSE_DELAY, Event::Response(client, connection))
            }
        }
    }

    fn respond(&mut self, client: usize, connection: ConnId) {
        if client >= WORKERS {
            self.max_unanswered = self.max_unanswered.max(self.now.since(self.last_response[client]));
        }
        self.last_response[client] = self.now;
        match self.connection[client] == Some(connection) {
            true => self.admission.on_response(connection, self.now),
            false => self.admission.on_close(connection),
        }
    }

    /// Longest time that any job had no answered poll, up to the end of the simulation.
    fn max_unanswered_time(&self) -> Micros {
        let open = self.last_response[WORKERS..].iter().map(|at| DURATION.since(*at)).max();
        self.max_unanswered.max(open.unwrap_or_default())
    }
}

/// Guards against unanswered polls when there are more workers than connections, so that
/// workers are evicted and reconnect for each heartbeat.
#[test]
fn polls_are_answered_with_more_workers_than_connections() {
    // (sockets, other controllers, with an extension)
    for (sockets, other_controllers, extension) in [(3208, 2, false), (3742, 6, false), (3208, 2, true)] {
        let mut simulation = Simulation::new(ConnectionLimits::new(sockets, other_controllers, extension));
        simulation.run();
        let unanswered = simulation.max_unanswered_time();
        println!(
            "{sockets} sockets: {} polls rejected, {} new connections/s, longest without an answered poll {:.1} s",
            simulation.rejected_polls,
            simulation.new_connections as u64 / (DURATION.0 / 1_000_000),
            unanswered.as_secs_f64()
        );
        assert!(unanswered < LOST_JOB_TIMEOUT, "{sockets} sockets: no poll answered for {unanswered:?}");
    }
}
