//! gorseshore: a cluster scheduler. Controllers take jobs, rent machines and
//! run tasks on them through failures of any part.
#![warn(missing_docs)]
pub mod core;
pub mod peer;
pub mod settings;
pub mod shell;
pub mod wire;
