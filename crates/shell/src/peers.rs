//! Connections between controllers: each node dials the others and only
//! sends on what it dialled.
use super::Shell;
use super::server::within;
use gorseshore_core::Input;
use gorseshore_core::peer::inbox::Inbox;
use gorseshore_core::peer::{self, Envelope};
use gorseshore_protocol::ids::NodeId;
use log::{debug, warn};
use smol::channel::{Receiver, Sender};
use smol::future::poll_once;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of frames that may wait for one peer. Every frame stands for a whole state or
/// is sent again, so what comes beyond is left out; a longer frame goes alone.
const MOST_WAITING: usize = 1 << 20;

/// Everybody sends twice a second; a connection that is silent for so long is dead.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Frames that wait for a peer. Invariant: `bytes` is the length of those in the queue.
pub struct Outgoing {
    queue: Sender<Vec<u8>>,
    bytes: Cell<usize>,
}

impl Outgoing {
    /// Nothing waits.
    pub fn new(queue: Sender<Vec<u8>>) -> Self {
        Outgoing { queue, bytes: Cell::new(0) }
    }

    /// Puts a frame into the queue, or leaves it out where too much waits: a peer that
    /// doesn't keep up must not fill this process's memory.
    pub fn put(&self, frame: Vec<u8>) {
        let (waiting, more) = (self.bytes.get(), frame.len());
        if (waiting == 0 || waiting + more <= MOST_WAITING) && self.queue.try_send(frame).is_ok() {
            self.bytes.set(waiting + more);
        }
    }

    /// A frame left the queue.
    pub fn taken(&self, frame: &[u8]) {
        self.bytes.set(self.bytes.get().saturating_sub(frame.len()));
    }
}

/// Sends the queue's frames to a peer, for ever.
pub async fn dial(shell: Rc<Shell>, node: NodeId, addr: String, queue: Receiver<Vec<u8>>) {
    let Ok(sock) = addr.parse::<SocketAddr>() else { return };
    loop {
        let stream = within(Duration::from_millis(1000), TcpStream::connect(sock)).await;
        // What queued up meanwhile is out of date.
        while let Ok(frame) = queue.try_recv() {
            shell.taken(node, &frame);
        }
        if let Some(Err(e)) = &stream
            && e.kind() == std::io::ErrorKind::ConnectionRefused
        {
            shell.input(Input::PeerRefused(node));
        }
        if let Some(Ok(mut s)) = stream {
            let _ = s.set_nodelay(true);
            debug!("connected to {addr}");
            while let Ok(frame) = queue.recv().await {
                shell.taken(node, &frame);
                if !matches!(within(Duration::from_secs(2), s.write_all(&frame)).await, Some(Ok(()))) {
                    break;
                }
            }
            debug!("connection to {addr} lost");
        }
        Timer::after(Duration::from_millis(200 + fastrand::u64(0..150))).await;
    }
}

/// Takes peers' connections.
pub async fn listen(shell: Rc<Shell>, listener: TcpListener, ex: Rc<LocalExecutor<'static>>, nodes: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shell = shell.clone();
                ex.spawn(async move {
                    if let Err(e) = receive(&shell, stream, nodes).await {
                        debug!("peer connection: {e}");
                    }
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

/// Frames that are read before the first of them is handled, where more and more come.
const MAX_FRAMES_AT_ONCE: usize = 64;

/// Takes a peer's messages. What is there is read first, so that this process, if it is behind,
/// handles only the newest of what repeats itself.
async fn receive(shell: &Rc<Shell>, mut stream: TcpStream, nodes: usize) -> Result<(), peer::FrameError> {
    let mut inboxes: BTreeMap<NodeId, Inbox> = BTreeMap::new();
    let mut frames = 0;
    loop {
        let envelope = {
            let mut next = pin!(read_envelope(&mut stream));
            match poll_once(&mut next).await {
                Some(envelope) => envelope,
                None => {
                    handle_waiting(shell, &mut inboxes);
                    frames = 0;
                    next.await
                }
            }
        };
        let Some(envelope) = envelope.inspect_err(|_| handle_waiting(shell, &mut inboxes))? else {
            handle_waiting(shell, &mut inboxes);
            return Ok(());
        };
        if (envelope.from.0 as usize) < nodes && envelope.from != shell.me {
            inboxes.entry(envelope.from).or_default().push(envelope.incarnation, envelope.message);
        }
        frames += 1;
        if frames == MAX_FRAMES_AT_ONCE {
            handle_waiting(shell, &mut inboxes);
            frames = 0;
        }
    }
}

fn handle_waiting(shell: &Rc<Shell>, inboxes: &mut BTreeMap<NodeId, Inbox>) {
    for (from, inbox) in inboxes {
        while let Some((incarnation, message)) = inbox.pop() {
            shell.input(Input::Peer { from: *from, incarnation, message });
        }
    }
}

/// The next frame; `None` where the connection is over.
async fn read_envelope(stream: &mut TcpStream) -> Result<Option<Envelope>, peer::FrameError> {
    let mut head = [0u8; peer::FRAME_HEADER_LEN];
    let read = within(IDLE_TIMEOUT, stream.read_exact(&mut head)).await;
    if !matches!(read, Some(Ok(_))) {
        return Ok(None);
    }
    let len = peer::decode_header(head)?;
    // Room is taken as the frame comes, not as its head claims.
    let mut body = Vec::new();
    stream.take(len as u64).read_to_end(&mut body).await?;
    peer::decode_body(&body).map(Some)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_waits_for_a_peer_is_bounded_in_bytes() {
        let (tx, rx) = smol::channel::bounded(64);
        let out = Outgoing::new(tx);
        // (frame put, or 0 to take one out; frames that wait after it)
        let m = MOST_WAITING;
        let steps = [
            (3 * m, 1),
            (1, 1),
            (0, 0),
            (m / 2, 1),
            (m / 2, 2),
            (1, 2),
            (0, 1),
            (1, 2),
            (0, 1),
            (0, 0),
            (m, 1),
        ];
        for (i, (len, waiting)) in steps.into_iter().enumerate() {
            match len {
                0 => out.taken(&rx.try_recv().unwrap()),
                n => out.put(vec![0; n]),
            }
            assert_eq!(rx.len(), waiting, "step {i}");
        }
    }
}
