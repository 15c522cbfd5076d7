//! The names of the headers that the tier shares with callers and replicas.

use http::HeaderName;

/// The names of the headers with a meaning for the tier.
///
/// Whoever runs the tier may have names of its own for them; the default ones
/// are those of this project.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identity of one attempt of a caller, which replies repeat.
    pub request: HeaderName,
    /// The time left for a request, in milliseconds.
    pub deadline: HeaderName,
    /// The proof of a replica that it gave this reply.
    pub proof: HeaderName,
    /// The proofs of the parts of a merged answer.
    pub proofs: HeaderName,
    /// The number of shards that a merged answer leaves out.
    pub missing: HeaderName,
    /// The incarnation of the replica that is to run a request.
    pub expected: HeaderName,
    /// The incarnation of the replica that replies to a probe.
    pub incarnation: HeaderName,
    /// Present if a replica did not run the request.
    pub rejected: HeaderName,
    /// The load of a replica: running, waiting, slots, and of some the speed of the
    /// machine, in percent of the usual time for work.
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
