//! Where membership and configuration meet: the version in force and its confirmation.
//!
//! Membership messages carry the version that is in force here, so a peer that
//! is told of a higher one can fetch it from the teller. The age of the last
//! reading of the platform travels as a span, and is never told younger than it is.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock,
    ids::{ConfigVersion, Digest},
    member::Confirmation,
    peer::HeadInfo,
};

/// The oldest confirmation that is told apart.
const AGE_LIMIT: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Told of versions that are above the one in force.
pub(crate) trait HeadListener {
    /// A peer at `sender` has `head` in force, which was the newest at `confirmed`.
    fn on_head(&self, head: HeadInfo, sender: SocketAddr, confirmed: Instant);

    /// Whether a version is known that is not in force here.
    fn has_newer(&self) -> bool;

    /// Others took this node as gone, so it may have missed changes.
    fn on_declared_gone(&self);
}

/// The version in force on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InForce {
    pub(crate) version: ConfigVersion,
    pub(crate) manifest: Digest,
    /// When the platform was last known to have it as the newest.
    pub(crate) confirmed: Instant,
}

/// The version in force, shared by the two services.
pub(crate) struct HeadState {
    clock: Rc<dyn Clock>,
    state: Cell<Option<InForce>>,
    listener: RefCell<Option<Weak<dyn HeadListener>>>,
}

impl HeadState {
    pub(crate) fn new(clock: Rc<dyn Clock>) -> HeadState {
        HeadState { clock, state: Cell::new(None), listener: RefCell::new(None) }
    }

    pub(crate) fn set_listener(&self, listener: Weak<dyn HeadListener>) {
        *self.listener.borrow_mut() = Some(listener);
    }

    /// Whether peers have a version while there is none here.
    pub(crate) fn awaits_first_version(&self) -> bool {
        self.state.get().is_none() && self.listener().is_some_and(|listener| listener.has_newer())
    }

    pub(crate) fn in_force(&self) -> Option<InForce> {
        self.state.get()
    }

    /// Puts a version in force, if it is higher.
    pub(crate) fn advance(&self, next: InForce) -> bool {
        let higher = self.state.get().is_none_or(|state| state.version < next.version);
        if higher {
            self.state.set(Some(next));
        }
        higher
    }

    /// Notes that `version` was the newest at `when`.
    pub(crate) fn confirm(&self, version: ConfigVersion, when: Instant) {
        let Some(mut state) = self.state.get() else {
            return;
        };
        if state.version == version && state.confirmed < when {
            state.confirmed = when;
            self.state.set(Some(state));
        }
    }

    /// Takes the head of a peer's message; `sent_at` is when the request for it was sent.
    ///
    /// An age counts only in a reply, and from the request on: the time on the way
    /// is then in it. Counted from the arrival, each hop would make the
    /// confirmation younger by its delay, and as it goes round and round, by far
    /// more: in an outage of 120 s the age came out 5.5 s too low.
    pub(crate) fn on_head(
        &self,
        head: HeadInfo,
        sender: Option<SocketAddr>,
        sent_at: Option<Instant>,
    ) {
        let version = self.state.get().map(|state| state.version).unwrap_or_default();
        let confirmed = sent_at.map(|sent_at| instant_before(sent_at, head.age_ms));
        if head.version > version {
            if let (Some(listener), Some(sender)) = (self.listener(), sender) {
                let oldest = instant_before(self.clock.now(), u64::MAX);
                listener.on_head(head, sender, confirmed.unwrap_or(oldest));
            }
            return;
        }
        if let Some(confirmed) = confirmed {
            self.confirm(head.version, confirmed);
        }
    }

    /// Passes on that others took this node as gone.
    pub(crate) fn on_declared_gone(&self) {
        if let Some(listener) = self.listener() {
            listener.on_declared_gone();
        }
    }

    /// The version in force as it is told to peers.
    pub(crate) fn head_info(&self) -> HeadInfo {
        match self.state.get() {
            Some(state) => HeadInfo {
                version: state.version,
                manifest: state.manifest,
                age_ms: self.age_ms(state),
            },
            None => {
                HeadInfo { version: ConfigVersion(0), manifest: Digest([0; 16]), age_ms: u64::MAX }
            }
        }
    }

    pub(crate) fn confirmation(&self) -> Confirmation {
        let head = self.head_info();
        // A version that came without a confirmation has the oldest one there is.
        let is_confirmed = u128::from(head.age_ms) < AGE_LIMIT.as_millis();
        let age_ms = is_confirmed.then_some(head.age_ms);
        Confirmation { version: head.version, age_ms }
    }

    fn age_ms(&self, state: InForce) -> u64 {
        let age = self.clock.now().saturating_duration_since(state.confirmed);
        // Rounded up, as what each hop cuts off would add up.
        age.as_nanos().div_ceil(1_000_000) as u64
    }

    fn listener(&self) -> Option<Rc<dyn HeadListener>> {
        self.listener.borrow().as_ref()?.upgrade()
    }
}

/// The moment that was `age_ms` before `now`.
pub(crate) fn instant_before(now: Instant, age_ms: u64) -> Instant {
    let age = Duration::from_millis(age_ms).min(AGE_LIMIT);
    now.checked_sub(age).unwrap_or(now)
}
