//! Newtypes for names, sizes and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sum};
use serde::{Deserialize, Serialize};

/// The error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("\"{text}\" is not a valid name: use 1 to 128 of the characters a-z A-Z 0-9 . _ -")]
pub struct NameError {
    text: String,
}

/// Names are part of log records and of the adapter names on engines, so their length is bounded.
const MAX_NAME_BYTES: usize = 128;

fn validate_name(text: &str) -> Result<(), NameError> {
    let valid_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(valid_byte) {
        return Ok(());
    }
    Err(NameError {
        text: text.chars().take(MAX_NAME_BYTES).collect(),
    })
}

// Makes serde represent a type by the text of its `FromStr` and `Display` implementations.
macro_rules! string_conversions {
    ($name:ty, $error:ty) => {
        impl TryFrom<String> for $name {
            type Error = $error;

            fn try_from(text: String) -> Result<Self, $error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                value.to_string()
            }
        }
    };
}
pub(crate) use string_conversions;

// A name is one pointer wide (`Arc<str>` would take two): the configuration holds several names for
// each of 140,000 adapters and shares their texts.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<Box<str>>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate_name(text)?;
                Ok(Self(std::sync::Arc::new(text.into())))
            }
        }

        string_conversions!($name, NameError);
    };
}

name_type!(
    /// A client account: the tenant that owns API keys, adapters and rate limits.
    AccountName
);
name_type!(AdapterName);
name_type!(
    /// A version of an adapter.
    VersionTag
);
name_type!(
    /// A base model that adapters extend.
    BaseModel
);
name_type!(
    /// A backend: a model engine or a server of a plain service.
    TargetName
);
name_type!(ZoneName);
name_type!(
    /// The version of the software that a target runs, not of the weights that it serves.
    SoftwareVersion
);
name_type!(
    /// A plain service: an HTTP service behind a path prefix, without a model.
    ServiceName
);
name_type!(
    /// A task that one VM at a time performs for all.
    DutyName
);
name_type!(
    /// The name that operators give an API key. Unlike the key, it may appear in logs.
    KeyName
);
name_type!(
    /// The process of an entry VM, as named in the platform's VM list.
    NodeName
);

/// An adapter of a base model on targets, written as MODEL/ADAPTER. Adapters of different models may
/// have the same name.
// One pointer wide, like the names, since the tables of targets hold it for each slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub(crate) struct ModelAdapter(std::sync::Arc<Box<str>>);

impl ModelAdapter {
    const SEPARATOR: char = '/';

    pub(crate) fn new(model: &BaseModel, adapter: &AdapterName) -> Self {
        let text = format!("{model}{}{adapter}", Self::SEPARATOR);
        Self(std::sync::Arc::new(text.into()))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    pub(crate) fn model(&self) -> &str {
        self.parts().0
    }

    pub(crate) fn adapter(&self) -> &str {
        self.parts().1
    }

    /// The adapter's name if it belongs to `model`, and otherwise both names.
    pub(crate) fn relative_to(&self, model: &str) -> &str {
        match self.parts() {
            (own, adapter) if own == model => adapter,
            _ => &self.0,
        }
    }

    /// The inverse of [`Self::relative_to`].
    pub(crate) fn from_relative(text: &str, model: &str) -> Result<Self, NameError> {
        match text.contains(Self::SEPARATOR) {
            true => text.parse(),
            false => Ok(Self::new(&model.parse()?, &text.parse()?)),
        }
    }

    fn parts(&self) -> (&str, &str) {
        self.0.split_once(Self::SEPARATOR).unwrap_or((&self.0, ""))
    }
}

impl std::str::FromStr for ModelAdapter {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (model, adapter) = text.split_once(Self::SEPARATOR).unwrap_or((text, ""));
        Ok(Self::new(&model.parse()?, &adapter.parse()?))
    }
}

/// Identifies one run of a node's process. A restarted node has a new id and inherits no leases.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct BootId(u64);

/// The position of a record in a log stream.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct LogOffset(u64);

impl LogOffset {
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Counts how often the platform's store has come back from a copy that is some time old. What was
/// written in between is lost then, and its offsets are given out again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Display, FromStr, From, Into,
)]
pub(crate) struct StoreEra(u64);

/// A place in a log of the platform's store. Offsets of different eras can't be compared, so the era
/// comes first in the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{era}:{offset}")]
pub(crate) struct LogPosition {
    pub(crate) era: StoreEra,
    pub(crate) offset: LogOffset,
}

impl LogPosition {
    pub(crate) fn new(era: StoreEra, offset: LogOffset) -> Self {
        Self { era, offset }
    }

    pub(crate) fn next(self) -> Self {
        Self::new(self.era, self.offset.next())
    }
}

/// The fencing token of a lease holder: the log offset of its claim, or the store's era and the group's
/// generation in which it got the lease. Later holders have higher tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct FencingToken(u64);

/// A count of prompt and generated tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    From,
    Into,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
pub struct TokenCount(u64);

impl TokenCount {
    pub const ZERO: Self = Self(0);

    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0}/s")]
pub struct TokenRate(u64);

impl TokenRate {
    pub const fn per_second(tokens: u64) -> Self {
        Self(tokens)
    }
}

/// The error for a text that is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("\"{text}\" is not a number of requests per second")]
pub(crate) struct RateError {
    text: String,
}

/// Requests per second; neither negative nor infinite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
#[display("{_0}/s")]
pub(crate) struct RequestRate(f64);

impl RequestRate {
    /// Returns `None` if `rate` is negative or not a finite number.
    pub(crate) fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }

    pub(crate) const fn as_f64(self) -> f64 {
        self.0
    }
}

impl std::str::FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let rate = text.trim().parse().ok().and_then(Self::per_second);
        rate.ok_or_else(|| RateError {
            text: text.chars().take(MAX_NAME_BYTES).collect(),
        })
    }
}

/// An amount of memory, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, From, Into)]
#[display("{_0} B")]
pub(crate) struct ByteSize(u64);

impl ByteSize {
    pub(crate) const fn from_megabytes(megabytes: u64) -> Self {
        Self(megabytes * 1024 * 1024)
    }
}

/// The rate of a link, in bytes per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromStr, From, Into)]
#[display("{_0} B/s")]
pub(crate) struct ByteRate(u64);

impl ByteRate {
    /// A rate in megabits per second, which must not be negative.
    pub(crate) const fn from_megabits(megabits: f64) -> Self {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        Self((megabits * BYTES_PER_MEGABIT) as u64)
    }

    /// The bytes that the link carries in `time`.
    pub(crate) fn bytes_in(self, time: std::time::Duration) -> u64 {
        (self.0 as f64 * time.as_secs_f64()) as u64
    }
}

/// An adapter at one version.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display, Serialize, Deserialize,
)]
#[display("{adapter}@{version}")]
pub struct AdapterVersion {
    pub adapter: AdapterName,
    pub version: VersionTag,
}

impl AdapterVersion {
    pub fn new(adapter: AdapterName, version: VersionTag) -> Self {
        Self { adapter, version }
    }
}

/// The id of a caller's request, sent in the `X-Request-Id` header.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(String);

impl RequestId {
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::str::FromStr for RequestId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        validate_name(text)?;
        Ok(Self(text.to_owned()))
    }
}

string_conversions!(RequestId, NameError);

impl std::str::FromStr for AdapterVersion {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (adapter, version) = text.split_once('@').ok_or_else(|| NameError {
            text: text.to_owned(),
        })?;
        Ok(Self::new(adapter.parse()?, version.parse()?))
    }
}

impl VersionTag {
    /// Whether a clone of this tag shares its text.
    pub(crate) fn is_shared(&self) -> bool {
        std::sync::Arc::strong_count(&self.0) > 1
    }
}
