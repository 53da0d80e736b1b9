//! Messages of the state service's API. Attributes map the API's field names to the code's.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key of a listing with its value.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Pair {
    /// Full key.
    pub path: String,
    /// Value at the key.
    pub v: Value,
    /// Revision at which the key last changed.
    pub stamp: u64,
}

/// `GET /store?prefix=`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Listing {
    /// Keys in order.
    pub pairs: Vec<Pair>,
    /// The listing continues on a further page.
    #[serde(default)]
    pub truncated: bool,
    /// Store revision of the listing.
    pub ledger: u64,
}

/// Response to `GET /follow`, a watch.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct News {
    /// Store revision of the response.
    pub ledger: u64,
    /// Changes in order.
    #[serde(default)]
    pub news: Vec<Event>,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Event {
    /// Key that was set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key that was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remove: Option<String>,
    /// New value.
    #[serde(default)]
    pub v: Value,
    /// Revision of the change.
    pub stamp: u64,
}

/// Body of `POST /multi`, a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Multi {
    /// Conditions that must all hold.
    pub when: Vec<When>,
    /// Changes to apply.
    pub writes: Vec<Write>,
}

/// Condition that a key's last change has the given revision; 0: the key does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct When {
    /// Key to compare.
    pub path: String,
    /// Expected revision.
    pub stamp: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key to set.
        put: String,
        /// New value.
        v: Value,
        /// Lease that the key is attached to: the key is removed when the lease ends.
        #[serde(skip_serializing_if = "Option::is_none")]
        hold: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// Key to remove.
        remove: String,
    },
}

/// Response to `POST /multi`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct TransactionResponse {
    /// Store revision after the transaction.
    #[serde(default)]
    pub ledger: u64,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Response to `POST /grants`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// Id of the granted lease.
    pub hold: u64,
}
