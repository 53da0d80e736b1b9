//! Stand-ins for the outside systems, written from the protocol: the state
//! service and the worker as state machines, for worlds in memory, and a whole
//! site of them on loopback round the real controllers.
#![warn(missing_docs)]
pub mod cloud;
pub mod measure;
pub mod net;
pub mod process;
pub mod scale;
pub mod site;
pub mod soak;
pub mod state;
pub mod worker;
