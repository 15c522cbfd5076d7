//! Schema of the keys and values in the fake store.

use std::{net::SocketAddr, time::Duration};

use kumquatnotch_core::{Error, Result, codec, ids::NodeName, store::StoreItem};
use kumquatnotch_route::{
    crash_records,
    mirror::MirrorOptions,
    names::ReplicaId,
    replica::ReplicaSpec,
    schema::{Entry, EntryKey, Schema},
};

use crate::common::{config, single, spec};

/// Decodes the entries of the fake store.
///
/// - `c`: the version of the configuration.
/// - `r/ID`: the address of a replica, followed by `!` if it is draining, by `@` and a number for
///   its start time, and by `#` and the number of its writes. Its service is `SERVICE` if the ID is `SERVICE.REST`, and
///   `s0` otherwise.
/// - `n/NAME`: the record of a node.
/// - `x/FINGERPRINT`: the record of a request that crashes replicas.
pub struct TestSchema;

impl Schema for TestSchema {
    fn prefix(&self) -> &str {
        ""
    }

    fn node_prefix(&self) -> &str {
        "n/"
    }

    fn read_key(&self, key: &str) -> Option<EntryKey> {
        match key.split_once('/') {
            Some(("r", id)) => Some(EntryKey::Replica(ReplicaId::from(id))),
            Some(("x", text)) => crash_records::parse_fingerprint(text).map(EntryKey::Crashes),
            Some(("n", name)) => Some(EntryKey::Node(NodeName::from(name))),
            _ => (key == "c").then_some(EntryKey::Config),
        }
    }

    fn read(&self, item: &StoreItem) -> Result<Option<Entry>> {
        let text = String::from_utf8_lossy(&item.value).into_owned();
        Ok(match self.read_key(&item.key) {
            Some(EntryKey::Config) => {
                let version = text.parse().map_err(Error::protocol)?;
                Some(Entry::Config(config(version, vec![single()])))
            }
            Some(EntryKey::Replica(id)) => {
                let (text, sequence) = match text.split_once('#') {
                    Some((text, sequence)) => (text, sequence.parse().map_err(Error::protocol)?),
                    None => (text.as_str(), 0),
                };
                let (text, born) = match text.split_once('@') {
                    Some((text, born)) => (text, Some(born.parse().map_err(Error::protocol)?)),
                    None => (text, None),
                };
                let draining = text.ends_with('!');
                let address: SocketAddr =
                    text.trim_end_matches('!').parse().map_err(Error::protocol)?;
                let service = id.as_str().split_once('.').map_or("s0", |(service, _)| service);
                let spec = spec(service, address, "home", draining);
                Some(Entry::Replica(id, ReplicaSpec { born, sequence, ..spec }))
            }
            Some(EntryKey::Node(name)) => Some(Entry::Node(name, codec::decode(&item.value)?)),
            Some(EntryKey::Crashes(fingerprint)) => {
                Some(Entry::Crashes(fingerprint, codec::decode(&item.value)?))
            }
            None => None,
        })
    }
}

#[allow(dead_code)]
pub fn options() -> MirrorOptions {
    MirrorOptions {
        wait: Duration::from_millis(200),
        followed_wait: Duration::from_millis(100),
        batch_delay: Duration::from_millis(10),
        retention: Duration::from_millis(500),
        backoff: Duration::from_millis(20),
        max_backoff: Duration::from_millis(50),
    }
}
