//! Who may keep a connection when they run short: a state machine, without
//! sockets.
//!
//! Of a process's sockets, some are set aside for its own calls and for the
//! other controllers ([`Bounds::new`]); the rest are for whoever connects. Nobody
//! is known before the first request, so that everybody gets in and is asked:
//! a few more than may stay (the lobby) can be open. Then workers come first,
//! whose tasks die without an answer in time; then the load balancer's probe,
//! submissions, and polls. What can't be kept is answered at once and closed, and
//! whoever has been idle for longest makes room, users before workers.
//!
//! Invariant: no more than `most` + `lobby` connections are open, and none in
//! the middle of a request is closed for another.
use gorseshore_protocol::ids::Micros;
use std::collections::{BTreeSet, HashMap};

/// A connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// How a process's sockets are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Connections from outside that may stay open.
    pub most: usize,
    /// How many more may be open until they have said who they are.
    pub lobby: usize,
    /// Calls to workers under way at a time.
    pub calls: usize,
    /// Connections to workers that are kept for the next call.
    pub kept: usize,
    /// Connections of the guest's clients.
    pub guest: usize,
}

impl Bounds {
    /// Divides `sockets` of a process that has `others` controllers beside it:
    /// listeners, calls to state service and cloud, and three connections with
    /// each other controller (one either way, one that is being replaced) come
    /// off first.
    pub fn new(sockets: usize, others: usize, guest: bool) -> Self {
        let own = 48 + 3 * others;
        let left = sockets.saturating_sub(own).max(16);
        let lobby = left / 16;
        let calls = (left / 8).max(4);
        let kept = left / 32;
        let guest = if guest { left / 5 } else { 0 };
        Bounds { most: left - lobby - calls - kept - guest, lobby, calls, kept, guest }
    }

    /// The same for the guest's own address.
    pub fn of_guest(self) -> Self {
        let lobby = self.guest / 16;
        Bounds { most: self.guest - lobby, lobby, ..self }
    }
}

/// Who is at the other end, by what they last asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// Has not said anything yet.
    Unknown,
    /// Asks about a job.
    Poll,
    /// Submits or cancels a job.
    Change,
    /// The load balancer.
    Probe,
    /// A worker's report.
    Worker,
}

impl Who {
    /// By a request's method and path.
    pub fn of(method: &str, path: &str) -> Who {
        match (method, path.split('?').next().unwrap_or("")) {
            ("POST", "/checkin") => Who::Worker,
            ("GET", "/ready") => Who::Probe,
            ("POST", _) => Who::Change,
            _ => Who::Poll,
        }
    }
}

/// What becomes of a request and its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// Served, and the connection stays.
    Keep,
    /// Served, then closed.
    Close,
    /// Told to come back, then closed.
    Refuse,
}

/// A newcomer that says nothing for so long may be let go for another.
const SAYS_NOTHING: Micros = Micros::secs(1);

/// Connections by who is at the other end, and what became of those there was no
/// room for since the counts were last taken.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Workers.
    pub workers: usize,
    /// Users and the load balancer.
    pub users: usize,
    /// Those that have not asked for anything yet.
    pub unidentified: usize,
    /// Questions, submissions and cancellations refused for want of a connection.
    pub requests_refused: u64,
    /// Connections closed unasked.
    pub closed_unasked: u64,
    /// Idle connections closed for others: users' and workers'.
    pub users_evicted: u64,
    /// Idle workers' connections closed for others.
    pub workers_evicted: u64,
    /// Workers' reports that were answered on a connection that could not stay.
    pub workers_not_kept: u64,
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
            self.requests_refused,
            self.closed_unasked,
            self.users_evicted,
            self.workers_evicted,
            self.workers_not_kept
        )
    }
}

#[derive(Debug)]
struct Conn {
    who: Who,
    /// Since when it waits for a request; `None` while one is served.
    idle: Option<Micros>,
}

/// The connections that are open, and who is let go for whom.
#[derive(Debug)]
pub struct Admission {
    bounds: Bounds,
    next: u64,
    open: HashMap<ConnId, Conn>,
    /// Those that wait for a request: users' and newcomers', and workers', by
    /// when they began to.
    users: BTreeSet<(Micros, ConnId)>,
    workers: BTreeSet<(Micros, ConnId)>,
    /// Let go, and not closed yet.
    leaving: BTreeSet<ConnId>,
    turned_away: u64,
    counts: ConnectionCounts,
}

impl Admission {
    /// Nobody is connected.
    pub fn new(bounds: Bounds) -> Self {
        Admission {
            bounds,
            next: 0,
            open: HashMap::new(),
            users: BTreeSet::new(),
            workers: BTreeSet::new(),
            leaving: BTreeSet::new(),
            turned_away: 0,
            counts: ConnectionCounts::default(),
        }
    }

    /// Connections open, and how many may stay.
    pub fn load(&self) -> (usize, usize) {
        (self.open.len(), self.bounds.most)
    }

    /// Requests refused and connections let go so far.
    pub fn turned_away(&self) -> u64 {
        self.turned_away
    }

    /// Connections by class, and what became of others since this was last asked.
    pub fn take_counts(&mut self) -> ConnectionCounts {
        let mut counts = std::mem::take(&mut self.counts);
        for connection in self.open.values() {
            match connection.who {
                Who::Worker => counts.workers += 1,
                Who::Unknown => counts.unidentified += 1,
                Who::Poll | Who::Change | Who::Probe => counts.users += 1,
            }
        }
        counts
    }

    /// How many are open beyond those that may stay, without those on their
    /// way out.
    fn over(&self) -> usize {
        (self.open.len() - self.leaving.len()).saturating_sub(self.bounds.most)
    }

    /// Somebody connected. The connection's name, unless there is no room even
    /// to ask who it is; and who is let go.
    pub fn opened(&mut self, now: Micros) -> (Option<ConnId>, Option<ConnId>) {
        let gone = self.let_go(1, Who::Unknown, now);
        if self.open.len() >= self.bounds.most + self.bounds.lobby {
            return (None, gone);
        }
        self.next += 1;
        let id = ConnId(self.next);
        self.open.insert(id, Conn { who: Who::Unknown, idle: Some(now) });
        self.users.insert((now, id));
        (Some(id), gone)
    }

    /// Nobody made room for a newcomer in time: it is closed unasked.
    pub fn turn_away(&mut self) {
        self.counts.closed_unasked += 1;
        self.turned_away += 1;
    }

    /// A request came. What becomes of it, and who is let go for it.
    pub fn asks(&mut self, id: ConnId, who: Who, now: Micros) -> (Manner, Option<ConnId>) {
        self.busy(id);
        let Some(c) = self.open.get_mut(&id) else { return (Manner::Close, None) };
        c.who = who;
        if self.leaving.contains(&id) {
            // Let go in the moment in which it asked: it is answered first.
            return (Manner::Close, None);
        }
        let over = self.over();
        if over == 0 {
            return (Manner::Keep, None);
        }
        let lobby = self.bounds.lobby;
        match who {
            Who::Worker => match self.let_go(0, who, now) {
                Some(gone) => (Manner::Keep, Some(gone)),
                None => {
                    self.counts.workers_not_kept += 1;
                    (Manner::Close, None)
                }
            },
            Who::Poll | Who::Unknown if over * 2 > lobby => self.refuse(),
            Who::Change if over * 4 > lobby * 3 => self.refuse(),
            _ => (Manner::Close, None),
        }
    }

    fn refuse(&mut self) -> (Manner, Option<ConnId>) {
        self.counts.requests_refused += 1;
        self.turned_away += 1;
        (Manner::Refuse, None)
    }

    fn busy(&mut self, id: ConnId) {
        let Some(c) = self.open.get_mut(&id) else { return };
        if let Some(since) = c.idle.take() {
            self.users.remove(&(since, id));
            self.workers.remove(&(since, id));
        }
    }

    /// It was answered and waits for its next request.
    pub fn idle(&mut self, id: ConnId, now: Micros) {
        self.busy(id);
        let Some(c) = self.open.get_mut(&id) else { return };
        c.idle = Some(now);
        let list = if c.who == Who::Worker { &mut self.workers } else { &mut self.users };
        list.insert((now, id));
    }

    /// It is closed.
    pub fn closed(&mut self, id: ConnId) {
        self.busy(id);
        self.open.remove(&id);
        self.leaving.remove(&id);
    }

    /// Who has been idle for longest makes room, if `more` are to come and there
    /// is none: users and silent newcomers, then, for a worker, another worker,
    /// which connects anew for its next report.
    fn let_go(&mut self, more: usize, who: Who, now: Micros) -> Option<ConnId> {
        if self.open.len() - self.leaving.len() + more <= self.bounds.most {
            return None;
        }
        let fresh = |(since, id): &&(Micros, ConnId)| {
            self.open[id].who == Who::Unknown && now.since(*since) < SAYS_NOTHING
        };
        let user = self.users.iter().find(|x| !fresh(x)).copied();
        let any = user.or_else(|| self.workers.first().copied().filter(|_| who == Who::Worker));
        let (_, id) = any?;
        self.busy(id);
        match self.open[&id].who {
            Who::Worker => self.counts.workers_evicted += 1,
            Who::Unknown => self.counts.closed_unasked += 1,
            Who::Poll | Who::Change | Who::Probe => self.counts.users_evicted += 1,
        }
        self.leaving.insert(id);
        self.turned_away += 1;
        Some(id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const B: Bounds = Bounds { most: 4, lobby: 4, calls: 1, kept: 1, guest: 0 };

    fn ms(t: u64) -> Micros {
        Micros::millis(t)
    }

    /// Opens a connection that asks and is answered.
    fn come(a: &mut Admission, who: Who, t: u64) -> Option<ConnId> {
        let (id, gone) = a.opened(ms(t));
        gone.into_iter().for_each(|g| a.closed(g));
        let id = id?;
        let (manner, gone) = a.asks(id, who, ms(t));
        gone.into_iter().for_each(|g| a.closed(g));
        match manner {
            Manner::Keep => a.idle(id, ms(t)),
            _ => a.closed(id),
        }
        (manner == Manner::Keep).then_some(id)
    }

    #[test]
    fn workers_come_before_users_and_the_idlest_goes_first() {
        let mut a = Admission::new(B);
        let users: Vec<_> = (0..4).map(|i| come(&mut a, Who::Poll, i).unwrap()).collect();
        // A fifth takes the place of the one that was idle for longest.
        let fifth = come(&mut a, Who::Change, 10).unwrap();
        assert!(!a.open.contains_key(&users[0]) && a.open.len() == 4);
        let workers: Vec<_> = (0..4).map(|i| come(&mut a, Who::Worker, 20 + i).unwrap()).collect();
        assert!(!a.open.contains_key(&fifth) && a.open.len() == 4);
        // Now there are only workers: a user is served and closed, a worker
        // takes the place of the one that reported longest ago.
        assert_eq!(come(&mut a, Who::Change, 30), None);
        assert_eq!(a.open.len(), 4);
        assert!(come(&mut a, Who::Worker, 31).is_some());
        assert!(!a.open.contains_key(&workers[0]) && a.open.contains_key(&workers[1]));
    }

    #[test]
    fn what_asks_is_never_let_go_and_the_lobby_has_an_end() {
        let mut a = Admission::new(B);
        // All are in the middle of a request.
        let busy: Vec<_> = (0..4)
            .map(|i| {
                let id = a.opened(ms(i)).0.unwrap();
                assert_eq!(a.asks(id, Who::Poll, ms(i)).0, Manner::Keep);
                id
            })
            .collect();
        // (who comes, what becomes of it); nobody is let go for any of them
        let steps = [
            (Who::Worker, Manner::Close),
            (Who::Poll, Manner::Close),
            (Who::Poll, Manner::Refuse),
            (Who::Change, Manner::Refuse),
        ];
        for (who, want) in steps {
            let (id, gone) = a.opened(ms(10));
            assert_eq!(gone, None);
            assert_eq!(a.asks(id.unwrap(), who, ms(10)), (want, None), "{who:?}");
        }
        assert_eq!(a.opened(ms(11)), (None, None));
        assert_eq!(a.open.len(), 8);
        assert!(busy.iter().all(|id| a.open.contains_key(id)));
        // One that is let go in the moment in which it asks is answered first.
        let mut a = Admission::new(B);
        let first = a.opened(ms(0)).0.unwrap();
        assert_eq!(a.asks(first, Who::Poll, ms(0)).0, Manner::Keep);
        a.idle(first, ms(0));
        let others: Vec<_> = (0..3).map(|i| a.opened(ms(i)).0.unwrap()).collect();
        assert_eq!(a.opened(ms(5)).1, Some(first));
        assert!(a.leaving.contains(&first));
        assert_eq!(a.asks(first, Who::Poll, ms(6)), (Manner::Close, None));
        // Newcomers get a second to speak, and then go.
        assert_eq!(a.opened(ms(7)).1, None);
        assert_eq!(a.opened(ms(1500)).1, Some(others[0]));
    }

    #[test]
    fn the_parts_never_exceed_the_whole() {
        for sockets in [64, 200, 1024, 1500, 3208, 3742, 60_000] {
            for others in [0, 2, 6, 30] {
                for guest in [false, true] {
                    let b = Bounds::new(sockets, others, guest);
                    let own = 48 + 3 * others;
                    let sum = b.most + b.lobby + b.calls + b.kept + b.guest;
                    assert!(sum + own <= sockets.max(own + 16), "{sockets} {others}: {b:?}");
                    assert!(b.most >= 8 && b.calls >= 2, "{sockets} {others}: {b:?}");
                }
            }
        }
    }
}
