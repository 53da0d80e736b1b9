//! Minimal threaded HTTP server and client on loopback, for the stand-ins and their tests.
use gorseshore_shell::http;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// Handles a request given by method, path with query, and body; returns status and body.
pub type Handler = Arc<dyn Fn(&str, &str, &[u8]) -> (u16, Vec<u8>) + Send + Sync>;

/// Serves HTTP on a free port until the process ends.
pub fn serve(handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(addr)
}

fn serve_connection(mut s: TcpStream, handler: &Handler) {
    let _ = s.set_nodelay(true);
    let mut buf = Vec::new();
    let mut chunk = [0u8; 4096];
    loop {
        if let Ok(Some(h)) = http::parse_request_head(&buf, http::MAX_EXTENSION_BODY_BYTES)
            && buf.len() >= h.head_len + h.body_len
        {
            let body = buf[h.head_len..h.head_len + h.body_len].to_vec();
            buf.drain(..h.head_len + h.body_len);
            let (status, answer) = handler(&h.method, &h.path, &body);
            if s.write_all(&http::encode_response(status, &answer, None, true)).is_err() {
                return;
            }
            continue;
        }
        match s.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

/// An HTTP response: status, index header and body.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `X-Nomad-Index` header, 0 if absent.
    pub index: u64,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// The body as JSON, null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends raw bytes on a new connection and reads one response.
pub fn send_raw(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Response> {
    let mut s = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    exchange(&mut s, bytes, timeout).map(|(response, _)| response)
}

/// Writes a request and reads its response; the flag tells whether the connection is kept alive.
fn exchange(s: &mut TcpStream, bytes: &[u8], timeout: Duration) -> Option<(Response, bool)> {
    s.set_read_timeout(Some(timeout)).ok()?;
    s.write_all(bytes).ok()?;
    let mut buf = Vec::new();
    let mut chunk = [0u8; 4096];
    loop {
        if let Ok(Some(h)) = http::parse_response_head(&buf)
            && let http::BodyFraming::Length(n) = h.framing
            && buf.len() >= h.head_len + n
        {
            let head = String::from_utf8_lossy(&buf[..h.head_len]).to_ascii_lowercase();
            let index = head.lines().find_map(|l| l.strip_prefix("x-nomad-index:")?.trim().parse().ok());
            let body = buf[h.head_len..h.head_len + n].to_vec();
            return Some((Response { status: h.status, index: index.unwrap_or(0), body }, h.keep_alive));
        }
        match s.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

/// A keep-alive connection that is reused for the next request, as workers do.
#[derive(Debug, Default)]
pub struct KeepAliveConnection(Option<(SocketAddr, TcpStream)>);

impl KeepAliveConnection {
    /// Sends one request; returns status and body as JSON. If the kept connection fails,
    /// for example because the server closed it, the request is sent on a new one.
    pub fn call(
        &mut self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, Value)> {
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if let Some((_, mut stream)) = self.0.take().filter(|(to, _)| *to == addr)
            && let Some((response, keep)) = exchange(&mut stream, text.as_bytes(), timeout)
        {
            self.0 = keep.then_some((addr, stream));
            return Some((response.status, response.json()));
        }
        let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
        stream.set_nodelay(true).ok()?;
        let (response, keep) = exchange(&mut stream, text.as_bytes(), timeout)?;
        self.0 = keep.then_some((addr, stream));
        Some((response.status, response.json()))
    }
}

/// Sends one request on a new connection. `headers` are further header lines, each with
/// its line ending.
pub fn send_request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    send_raw(addr, text.as_bytes(), timeout)
}

/// Sends one request with a timeout of 10 s; returns status and body as JSON.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    send_request(addr, method, path, "", body, Duration::from_secs(10)).map(|t| (t.status, t.json()))
}

/// A listener on a port that no other one had, below the ephemeral port range: an outgoing
/// connection has taken an ephemeral port between its selection and its use. No port is returned
/// twice by this process.
pub fn free_listener() -> std::io::Result<TcpListener> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 16_000 + (std::process::id() % 500) as u16 * 32;
    loop {
        let port = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        match TcpListener::bind(("127.0.0.1", port)) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}

/// A free address for a program that is started later. A child process that this one starts holds a
/// copy of the closed listener until it executes its program, so whoever binds the address here takes
/// `free_listener`.
pub fn free_address() -> std::io::Result<SocketAddr> {
    free_listener()?.local_addr()
}
