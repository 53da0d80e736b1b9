//! The state service's interface.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key in a listing.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Pair {
    /// Key.
    pub path: String,
    /// Value.
    pub v: Value,
    /// Revision of its last change.
    pub stamp: u64,
}

/// `GET /store?prefix=`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Listing {
    /// Keys in order.
    pub pairs: Vec<Pair>,
    /// More follow.
    #[serde(default)]
    pub truncated: bool,
    /// Revision of the answer.
    pub ledger: u64,
}

/// `GET /follow`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct News {
    /// Revision of the answer.
    pub ledger: u64,
    /// Changes in order.
    #[serde(default)]
    pub news: Vec<Event>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Event {
    /// Key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key that was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// New value.
    #[serde(default)]
    pub v: Value,
    /// Revision.
    pub stamp: u64,
}

/// Body of `POST /multi`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Multi {
    /// Conditions.
    pub when: Vec<When>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// A condition: the key has this version; 0: it does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct When {
    /// Key.
    pub path: String,
    /// Version.
    pub stamp: u64,
}

/// A change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key.
        put: String,
        /// Value.
        v: Value,
        /// Lease that it hangs on.
        #[serde(skip_serializing_if = "Option::is_none")]
        hold: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// Key.
        remove: String,
    },
}

/// Answer to `POST /multi`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct MultiAnswer {
    /// Revision.
    #[serde(default)]
    pub ledger: u64,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Answer to `POST /grants`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// Lease.
    pub hold: u64,
}
