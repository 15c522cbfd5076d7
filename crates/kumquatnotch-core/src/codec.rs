//! The codec of messages between nodes and of stored values.
//!
//! Values are encoded as MessagePack with fields by position. Omitting the field
//! names keeps control traffic within its budget. Encoded structs must not skip
//! fields, since that would shift the positions of the others.

use serde::{Serialize, de::DeserializeOwned};

use crate::{Error, Result};

/// Encodes `value`.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    rmp_serde::to_vec(value).map_err(Error::internal)
}

/// Decodes a value from `bytes`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(Error::protocol)
}
