//! The records of the claims stream. They are JSON so that operators can read them.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::digest::{HexBytes, decode_hex, decode_hex_array, digest_parts};
use crate::ids::{BootId, NodeName};

/// The largest body that an outcome stores, because the log accepts no large records.
pub(crate) const STORED_BODY_LIMIT_BYTES: usize = 16 * 1024;

/// The text is not a lowercase hexadecimal number of the expected length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("expected a lowercase hexadecimal number of 32 or 64 digits")]
pub(crate) struct HexError;

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $bytes:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub(crate) struct $name([u8; $bytes]);

        impl TryFrom<String> for $name {
            type Error = HexError;

            fn try_from(text: String) -> Result<Self, HexError> {
                decode_hex_array(&text).map(Self).ok_or(HexError)
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> String {
                HexBytes(&value.0).to_string()
            }
        }
    };
}

hex_type!(
    /// Identifies a call: the digest of account, service and `Idempotency-Key`.
    ClaimKey,
    32
);
hex_type!(
    /// The digest of method, path, query and body of a call. Calls with the same key must have
    /// the same digest.
    CallDigest,
    32
);
hex_type!(
    /// Identifies one claim, so that a node whose append reply was lost can find the claim in the
    /// stream.
    ClaimNonce,
    16
);

impl ClaimKey {
    pub(crate) fn from_parts(account: &str, service: &str, key: &str) -> Self {
        Self(digest_parts(&[
            account.as_bytes(),
            service.as_bytes(),
            key.as_bytes(),
        ]))
    }
}

impl CallDigest {
    pub(crate) fn from_call(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[
            method.as_bytes(),
            path_and_query.as_bytes(),
            body,
        ]))
    }
}

impl ClaimNonce {
    pub(crate) fn random() -> Self {
        Self(rand::random())
    }

    #[cfg(test)]
    pub(crate) const fn from_number(number: u128) -> Self {
        Self(number.to_be_bytes())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimEntry {
    /// A node claims the right to run the call.
    Claim {
        key: ClaimKey,
        request: CallDigest,
        nonce: ClaimNonce,
        node: NodeName,
        boot: BootId,
    },
    /// The call of this claim was answered.
    Outcome {
        nonce: ClaimNonce,
        #[serde(flatten)]
        answer: StoredAnswer,
    },
    /// Voids a claim: its node has not sent the call and will not send it.
    Void { nonce: ClaimNonce },
}

impl ClaimEntry {
    /// The length of the body as stored in the record.
    pub(crate) fn body_len(&self) -> usize {
        match self {
            Self::Outcome { answer, .. } => match &answer.body {
                StoredBody::Text(text) | StoredBody::Hex(text) => text.len(),
                StoredBody::TooLarge => 0,
            },
            Self::Claim { .. } | Self::Void { .. } => 0,
        }
    }
}

/// The entries that a node wrote in one append.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct ClaimBatch {
    pub(crate) entries: Vec<ClaimEntry>,
}

/// A call's answer, stored to be returned to repeats of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    pub(crate) status: u16,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) content_type: Option<String>,
    pub(crate) body: StoredBody,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum StoredBody {
    Text(String),
    /// A body that is not UTF-8.
    Hex(String),
    /// The body was larger than [`STORED_BODY_LIMIT_BYTES`].
    TooLarge,
}

impl StoredAnswer {
    pub(crate) fn new(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        let body = if body.len() > STORED_BODY_LIMIT_BYTES {
            StoredBody::TooLarge
        } else {
            match std::str::from_utf8(body) {
                Ok(text) => StoredBody::Text(text.to_owned()),
                Err(_) => StoredBody::Hex(HexBytes(body).to_string()),
            }
        };
        Self {
            status,
            content_type,
            body,
        }
    }

    /// The body in bytes; `None` if it was not stored.
    pub(crate) fn body_bytes(&self) -> Option<Vec<u8>> {
        match &self.body {
            StoredBody::Text(text) => Some(text.clone().into_bytes()),
            StoredBody::Hex(text) => decode_hex(text),
            StoredBody::TooLarge => None,
        }
    }
}
