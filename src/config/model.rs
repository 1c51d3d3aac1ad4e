//! The entries of the configuration's sections.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::digest::{HexBytes, decode_hex_array};
use crate::ids::{
    AccountName, BaseModel, ServiceName, TokenCount, TokenRate, VersionTag, ZoneName,
    string_conversions,
};

/// A section of the configuration document. Each section is maintained by one team.
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
    /// All sections in dependency order: entries refer only to entries of earlier sections, except
    /// that an adapter refers to its current version.
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

/// The error for a text that is not the name of a section.
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
    /// Upper bound on concurrent adapter loads for this model. The sum over all models is at most
    /// 8.
    #[serde(default = "default_loads_in_flight")]
    pub loads_in_flight: u32,
    /// Upper bound on load starts per second, which is the rate limit of the weight store.
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
    /// Whether new requests may be sent to targets in the zone.
    #[serde(default = "default_true")]
    pub in_service: bool,
}

fn default_true() -> bool {
    true
}

/// A back-end server for either a base model or a plain service.
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
    /// Whether the target rejects load and unload commands with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the target is about to be removed and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// The number of adapters that the target can hold at the same time.
    #[serde(default = "default_adapter_slots")]
    pub adapter_slots: u32,
    /// Upper bound on concurrent requests once the target is warm.
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
    /// Whether the service accepts calls without a key.
    #[serde(default)]
    pub open_to_all: bool,
    /// The methods whose calls may be retried; calls of all others run at most once.
    #[serde(default)]
    pub repeatable_methods: Vec<String>,
    /// The accounts that may call the service. If empty, all accounts may.
    #[serde(default)]
    pub accounts: Vec<AccountName>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AccountEntry {
    /// A description for operators.
    #[serde(default)]
    pub title: String,
}

/// The rate limit of the account of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateEntry {
    pub tokens_per_second: TokenRate,
    pub burst: TokenCount,
}

/// An API key of an account. Only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyEntry {
    pub account: AccountName,
    /// The SHA-256 digest of the key in lowercase hexadecimal.
    pub sha256: KeyDigest,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AdapterEntry {
    pub account: AccountName,
    pub base_model: BaseModel,
    /// The version that is used for requests that do not specify one.
    pub current: VersionTag,
}

/// A version of an adapter. The name of the entry is `<adapter>@<version>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VersionEntry {
    /// The path in the weight store, `<adapter>/<version>` by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<Box<str>>,
}

/// The SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key in the form that clients send.
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

/// The error for a text that is not a key digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a key digest is 64 lowercase hexadecimal digits")]
pub struct DigestError;

impl std::str::FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.bytes().any(|digit| digit.is_ascii_uppercase()) {
            return Err(DigestError);
        }
        decode_hex_array(text).map(Self).ok_or(DigestError)
    }
}

string_conversions!(KeyDigest, DigestError);
