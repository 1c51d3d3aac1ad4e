//! SHA-256 digests of several parts, and bytes as hexadecimal digits.

use std::fmt::{self, Display, Formatter};

use sha2::Digest;

/// Hashes `parts` with their lengths, so that no two lists of parts run into each other.
pub(crate) fn digest_parts(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Displays bytes as lowercase hexadecimal digits.
pub(crate) struct HexBytes<'a>(pub(crate) &'a [u8]);

impl Display for HexBytes<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The bytes that `text` gives with two hexadecimal digits each.
pub(crate) fn decode_hex(text: &str) -> Option<Vec<u8>> {
    // The number parser alone would also take a sign.
    if !text.len().is_multiple_of(2) || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let pairs = text.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.map(byte).collect()
}

/// The same for exactly `N` bytes.
pub(crate) fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    decode_hex(text)?.try_into().ok()
}
