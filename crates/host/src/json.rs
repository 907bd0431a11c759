//! JSON of limited depth and parsed size. A short text may parse to many times its size, so its size
//! is estimated before any value is built.

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Estimated memory of an element of an array, in bytes.
const ELEMENT_BYTES: usize = 64;
/// Estimated memory of an object with up to [`NODE_FIELDS`] fields, in bytes.
const OBJECT_BYTES: usize = 640;
/// Number of fields that one node of an object holds.
const NODE_FIELDS: usize = 11;
/// Estimated memory of each further field, in bytes.
const FIELD_BYTES: usize = 110;
/// Estimated memory of a string beside its text, in bytes.
const STRING_BYTES: usize = 32;

/// Limits on a JSON text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JsonLimits {
    /// Maximum nesting of arrays and objects.
    pub depth: usize,
    /// Maximum estimated size of the parsed text, in bytes.
    pub parsed_bytes: usize,
}

impl JsonLimits {
    /// Limits on a caller's job and a worker's announcement. The largest job, with all its fields and
    /// each step waiting for all earlier ones, is estimated at less than 400 KB.
    pub const REQUEST: Self = Self {
        depth: 32,
        parsed_bytes: 1024 * 1024,
    };

    /// Returns the limits on a document that is held once in `parsed_bytes` bytes.
    pub fn document(parsed_bytes: usize) -> Self {
        Self {
            depth: 64,
            parsed_bytes,
        }
    }
}

/// A JSON text that is not accepted.
#[derive(Debug, Error)]
pub enum JsonError {
    /// It is nested too deeply.
    #[error("nested deeper than {0} levels")]
    TooDeep(usize),
    /// It has too many values.
    #[error("too many values: more than {0} bytes once parsed")]
    TooLarge(usize),
    /// It is no JSON, or not of the expected structure.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
}

/// Parses a text within limits.
pub fn from_slice<T>(text: &[u8], limits: &JsonLimits) -> Result<T, JsonError>
where
    T: DeserializeOwned,
{
    check(text, limits)?;
    Ok(serde_json::from_slice(text)?)
}

/// Checks the depth and the estimated size of a text, which need not be valid JSON.
pub fn check(text: &[u8], limits: &JsonLimits) -> Result<(), JsonError> {
    let mut parsed_bytes = 0;
    // Number of fields of each open object; `None` for arrays.
    let mut open: Vec<Option<usize>> = Vec::new();
    let mut at = 0;
    while let Some(&byte) = text.get(at) {
        at += 1;
        match byte {
            b'"' => {
                let len = string_len(&text[at..]);
                at += len + 1;
                parsed_bytes += STRING_BYTES + len;
            }
            b'{' | b'[' => {
                open.push((byte == b'{').then_some(0));
                parsed_bytes += ELEMENT_BYTES;
            }
            b'}' | b']' => drop(open.pop()),
            b':' => {
                if let Some(Some(fields)) = open.last_mut() {
                    *fields += 1;
                    parsed_bytes += match *fields {
                        1 => OBJECT_BYTES,
                        n if n > NODE_FIELDS => FIELD_BYTES,
                        _ => 0,
                    };
                }
            }
            b',' if open.last() == Some(&None) => parsed_bytes += ELEMENT_BYTES,
            _ => {}
        }
        if open.len() > limits.depth {
            return Err(JsonError::TooDeep(limits.depth));
        }
        if parsed_bytes > limits.parsed_bytes {
            return Err(JsonError::TooLarge(limits.parsed_bytes));
        }
    }
    Ok(())
}

/// Returns the length of a string up to its closing quote, or to the end of the text.
fn string_len(text: &[u8]) -> usize {
    let mut at = 0;
    while let Some(byte) = text.get(at) {
        match byte {
            b'"' => return at,
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    text.len()
}
