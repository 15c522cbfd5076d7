//! Options of a holder.

use kumquatnotch_core::ids::DataCentre;

/// Options of a [`crate::HolderService`].
#[derive(Clone, Debug)]
pub struct HolderOptions {
    /// The data centre of this node.
    pub centre: DataCentre,
}

impl Default for HolderOptions {
    fn default() -> HolderOptions {
        HolderOptions { centre: DataCentre::from("local") }
    }
}
