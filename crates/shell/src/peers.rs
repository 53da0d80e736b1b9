//! Connections between controllers: each node dials the others and only
//! sends on what it dialled.
use super::Shell;
use super::server::within;
use gorseshore_core::Input;
use gorseshore_core::peer;
use gorseshore_protocol::ids::NodeId;
use log::{debug, warn};
use smol::channel::Receiver;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Sends the queue's frames to a peer, for ever.
pub async fn dial(shell: Rc<Shell>, node: NodeId, addr: String, queue: Receiver<Vec<u8>>) {
    let Ok(sock) = addr.parse::<SocketAddr>() else { return };
    loop {
        let stream = within(Duration::from_millis(1000), TcpStream::connect(sock)).await;
        // What queued up meanwhile is out of date.
        while queue.try_recv().is_ok() {}
        if let Some(Err(e)) = &stream
            && e.kind() == std::io::ErrorKind::ConnectionRefused
        {
            shell.input(Input::Refused(node));
        }
        if let Some(Ok(mut s)) = stream {
            let _ = s.set_nodelay(true);
            debug!("connected to {addr}");
            while let Ok(frame) = queue.recv().await {
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

async fn receive(shell: &Rc<Shell>, mut stream: TcpStream, nodes: usize) -> Result<(), peer::FrameError> {
    let mut head = [0u8; peer::HEAD];
    loop {
        // Everybody sends twice a second; a silent connection is dead.
        let n = within(Duration::from_secs(120), stream.read_exact(&mut head)).await;
        if !matches!(n, Some(Ok(_))) {
            return Ok(());
        }
        let len = peer::decode_head(head)?;
        // Room is taken as the frame comes, not as its head claims.
        let mut body = Vec::new();
        (&mut stream).take(len as u64).read_to_end(&mut body).await?;
        let e = peer::decode_body(&body)?;
        if (e.from.0 as usize) < nodes && e.from != shell.me {
            shell.input(Input::Peer { from: e.from, incarnation: e.incarnation, message: e.message });
        }
    }
}
