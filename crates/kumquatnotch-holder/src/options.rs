//! Options of a holder.

use std::time::Duration;

use kumquatnotch_core::ids::DataCentre;

/// Options of a [`crate::HolderService`].
#[derive(Clone, Debug)]
pub struct HolderOptions {
    /// The data centre of this node.
    pub centre: DataCentre,
    /// How many holders share the slots of a replica.
    pub holders: u32,
    /// The time between two probes of a target.
    pub probe_every: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
    /// How long a shard is probed after it was last asked for.
    pub asked_for: Duration,
    /// The one-way delay assumed within a region.
    pub near: Duration,
    /// The one-way delay assumed between regions.
    pub far: Duration,
}

impl Default for HolderOptions {
    fn default() -> HolderOptions {
        HolderOptions {
            centre: DataCentre::from("local"),
            holders: 1,
            probe_every: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            asked_for: Duration::from_secs(60),
            near: Duration::from_micros(500),
            far: Duration::from_millis(15),
        }
    }
}
