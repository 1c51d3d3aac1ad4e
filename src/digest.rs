//! SHA-256 digests of lists of byte strings, and hexadecimal encoding.

use std::fmt::{self, Display, Formatter};

use sha2::Digest;

/// Hashes each part after its length, so that lists that differ only in where their parts end get
/// different digests.
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

/// Decodes two hexadecimal digits per byte; `None` if `text` is not valid.
pub(crate) fn decode_hex(text: &str) -> Option<Vec<u8>> {
    // `from_str_radix` alone would also accept a sign.
    if !text.len().is_multiple_of(2) || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let pairs = text.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.map(byte).collect()
}

/// Decodes exactly `N` bytes; `None` if `text` is not valid or has another length.
pub(crate) fn decode_hex_array<const N: usize>(text: &str) -> Option<[u8; N]> {
    decode_hex(text)?.try_into().ok()
}
