//! Calls to the state service, the cloud and the workers.
use super::http::{self, BodyEnd};
use super::server::within;
use gorseshore_core::{Call, CallResult, Target};
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Open connections kept to one address.
const KEPT: usize = 8;
/// Addresses with kept connections.
const ADDRESSES: usize = 300;
/// A connection that nobody used for so long is not used again.
const STALE: Duration = Duration::from_secs(20);

/// Keeps connections.
pub struct Client {
    state: String,
    cloud: String,
    idle: RefCell<HashMap<String, Vec<(TcpStream, Instant)>>>,
}

impl Client {
    /// A client of these services.
    pub fn new(state: &str, cloud: &str) -> Self {
        Client { state: state.into(), cloud: cloud.into(), idle: RefCell::default() }
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
                CallResult::Answer { status, body }
            }
            _ => CallResult::Unknown,
        }
    }

    /// A kept connection that the other side has not closed.
    async fn kept(&self, addr: &str) -> Option<TcpStream> {
        loop {
            let (stream, since) = self.idle.borrow_mut().get_mut(addr)?.pop()?;
            let mut b = [0u8; 1];
            let silent = future::poll_once(stream.peek(&mut b)).await.is_none();
            if silent && since.elapsed() < STALE {
                return Some(stream);
            }
        }
    }

    fn keep(&self, addr: &str, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= ADDRESSES && !idle.contains_key(addr) {
            idle.retain(|_, v| v.iter().any(|(_, t)| t.elapsed() < STALE));
        }
        let list = idle.entry(addr.to_owned()).or_default();
        if list.len() < KEPT {
            list.push((stream, Instant::now()));
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
