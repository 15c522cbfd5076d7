//! The configuration version in force and its confirmation, shared by both services.
//!
//! Membership messages carry the version that is in force on the sender, so that a peer can
//! fetch a newer version from the sender. The age of the last read of the platform is sent
//! as a duration, and is never understated.

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

/// Maximum age of a confirmation; older ones are reported with this age.
const AGE_LIMIT: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Receives the versions that are above the one in force.
pub(crate) trait HeadListener {
    /// Handles the version in force on the peer at `sender`, which was the newest at
    /// `confirmed`.
    fn on_head(&self, head: HeadInfo, sender: SocketAddr, confirmed: Instant);

    /// Returns whether a version is known that is above the one in force.
    fn has_newer(&self) -> bool;

    /// Handles that others declared this node gone, so that it may have missed changes.
    fn on_declared_gone(&self);
}

/// The version in force on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InForce {
    pub(crate) version: ConfigVersion,
    pub(crate) manifest: Digest,
    /// When it was last known to be the newest version on the platform.
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

    /// Returns whether no version is in force here, but a peer has one.
    pub(crate) fn awaits_first_version(&self) -> bool {
        self.state.get().is_none() && self.listener().is_some_and(|listener| listener.has_newer())
    }

    pub(crate) fn in_force(&self) -> Option<InForce> {
        self.state.get()
    }

    /// Puts a version in force if it is higher.
    pub(crate) fn advance(&self, next: InForce) -> bool {
        let higher = self.state.get().is_none_or(|state| state.version < next.version);
        if higher {
            self.state.set(Some(next));
        }
        higher
    }

    /// Records that `version` was the newest at `when`.
    pub(crate) fn confirm(&self, version: ConfigVersion, when: Instant) {
        let Some(mut state) = self.state.get() else {
            return;
        };
        if state.version == version && state.confirmed < when {
            state.confirmed = when;
            self.state.set(Some(state));
        }
    }

    /// Handles the head in a peer's message; `sent_at` is when the request that it answers was
    /// sent.
    ///
    /// The age is used only in a reply, and counts from the sending of the request, so that it
    /// includes the time in transit. If it counted from the arrival, each hop would make the
    /// confirmation younger by its delay. As confirmations circulate, this adds up: in an outage
    /// of 120 s the age would be 5.5 s too low.
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

    /// Notifies the listener that others declared this node gone.
    pub(crate) fn on_declared_gone(&self) {
        if let Some(listener) = self.listener() {
            listener.on_declared_gone();
        }
    }

    /// Returns the version in force as sent to peers.
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
        // A version received without a confirmation has the maximum age.
        let is_confirmed = u128::from(head.age_ms) < AGE_LIMIT.as_millis();
        let age_ms = is_confirmed.then_some(head.age_ms);
        Confirmation { version: head.version, age_ms }
    }

    fn age_ms(&self, state: InForce) -> u64 {
        let age = self.clock.now().saturating_duration_since(state.confirmed);
        // Rounded up, as truncation errors of the hops would add up.
        age.as_nanos().div_ceil(1_000_000) as u64
    }

    fn listener(&self) -> Option<Rc<dyn HeadListener>> {
        self.listener.borrow().as_ref()?.upgrade()
    }
}

/// Returns the instant `age_ms` before `now`.
pub(crate) fn instant_before(now: Instant, age_ms: u64) -> Instant {
    let age = Duration::from_millis(age_ms).min(AGE_LIMIT);
    now.checked_sub(age).unwrap_or(now)
}
