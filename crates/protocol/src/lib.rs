//! The users' protocol as types: ids, times, amounts, jobs, and the messages
//! of users, workers, cloud and state service. The wire's own names stay in
//! this package; the rest of the program uses the field's terms.
#![warn(missing_docs)]
pub mod cloud;
pub mod ids;
pub mod job;
pub mod state;
pub mod users;
pub mod workers;
