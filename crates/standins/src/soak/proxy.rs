//! A fault proxy: one link on loopback, whose bytes can be held, delayed or lost in either
//! direction, which can refuse connections, and reset those that are open.
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::{Async, Timer};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How often a link that is held, refused or idle looks whether that is over.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to bytes in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Flow {
    /// They go on at once.
    #[default]
    Pass,
    /// They go on after this.
    Delay(Duration),
    /// They go on once the link is well again.
    Hold,
    /// They are lost, and with them the connection.
    Lose,
}

/// A link's condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// From who connects.
    pub requests: Flow,
    /// To who connects.
    pub answers: Flow,
    /// Nobody can connect.
    pub refuse: bool,
}

impl Condition {
    /// Both directions alike.
    pub fn both(flow: Flow) -> Self {
        Condition { requests: flow, answers: flow, refuse: false }
    }
}

#[derive(Debug, Default)]
struct LinkState {
    condition: Condition,
    /// Connections of an earlier number are reset.
    generation: u64,
}

#[derive(Debug, Clone, Default)]
struct Link(Arc<Mutex<LinkState>>);

impl Link {
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    Requests,
    Answers,
}

/// A running proxy; it ends with the process.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: Link,
}

impl FaultProxy {
    /// Starts a proxy in front of `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Link::default();
        smol::spawn(accept(listener, address, target, link.clone())).detach();
        Ok(FaultProxy { address, link })
    }

    /// Sets the link's condition.
    pub fn set(&self, condition: Condition) {
        self.link.state().condition = condition;
    }

    /// Resets the connections that are open.
    pub fn reset(&self) {
        self.link.state().generation += 1;
    }
}

async fn accept(first: std::net::TcpListener, address: SocketAddr, target: SocketAddr, link: Link) {
    let mut bound = Some(first);
    loop {
        let listener = match bound.take().map_or_else(|| std::net::TcpListener::bind(address), Ok) {
            Ok(listener) => listener,
            Err(_) => {
                Timer::after(LOOK_INTERVAL).await;
                continue;
            }
        };
        let Ok(listener) = Async::new(listener).map(TcpListener::from) else { return };
        take_connections(&listener, target, &link).await;
        drop(listener);
        while link.state().condition.refuse {
            Timer::after(LOOK_INTERVAL).await;
        }
    }
}

/// Takes connections until the link refuses them.
async fn take_connections(listener: &TcpListener, target: SocketAddr, link: &Link) {
    loop {
        let next = async { Some(listener.accept().await) }
            .or(async {
                while !link.state().condition.refuse {
                    Timer::after(LOOK_INTERVAL).await;
                }
                None
            })
            .await;
        match next {
            None => return,
            Some(Ok((client, _))) => smol::spawn(carry(client, target, link.clone())).detach(),
            Some(Err(_)) => {
                Timer::after(LOOK_INTERVAL).await;
            }
        }
    }
}

/// Carries one connection's bytes both ways.
async fn carry(client: TcpStream, target: SocketAddr, link: Link) {
    let generation = link.state().generation;
    // A held link is silent before the other side is reached, too.
    if !pass(&link, generation, Direction::Requests).await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let there = pump(client.clone(), server.clone(), &link, generation, Direction::Requests);
    let back = pump(server.clone(), client.clone(), &link, generation, Direction::Answers);
    there.or(back).await;
    let _ = client.shutdown(std::net::Shutdown::Both);
    let _ = server.shutdown(std::net::Shutdown::Both);
}

async fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link, generation: u64, way: Direction) {
    let mut buffer = vec![0u8; BUFFER_BYTES];
    loop {
        let read = async { from.read(&mut buffer).await.ok() }
            .or(async {
                while link.state().generation == generation {
                    Timer::after(LOOK_INTERVAL * 5).await;
                }
                None
            })
            .await;
        let Some(n) = read.filter(|n| *n > 0) else { return };
        if !pass(link, generation, way).await || to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may go on; false if they never do.
async fn pass(link: &Link, generation: u64, way: Direction) -> bool {
    let mut delayed = false;
    loop {
        let (flow, current) = {
            let state = link.state();
            let flow = match way {
                Direction::Requests => state.condition.requests,
                Direction::Answers => state.condition.answers,
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
                Timer::after(LOOK_INTERVAL).await;
            }
            // The client finds out by its own timeout, or by a reset.
            Flow::Lose => {
                Timer::after(LOOK_INTERVAL * 5).await;
                if link.state().condition == Condition::default() {
                    return false;
                }
            }
        }
    }
}
