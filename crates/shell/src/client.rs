//! Calls to the state service, the cloud and the workers.
use super::admission::Bounds;
use super::http::{self, BodyEnd};
use super::server::within;
use gorseshore_core::{Call, CallResult, Target};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::Semaphore;
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Open connections kept to one address.
const KEPT: usize = 8;
/// A connection that nobody used for so long is not used again.
const STALE: Duration = Duration::from_secs(20);
/// Such connections are looked for no more often than this.
const SWEEP: Duration = Duration::from_secs(2);

/// Keeps connections. Those with workers, who are many, are bounded: so many
/// calls at a time, and so many connections kept for the next one.
pub struct Client {
    state: String,
    cloud: String,
    idle: RefCell<HashMap<String, Vec<(TcpStream, Instant)>>>,
    /// Connections kept with workers, and when stale ones were looked for.
    kept: Cell<usize>,
    most_kept: usize,
    /// Connections from outside that could still be open.
    spare: Cell<usize>,
    swept: Cell<Instant>,
    calls: Semaphore,
}

impl Client {
    /// A client of these services.
    pub fn new(state: &str, cloud: &str, bounds: &Bounds) -> Self {
        Client {
            state: state.into(),
            cloud: cloud.into(),
            idle: RefCell::default(),
            kept: Cell::new(0),
            most_kept: bounds.kept,
            spare: Cell::new(bounds.most),
            swept: Cell::new(Instant::now()),
            calls: Semaphore::new(bounds.calls),
        }
    }

    /// How many connections with workers may be kept: a part of their own, and
    /// half of what those from outside leave.
    fn may_keep(&self) -> usize {
        self.most_kept + self.spare.get() / 2
    }

    /// So many more connections from outside could be open. Kept ones make room
    /// for them, some more than needed, so that not each newcomer counts them.
    pub fn leave_room(&self, spare: usize) {
        self.spare.set(spare);
        if self.kept.get() <= self.may_keep() {
            return;
        }
        let mut left = self.may_keep() * 7 / 8;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, v| {
            if !self.is_worker(addr) {
                return true;
            }
            v.truncate(left);
            left -= v.len();
            !v.is_empty()
        });
        self.count(&idle);
    }

    /// Counts the connections kept with workers anew.
    fn count(&self, idle: &HashMap<String, Vec<(TcpStream, Instant)>>) {
        self.kept.set(idle.iter().filter(|(a, _)| self.is_worker(a)).map(|(_, v)| v.len()).sum());
    }

    fn is_worker(&self, addr: &str) -> bool {
        addr != self.state && addr != self.cloud
    }

    /// Makes a call. `NotSent` only if nothing of it left this process.
    pub async fn call(&self, call: &Call) -> CallResult {
        let addr = match &call.target {
            Target::State => &self.state,
            Target::Cloud => &self.cloud,
            Target::Worker(a) => a,
        };
        let limit = Duration::from_micros(call.timeout.0);
        let began = Instant::now();
        // A call that waits its turn for too long was not sent.
        let _turn = match call.target {
            Target::Worker(_) => match within(limit, self.calls.acquire()).await {
                Some(turn) => Some(turn),
                None => return CallResult::NotSent,
            },
            _ => None,
        };
        let limit = limit.saturating_sub(began.elapsed());
        let began = Instant::now();
        let stream = match self.kept(addr).await {
            Some(s) => s,
            None => {
                let Ok(sock) = addr.parse::<SocketAddr>() else { return CallResult::NotSent };
                match within(limit, TcpStream::connect(sock)).await {
                    Some(Ok(s)) => {
                        let _ = s.set_nodelay(true);
                        s
                    }
                    _ => return CallResult::NotSent,
                }
            }
        };
        let left = limit.saturating_sub(began.elapsed());
        match within(left, exchange(stream, addr, call)).await {
            Some(Ok((status, body, kept))) => {
                if let Some(s) = kept {
                    self.keep(addr, s);
                }
                CallResult::Response { status, body }
            }
            _ => CallResult::Unknown,
        }
    }

    /// A kept connection that the other side has not closed.
    async fn kept(&self, addr: &str) -> Option<TcpStream> {
        loop {
            let (stream, since) = {
                let mut idle = self.idle.borrow_mut();
                let list = idle.get_mut(addr)?;
                let next = list.pop();
                if list.is_empty() {
                    idle.remove(addr);
                }
                next?
            };
            if self.is_worker(addr) {
                self.kept.set(self.kept.get().saturating_sub(1));
            }
            let mut b = [0u8; 1];
            let silent = future::poll_once(stream.peek(&mut b)).await.is_none();
            if silent && since.elapsed() < STALE {
                return Some(stream);
            }
        }
    }

    fn keep(&self, addr: &str, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if self.is_worker(addr) {
            if self.kept.get() >= self.may_keep() && self.swept.get().elapsed() >= SWEEP {
                self.swept.set(Instant::now());
                idle.retain(|_, v| {
                    v.retain(|(_, t)| t.elapsed() < STALE);
                    !v.is_empty()
                });
                self.count(&idle);
            }
            if self.kept.get() >= self.may_keep() {
                return;
            }
            self.kept.set(self.kept.get() + 1);
        }
        let list = idle.entry(addr.to_owned()).or_default();
        if list.len() < KEPT {
            list.push((stream, Instant::now()));
        } else if self.is_worker(addr) {
            self.kept.set(self.kept.get() - 1);
        }
    }
}

type Exchanged = (u16, Vec<u8>, Option<TcpStream>);

async fn exchange(mut stream: TcpStream, addr: &str, call: &Call) -> Result<Exchanged, http::BadRequest> {
    let broken = |_| http::BadRequest::Broken;
    let mut req = format!("{} {} HTTP/1.1\r\nHost: {addr}\r\n", call.method, call.path);
    if !call.body.is_empty() || call.method == "POST" {
        req.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.len()));
    }
    req.push_str("\r\n");
    let mut bytes = req.into_bytes();
    bytes.extend_from_slice(&call.body);
    stream.write_all(&bytes).await.map_err(broken)?;
    let mut buf = Vec::new();
    let mut part = vec![0u8; 8192];
    let mut head = None;
    loop {
        let n = stream.read(&mut part).await.map_err(broken)?;
        buf.extend_from_slice(&part[..n]);
        if head.is_none() {
            head = http::answer_head(&buf)?;
        }
        if let Some(h) = &head {
            let body = &buf[h.head..];
            let whole = match h.body {
                BodyEnd::Length(len) if body.len() >= len => Some(body[..len].to_vec()),
                BodyEnd::Chunked => http::chunked(body)?.map(|(b, _)| b),
                BodyEnd::Close if n == 0 => Some(body.to_vec()),
                _ => None,
            };
            if let Some(body) = whole {
                return Ok((h.status, body, h.keep.then_some(stream)));
            }
        }
        if n == 0 {
            return Err(http::BadRequest::Broken);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn kept_connections_make_room_for_those_from_outside() {
        smol::block_on(async {
            let bounds = Bounds { most: 100, lobby: 4, calls: 4, kept: 4, guest: 0 };
            let client = Client::new("127.0.0.1:1", "127.0.0.1:2", &bounds);
            let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let mut others = Vec::new();
            let mut connect = async || {
                let s = TcpStream::connect(addr).await.unwrap();
                others.push(listener.accept().await.unwrap());
                s
            };
            // (room that those from outside leave, connections kept of 70)
            for (spare, want) in [(100, 54), (60, 29), (0, 3), (100, 54)] {
                client.leave_room(spare);
                for i in 0..70 {
                    client.keep(&format!("10.0.0.1:{i}"), connect().await);
                }
                client.leave_room(spare);
                let kept: usize = client.idle.borrow().values().map(Vec::len).sum();
                assert_eq!(kept, client.kept.get());
                assert!(kept <= client.may_keep() && kept + 5 >= want, "{spare}: {kept} kept");
            }
            // State service and cloud are not counted with them.
            client.keep("127.0.0.1:1", connect().await);
            client.leave_room(0);
            assert!(client.kept("127.0.0.1:1").await.is_some());
            assert!(client.kept.get() <= 4);
        });
    }
}
