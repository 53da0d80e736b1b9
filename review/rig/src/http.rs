//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Limit of a request's body, as the protocol page sets it.
pub const MAX_BODY: usize = 64 * 1024;

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    /// The client's port.
    pub port: u16,
}

/// A response, or `None`: the connection is closed without one.
pub type Reply = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

struct Head {
    first: String,
    length: usize,
    close: bool,
    head_len: usize,
    chunked: bool,
}

fn parse_head(buf: &[u8]) -> Option<Head> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let mut head = Head { first, length: 0, close: false, head_len: end + 4, chunked: false };
    for line in lines {
        let Some((k, v)) = line.split_once(':') else { continue };
        let v = v.trim();
        match k.trim().to_ascii_lowercase().as_str() {
            "content-length" => head.length = v.parse().unwrap_or(0),
            "connection" => head.close = v.eq_ignore_ascii_case("close"),
            "transfer-encoding" => head.chunked = true,
            _ => {}
        }
    }
    Some(head)
}

/// Serves on a free port; bodies over `max_body` are answered 413 and the connection is closed.
pub fn serve(max_body: usize, handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || connection(stream, max_body, &handler));
        }
    });
    Ok(addr)
}

fn connection(mut s: TcpStream, max_body: usize, handler: &Handler) {
    let _ = s.set_nodelay(true);
    let mut buf: Vec<u8> = Vec::new();
    let mut chunk = vec![0u8; 16384];
    let port = s.peer_addr().map_or(0, |a| a.port());
    loop {
        if let Some(h) = parse_head(&buf) {
            if h.length > max_body {
                let _ = s.write_all(
                    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                );
                std::thread::sleep(Duration::from_millis(200));
                return;
            }
            if buf.len() >= h.head_len + h.length {
                let mut words = h.first.split(' ');
                let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
                let request = Request {
                    method: method.to_owned(),
                    path: path.to_owned(),
                    body: buf[h.head_len..h.head_len + h.length].to_vec(),
                    port,
                };
                buf.drain(..h.head_len + h.length);
                let Some((status, body)) = handler(&request) else { return };
                let text = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if s.write_all(text.as_bytes()).is_err() || h.close {
                    return;
                }
                continue;
            }
        }
        match s.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

/// Sends one request on a new connection; `None`: no response within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut s = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = s.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    // A server may answer and close before it has read all of a long body.
    let written = s.write_all(text.as_bytes());
    let mut buf = Vec::new();
    let mut chunk = vec![0u8; 16384];
    loop {
        if let Some(h) = parse_head(&buf) {
            let status: u16 = h.first.split(' ').nth(1)?.parse().ok()?;
            let got = buf.len() - h.head_len;
            if !h.chunked && got >= h.length {
                return Some((
                    status,
                    String::from_utf8_lossy(&buf[h.head_len..h.head_len + h.length]).into_owned(),
                ));
            }
        }
        let left = until.checked_duration_since(Instant::now()).filter(|d| !d.is_zero())?;
        s.set_read_timeout(Some(left)).ok()?;
        match s.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => {
                let _ = written;
                return None;
            }
        }
    }
}
