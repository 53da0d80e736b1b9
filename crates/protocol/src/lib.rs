//! Wire protocol types: ids, times, resource amounts, job specifications, and the
//! messages exchanged with users, workers, the cloud and the state service. Names that
//! exist only on the wire are mapped to the code's terms in this crate.
#![warn(missing_docs)]
pub mod cloud;
pub mod ids;
pub mod job;
pub mod state;
pub mod users;
pub mod workers;
