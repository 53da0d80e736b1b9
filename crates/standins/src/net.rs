//! HTTP on loopback with threads: enough for stand-ins and for asking them.
use gorseshore_shell::http;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// Answers a request: method, path with query, body; status and body.
pub type Handler = Arc<dyn Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync>;

/// Serves HTTP on a free port until the process ends.
pub fn serve(handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || connection(stream, &handler));
        }
    });
    Ok(addr)
}

fn connection(mut s: TcpStream, handler: &Handler) {
    let _ = s.set_nodelay(true);
    let mut buf = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        if let Ok(Some(h)) = http::request_head(&buf, http::MAX_GUEST_BODY)
            && buf.len() >= h.head + h.body
        {
            let body = buf[h.head..h.head + h.body].to_vec();
            buf.drain(..h.head + h.body);
            let (status, answer) = handler(&h.method, &h.path, &body);
            if s.write_all(&http::answer(status, &answer, None, true)).is_err() {
                return;
            }
            continue;
        }
        match s.read(&mut part) {
            Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
            _ => return,
        }
    }
}

/// An answer: status, the index header, and the body.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `X-Nomad-Index`, 0 without one.
    pub index: u64,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// The body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends raw bytes on a connection of its own and reads one answer.
pub fn send_raw(addr: SocketAddr, raw: &[u8], limit: Duration) -> Option<Response> {
    let mut s = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    exchange(&mut s, raw, limit).map(|(told, _)| told)
}

/// Writes a request and reads its answer; whether the connection stays.
fn exchange(s: &mut TcpStream, raw: &[u8], limit: Duration) -> Option<(Response, bool)> {
    s.set_read_timeout(Some(limit)).ok()?;
    s.write_all(raw).ok()?;
    let mut buf = Vec::new();
    let mut part = [0u8; 4096];
    loop {
        if let Ok(Some(h)) = http::answer_head(&buf)
            && let http::BodyEnd::Length(n) = h.body
            && buf.len() >= h.head + n
        {
            let head = String::from_utf8_lossy(&buf[..h.head]).to_ascii_lowercase();
            let index = head.lines().find_map(|l| l.strip_prefix("x-nomad-index:")?.trim().parse().ok());
            let body = buf[h.head..h.head + n].to_vec();
            return Some((Response { status: h.status, index: index.unwrap_or(0), body }, h.keep));
        }
        match s.read(&mut part) {
            Ok(n) if n > 0 => buf.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// A connection that is kept for the next request, as workers keep theirs.
#[derive(Debug, Default)]
pub struct KeepAliveConnection(Option<(SocketAddr, TcpStream)>);

impl KeepAliveConnection {
    /// One request; status and body as JSON. A connection that was closed meanwhile is
    /// opened anew.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, Value)> {
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if let Some((_, mut stream)) = self.0.take().filter(|(to, _)| *to == addr)
            && let Some((told, keep)) = exchange(&mut stream, text.as_bytes(), limit)
        {
            self.0 = keep.then_some((addr, stream));
            return Some((told.status, told.json()));
        }
        let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
        stream.set_nodelay(true).ok()?;
        let (told, keep) = exchange(&mut stream, text.as_bytes(), limit)?;
        self.0 = keep.then_some((addr, stream));
        Some((told.status, told.json()))
    }
}

/// One request with further header lines, each with its line's end.
pub fn send_request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    send_raw(addr, text.as_bytes(), limit)
}

/// One request; status and body as JSON.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    send_request(addr, method, path, "", body, Duration::from_secs(10)).map(|t| (t.status, t.json()))
}

/// An address for a program of its own that is started later: free now, never
/// given twice, and below the ports that systems use for outgoing connections,
/// one of which took an address between its being found and its use.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 16_000 + (std::process::id() % 500) as u16 * 32;
    loop {
        let port = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        match TcpListener::bind(("127.0.0.1", port)) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {}
            bound => return bound?.local_addr(),
        }
    }
}
