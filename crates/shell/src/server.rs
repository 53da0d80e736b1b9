//! HTTP server for users, workers and the extension's clients. [`super::admission`] decides
//! which connections stay open.
use super::admission::{
    Admission, AdmissionDecision, ClientClass, ConnId, ConnectionCounts, ConnectionLimits,
};
use super::http;
use super::{ResponsePart, Shell};
use gorseshore_protocol::users;
use log::{info, warn};
use smol::channel::{Receiver, Sender, bounded};
use smol::future::{self, FutureExt};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A connection that waits for a request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Limit for receiving a whole request, and for each write to a client.
const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// `Retry-After`, in seconds, of a request rejected at the connection limit.
const RETRY_AFTER_S: u32 = 2;
/// Attempts, 2 ms apart, to admit a new connection before it is closed.
const MAX_ADMISSION_ATTEMPTS: u32 = 20;
/// Minimum interval between log lines about an exceeded connection limit.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Waits for `f`; `None` if it is not ready within `limit`.
pub async fn with_timeout<T>(limit: Duration, f: impl Future<Output = T>) -> Option<T> {
    async { Some(f.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}

/// The API that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// API of users and workers.
    Scheduler,
    /// API of the extension.
    Extension,
}

impl Api {
    /// Limit of a request body, in bytes.
    fn max_body_len(self) -> usize {
        match self {
            Api::Scheduler => http::MAX_BODY_BYTES,
            Api::Extension => http::MAX_EXTENSION_BODY_BYTES,
        }
    }
}

/// The connections of one listener.
pub struct ConnectionTable {
    admission: Admission,
    /// Channels that signal a connection its eviction.
    close_signals: HashMap<ConnId, Sender<()>>,
    last_limit_log: Option<std::time::Instant>,
}

impl ConnectionTable {
    /// Starts without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        ConnectionTable {
            admission: Admission::new(limits),
            close_signals: HashMap::new(),
            last_limit_log: None,
        }
    }

    /// Open connections by class, and the counters since the last call, which are reset.
    pub fn take_counts(&mut self) -> ConnectionCounts {
        self.admission.take_counts()
    }

    /// Updates the limit of idle connections to workers: it shrinks as inbound connections of
    /// users and workers take sockets.
    fn update_free_inbound(&self, shell: &Shell, api: Api) {
        if api == Api::Scheduler {
            let (open, limit) = self.admission.open_and_limit();
            shell.client.set_free_inbound(limit.saturating_sub(open));
        }
    }

    fn signal_close(&self, id: Option<ConnId>) {
        if let Some(tx) = id.and_then(|id| self.close_signals.get(&id)) {
            let _ = tx.try_send(());
        }
    }

    /// Logs that the connection limit is exceeded, at most once per [`LIMIT_LOG_INTERVAL`].
    fn log_limit_exceeded(&mut self) {
        let (open, limit) = self.admission.open_and_limit();
        if open > limit && self.last_limit_log.is_none_or(|t| t.elapsed() >= LIMIT_LOG_INTERVAL) {
            self.last_limit_log = Some(std::time::Instant::now());
            let closed = self.admission.closed_or_rejected();
            info!("connection limit exceeded: open={open} limit={limit} closed_or_rejected={closed}");
        }
    }
}

/// Accepts connections within the limits of `connections`.
pub async fn listen(
    shell: Rc<Shell>,
    listener: TcpListener,
    ex: Rc<LocalExecutor<'static>>,
    api: Api,
    connections: Rc<RefCell<ConnectionTable>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (tx, rx) = bounded(1);
                let Some(id) = admit(&connections, &shell).await else { continue };
                {
                    let mut table = connections.borrow_mut();
                    table.close_signals.insert(id, tx);
                    table.update_free_inbound(&shell, api);
                }
                let (shell, connections) = (shell.clone(), connections.clone());
                ex.spawn(async move {
                    serve(&shell, stream, api, id, &connections, rx).await;
                    let mut table = connections.borrow_mut();
                    table.admission.on_close(id);
                    table.close_signals.remove(&id);
                    table.update_free_inbound(&shell, api);
                })
                .detach();
            }
            Err(e) => {
                warn!("accept failed: {e}");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Admits a new connection; `None` if it has to be closed. An evicted connection takes a
/// moment to close; no other connection is accepted in that time.
async fn admit(connections: &RefCell<ConnectionTable>, shell: &Shell) -> Option<ConnId> {
    for _ in 0..MAX_ADMISSION_ATTEMPTS {
        {
            let mut table = connections.borrow_mut();
            let (id, evicted) = table.admission.on_connect(shell.now());
            table.signal_close(evicted);
            table.log_limit_exceeded();
            if id.is_some() {
                return id;
            }
        }
        Timer::after(Duration::from_millis(2)).await;
    }
    connections.borrow_mut().admission.record_closed_before_request();
    None
}

async fn serve(
    shell: &Rc<Shell>,
    mut stream: TcpStream,
    api: Api,
    conn: ConnId,
    connections: &RefCell<ConnectionTable>,
    close_signal: Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let mut buf: Vec<u8> = Vec::new();
    loop {
        if buf.is_empty() {
            let next =
                async { with_timeout(IDLE_TIMEOUT, read_more(&mut stream, &mut buf)).await == Some(true) };
            let evicted = async {
                let _ = close_signal.recv().await;
                false
            };
            if !next.or(evicted).await {
                return;
            }
        }
        let read = with_timeout(IO_TIMEOUT, read_request(&mut stream, &mut buf, api)).await;
        let (head, body) = match read {
            Some(Ok(Some(r))) => r,
            Some(Ok(None)) => return,
            None => {
                let a =
                    http::encode_response(408, &users::error_body("the request took too long"), None, false);
                let _ = with_timeout(IO_TIMEOUT, stream.write_all(&a)).await;
                return;
            }
            Some(Err(e)) => {
                let a = http::encode_response(e.status(), &users::error_body(&e.to_string()), None, false);
                let _ = with_timeout(IO_TIMEOUT, stream.write_all(&a)).await;
                // Reads what the client still sends, so that the response is not lost to a
                // connection reset.
                let mut sink = [0u8; 4096];
                let _ = with_timeout(Duration::from_millis(300), async {
                    let mut remaining = 256 * 1024usize;
                    while let Ok(n) = stream.read(&mut sink).await {
                        if n == 0 || n >= remaining {
                            return;
                        }
                        remaining -= n;
                    }
                })
                .await;
                return;
            }
        };
        let class = ClientClass::from_request(&head.method, &head.path);
        let decision = {
            let mut table = connections.borrow_mut();
            let (decision, evicted) = table.admission.on_request(conn, class, shell.now());
            table.signal_close(evicted);
            decision
        };
        if decision == AdmissionDecision::Reject {
            let error = users::error_body("too many connections");
            let a = http::encode_response(503, &error, Some(RETRY_AFTER_S), false);
            let _ = with_timeout(IO_TIMEOUT, stream.write_all(&a)).await;
            return;
        }
        let keep_alive = head.keep_alive && decision == AdmissionDecision::KeepAlive;
        let (id, response_parts) = shell.submit_request(api, head, body);
        // Detects a client that disconnects before the response is ready.
        let mut probe = [0u8; 1];
        let response = async { response_parts.recv().await.ok() }
            .or(async {
                match stream.peek(&mut probe).await {
                    Ok(0) | Err(_) => None,
                    Ok(_) => future::pending().await,
                }
            })
            .await;
        match response {
            Some(ResponsePart::Full(a)) => {
                // A controller that can't serve users closes their connections: the load
                // balancer selects another controller only for a new connection.
                let keep_alive =
                    keep_alive && !(a.status == 503 && class != ClientClass::Worker && !shell.serves_users());
                let bytes = http::encode_response_with_headers(a.status, &a.headers, &a.body, keep_alive);
                if !matches!(with_timeout(IO_TIMEOUT, stream.write_all(&bytes)).await, Some(Ok(())))
                    || !keep_alive
                {
                    return;
                }
                connections.borrow_mut().admission.on_response(conn, shell.now());
            }
            Some(ResponsePart::StreamHead(a)) => {
                let head = http::encode_chunked_response_head(a.status, &a.headers);
                if matches!(with_timeout(IO_TIMEOUT, stream.write_all(&head)).await, Some(Ok(()))) {
                    stream_chunks(&mut stream, &response_parts).await;
                }
                return shell.client_disconnected(id);
            }
            Some(ResponsePart::StreamChunk(_)) | None => return shell.client_disconnected(id),
        }
    }
}

/// Writes chunks until the stream ends or the client disconnects.
async fn stream_chunks(stream: &mut TcpStream, parts: &Receiver<ResponsePart>) {
    let mut reader = stream.clone();
    let mut probe = [0u8; 64];
    loop {
        let next = async { parts.recv().await.ok() }
            .or(async {
                // Discards what the client sends, and waits for its disconnect.
                while matches!(reader.read(&mut probe).await, Ok(n) if n > 0) {}
                None
            })
            .await;
        let bytes = match next {
            Some(ResponsePart::StreamChunk(data)) if !data.is_empty() => http::encode_chunk(&data),
            Some(_) => continue,
            None => break,
        };
        if !matches!(with_timeout(IO_TIMEOUT, stream.write_all(&bytes)).await, Some(Ok(()))) {
            return;
        }
    }
    let _ = with_timeout(IO_TIMEOUT, stream.write_all(&http::encode_chunk(b""))).await;
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
    let mut chunk = [0u8; 4096];
    match stream.read(&mut chunk).await {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&chunk[..n]);
            true
        }
        _ => false,
    }
}

type Request = (http::RequestHead, Vec<u8>);

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    api: Api,
) -> Result<Option<Request>, http::HttpError> {
    let head = loop {
        if let Some(h) = http::parse_request_head(buf, api.max_body_len())? {
            break h;
        }
        if !read_more(stream, buf).await {
            return Ok(None);
        }
    };
    if head.expects_continue && buf.len() < head.head_len + head.body_len {
        let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    while buf.len() < head.head_len + head.body_len {
        if !read_more(stream, buf).await {
            return Ok(None);
        }
    }
    let body = buf[head.head_len..head.head_len + head.body_len].to_vec();
    buf.drain(..head.head_len + head.body_len);
    if buf.is_empty() {
        buf.shrink_to(4096);
    }
    Ok(Some((head, body)))
}
