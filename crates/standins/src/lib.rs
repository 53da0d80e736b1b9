//! Stand-ins for the outside systems, written from the protocol: the state
//! service and the worker as state machines, for worlds in memory.
#![warn(missing_docs)]
pub mod state;
pub mod worker;
