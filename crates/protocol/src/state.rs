//! Messages of the state service's API. Attributes map the API's field names to the code's.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key of a listing with its value.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct KeyValue {
    /// Full key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value at the key.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision at which the key last changed.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// `GET /store?prefix=`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Listing {
    /// Keys in order.
    #[serde(rename = "pairs")]
    pub entries: Vec<KeyValue>,
    /// The listing continues on a further page.
    #[serde(default)]
    pub truncated: bool,
    /// Store revision of the listing.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to `GET /follow`, a watch.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct WatchResponse {
    /// Store revision of the response.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in order.
    #[serde(rename = "news", default)]
    pub events: Vec<Event>,
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
    #[serde(rename = "v", default)]
    pub value: Value,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// Body of `POST /multi`, a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Transaction {
    /// Conditions that must all hold.
    #[serde(rename = "when")]
    pub preconditions: Vec<Precondition>,
    /// Changes to apply.
    pub writes: Vec<Write>,
}

/// Condition that a key's last change has the given revision; 0: the key does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// Key to compare.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected revision.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key to set.
        #[serde(rename = "put")]
        key: String,
        /// New value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease that the key is attached to: the key is removed when the lease ends.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// Key to remove.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// Response to `POST /multi`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct TransactionResponse {
    /// Store revision after the transaction.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// Response to `POST /grants`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct LeaseGrant {
    /// Id of the granted lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}
