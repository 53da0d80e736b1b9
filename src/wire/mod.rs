//! The users' protocol as serde types. The wire's own names stay in this
//! module; the rest of the program uses the field's terms.
pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;
