//! HTTP client for calls to the state service, the cloud and the workers.
use super::admission::ConnectionLimits;
use super::http::{self, BodyFraming};
use super::server::with_timeout;
use gorseshore_core::{Call, CallResult, Target};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::Semaphore;
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// A connection that has been idle for this time is not used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Minimum interval between scans for connections that have been idle for `MAX_IDLE_TIME`.
const MIN_SCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Makes calls and keeps idle connections for the next ones. As there are many workers,
/// the number of concurrent calls to them and of idle connections to them is bounded.
pub struct Client {
    state_addr: String,
    cloud_addr: String,
    idle: RefCell<HashMap<String, Vec<(TcpStream, Instant)>>>,
    /// Number of idle connections to workers.
    idle_to_workers: Cell<usize>,
    /// Idle connections to workers that may be kept at any load.
    reserved_idle_to_workers: usize,
    /// Inbound connections that could still be opened.
    free_inbound: Cell<usize>,
    /// Time of the last scan for connections idle for `MAX_IDLE_TIME`.
    last_scan: Cell<Instant>,
    worker_call_permits: Semaphore,
}

impl Client {
    /// Creates a client for the addresses of the state service and of the cloud.
    pub fn new(state: &str, cloud: &str, limits: &ConnectionLimits) -> Self {
        Client {
            state_addr: state.into(),
            cloud_addr: cloud.into(),
            idle: RefCell::default(),
            idle_to_workers: Cell::new(0),
            reserved_idle_to_workers: limits.reserved_idle_to_workers,
            free_inbound: Cell::new(limits.max_persistent),
            last_scan: Cell::new(Instant::now()),
            worker_call_permits: Semaphore::new(limits.max_worker_calls),
        }
    }

    /// Limit of idle connections to workers: the reserved ones, and half of the free inbound
    /// connections.
    fn max_idle_to_workers(&self) -> usize {
        self.reserved_idle_to_workers + self.free_inbound.get() / 2
    }

    /// Sets the number of inbound connections that could still be opened, and closes idle
    /// connections to workers over the new limit. They are cut to 7/8 of the limit, so that
    /// they are not counted again for each new inbound connection.
    pub fn set_free_inbound(&self, free_inbound: usize) {
        self.free_inbound.set(free_inbound);
        if self.idle_to_workers.get() <= self.max_idle_to_workers() {
            return;
        }
        let mut remaining = self.max_idle_to_workers() * 7 / 8;
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, v| {
            if !self.is_worker(addr) {
                return true;
            }
            v.truncate(remaining);
            remaining -= v.len();
            !v.is_empty()
        });
        self.recount_idle_to_workers(&idle);
    }

    /// Recounts the idle connections to workers.
    fn recount_idle_to_workers(&self, idle: &HashMap<String, Vec<(TcpStream, Instant)>>) {
        self.idle_to_workers.set(idle.iter().filter(|(a, _)| self.is_worker(a)).map(|(_, v)| v.len()).sum());
    }

    fn is_worker(&self, addr: &str) -> bool {
        addr != self.state_addr && addr != self.cloud_addr
    }

    /// Makes a call. The result is `NotSent` only if no byte of it left this process.
    pub async fn call(&self, call: &Call) -> CallResult {
        let addr = match &call.target {
            Target::State => &self.state_addr,
            Target::Cloud => &self.cloud_addr,
            Target::Worker(a) => a,
        };
        let timeout = Duration::from_micros(call.timeout.0);
        let started = Instant::now();
        // A call that gets no permit within its timeout is not sent.
        let _permit = match call.target {
            Target::Worker(_) => match with_timeout(timeout, self.worker_call_permits.acquire()).await {
                Some(permit) => Some(permit),
                None => return CallResult::NotSent,
            },
            _ => None,
        };
        let timeout = timeout.saturating_sub(started.elapsed());
        let started = Instant::now();
        let stream = match self.take_idle(addr).await {
            Some(s) => s,
            None => {
                let Ok(sock) = addr.parse::<SocketAddr>() else { return CallResult::NotSent };
                match with_timeout(timeout, TcpStream::connect(sock)).await {
                    Some(Ok(s)) => {
                        let _ = s.set_nodelay(true);
                        s
                    }
                    _ => return CallResult::NotSent,
                }
            }
        };
        let remaining = timeout.saturating_sub(started.elapsed());
        match with_timeout(remaining, exchange(stream, addr, call)).await {
            Some(Ok((status, body, connection))) => {
                if let Some(s) = connection {
                    self.put_idle(addr, s);
                }
                CallResult::Response { status, body }
            }
            _ => CallResult::Unknown,
        }
    }

    /// Takes an idle connection that the peer has not closed.
    async fn take_idle(&self, addr: &str) -> Option<TcpStream> {
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
                self.idle_to_workers.set(self.idle_to_workers.get().saturating_sub(1));
            }
            let mut b = [0u8; 1];
            let open = future::poll_once(stream.peek(&mut b)).await.is_none();
            if open && since.elapsed() < MAX_IDLE_TIME {
                return Some(stream);
            }
        }
    }

    fn put_idle(&self, addr: &str, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if self.is_worker(addr) {
            if self.idle_to_workers.get() >= self.max_idle_to_workers()
                && self.last_scan.get().elapsed() >= MIN_SCAN_INTERVAL
            {
                self.last_scan.set(Instant::now());
                idle.retain(|_, v| {
                    v.retain(|(_, t)| t.elapsed() < MAX_IDLE_TIME);
                    !v.is_empty()
                });
                self.recount_idle_to_workers(&idle);
            }
            if self.idle_to_workers.get() >= self.max_idle_to_workers() {
                return;
            }
            self.idle_to_workers.set(self.idle_to_workers.get() + 1);
        }
        let list = idle.entry(addr.to_owned()).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push((stream, Instant::now()));
        } else if self.is_worker(addr) {
            self.idle_to_workers.set(self.idle_to_workers.get() - 1);
        }
    }
}

type ResponseAndConnection = (u16, Vec<u8>, Option<TcpStream>);

async fn exchange(
    mut stream: TcpStream,
    addr: &str,
    call: &Call,
) -> Result<ResponseAndConnection, http::HttpError> {
    let read_write_error = |_| http::HttpError::Malformed;
    let mut req = format!("{} {} HTTP/1.1\r\nHost: {addr}\r\n", call.method, call.path);
    if !call.body.is_empty() || call.method == "POST" {
        req.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.len()));
    }
    req.push_str("\r\n");
    let mut bytes = req.into_bytes();
    bytes.extend_from_slice(&call.body);
    stream.write_all(&bytes).await.map_err(read_write_error)?;
    let mut buf = Vec::new();
    let mut chunk = vec![0u8; 8192];
    let mut head = None;
    loop {
        let n = stream.read(&mut chunk).await.map_err(read_write_error)?;
        buf.extend_from_slice(&chunk[..n]);
        if head.is_none() {
            head = http::parse_response_head(&buf)?;
        }
        if let Some(h) = &head {
            let received = buf.len() - h.head_len;
            let complete = match h.framing {
                BodyFraming::Length(len) if received >= len => Some(take_body(&mut buf, h.head_len, len)),
                BodyFraming::Chunked => http::decode_chunked(&buf[h.head_len..])?.map(|(b, _)| b),
                BodyFraming::UntilClose if n == 0 => Some(take_body(&mut buf, h.head_len, received)),
                _ => None,
            };
            if let Some(body) = complete {
                return Ok((h.status, body, h.keep_alive.then_some(stream)));
            }
        }
        if n == 0 {
            return Err(http::HttpError::Malformed);
        }
    }
}

/// The body of a response in `buf`, without a second copy of it.
fn take_body(buf: &mut Vec<u8>, head_len: usize, len: usize) -> Vec<u8> {
    buf.drain(..head_len);
    buf.truncate(len);
    std::mem::take(buf)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn idle_connections_to_workers_yield_to_inbound_connections() {
        smol::block_on(async {
            let limits = ConnectionLimits {
                max_persistent: 100,
                headroom: 4,
                max_worker_calls: 4,
                reserved_idle_to_workers: 4,
                extension: 0,
            };
            let client = Client::new("127.0.0.1:1", "127.0.0.1:2", &limits);
            let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let mut accepted = Vec::new();
            let mut connect = async || {
                let s = TcpStream::connect(addr).await.unwrap();
                accepted.push(listener.accept().await.unwrap());
                s
            };
            // (free inbound connections, idle connections expected to be kept of 70)
            for (free_inbound, expected) in [(100, 54), (60, 29), (0, 3), (100, 54)] {
                client.set_free_inbound(free_inbound);
                for i in 0..70 {
                    client.put_idle(&format!("10.0.0.1:{i}"), connect().await);
                }
                client.set_free_inbound(free_inbound);
                let kept: usize = client.idle.borrow().values().map(Vec::len).sum();
                assert_eq!(kept, client.idle_to_workers.get());
                assert!(
                    kept <= client.max_idle_to_workers() && kept + 5 >= expected,
                    "{free_inbound}: {kept} kept"
                );
            }
            // Connections to the state service and the cloud are not counted with them.
            client.put_idle("127.0.0.1:1", connect().await);
            client.set_free_inbound(0);
            assert!(client.take_idle("127.0.0.1:1").await.is_some());
            assert!(client.idle_to_workers.get() <= 4);
        });
    }
}
