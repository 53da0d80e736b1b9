//! Runs the scheduler core: sockets, timers and logging.
#![warn(missing_docs)]
pub mod admission;
pub mod client;
pub mod http;
pub mod input_timings;
pub mod logger;
pub mod peers;
pub mod server;

use admission::ConnectionLimits;
use gorseshore_core::extension::{Answer, Extension};
use gorseshore_core::node::{ClusterMembers, Node};
use gorseshore_core::peer::{Envelope, Message, incarnation_delay, incarnation_number};
use gorseshore_core::{CallResult, Input, Output, RequestId};
use gorseshore_protocol::ids::{Micros, NodeId};
use gorseshore_settings::{Operator, Platform};
use input_timings::{InputKind, InputTimings};
use log::{error, info};
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A response to an inbound request, or a part of a streamed one.
pub enum ResponsePart {
    /// The whole response.
    Full(Answer),
    /// The head of a streamed response.
    StreamHead(Answer),
    /// A chunk of a streamed response.
    StreamChunk(Vec<u8>),
}

/// Limit of chunks queued for a client; a client that falls further behind is disconnected.
const MAX_QUEUED_CHUNKS: usize = 256;

/// State shared by the async tasks of this process.
pub struct Shell {
    node: RefCell<Node>,
    started: Instant,
    input_timings: RefCell<InputTimings>,
    response_channels: RefCell<HashMap<RequestId, Sender<ResponsePart>>>,
    next_request: Cell<u64>,
    executor: Rc<LocalExecutor<'static>>,
    client: client::Client,
    peers: Vec<Option<peers::PeerQueue>>,
    incarnation: u64,
    own_id: NodeId,
}

impl Shell {
    fn now(&self) -> Micros {
        // Starts at 1 s: zero means "never" in some fields.
        Micros(self.started.elapsed().as_micros() as u64 + 1_000_000)
    }

    /// Passes an input to the core and carries out its outputs.
    pub fn process_input(self: &Rc<Self>, input: Input) {
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let kind = InputKind::from_input(&input);
        let started = Instant::now();
        let outputs = self.node.borrow_mut().handle(self.now(), wall_ms, input);
        self.input_timings.borrow_mut().record(kind, started.elapsed());
        for output in outputs {
            match output {
                Output::Response { id, status, body, retry_after } => {
                    let headers = retry_after.map(|s| ("Retry-After", s.to_string())).into_iter().collect();
                    self.send_response(id, Answer { status, headers, body });
                }
                Output::ExtensionResponse(id, answer) => self.send_response(id, answer),
                Output::StreamOpen(id, answer) => {
                    self.send_response_part(id, ResponsePart::StreamHead(answer))
                }
                Output::StreamChunk(id, data) => self.send_response_part(id, ResponsePart::StreamChunk(data)),
                Output::StreamClose(id) => drop(self.response_channels.borrow_mut().remove(&id)),
                Output::Call { id, call } => {
                    let shell = self.clone();
                    self.executor
                        .spawn(async move {
                            let result: CallResult = shell.client.call(&call).await;
                            shell.process_input(Input::CallCompleted { id, result });
                        })
                        .detach();
                }
                Output::Send { to, message } => self.send_to_controller(to, message),
            }
        }
    }

    fn send_response(&self, id: RequestId, answer: Answer) {
        if let Some(tx) = self.response_channels.borrow_mut().remove(&id) {
            let _ = tx.try_send(ResponsePart::Full(answer));
        }
    }

    /// Queues a part of a streamed response. A client that doesn't keep up is disconnected,
    /// so that the queue stays bounded.
    fn send_response_part(self: &Rc<Self>, id: RequestId, part: ResponsePart) {
        let queued = match self.response_channels.borrow().get(&id) {
            Some(tx) => tx.try_send(part).is_ok(),
            None => return,
        };
        if !queued {
            self.response_channels.borrow_mut().remove(&id);
            let shell = self.clone();
            self.executor.spawn(async move { shell.process_input(Input::ClientDisconnected(id)) }).detach();
        }
    }

    fn send_to_controller(&self, to: NodeId, message: Message) {
        let Some(Some(queue)) = self.peers.get(to.0 as usize) else { return };
        match gorseshore_core::peer::encode_frame(&Envelope {
            from: self.own_id,
            incarnation: self.incarnation,
            message,
        }) {
            Ok(frame) => queue.push(frame),
            Err(e) => error!("encoding a message failed: controller={} error={e}", to.0),
        }
    }

    /// Logs the `status` line when it is due.
    fn log_status(&self, connections: &RefCell<server::ConnectionTable>) {
        if let Some(line) = self.node.borrow_mut().status_line() {
            let times = self.input_timings.take();
            info!("{line} {} {times}", connections.borrow_mut().take_counts());
        }
    }

    /// Whether this controller serves users; otherwise they should use another one.
    fn serves_users(&self) -> bool {
        self.node.borrow().serves_users()
    }

    /// Subtracts a frame that was taken from the queue to a controller.
    fn record_dequeued(&self, to: NodeId, frame: &[u8]) {
        if let Some(Some(queue)) = self.peers.get(to.0 as usize) {
            queue.record_dequeued(frame);
        }
    }

    /// Passes a request to the core. The response arrives on the returned channel.
    pub fn submit_request(
        self: &Rc<Self>,
        api: server::Api,
        head: http::RequestHead,
        body: Vec<u8>,
    ) -> (RequestId, Receiver<ResponsePart>) {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let http::RequestHead { method, path, token, .. } = head;
        let (capacity, input) = match api {
            server::Api::Scheduler => (1, Input::Request { id, method, path, body }),
            server::Api::Extension => {
                (MAX_QUEUED_CHUNKS, Input::ExtensionRequest { id, method, path, token, body })
            }
        };
        let (tx, rx) = bounded(capacity);
        self.response_channels.borrow_mut().insert(id, tx);
        self.process_input(input);
        (id, rx)
    }

    /// The client disconnected before its response ended.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        if self.response_channels.borrow_mut().remove(&id).is_some() {
            self.process_input(Input::ClientDisconnected(id));
        }
    }
}

/// An extension and the address of its API.
pub struct ExtensionEndpoint {
    /// The extension.
    pub extension: Box<dyn Extension>,
    /// Address to listen on.
    pub listen: SocketAddr,
}

/// The bound listeners of a controller.
pub struct Listeners {
    /// API of users and workers.
    pub public: TcpListener,
    /// Connections of the other controllers.
    pub cluster: TcpListener,
    /// API of the extension.
    pub extension: Option<TcpListener>,
}

/// Binds the configured addresses and runs the service until the process is killed.
pub fn run(
    platform: Platform,
    operator: Operator,
    extension: Option<ExtensionEndpoint>,
) -> std::io::Result<()> {
    let listeners = Listeners {
        public: bind(&platform.public_addr)?,
        cluster: bind(&platform.cluster_listen)?,
        extension: extension.as_ref().map(|e| bind(&e.listen.to_string())).transpose()?,
    };
    run_with_listeners(listeners, platform, operator, extension.map(|e| e.extension))
}

/// Limit of the wait for an address that is in use: the previous process of this controller
/// may hold it until it exits.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(10);

/// Binds an address, and retries while it is in use.
fn bind(addr: &str) -> std::io::Result<TcpListener> {
    let started = Instant::now();
    loop {
        match TcpListener::bind(addr) {
            Err(e) if e.kind() == ErrorKind::AddrInUse && started.elapsed() < ADDRESS_IN_USE_TIMEOUT => {
                std::thread::sleep(Duration::from_millis(20));
            }
            Err(e) => return Err(std::io::Error::new(e.kind(), format!("{addr}: {e}"))),
            Ok(listener) => return Ok(listener),
        }
    }
}

/// Runs the service on bound listeners.
pub fn run_with_listeners(
    listeners: Listeners,
    platform: Platform,
    operator: Operator,
    extension: Option<Box<dyn Extension>>,
) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let executor_handle = executor.clone();
    smol::block_on(executor_handle.run(async move {
        let members = ClusterMembers::new(&platform);
        let started = Instant::now();
        let seed = fastrand::u64(..) >> 1;
        let max_clock_error = Micros::from_secs_f64(platform.deployment.max_clock_error_ms / 1000.0);
        Timer::after(Duration::from_micros(incarnation_delay(max_clock_error).0)).await;
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let incarnation = incarnation_number(wall_ms, seed);
        let mut node = Node::new(&platform, operator, seed, incarnation, Micros(1_000_000));
        if let Some(extension) = extension {
            node = node.with_extension(extension);
        }
        let sockets = platform.deployment.machine_limits.sockets;
        let limits = ConnectionLimits::new(sockets, members.names.len() - 1, listeners.extension.is_some());
        let mut receivers = Vec::new();
        let peers = members
            .names
            .iter()
            .map(|name| {
                let addr = platform.peers.iter().find(|p| p.host_name == *name)?.peer_addr.clone();
                let (tx, rx) = bounded(64);
                receivers.push((addr, name.clone(), rx));
                Some(peers::PeerQueue::new(tx))
            })
            .collect();
        let shell = Rc::new(Shell {
            node: RefCell::new(node),
            started,
            input_timings: RefCell::default(),
            response_channels: RefCell::default(),
            next_request: Cell::new(1),
            executor: executor.clone(),
            client: client::Client::new(&platform.endpoints.state, &platform.endpoints.cloud, &limits),
            peers,
            incarnation,
            own_id: members.own_id,
        });
        for (addr, name, rx) in receivers {
            let node = NodeId(members.names.iter().position(|n| *n == name).unwrap_or(0) as u8);
            executor.spawn(peers::run_sender(shell.clone(), node, addr, rx)).detach();
        }
        let to_async = |l: TcpListener| Async::new(l).map(smol::net::TcpListener::from);
        let (cluster, public) = (to_async(listeners.cluster)?, to_async(listeners.public)?);
        info!(
            "listening: controller={} public={} cluster={}",
            platform.host_name, platform.public_addr, platform.cluster_listen
        );
        executor
            .spawn(peers::accept_peers(shell.clone(), cluster, executor.clone(), members.names.len()))
            .detach();
        let connections = Rc::new(RefCell::new(server::ConnectionTable::new(limits)));
        executor
            .spawn(server::listen(
                shell.clone(),
                public,
                executor.clone(),
                server::Api::Scheduler,
                connections.clone(),
            ))
            .detach();
        if let Some(listener) = listeners.extension {
            info!("extension listening: address={}", listener.local_addr()?);
            let listener = to_async(listener)?;
            let extension_connections =
                Rc::new(RefCell::new(server::ConnectionTable::new(limits.for_extension())));
            executor
                .spawn(server::listen(
                    shell.clone(),
                    listener,
                    executor.clone(),
                    server::Api::Extension,
                    extension_connections,
                ))
                .detach();
        }
        loop {
            shell.process_input(Input::Tick);
            shell.log_status(&connections);
            Timer::after(Duration::from_millis(20)).await;
        }
    }))
}
