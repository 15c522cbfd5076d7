//! The list of VMs that some platforms keep in their store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Result, Store, codec, ids::DataCentre};

/// The key of the list in the store.
pub const VMS_KEY: &str = "vms";

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The peer address of the node on it.
    pub peer: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// Whether the platform is about to remove it.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list, which may be out of date; empty if the platform has none.
pub async fn read_vms(store: &dyn Store) -> Result<Vec<Vm>> {
    match store.read(VMS_KEY).await? {
        Some(item) => codec::decode(&item.value),
        None => Ok(Vec::new()),
    }
}
