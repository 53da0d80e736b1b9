//! Connections of users and workers; who may keep one is decided in
//! [`super::admission`].
use super::admission::{Admission, Bounds, ConnId, ConnectionCounts, Manner, Who};
use super::http;
use super::{Reply, Shell};
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

/// An open connection without a request is closed after this.
const IDLE: Duration = Duration::from_secs(90);
/// A request must be there whole within this.
const SLOW: Duration = Duration::from_secs(5);
/// Who is refused for want of a connection may come back after this, in seconds.
const COME_BACK: u32 = 2;
/// How often, every 2 ms, a place is looked for before a newcomer is closed.
const LETS_GO_IN: u32 = 20;
/// That connections run short is logged no more often than this.
const TOLD_EVERY: Duration = Duration::from_secs(10);

/// Waits for `f` no longer than `limit`.
pub async fn within<T>(limit: Duration, f: impl Future<Output = T>) -> Option<T> {
    async { Some(f.await) }
        .or(async {
            Timer::after(limit).await;
            None
        })
        .await
}

/// Who is behind an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// Users and workers.
    Users,
    /// Those who speak the guest's interface.
    Extension,
}

impl Door {
    /// Longest request body.
    fn longest(self) -> usize {
        match self {
            Door::Users => http::MAX_BODY,
            Door::Extension => http::MAX_GUEST_BODY,
        }
    }
}

/// The connections of one address.
pub struct Entry {
    admission: Admission,
    /// Tells a connection that it is let go.
    let_go: HashMap<ConnId, Sender<()>>,
    told: Option<std::time::Instant>,
}

impl Entry {
    /// Nobody is connected yet.
    pub fn new(bounds: Bounds) -> Self {
        Entry { admission: Admission::new(bounds), let_go: HashMap::new(), told: None }
    }

    /// Connections by class, and what became of others since this was last asked.
    pub fn take_counts(&mut self) -> ConnectionCounts {
        self.admission.take_counts()
    }

    /// Users' and workers' connections take the room of those kept with workers.
    fn leave_room(&self, shell: &Shell, door: Door) {
        if door == Door::Users {
            let (open, most) = self.admission.load();
            shell.client.leave_room(most.saturating_sub(open));
        }
    }

    fn let_go(&self, id: Option<ConnId>) {
        if let Some(tx) = id.and_then(|id| self.let_go.get(&id)) {
            let _ = tx.try_send(());
        }
    }

    /// Says that connections run short, now and then.
    fn tell(&mut self) {
        let (open, most) = self.admission.load();
        if open > most && self.told.is_none_or(|t| t.elapsed() >= TOLD_EVERY) {
            self.told = Some(std::time::Instant::now());
            let away = self.admission.turned_away();
            info!("{open} of {most} connections are open: {away} let go or turned away so far");
        }
    }
}

/// Takes connections, as many as the bounds of `entry` say.
pub async fn listen(
    shell: Rc<Shell>,
    listener: TcpListener,
    ex: Rc<LocalExecutor<'static>>,
    door: Door,
    entry: Rc<RefCell<Entry>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (tx, rx) = bounded(1);
                let Some(id) = admit(&entry, &shell).await else { continue };
                {
                    let mut e = entry.borrow_mut();
                    e.let_go.insert(id, tx);
                    e.leave_room(&shell, door);
                }
                let (shell, entry) = (shell.clone(), entry.clone());
                ex.spawn(async move {
                    serve(&shell, stream, door, id, &entry, rx).await;
                    let mut e = entry.borrow_mut();
                    e.admission.closed(id);
                    e.let_go.remove(&id);
                    e.leave_room(&shell, door);
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

/// Lets a newcomer in. Those who are let go for it need a moment to close, in
/// which nobody else is taken from the queue either.
async fn admit(entry: &RefCell<Entry>, shell: &Shell) -> Option<ConnId> {
    for _ in 0..LETS_GO_IN {
        {
            let mut e = entry.borrow_mut();
            let (id, gone) = e.admission.opened(shell.now());
            e.let_go(gone);
            e.tell();
            if id.is_some() {
                return id;
            }
        }
        Timer::after(Duration::from_millis(2)).await;
    }
    entry.borrow_mut().admission.turn_away();
    None
}

async fn serve(
    shell: &Rc<Shell>,
    mut stream: TcpStream,
    door: Door,
    conn: ConnId,
    entry: &RefCell<Entry>,
    let_go: Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let mut buf: Vec<u8> = Vec::new();
    loop {
        if buf.is_empty() {
            let next = async { within(IDLE, more(&mut stream, &mut buf)).await == Some(true) };
            let gone = async {
                let _ = let_go.recv().await;
                false
            };
            if !next.or(gone).await {
                return;
            }
        }
        let read = within(SLOW, read_request(&mut stream, &mut buf, door)).await;
        let (head, body) = match read {
            Some(Ok(Some(r))) => r,
            Some(Ok(None)) => return,
            None => {
                let a = http::answer(408, &users::error_body("the request took too long"), None, false);
                let _ = within(SLOW, stream.write_all(&a)).await;
                return;
            }
            Some(Err(e)) => {
                let a = http::answer(e.status(), &users::error_body(&e.to_string()), None, false);
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
        let who = Who::of(&head.method, &head.path);
        let manner = {
            let mut e = entry.borrow_mut();
            let (manner, gone) = e.admission.asks(conn, who, shell.now());
            e.let_go(gone);
            manner
        };
        if manner == Manner::Refuse {
            let error = users::error_body("too many connections");
            let a = http::answer(503, &error, Some(COME_BACK), false);
            let _ = within(SLOW, stream.write_all(&a)).await;
            return;
        }
        let keep = head.keep && manner == Manner::Keep;
        let (id, reply) = shell.request(door, head, body);
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
        match answered {
            Some(Reply::Whole(a)) => {
                // A controller that can't serve users lets them go to others, which the
                // load balancer names only for a new connection.
                let keep = keep && !(a.status == 503 && who != Who::Worker && !shell.serves_users());
                let bytes = http::answer_with(a.status, &a.headers, &a.body, keep);
                if !matches!(within(SLOW, stream.write_all(&bytes)).await, Some(Ok(()))) || !keep {
                    return;
                }
                entry.borrow_mut().admission.idle(conn, shell.now());
            }
            Some(Reply::Head(a)) => {
                let first = http::chunked_head(a.status, &a.headers);
                if matches!(within(SLOW, stream.write_all(&first)).await, Some(Ok(()))) {
                    stream_chunks(&mut stream, &reply).await;
                }
                return shell.gone(id);
            }
            Some(Reply::Chunk(_)) | None => return shell.gone(id),
        }
    }
}

/// Writes chunks until their source or the reader ends.
async fn stream_chunks(stream: &mut TcpStream, chunks: &Receiver<Reply>) {
    let mut watch = stream.clone();
    let mut probe = [0u8; 64];
    loop {
        let next = async { chunks.recv().await.ok() }
            .or(async {
                // Whatever the reader sends is of no interest but its end.
                while matches!(watch.read(&mut probe).await, Ok(n) if n > 0) {}
                None
            })
            .await;
        let bytes = match next {
            Some(Reply::Chunk(data)) if !data.is_empty() => http::chunk(&data),
            Some(_) => continue,
            None => break,
        };
        if !matches!(within(SLOW, stream.write_all(&bytes)).await, Some(Ok(()))) {
            return;
        }
    }
    let _ = within(SLOW, stream.write_all(&http::chunk(b""))).await;
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
    door: Door,
) -> Result<Option<Request>, http::BadRequest> {
    let head = loop {
        if let Some(h) = http::request_head(buf, door.longest())? {
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
