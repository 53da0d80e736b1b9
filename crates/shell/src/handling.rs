//! How long the core takes to handle its inputs, by kind: shows what a controller
//! that is behind spends its time on.
use gorseshore_core::Input;
use std::fmt;
use std::time::Duration;

/// What an input is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// A timer.
    Tick,
    /// A worker's heartbeat.
    Heartbeat,
    /// A user's request, or one of a hosted subsystem's client.
    Request,
    /// The result of a call to the state service, the cloud or a worker.
    CallResult,
    /// A message from another controller.
    Message,
}

impl InputKind {
    const ALL: [(InputKind, &'static str); 5] = [
        (InputKind::Tick, "tick"),
        (InputKind::Heartbeat, "heartbeat"),
        (InputKind::Request, "request"),
        (InputKind::CallResult, "call_result"),
        (InputKind::Message, "message"),
    ];

    /// The kind of an input.
    pub fn of(input: &Input) -> Self {
        match input {
            Input::Tick => InputKind::Tick,
            Input::Request { path, .. } if path == "/checkin" => InputKind::Heartbeat,
            Input::Request { .. } | Input::ExtensionRequest { .. } | Input::ClientDisconnected(_) => {
                InputKind::Request
            }
            Input::CallCompleted { .. } => InputKind::CallResult,
            Input::PeerRefused(_) | Input::Peer { .. } => InputKind::Message,
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Handled {
    count: u32,
    total: Duration,
    slowest: Duration,
}

/// Times since they were last shown.
#[derive(Debug, Default)]
pub struct HandlingTimes([Handled; InputKind::ALL.len()]);

impl HandlingTimes {
    /// An input was handled.
    pub fn add(&mut self, kind: InputKind, took: Duration) {
        let handled = &mut self.0[kind as usize];
        handled.count += 1;
        handled.total += took;
        handled.slowest = handled.slowest.max(took);
    }
}

impl fmt::Display for HandlingTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (kind, name)) in InputKind::ALL.into_iter().enumerate() {
            let Handled { count, total, slowest } = self.0[kind as usize];
            let space = if i == 0 { "" } else { " " };
            let (total, slowest) = (total.as_millis(), slowest.as_millis());
            write!(f, "{space}{name}s={count} {name}_ms={total} {name}_slowest_ms={slowest}")?;
        }
        Ok(())
    }
}
