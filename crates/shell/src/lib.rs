//! Sockets and timers round the core.
#![warn(missing_docs)]
pub mod admission;
pub mod client;
pub mod handling;
pub mod http;
pub mod logger;
pub mod peers;
pub mod server;

use admission::Bounds;
use gorseshore_core::extension::{Answer, Extension};
use gorseshore_core::node::{ClusterMembers, Node};
use gorseshore_core::peer::{Envelope, Message, incarnation_delay, incarnation_number};
use gorseshore_core::{CallResult, Input, Output, RequestId};
use gorseshore_protocol::ids::{Micros, NodeId};
use gorseshore_settings::{Operator, Platform};
use handling::{HandlingTimes, InputKind};
use log::{error, info};
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// An answer on its way to a connection, or a part of one.
pub enum Reply {
    /// All of it.
    Whole(Answer),
    /// The head of one that goes on in chunks.
    Head(Answer),
    /// A chunk.
    Chunk(Vec<u8>),
}

/// Chunks that wait for a reader; one that is further behind is let go.
const CHUNKS_WAITING: usize = 256;

/// Everything the tasks of this process share.
pub struct Shell {
    node: RefCell<Node>,
    started: Instant,
    handling: RefCell<HandlingTimes>,
    waiting: RefCell<HashMap<RequestId, Sender<Reply>>>,
    next_request: Cell<u64>,
    executor: Rc<LocalExecutor<'static>>,
    client: client::Client,
    peers: Vec<Option<peers::Outgoing>>,
    incarnation: u64,
    me: NodeId,
}

impl Shell {
    fn now(&self) -> Micros {
        // Not zero, which stands for "never" in places.
        Micros(self.started.elapsed().as_micros() as u64 + 1_000_000)
    }

    /// Gives an input to the core and does what it says.
    pub fn input(self: &Rc<Self>, input: Input) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let kind = InputKind::of(&input);
        let began = Instant::now();
        let outputs = self.node.borrow_mut().handle(self.now(), wall, input);
        self.handling.borrow_mut().add(kind, began.elapsed());
        for o in outputs {
            match o {
                Output::Response { id, status, body, retry_after } => {
                    let headers = retry_after.map(|s| ("Retry-After", s.to_string())).into_iter().collect();
                    self.reply(id, Answer { status, headers, body });
                }
                Output::ExtensionResponse(id, answer) => self.reply(id, answer),
                Output::StreamOpen(id, answer) => self.part(id, Reply::Head(answer)),
                Output::StreamChunk(id, data) => self.part(id, Reply::Chunk(data)),
                Output::StreamClose(id) => drop(self.waiting.borrow_mut().remove(&id)),
                Output::Call { id, call } => {
                    let shell = self.clone();
                    self.executor
                        .spawn(async move {
                            let result: CallResult = shell.client.call(&call).await;
                            shell.input(Input::CallCompleted { id, result });
                        })
                        .detach();
                }
                Output::Send { to, message } => self.send(to, message),
            }
        }
    }

    fn reply(&self, id: RequestId, answer: Answer) {
        if let Some(tx) = self.waiting.borrow_mut().remove(&id) {
            let _ = tx.try_send(Reply::Whole(answer));
        }
    }

    /// A part of an answer. A reader that doesn't keep up loses its connection,
    /// so that nothing piles up here.
    fn part(self: &Rc<Self>, id: RequestId, part: Reply) {
        let kept = match self.waiting.borrow().get(&id) {
            Some(tx) => tx.try_send(part).is_ok(),
            None => return,
        };
        if !kept {
            self.waiting.borrow_mut().remove(&id);
            let shell = self.clone();
            self.executor.spawn(async move { shell.input(Input::ClientDisconnected(id)) }).detach();
        }
    }

    fn send(&self, to: NodeId, message: Message) {
        let Some(Some(out)) = self.peers.get(to.0 as usize) else { return };
        match gorseshore_core::peer::encode_frame(&Envelope {
            from: self.me,
            incarnation: self.incarnation,
            message,
        }) {
            Ok(frame) => out.put(frame),
            Err(e) => error!("message to controller {} not sent: {e}", to.0),
        }
    }

    /// Writes the `status` line when it is due.
    fn log_status(&self, entry: &RefCell<server::Entry>) {
        if let Some(line) = self.node.borrow_mut().status_line() {
            let times = self.handling.take();
            info!("{line} {} {times}", entry.borrow_mut().take_counts());
        }
    }

    /// Whether users are served here, or better by others.
    fn serves_users(&self) -> bool {
        self.node.borrow().serves_users()
    }

    /// A frame for a peer left its queue.
    fn taken(&self, to: NodeId, frame: &[u8]) {
        if let Some(Some(out)) = self.peers.get(to.0 as usize) {
            out.taken(frame);
        }
    }

    /// A request from a connection; the answer comes on the channel.
    pub fn request(
        self: &Rc<Self>,
        door: server::Door,
        head: http::RequestHead,
        body: Vec<u8>,
    ) -> (RequestId, Receiver<Reply>) {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let http::RequestHead { method, path, token, .. } = head;
        let (room, input) = match door {
            server::Door::Users => (1, Input::Request { id, method, path, body }),
            server::Door::Extension => {
                (CHUNKS_WAITING, Input::ExtensionRequest { id, method, path, token, body })
            }
        };
        let (tx, rx) = bounded(room);
        self.waiting.borrow_mut().insert(id, tx);
        self.input(input);
        (id, rx)
    }

    /// The requester is gone.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        if self.waiting.borrow_mut().remove(&id).is_some() {
            self.input(Input::ClientDisconnected(id));
        }
    }
}

/// A subsystem beside the scheduler, and the address that it is asked on.
pub struct GuestDoor {
    /// The subsystem.
    pub guest: Box<dyn Extension>,
    /// Its address.
    pub listen: SocketAddr,
}

/// The sockets that a controller listens on, bound.
pub struct Sockets {
    /// Users and workers.
    pub public: TcpListener,
    /// The other controllers.
    pub cluster: TcpListener,
    /// The guest's interface.
    pub guest: Option<TcpListener>,
}

/// Binds the settings' addresses and runs the service until the process is killed.
pub fn run(platform: Platform, operator: Operator, guest: Option<GuestDoor>) -> std::io::Result<()> {
    let sockets = Sockets {
        public: bind(&platform.public_addr)?,
        cluster: bind(&platform.cluster_listen)?,
        guest: guest.as_ref().map(|g| bind(&g.listen.to_string())).transpose()?,
    };
    run_on(sockets, platform, operator, guest.map(|g| g.guest))
}

/// An earlier process of this controller may still hold its address while it
/// ends; it is waited for so long.
const ADDRESS_IN_USE: Duration = Duration::from_secs(10);

/// Binds an address.
fn bind(addr: &str) -> std::io::Result<TcpListener> {
    let began = Instant::now();
    loop {
        match TcpListener::bind(addr) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && began.elapsed() < ADDRESS_IN_USE => {
                std::thread::sleep(Duration::from_millis(20));
            }
            Err(e) => return Err(std::io::Error::new(e.kind(), format!("{addr}: {e}"))),
            Ok(listener) => return Ok(listener),
        }
    }
}

/// Runs the service on sockets that are bound already.
pub fn run_on(
    bound: Sockets,
    platform: Platform,
    operator: Operator,
    guest: Option<Box<dyn Extension>>,
) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let ex = executor.clone();
    smol::block_on(ex.run(async move {
        let nodes = ClusterMembers::new(&platform);
        let started = Instant::now();
        let seed = fastrand::u64(..) >> 1;
        let clock_off = Micros::from_secs_f64(platform.deployment.max_clock_error_ms / 1000.0);
        Timer::after(Duration::from_micros(incarnation_delay(clock_off).0)).await;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let incarnation = incarnation_number(wall, seed);
        let mut node = Node::new(&platform, operator, seed, incarnation, Micros(1_000_000));
        if let Some(guest) = guest {
            node = node.with_extension(guest);
        }
        let sockets = platform.deployment.machine_limits.sockets;
        let bounds = Bounds::new(sockets, nodes.names.len() - 1, bound.guest.is_some());
        let mut receivers = Vec::new();
        let peers = nodes
            .names
            .iter()
            .map(|name| {
                let addr = platform.peers.iter().find(|p| p.host_name == *name)?.peer_addr.clone();
                let (tx, rx) = bounded(64);
                receivers.push((addr, name.clone(), rx));
                Some(peers::Outgoing::new(tx))
            })
            .collect();
        let shell = Rc::new(Shell {
            node: RefCell::new(node),
            started,
            handling: RefCell::default(),
            waiting: RefCell::default(),
            next_request: Cell::new(1),
            executor: executor.clone(),
            client: client::Client::new(&platform.endpoints.state, &platform.endpoints.cloud, &bounds),
            peers,
            incarnation,
            me: nodes.own_id,
        });
        for (addr, name, rx) in receivers {
            let node = NodeId(nodes.names.iter().position(|n| *n == name).unwrap_or(0) as u8);
            executor.spawn(peers::dial(shell.clone(), node, addr, rx)).detach();
        }
        let door = |l: TcpListener| Async::new(l).map(smol::net::TcpListener::from);
        let (cluster, public) = (door(bound.cluster)?, door(bound.public)?);
        info!("{} listens on {} and {}", platform.host_name, platform.public_addr, platform.cluster_listen);
        executor.spawn(peers::listen(shell.clone(), cluster, executor.clone(), nodes.names.len())).detach();
        let entry = Rc::new(RefCell::new(server::Entry::new(bounds)));
        executor
            .spawn(server::listen(
                shell.clone(),
                public,
                executor.clone(),
                server::Door::Users,
                entry.clone(),
            ))
            .detach();
        if let Some(listener) = bound.guest {
            info!("the guest's interface listens on {}", listener.local_addr()?);
            let door = door(listener)?;
            let guests = Rc::new(RefCell::new(server::Entry::new(bounds.of_guest())));
            executor
                .spawn(server::listen(shell.clone(), door, executor.clone(), server::Door::Extension, guests))
                .detach();
        }
        loop {
            shell.input(Input::Tick);
            shell.log_status(&entry);
            Timer::after(Duration::from_millis(20)).await;
        }
    }))
}
