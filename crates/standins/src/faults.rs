//! Faults of targets, which can be set while they run.

use kumquatnotch_core::{
    ids::{IndexVersion, TargetName},
    target::{HeldVersion, Phase},
};
use serde::{Deserialize, Serialize};

/// A change of faults; omitted fields keep their current values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// The target; all targets of the process if omitted.
    pub target: Option<TargetName>,
    /// Factor by which service times are multiplied.
    pub factor: Option<f64>,
    /// Drains the target: it refuses new requests and reports that it is draining.
    pub drain: Option<bool>,
    /// Makes the target cold, and therefore slow, for this time from now, in milliseconds.
    pub cold_ms: Option<u64>,
    /// Sheds every request.
    pub shed: Option<bool>,
    /// Crashes the target when it runs a request whose body contains this text; an empty text
    /// turns this off.
    pub marker: Option<String>,
    /// Crashes the target now.
    pub crash: bool,
    /// Downtime after a crash, in milliseconds.
    pub restart_ms: Option<u64>,
    /// Sends no more responses on the connections that are open now; new ones work.
    pub silence: bool,
    /// Reports this load instead of the real one; a negative value restores the real one.
    pub load: Option<i64>,
    /// Reports this phase instead of the real one, until the next change of `lie`.
    pub lie: Option<Phase>,
    /// Adds a version to those that the target holds.
    pub publish: Option<HeldVersion>,
    /// Removes a version from those that the target holds.
    pub unpublish: Option<IndexVersion>,
    /// Replaces all versions that the target holds, as after a change of layout.
    pub held: Option<Vec<HeldVersion>>,
}

/// The faults in force.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Factor by which service times are multiplied.
    pub factor: f64,
    /// Whether the target is draining.
    pub drain: bool,
    /// Whether the target sheds every request.
    pub shed: bool,
    /// The target crashes when it runs a request whose body contains this text.
    pub marker: Option<String>,
    /// Downtime after a crash, in milliseconds.
    pub restart_ms: u64,
    /// The load to report instead of the real one.
    pub load: Option<u32>,
    /// The phase to report instead of the real one.
    pub lie: Option<Phase>,
}

/// Default downtime of a target after a crash, in milliseconds.
const RESTART_MS: u64 = 500;

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            factor: 1.0,
            drain: false,
            shed: false,
            marker: None,
            restart_ms: RESTART_MS,
            load: None,
            lie: None,
        }
    }
}

impl Faults {
    /// Applies `change`.
    pub fn apply(&mut self, change: &FaultChange) {
        self.factor = change.factor.unwrap_or(self.factor);
        self.drain = change.drain.unwrap_or(self.drain);
        self.shed = change.shed.unwrap_or(self.shed);
        self.restart_ms = change.restart_ms.unwrap_or(self.restart_ms);
        if let Some(marker) = &change.marker {
            self.marker = Some(marker.clone()).filter(|marker| !marker.is_empty());
        }
        if let Some(load) = change.load {
            self.load = u32::try_from(load).ok();
        }
        if change.lie.is_some() {
            self.lie = change.lie;
        }
    }
}
