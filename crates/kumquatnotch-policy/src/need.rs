//! What is known of a request for the choice of its replica, and for when it is late.

use std::time::Duration;

use crate::mechanisms::Mechanisms;

/// What is known of a request for the choice of its replica.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// How long it usually takes, without the way.
    pub usual: Duration,
    /// After how many times that a reply is late: few take longer.
    pub late_times: f64,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Which part of the budget of repeats of its service is spent, up to one.
    pub spent: f64,
    /// What is in use of that by which replicas are told apart.
    pub mechanisms: Mechanisms,
}
