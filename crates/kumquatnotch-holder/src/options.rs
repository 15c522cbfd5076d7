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
    pub probe_interval: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
    /// How long a shard is probed after it was last asked for.
    pub idle_timeout: Duration,
    /// The one-way delay assumed within a region.
    pub near_delay: Duration,
    /// The one-way delay assumed between regions.
    pub far_delay: Duration,
}

impl Default for HolderOptions {
    fn default() -> HolderOptions {
        HolderOptions {
            centre: DataCentre::from("local"),
            holders: 1,
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            idle_timeout: Duration::from_secs(60),
            near_delay: Duration::from_micros(500),
            far_delay: Duration::from_millis(15),
        }
    }
}
