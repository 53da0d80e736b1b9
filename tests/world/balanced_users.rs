//! Users behind the load balancer, which probes `GET /ready` every second and sends new connections
//! only to controllers that it takes for healthy. A controller that it has removed several times
//! within two minutes stays out for up to a minute, whatever it answers in that time.
use super::scenarios::{Action, Controllers, Workload, long_jobs};
use super::*;
use gorseshore_standins::load_balancer::{LoadBalancer, PROBE_INTERVAL, PROBE_TIMEOUT};

/// Time after which a user gives up an unanswered request.
const REQUEST_TIMEOUT: u64 = 2 * S;
/// An accepted job counts as forgotten if no question about it is answered for this time.
const FORGOTTEN_AFTER: u64 = 75 * S;

/// The load balancer and what it has done.
#[derive(Default)]
pub struct Observations {
    balancer: Option<LoadBalancer>,
    /// Unanswered probes and the controllers that they were sent to.
    probes: BTreeMap<RequestId, usize>,
    /// Users' requests without an answer, and the controllers that they were sent to.
    connections: BTreeMap<RequestId, usize>,
    /// How late the leader handles each input, in microseconds.
    leader_lateness: u64,
    /// When controllers were removed.
    pub removals: Vec<(u64, usize)>,
    /// When probes were answered that the controller does not serve users.
    pub not_ready: Vec<(u64, usize)>,
}

impl Observations {
    /// Number of controllers that the load balancer takes for healthy.
    pub fn healthy_count(&self) -> usize {
        self.balancer.as_ref().map_or(0, LoadBalancer::healthy_count)
    }
}

impl World {
    /// Puts the load balancer between users and controllers.
    pub fn balance_users(&mut self) {
        self.balanced.balancer = Some(LoadBalancer::new(self.size.nodes));
        self.at(0, Event::ProbeControllers);
    }

    /// The controller that a user's request goes to; `None` if no controller takes connections.
    pub fn route_user(&mut self, n: usize, id: RequestId, requester: &Requester) -> Option<usize> {
        let is_user = matches!(requester, Requester::Submit(_) | Requester::Poll(_) | Requester::Abort(_));
        let now = Micros(self.now);
        let Some(balancer) = self.balanced.balancer.as_mut().filter(|_| is_user) else { return Some(n) };
        let mut tried = Vec::new();
        while let Some(chosen) = balancer.choose(&tried, now) {
            if self.nodes[chosen].is_some() {
                balancer.connected(chosen);
                self.balanced.connections.insert(id, chosen);
                self.at(REQUEST_TIMEOUT, Event::UserTimeout(id));
                return Some(chosen);
            }
            balancer.connect_failed(chosen, now);
            tried.push(chosen);
        }
        None
    }

    /// How late a controller handles its inputs, in microseconds.
    pub fn lateness_of(&self, n: usize) -> u64 {
        match self.balanced.leader_lateness {
            0 => 0,
            late => self.nodes[n].as_ref().filter(|node| node.leads()).map_or(0, |_| late),
        }
    }

    /// A user's request was answered or given up.
    pub fn close_user_connection(&mut self, id: RequestId) {
        if let Some(n) = self.balanced.connections.remove(&id)
            && let Some(balancer) = self.balanced.balancer.as_mut()
        {
            balancer.disconnected(n);
        }
    }

    /// Probes all controllers.
    pub fn probe_controllers(&mut self) {
        for n in 0..self.size.nodes {
            let id = RequestId(self.next_request);
            self.balanced.probes.insert(id, n);
            self.request(n, "GET", "/ready".into(), Vec::new(), Requester::Probe);
            self.at(PROBE_TIMEOUT.0, Event::ProbeTimeout(id));
        }
        self.at(PROBE_INTERVAL.0, Event::ProbeControllers);
    }

    /// A probe was answered with this status, or, with `None`, not in time.
    pub fn probe_ended(&mut self, id: RequestId, status: Option<u16>) {
        let Some(n) = self.balanced.probes.remove(&id) else { return };
        let Some(balancer) = self.balanced.balancer.as_mut() else { return };
        if status.is_some_and(|status| status != 200) {
            self.balanced.not_ready.push((self.now, n));
        }
        let was_healthy = balancer.is_healthy(n);
        balancer.probe_ended(n, status == Some(200), Micros(self.now));
        if was_healthy && !balancer.is_healthy(n) {
            self.balanced.removals.push((self.now, n));
        }
    }
}

/// Length of an action in thousandths of the time that a cancellation may take.
fn length(us: u64) -> u64 {
    us * 1000 / SMALL.cancel_timeout
}

/// Troubles of a simulation by time, each over within some seconds, and when the last one is over.
fn short_troubles(seed: u64, nodes: usize) -> (Vec<(u64, Action)>, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut troubles, mut at, mut over) = (Vec::new(), 60 * S, 0);
    while at < 190 * S {
        let affected = match rng.u32(0..3) {
            0 => Controllers::Other(rng.usize(0..nodes)),
            _ => Controllers::All,
        };
        let lasts = rng.u64(S..6 * S);
        let action = match rng.u32(0..9) {
            0 => Action::StateOutage(length(lasts)),
            1 => Action::RefusedByState(affected, length(lasts)),
            2 => Action::Pause(affected, length(lasts)),
            3 => Action::MachinesUnreachable(length(lasts)),
            4 => Action::Isolated(affected, length(lasts)),
            5 => Action::ZonesPartitioned(length(lasts)),
            6 => Action::MachinesHang(length(lasts)),
            _ => Action::Terminate(affected, length(lasts)),
        };
        if rng.u32(0..3) == 0 {
            troubles.push((at, Action::Cancel(Controllers::Other(rng.usize(0..nodes)))));
        }
        troubles.push((at, action));
        over = over.max(at + lasts);
        at += rng.u64(3 * S..24 * S);
    }
    (troubles, over)
}

/// Longest time within which no question about some accepted job was answered after `from`.
fn longest_unanswered(w: &mut World, from: u64, until: u64) -> (u64, usize) {
    let mut longest = (0, 0);
    while w.now + S < until {
        w.run(w.now + S);
        for (j, job) in w.jobs.iter().enumerate().filter(|(_, job)| job.accepted) {
            longest = longest.max((w.now - job.answered_at.max(job.accepted_at).max(from), j));
        }
    }
    longest
}

/// Guards against accepted jobs without an answer for more than a minute after several short
/// troubles: no controller was taken for healthy.
#[test]
fn users_are_answered_after_several_short_troubles() {
    let mut failed = Vec::new();
    for seed in seeds("BALANCED_SEEDS", 0, 6) {
        let nodes = if seed % 2 == 0 { 3 } else { 7 };
        let mut w = long_jobs(seed, nodes, Workload::Mixed);
        w.balance_users();
        let (troubles, over) = short_troubles(seed, nodes);
        for (at, trouble) in &troubles {
            w.run(*at);
            let leader = w.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.leads())).unwrap_or(0);
            w.perform(leader, *trouble);
        }
        w.run(over);
        let (unanswered, job) = longest_unanswered(&mut w, over, over + 110 * S);
        let late_removals = w.balanced.removals.iter().filter(|(at, _)| *at > over).count();
        let not_ready = w.balanced.not_ready.len();
        let at = |t: u64| t as f64 / S as f64;
        println!(
            "seed {seed}: {nodes} controllers, {} troubles until {:.1}, {} removals ({late_removals} after), \
             {not_ready} times not ready ({} after), longest unanswered {:.1} s (job {job})",
            troubles.len(),
            at(over),
            w.balanced.removals.len(),
            w.balanced.not_ready.iter().filter(|(at, _)| *at > over).count(),
            at(unanswered),
        );
        if std::env::var("WORLD_TRACE").is_ok() {
            println!("{troubles:?}\n{:?}\n{:?}", w.balanced.removals, w.balanced.not_ready);
        }
        if unanswered >= FORGOTTEN_AFTER || !w.violations.is_empty() {
            failed.push(format!("seed {seed}: {:.1} s, {:?}", at(unanswered), w.violations.first()));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Hits all controllers again each time that the load balancer has all of them back, until its pause
/// is longest; returns when the last trouble is over.
fn hit_until_the_pause_is_longest(
    w: &mut World,
    trouble: Action,
    lasts: u64,
    rng: &mut fastrand::Rng,
) -> u64 {
    for hit in 0..HITS {
        while w.balanced.healthy_count() < w.size.nodes {
            w.run(w.now + 100 * MS);
        }
        w.run(w.now + rng.u64(0..S));
        if hit + 1 == HITS {
            w.perform(0, Action::Cancel(Controllers::Other(rng.usize(0..w.size.nodes))));
            w.run(w.now + rng.u64(0..300 * MS));
        }
        w.perform(0, trouble);
        w.run(w.now + lasts);
    }
    w.now
}

/// How late the leader of about 4,000 machines handles its inputs while it is busy.
const LEADER_LATENESS: u64 = 900 * MS;
/// Hits after which the pause of the load balancer is longest.
const HITS: usize = 6;

/// Guards against cancelled jobs without an answer for 75 s: after a minute in which no controller is
/// taken for healthy, hardly any question may fail.
#[test]
fn cancelled_jobs_are_answered_when_the_load_balancer_is_back() {
    let mut failed = Vec::new();
    for seed in seeds("RETURN_SEEDS", 0, 6) {
        let nodes = if seed % 2 == 0 { 3 } else { 7 };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut w = long_jobs(seed, nodes, Workload::Mixed);
        w.balance_users();
        w.run(50 * S);
        let lasts = rng.u64(2500 * MS..3500 * MS);
        let trouble = match seed % 3 {
            0 => Action::Terminate(Controllers::All, length(lasts)),
            _ => Action::Pause(Controllers::All, length(lasts)),
        };
        let over = hit_until_the_pause_is_longest(&mut w, trouble, lasts, &mut rng);
        w.balanced.leader_lateness = LEADER_LATENESS;
        let (unanswered, job) = longest_unanswered(&mut w, over, over + 110 * S);
        println!(
            "seed {seed}: {nodes} controllers, {trouble:?} until {:.1}, {} removals, longest unanswered {:.1} s (job {job})",
            over as f64 / 1e6,
            w.balanced.removals.len(),
            unanswered as f64 / 1e6
        );
        if unanswered >= FORGOTTEN_AFTER || !w.violations.is_empty() {
            failed.push(format!("seed {seed}: job {job} {} s, {:?}", unanswered / S, w.violations.first()));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
