//! Digests that identify request bodies, prompt prefixes and tokens.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed, xxh3_128};

use crate::id;

/// The digest of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Body(pub u64);

impl Body {
    /// Returns the digest of an organisation's request body.
    ///
    /// The digest includes the organisation, so that a quarantined request of one organisation
    /// never blocks the same body of another.
    pub fn of(organisation: &id::Organisation, body: &[u8]) -> Self {
        Self::of_parts(organisation, &[body])
    }

    /// Returns the digest of parts as if they stood in one body, without a copy of them.
    pub fn of_parts(organisation: &id::Organisation, parts: &[&[u8]]) -> Self {
        let seed = xxh3_64_with_seed(organisation.as_str().as_bytes(), 0);
        let mut digest = Xxh3::with_seed(seed);
        parts.iter().for_each(|part| digest.update(part));
        Self(digest.digest())
    }
}

impl fmt::Display for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a part of a prompt by itself, whatever stands before it. Equal for parts with equal
/// text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(pub u64);

impl Part {
    /// Returns the identity of a part with this content.
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3_64_with_seed(content, 0))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of a configuration or of a part of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Content(pub u128);

impl From<Content> for String {
    fn from(content: Content) -> Self {
        format!("{:032x}", content.0)
    }
}

impl TryFrom<String> for Content {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Size of a prefix block of prompt text, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of prefix blocks hashed per request.
pub const PREFIX_BLOCKS_MAX: usize = 64;

/// Maximum number of parts of a prompt that are told apart.
pub const PARTS_MAX: usize = 16;

/// Returns the first [`PARTS_MAX`] parts without duplicates.
pub fn distinct_parts(all: impl Iterator<Item = Part>) -> Vec<Part> {
    let mut parts = Vec::new();
    for part in all {
        if parts.len() == PARTS_MAX {
            break;
        }
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts
}

/// Returns the chained hashes of the leading blocks of a prompt, shortest prefix first.
///
/// Two prompts share their first `n` hashes exactly when their first `n` blocks are equal.
pub fn prefix_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut previous = 0;
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(PREFIX_BLOCKS_MAX)
        .map(|block| {
            previous = xxh3_64_with_seed(block, previous);
            previous
        })
        .collect()
}

/// Returns the SHA-256 digest of a bearer token as lower-case hexadecimal text.
pub fn token(secret: &str) -> String {
    Sha256::digest(secret.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns a 128-bit digest of `bytes`, used to compare stored with received data.
pub fn content(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}
