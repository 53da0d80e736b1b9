//! Time that the core takes to process its inputs, by kind: shows what an overloaded
//! controller spends its time on.
use gorseshore_core::Input;
use std::fmt;
use std::time::Duration;

/// Kind of a core input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputKind {
    /// A timer.
    Tick,
    /// A worker's heartbeat.
    Heartbeat,
    /// A request of a user or of the extension's client, or its disconnect.
    Request,
    /// The result of a call to the state service, the cloud or a worker.
    CallResult,
    /// A message from another controller, or its refused connection.
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

    /// Returns the kind of an input.
    pub fn from_input(input: &Input) -> Self {
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
struct Timing {
    count: u32,
    total: Duration,
    slowest: Duration,
}

/// Counts and times of processed inputs since they were last logged.
#[derive(Debug, Default)]
pub struct InputTimings([Timing; InputKind::ALL.len()]);

impl InputTimings {
    /// Records a processed input.
    pub fn record(&mut self, kind: InputKind, elapsed: Duration) {
        let timing = &mut self.0[kind as usize];
        timing.count += 1;
        timing.total += elapsed;
        timing.slowest = timing.slowest.max(elapsed);
    }
}

impl fmt::Display for InputTimings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (kind, name)) in InputKind::ALL.into_iter().enumerate() {
            let Timing { count, total, slowest } = self.0[kind as usize];
            let separator = if i == 0 { "" } else { " " };
            let (total, slowest) = (total.as_millis(), slowest.as_millis());
            write!(f, "{separator}{name}s={count} {name}_ms={total} {name}_slowest_ms={slowest}")?;
        }
        Ok(())
    }
}
