//! The entries of the configuration's sections.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::digest::{HexBytes, parse_hex};
use crate::ids::{
    AccountName, BaseModel, ServiceName, TokenCount, TokenRate, VersionTag, ZoneName,
    string_conversions,
};

/// A section of the configuration document. Each belongs to one team.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum SectionName {
    #[display("base_models")]
    BaseModels,
    #[display("zones")]
    Zones,
    #[display("targets")]
    Targets,
    #[display("services")]
    Services,
    #[display("accounts")]
    Accounts,
    #[display("rates")]
    Rates,
    #[display("keys")]
    Keys,
    #[display("adapters")]
    Adapters,
    #[display("versions")]
    Versions,
}

impl SectionName {
    /// All sections. Entries refer only to entries of earlier sections, except that an adapter
    /// names its current version.
    pub const ALL: [Self; 9] = [
        Self::BaseModels,
        Self::Zones,
        Self::Targets,
        Self::Services,
        Self::Accounts,
        Self::Rates,
        Self::Keys,
        Self::Adapters,
        Self::Versions,
    ];
}

/// The reason why a text names no section.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("there is no section \"{text}\"")]
pub struct SectionError {
    text: String,
}

impl std::str::FromStr for SectionName {
    type Err = SectionError;

    fn from_str(text: &str) -> Result<Self, SectionError> {
        let named = Self::ALL.into_iter().find(|name| name.to_string() == text);
        let text = text.to_owned();
        named.ok_or(SectionError { text })
    }
}

/// A base model and the limits for loading its adapters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BaseModelEntry {
    /// The most adapter loads in flight for this model; all models together stay at 8 or less.
    #[serde(default = "default_loads_in_flight")]
    pub loads_in_flight: u32,
    /// The most loads that start per second: the weight store's rate.
    #[serde(default = "default_loads_per_second")]
    pub loads_per_second: f64,
}

fn default_loads_in_flight() -> u32 {
    8
}

fn default_loads_per_second() -> f64 {
    4.0
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ZoneEntry {
    /// Whether targets of the zone may get new work.
    #[serde(default = "default_true")]
    pub in_service: bool,
}

fn default_true() -> bool {
    true
}

/// A back end. It serves either a base model or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TargetEntry {
    pub address: SocketAddr,
    pub zone: ZoneName,
    /// Exactly one of `base_model` and `service` is set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base_model: Option<BaseModel>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// Whether the target rejects orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the target is about to leave: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// The most adapters that the target holds at once.
    #[serde(default = "default_adapter_slots")]
    pub adapter_slots: u32,
    /// The most requests that the warm target runs at once.
    #[serde(default = "default_request_limit")]
    pub request_limit: u32,
}

fn default_adapter_slots() -> u32 {
    8
}

fn default_request_limit() -> u32 {
    16
}

/// A plain service behind a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceEntry {
    /// The path prefix, for example `/bookings`.
    pub prefix: String,
    /// Whether callers need no key.
    #[serde(default)]
    pub open_to_all: bool,
    /// The methods whose calls may be repeated; all others run at most once.
    #[serde(default)]
    pub repeatable_methods: Vec<String>,
    /// The accounts that may call the service; empty means every account.
    #[serde(default)]
    pub accounts: Vec<AccountName>,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AccountEntry {
    /// A description for operators.
    #[serde(default)]
    pub title: String,
}

/// The rate and burst of the account of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateEntry {
    pub tokens_per_second: TokenRate,
    pub burst: TokenCount,
}

/// A key of an account. Only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyEntry {
    pub account: AccountName,
    /// The SHA-256 digest of the key in lowercase hexadecimal.
    pub sha256: KeyDigest,
}

/// An adapter of an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AdapterEntry {
    pub account: AccountName,
    pub base_model: BaseModel,
    /// The version for requests that name none.
    pub current: VersionTag,
}

/// A version of an adapter, keyed by `<adapter>@<version>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VersionEntry {
    /// The path in the weight store; `<adapter>/<version>` when not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<Box<str>>,
}

/// The SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as a caller presents it.
    pub fn of_key(key: &str) -> Self {
        use sha2::Digest;
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl std::fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", HexBytes(&self.0))
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// The reason why a text is not a key digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a key digest is 64 lowercase hexadecimal digits")]
pub struct DigestError;

impl std::str::FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.bytes().any(|digit| digit.is_ascii_uppercase()) {
            return Err(DigestError);
        }
        parse_hex(text).map(Self).ok_or(DigestError)
    }
}

string_conversions!(KeyDigest, DigestError);
