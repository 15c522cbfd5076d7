//! The codec between nodes and for stored values: MessagePack, with fields by position.
//!
//! Fields by position leave the names out of every record, which the control
//! budget needs. A struct that travels so must not skip fields.

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
