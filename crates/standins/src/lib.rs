//! Stand-ins for the external systems, implemented from the protocol: the state
//! service and the worker as state machines for in-memory simulations, and a
//! complete site of them on loopback around real controllers.
#![warn(missing_docs)]
pub mod cloud;
pub mod load_balancer;
pub mod measure;
pub mod net;
pub mod process;
pub mod scale;
pub mod site;
pub mod soak;
pub mod state;
pub mod worker;
