//! The roles that have a single owner at a time.

use std::net::SocketAddr;

use crate::ids::{BaseModel, FencingToken, string_conversions};

/// The number of partitions that accounts are spread over.
pub(crate) const LEDGER_PARTITIONS: u32 = 16;

/// A role that has a single owner at a time.
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
    /// The buckets of the accounts in one partition.
    #[display("ledger/{_0}")]
    Ledger(u32),
    /// Admission to the targets of one base model.
    #[display("pool/{_0}")]
    Pool(BaseModel),
    /// Publishes snapshots of the configuration.
    #[display("config/snapshot")]
    ConfigSnapshot,
}

/// The reason why a text names no role.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("\"{text}\" is not the name of a role")]
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

/// Who owns a role now.
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

/// What a new owner starts from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RoleOrigin {
    /// Nobody has owned the role before.
    New,
    /// The last owner is gone, and its state with it.
    Lost,
    /// The last owner handed its state over, and nobody owned the role in between.
    HandedOver(bytes::Bytes),
    /// This process was the last owner too: its own state is still exact.
    Kept,
}

/// Exports and imports the state of roles at a change of their owner.
pub(crate) trait RoleState: std::fmt::Debug + Send + Sync {
    /// The role's state for its next owner. This node decides nothing for the role any more.
    fn export_role(&self, role: &RoleName) -> Option<bytes::Bytes>;

    /// Prepares for owning the role. The role counts as held only after the return.
    fn import_role(&self, role: &RoleName, fence: FencingToken, origin: RoleOrigin);
}
