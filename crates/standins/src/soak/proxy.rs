//! A TCP fault proxy for one link on loopback. It can hold, delay or drop the bytes of
//! either direction, refuse new connections and reset open ones.
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Async, Timer};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Interval at which a held, refused or idle link checks whether its condition changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

/// Treatment of the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Flow {
    /// Forwarded at once.
    #[default]
    Pass,
    /// Forwarded after this.
    Delay(Duration),
    /// Held, and forwarded once the direction no longer holds.
    Hold,
    /// Dropped; the connection is closed once the link is healthy again, or reset.
    Lose,
}

/// Condition of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// From the connecting side.
    pub requests: Flow,
    /// To the connecting side.
    pub responses: Flow,
    /// New connections are refused.
    pub refuse: bool,
}

impl Condition {
    /// The same treatment in both directions.
    pub fn both(flow: Flow) -> Self {
        Condition { requests: flow, responses: flow, refuse: false }
    }
}

#[derive(Debug, Default)]
struct LinkState {
    condition: Condition,
    /// Connections of an earlier generation are reset.
    generation: u64,
}

#[derive(Debug, Clone, Default)]
struct SharedLink(Arc<Mutex<LinkState>>);

impl SharedLink {
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    Requests,
    Responses,
}

/// A running proxy; it runs until the process exits.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Listen address.
    pub address: SocketAddr,
    link: SharedLink,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = SharedLink::default();
        smol::spawn(accept(listener, address, target, link.clone())).detach();
        Ok(FaultProxy { address, link })
    }

    /// Sets the link's condition.
    pub fn set(&self, condition: Condition) {
        self.link.state().condition = condition;
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.link.state().generation += 1;
    }
}

async fn accept(first: std::net::TcpListener, address: SocketAddr, target: SocketAddr, link: SharedLink) {
    let mut bound = Some(first);
    loop {
        let listener = match bound.take().map_or_else(|| std::net::TcpListener::bind(address), Ok) {
            Ok(listener) => listener,
            Err(_) => {
                Timer::after(CHECK_INTERVAL).await;
                continue;
            }
        };
        let Ok(listener) = Async::new(listener).map(TcpListener::from) else { return };
        accept_until_refused(&listener, target, &link).await;
        drop(listener);
        while link.state().condition.refuse {
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}

/// Accepts connections until the link refuses them.
async fn accept_until_refused(listener: &TcpListener, target: SocketAddr, link: &SharedLink) {
    loop {
        let next = async { Some(listener.accept().await) }
            .or(async {
                while !link.state().condition.refuse {
                    Timer::after(CHECK_INTERVAL).await;
                }
                None
            })
            .await;
        match next {
            None => return,
            Some(Ok((client, _))) => smol::spawn(forward(client, target, link.clone())).detach(),
            Some(Err(_)) => {
                Timer::after(CHECK_INTERVAL).await;
            }
        }
    }
}

/// Forwards the bytes of one connection in both directions.
async fn forward(client: TcpStream, target: SocketAddr, link: SharedLink) {
    let generation = link.state().generation;
    // A held link does not connect to the target either.
    if !wait_to_forward(&link, generation, Direction::Requests).await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let requests = pump(client.clone(), server.clone(), &link, generation, Direction::Requests);
    let responses = pump(server.clone(), client.clone(), &link, generation, Direction::Responses);
    requests.or(responses).await;
    let _ = client.shutdown(std::net::Shutdown::Both);
    let _ = server.shutdown(std::net::Shutdown::Both);
}

async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    link: &SharedLink,
    generation: u64,
    direction: Direction,
) {
    let mut buffer = vec![0u8; BUFFER_BYTES];
    loop {
        let read = async { from.read(&mut buffer).await.ok() }
            .or(async {
                while link.state().generation == generation {
                    Timer::after(CHECK_INTERVAL * 5).await;
                }
                None
            })
            .await;
        let Some(n) = read.filter(|n| *n > 0) else { return };
        if !wait_to_forward(link, generation, direction).await || to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may be forwarded; false if they are dropped or the connection is reset.
async fn wait_to_forward(link: &SharedLink, generation: u64, direction: Direction) -> bool {
    let mut delayed = false;
    loop {
        let (flow, current) = {
            let state = link.state();
            let flow = match direction {
                Direction::Requests => state.condition.requests,
                Direction::Responses => state.condition.responses,
            };
            (flow, state.generation)
        };
        if current != generation {
            return false;
        }
        match flow {
            Flow::Pass => return true,
            Flow::Delay(_) if delayed => return true,
            Flow::Delay(time) => {
                delayed = true;
                Timer::after(time).await;
            }
            Flow::Hold => {
                Timer::after(CHECK_INTERVAL).await;
            }
            // The client notices the loss by its own timeout or by a reset.
            Flow::Lose => {
                Timer::after(CHECK_INTERVAL * 5).await;
                if link.state().condition == Condition::default() {
                    return false;
                }
            }
        }
    }
}
