//! Parts of prompts, which requests share.

use crate::dispatch::directory::stable_hash;

/// A part of a prompt, identified by the hash of its id, the same on every VM.
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
    derive_more::From,
    derive_more::Into,
)]
#[display("{_0:016x}")]
pub(crate) struct PromptPart(u64);

impl PromptPart {
    pub(crate) fn new(id: &str) -> Self {
        Self(stable_hash(&[&id.to_ascii_lowercase()]))
    }
}
