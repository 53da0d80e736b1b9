//! Connections between controllers: each controller connects to every other one and only
//! sends on the connections that it opened.
use super::Shell;
use super::server::with_timeout;
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

/// Limit of the frames queued for one peer, in bytes. Frames beyond it are dropped: every
/// frame holds a whole state or is sent again. A longer frame is queued if the queue is empty.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Each controller sends twice a second; a connection without a frame for this time is dead.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Frames queued for a peer. Invariant: `queued_bytes` is the total length of the frames in the queue.
pub struct PeerQueue {
    queue: Sender<Vec<u8>>,
    queued_bytes: Cell<usize>,
}

impl PeerQueue {
    /// Wraps an empty queue.
    pub fn new(queue: Sender<Vec<u8>>) -> Self {
        PeerQueue { queue, queued_bytes: Cell::new(0) }
    }

    /// Queues a frame, or drops it if the queue is full: a peer that doesn't keep up must not
    /// fill this process's memory.
    pub fn push(&self, frame: Vec<u8>) {
        let (queued, len) = (self.queued_bytes.get(), frame.len());
        if (queued == 0 || queued + len <= MAX_QUEUED_BYTES) && self.queue.try_send(frame).is_ok() {
            self.queued_bytes.set(queued + len);
        }
    }

    /// Subtracts a frame that was taken from the queue.
    pub fn record_dequeued(&self, frame: &[u8]) {
        self.queued_bytes.set(self.queued_bytes.get().saturating_sub(frame.len()));
    }
}

/// Sends the queue's frames to a peer and reconnects on failure. Never returns, unless `addr`
/// is invalid.
pub async fn run_sender(shell: Rc<Shell>, node: NodeId, addr: String, queue: Receiver<Vec<u8>>) {
    let Ok(sock) = addr.parse::<SocketAddr>() else { return };
    loop {
        let stream = with_timeout(Duration::from_millis(1000), TcpStream::connect(sock)).await;
        // Frames queued while the connection was down are out of date.
        while let Ok(frame) = queue.try_recv() {
            shell.record_dequeued(node, &frame);
        }
        if let Some(Err(e)) = &stream
            && e.kind() == std::io::ErrorKind::ConnectionRefused
        {
            shell.process_input(Input::PeerRefused(node));
        }
        if let Some(Ok(mut s)) = stream {
            let _ = s.set_nodelay(true);
            debug!("connected to controller: addr={addr}");
            while let Ok(frame) = queue.recv().await {
                shell.record_dequeued(node, &frame);
                if !matches!(with_timeout(Duration::from_secs(2), s.write_all(&frame)).await, Some(Ok(()))) {
                    break;
                }
            }
            debug!("connection to controller lost: addr={addr}");
        }
        Timer::after(Duration::from_millis(200 + fastrand::u64(0..150))).await;
    }
}

/// Accepts connections of the other controllers.
pub async fn accept_peers(
    shell: Rc<Shell>,
    listener: TcpListener,
    ex: Rc<LocalExecutor<'static>>,
    controller_count: usize,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shell = shell.clone();
                ex.spawn(async move {
                    if let Err(e) = receive_messages(&shell, stream, controller_count).await {
                        debug!("connection from a controller failed: {e}");
                    }
                })
                .detach();
            }
            Err(e) => {
                warn!("accept on the cluster address failed: {e}");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Most frames read before the first of them is processed, while frames keep arriving.
const MAX_FRAMES_PER_BATCH: usize = 64;

/// Receives a peer's messages. All available frames are read first, so that an overloaded
/// process handles only the newest of the messages that replace earlier ones.
async fn receive_messages(
    shell: &Rc<Shell>,
    mut stream: TcpStream,
    controller_count: usize,
) -> Result<(), peer::FrameError> {
    let mut inboxes: BTreeMap<NodeId, Inbox> = BTreeMap::new();
    let mut frames = 0;
    loop {
        let envelope = {
            let mut next = pin!(read_envelope(&mut stream));
            match poll_once(&mut next).await {
                Some(envelope) => envelope,
                None => {
                    process_queued_messages(shell, &mut inboxes);
                    frames = 0;
                    next.await
                }
            }
        };
        let Some(envelope) = envelope.inspect_err(|_| process_queued_messages(shell, &mut inboxes))? else {
            process_queued_messages(shell, &mut inboxes);
            return Ok(());
        };
        if (envelope.from.0 as usize) < controller_count && envelope.from != shell.own_id {
            inboxes.entry(envelope.from).or_default().push(envelope.incarnation, envelope.message);
        }
        frames += 1;
        if frames == MAX_FRAMES_PER_BATCH {
            process_queued_messages(shell, &mut inboxes);
            frames = 0;
        }
    }
}

fn process_queued_messages(shell: &Rc<Shell>, inboxes: &mut BTreeMap<NodeId, Inbox>) {
    for (from, inbox) in inboxes {
        while let Some((incarnation, message)) = inbox.pop() {
            shell.process_input(Input::Peer { from: *from, incarnation, message });
        }
    }
}

/// Reads the next frame; `None` if the connection ended or timed out.
async fn read_envelope(stream: &mut TcpStream) -> Result<Option<Envelope>, peer::FrameError> {
    let mut header = [0u8; peer::FRAME_HEADER_LEN];
    let read = with_timeout(IDLE_TIMEOUT, stream.read_exact(&mut header)).await;
    if !matches!(read, Some(Ok(_))) {
        return Ok(None);
    }
    let len = peer::decode_header(header)?;
    // Allocates as bytes arrive, not by the length in the header.
    let mut body = Vec::new();
    stream.take(len as u64).read_to_end(&mut body).await?;
    peer::decode_body(&body).map(Some)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn queue_to_a_peer_is_bounded_in_bytes() {
        let (tx, rx) = smol::channel::bounded(64);
        let queue = PeerQueue::new(tx);
        // (bytes of the frame to queue, or 0 to take one out; frames queued after it)
        let max = MAX_QUEUED_BYTES;
        let steps = [
            (3 * max, 1),
            (1, 1),
            (0, 0),
            (max / 2, 1),
            (max / 2, 2),
            (1, 2),
            (0, 1),
            (1, 2),
            (0, 1),
            (0, 0),
            (max, 1),
        ];
        for (i, (len, expected)) in steps.into_iter().enumerate() {
            match len {
                0 => queue.record_dequeued(&rx.try_recv().unwrap()),
                n => queue.push(vec![0; n]),
            }
            assert_eq!(rx.len(), expected, "step {i}");
        }
    }
}
