//! Options of a holder.

use std::time::Duration;

use kumquatnotch_core::ids::DataCentre;

/// Options of a [`crate::HolderService`].
#[derive(Clone, Debug)]
pub struct HolderOptions {
    /// Data centre of this node.
    pub centre: DataCentre,
    /// Number of holders that share the slots of a replica.
    pub holders: u32,
    /// Interval between probes of a target, before jitter.
    pub probe_interval: Duration,
    /// Timeout of a probe.
    pub probe_timeout: Duration,
    /// How long the targets of a shard are probed after its last request.
    pub idle_timeout: Duration,
    /// One-way network delay assumed between data centres of a region.
    pub near_delay: Duration,
    /// One-way network delay assumed between regions.
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
