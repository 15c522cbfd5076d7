//! The platform's list of VMs, where it keeps one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Result, Store, codec, ids::DataCentre};

/// The key under which the list lies in the store.
pub const VMS_KEY: &str = "vms";

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Where the node on it listens for peers.
    pub peer: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list, which lags; it is empty on a platform that keeps none.
pub async fn read_vms(store: &dyn Store) -> Result<Vec<Vm>> {
    match store.read(VMS_KEY).await? {
        Some(item) => codec::decode(&item.value),
        None => Ok(Vec::new()),
    }
}
