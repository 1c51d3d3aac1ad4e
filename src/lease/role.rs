//! The roles that have at most one owner at a time.

use std::net::SocketAddr;

use crate::ids::{BaseModel, FencingToken, string_conversions};

/// The number of ledger partitions; each account belongs to one.
pub(crate) const LEDGER_PARTITIONS: u32 = 16;

/// A role that has at most one owner at a time.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub(crate) enum RoleName {
    /// The token buckets of the accounts in one partition.
    #[display("ledger/{_0}")]
    Ledger(u32),
    /// Admission to the targets of one base model.
    #[display("pool/{_0}")]
    Pool(BaseModel),
    /// Publishes snapshots of the configuration and of the lease table.
    #[display("config/snapshot")]
    ConfigSnapshot,
}

/// The error for a text that is not a role name.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("\"{text}\" is not a role name, expected ledger/N, pool/MODEL or config/snapshot")]
pub(crate) struct RoleError {
    text: String,
}

impl std::str::FromStr for RoleName {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        let error = || RoleError {
            text: text.to_owned(),
        };
        match text.split_once('/') {
            Some(("ledger", number)) => number.parse().map(Self::Ledger).map_err(|_| error()),
            Some(("pool", model)) => model.parse().map(Self::Pool).map_err(|_| error()),
            Some(("config", "snapshot")) => Ok(Self::ConfigSnapshot),
            _ => Err(error()),
        }
    }
}

string_conversions!(RoleName, RoleError);

/// The current owner of a role, as seen by this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RoleOwner {
    Local {
        fence: FencingToken,
    },
    Remote {
        address: SocketAddr,
        fence: FencingToken,
    },
    Nobody,
}

/// The state with which a new owner starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RoleOrigin {
    /// The role had no owner before.
    New,
    /// The state of the last owner is not available.
    Lost,
    /// The last owner handed its state over, and no other node owned the role in between.
    HandedOver(bytes::Bytes),
    /// This process was also the last owner, so its own state is still exact.
    Kept,
}

/// Exports and imports the state of a role when its owner changes.
pub(crate) trait RoleState: std::fmt::Debug + Send + Sync {
    /// The role's state for its next owner. This node makes no decisions for the role after
    /// the call.
    fn export_role(&self, role: &RoleName) -> Option<bytes::Bytes>;

    /// Prepares this node to own the role. The role counts as held only after the return.
    fn import_role(&self, role: &RoleName, fence: FencingToken, origin: RoleOrigin);
}
