//! Connections of users and workers.
use super::Shell;
use super::http;
use gorseshore_protocol::users;
use log::warn;
use smol::future::{self, FutureExt};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// An open connection without a request is closed after this.
const IDLE: Duration = Duration::from_secs(90);
/// A request must be there whole within this.
const SLOW: Duration = Duration::from_secs(5);
/// The same when connections run short.
const IDLE_WHEN_CROWDED: Duration = Duration::from_secs(6);

/// Waits for `f` no longer than `limit`.
pub async fn within<T>(limit: Duration, f: impl Future<Output = T>) -> Option<T> {
    async { Some(f.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}

/// Takes connections; some of the sockets are kept for calls and peers.
pub async fn listen(shell: Rc<Shell>, listener: TcpListener, ex: Rc<LocalExecutor<'static>>, sockets: usize) {
    let open = Rc::new(Cell::new(0usize));
    let most = sockets * 7 / 10;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if open.get() >= most {
                    drop(stream);
                    continue;
                }
                open.set(open.get() + 1);
                let (shell, open) = (shell.clone(), open.clone());
                ex.spawn(async move {
                    serve(&shell, stream, &open, most).await;
                    open.set(open.get() - 1);
                })
                .detach();
            }
            Err(e) => {
                warn!("accept: {e}");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(shell: &Rc<Shell>, mut stream: TcpStream, open: &Cell<usize>, most: usize) {
    let _ = stream.set_nodelay(true);
    let mut buf: Vec<u8> = Vec::new();
    loop {
        let idle = if open.get() * 4 > most * 3 { IDLE_WHEN_CROWDED } else { IDLE };
        if buf.is_empty() && !matches!(within(idle, more(&mut stream, &mut buf)).await, Some(true)) {
            return;
        }
        let read = within(SLOW, read_request(&mut stream, &mut buf)).await;
        let (head, body) = match read {
            Some(Ok(Some(r))) => r,
            Some(Ok(None)) => return,
            None => {
                let a = http::answer(408, &users::error("the request took too long"), None, false);
                let _ = within(SLOW, stream.write_all(&a)).await;
                return;
            }
            Some(Err(e)) => {
                let a = http::answer(e.status(), &users::error(&e.to_string()), None, false);
                let _ = within(SLOW, stream.write_all(&a)).await;
                // What is still on its way is read, so that the answer is not
                // lost to a reset.
                let mut sink = [0u8; 4096];
                let _ = within(Duration::from_millis(300), async {
                    let mut left = 256 * 1024usize;
                    while let Ok(n) = stream.read(&mut sink).await {
                        if n == 0 || n >= left {
                            return;
                        }
                        left -= n;
                    }
                })
                .await;
                return;
            }
        };
        let (id, reply) = shell.request(head.method, head.path, body);
        // A requester that goes away meanwhile is noticed.
        let mut probe = [0u8; 1];
        let answered = async { reply.recv().await.ok() }
            .or(async {
                match stream.peek(&mut probe).await {
                    Ok(0) | Err(_) => None,
                    Ok(_) => future::pending().await,
                }
            })
            .await;
        let Some(r) = answered else {
            shell.gone(id);
            return;
        };
        let bytes = http::answer(r.status, &r.body, r.retry_after, head.keep);
        if !matches!(within(SLOW, stream.write_all(&bytes)).await, Some(Ok(()))) || !head.keep {
            return;
        }
    }
}

async fn more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
    let mut part = [0u8; 4096];
    match stream.read(&mut part).await {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&part[..n]);
            true
        }
        _ => false,
    }
}

type Request = (http::RequestHead, Vec<u8>);

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> Result<Option<Request>, http::BadRequest> {
    let head = loop {
        if let Some(h) = http::request_head(buf)? {
            break h;
        }
        if !more(stream, buf).await {
            return Ok(None);
        }
    };
    if head.expects && buf.len() < head.head + head.body {
        let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    while buf.len() < head.head + head.body {
        if !more(stream, buf).await {
            return Ok(None);
        }
    }
    let body = buf[head.head..head.head + head.body].to_vec();
    buf.drain(..head.head + head.body);
    if buf.is_empty() {
        buf.shrink_to(4096);
    }
    Ok(Some((head, body)))
}
