//! The names of the HTTP headers that have a meaning for the tier.

use http::HeaderName;
pub(crate) use kumquatnotch_net::message::log_text;

/// The names of the HTTP headers that the tier exchanges with callers and replicas.
///
/// Deployments may use their own names instead of the defaults.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identity of one attempt of a caller, which replies echo.
    pub request: HeaderName,
    /// The remaining time of a request, in milliseconds.
    pub deadline: HeaderName,
    /// Proof of a replica that the reply is its own.
    pub proof: HeaderName,
    /// The proofs of the parts of a merged answer.
    pub proofs: HeaderName,
    /// Number of shards missing from a merged answer.
    pub missing: HeaderName,
    /// The incarnation of the replica that the request is meant for.
    pub expected: HeaderName,
    /// The incarnation of the replica that replies to a probe.
    pub incarnation: HeaderName,
    /// Present if a replica did not run the request.
    pub rejected: HeaderName,
    /// The load of a replica: running, waiting, slots and, from some replicas, the slowdown
    /// of the machine in percent of the usual service time.
    pub load: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            request: HeaderName::from_static("x-request-id"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            proof: HeaderName::from_static("x-proof"),
            proofs: HeaderName::from_static("x-proofs"),
            missing: HeaderName::from_static("x-missing"),
            expected: HeaderName::from_static("x-expected-incarnation"),
            incarnation: HeaderName::from_static("x-incarnation"),
            rejected: HeaderName::from_static("x-not-run"),
            load: HeaderName::from_static("x-load"),
        }
    }
}
