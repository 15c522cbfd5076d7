//! The configuration service: the document in force and how it is updated.
//!
//! A document is put in force only if its version is above the one in force, so a delayed
//! message can't restore an earlier one. The platform's head is read in [`crate::readers`],
//! parts are fetched in [`crate::fetch`], and [`crate::recheck`] contains the checks at
//! startup and after a freeze.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Instant,
};

use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result, Store, clock,
    collections::{HashMap, HashSet},
    document::{Document, Documents},
    ids::{ConfigVersion, Digest},
    lifecycle::{Lifecycle, Stage},
    peer::{CONFIG_SERVICE, HeadInfo, PeerHandler, PeerMessage, PeerReply, StoredValue},
    random::Random,
    registry::Registry,
    services,
    stored::Manifest,
};
use tracing::info;

use crate::{
    fetch::Wanted,
    freeze_detector::{FreezeDetector, TICK_PERIOD},
    head_repair::ReadHead,
    head_state::{HeadListener, InForce},
    membership_service::{MEMBERSHIP, MembershipService},
    options::ConfigOptions,
    readers::Backoff,
    recheck::Gate,
    traffic,
};

/// Maintains the operators' document on this node.
pub struct ConfigService {
    pub(crate) options: ConfigOptions,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) random: Random,
    pub(crate) store: Rc<dyn Store>,
    pub(crate) members: Rc<MembershipService>,
    pub(crate) wanted: RefCell<Wanted>,
    pub(crate) values: RefCell<HashMap<Digest, Rc<StoredValue>>>,
    pub(crate) backoff: RefCell<Backoff>,
    /// The newest head that this node has read from the platform.
    pub(crate) known_head: RefCell<Option<ReadHead>>,
    pub(crate) freeze_detector: FreezeDetector,
    pub(crate) gate: Gate,
    /// The membership generation at which the readers were ranked, and whether this node is one.
    pub(crate) reader_cache: Cell<(u64, bool)>,
    /// Whether the first document was decided on; until then versions are only collected.
    pub(crate) bootstrapped: Cell<bool>,
    pub(crate) this: Weak<ConfigService>,
    document: RefCell<Option<Rc<Document>>>,
    /// Digests of the values of the document in force and of the previous one.
    retained: RefCell<[HashSet<Digest>; 2]>,
    lifecycle: Option<Lifecycle>,
}

impl ConfigService {
    /// Creates the service and registers it.
    ///
    /// Requires the store and a [`MembershipService`] in the registry.
    pub fn try_new(options: ConfigOptions, registry: &Registry) -> Result<Rc<ConfigService>> {
        if options.readers == 0 || options.read_period.is_zero() {
            let detail =
                "configuration needs at least one reader and a read period above zero".to_owned();
            return Err(Error::BadSettings { detail });
        }
        let clock: Rc<dyn Clock> = registry.find(services::CLOCK)?;
        let members: Rc<MembershipService> = registry.find(MEMBERSHIP)?;
        let store: Rc<dyn Store> = registry.find(services::STORE)?;
        let random: Random = registry.find(services::RANDOM)?;
        let now = clock.now();
        let service = Rc::new_cyclic(|this: &Weak<ConfigService>| ConfigService {
            random,
            store,
            members: members.clone(),
            wanted: RefCell::default(),
            values: RefCell::default(),
            backoff: RefCell::default(),
            known_head: RefCell::default(),
            freeze_detector: FreezeDetector::new(now, options.freeze_limit),
            gate: Gate::default(),
            reader_cache: Cell::default(),
            bootstrapped: Cell::new(false),
            this: this.clone(),
            document: RefCell::default(),
            retained: RefCell::default(),
            lifecycle: registry.find(services::LIFECYCLE).ok(),
            clock,
            options,
        });
        members.head_state.set_listener(service.this.clone());
        registry.register::<Rc<dyn Documents>>(services::DOCUMENTS, service.clone());
        registry.register::<Rc<dyn PeerHandler>>(CONFIG_SERVICE, service.clone());
        Ok(service)
    }

    /// Spawns the tasks of the service.
    pub fn start(&self) {
        let Some(this) = self.this.upgrade() else {
            return;
        };
        self.freeze_detector.tick(self.clock.now());
        monoio::spawn(this.clone().run_ticks());
        monoio::spawn(this.run_config());
    }

    /// Returns the version in force, or zero if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.members.head_state.in_force().map(|state| state.version).unwrap_or_default()
    }

    /// Returns whether the document in force may be served.
    ///
    /// Returns false after a freeze of this process until peers or the platform have been
    /// queried, at most for [`ConfigOptions::recheck_timeout`].
    pub fn may_serve(&self) -> bool {
        let now = self.clock.now();
        if self.freeze_detector.is_overdue(now) {
            // A request may be handled before the task that detects the freeze runs.
            self.gate.close(now + self.options.recheck_timeout);
        }
        self.gate.is_open(now)
    }

    /// Puts a document in force if its version is above the current one.
    pub(crate) fn put_in_force(&self, state: InForce, manifest: &Manifest, document: Document) {
        if !self.members.head_state.advance(state) {
            return;
        }
        info!("config: version {} in force", state.version);
        metrics::gauge!("kumquatnotch_config_version").set(state.version.0 as f64);
        *self.document.borrow_mut() = Some(Rc::new(document));
        self.drop_unused_values(state.manifest, manifest);
        if let Some(lifecycle) = &self.lifecycle {
            lifecycle.advance(Stage::Serving);
            if lifecycle.stage() == Stage::Serving {
                self.members.announce_serving();
            }
        }
        let members = self.members.clone();
        let fanout = self.options.push_fanout;
        monoio::spawn(async move { members.push_to(fanout).await });
    }

    /// Drops the values that belong neither to this document nor to the previous one.
    ///
    /// Peers to which the previous one was announced may still be fetching it.
    fn drop_unused_values(&self, digest: Digest, manifest: &Manifest) {
        let digests: HashSet<Digest> = manifest.digests().chain([digest]).collect();
        let mut retained = self.retained.borrow_mut();
        retained.swap(0, 1);
        retained[0] = digests;
        let mut values = self.values.borrow_mut();
        values.retain(|digest, _| retained.iter().any(|digests| digests.contains(digest)));
    }

    /// Detects freezes, and starts a recheck after each.
    async fn run_ticks(self: Rc<Self>) {
        loop {
            clock::sleep(&*self.clock, TICK_PERIOD).await;
            let now = self.clock.now();
            if self.freeze_detector.tick(now).is_some() {
                self.gate.close(now + self.options.recheck_timeout);
            }
            if self.gate.take_request() {
                monoio::spawn(self.clone().recheck());
            }
        }
    }

    async fn run_config(self: Rc<Self>) {
        self.bootstrap().await;
        self.run_reads().await;
    }

    fn answer_fetch(&self, digests: &[Digest]) -> Vec<StoredValue> {
        let values = self.values.borrow();
        let mut bytes = 0;
        let mut found = Vec::new();
        for value in digests.iter().filter_map(|digest| values.get(digest)) {
            bytes += value.value.len();
            // At least one value is always sent; otherwise a value above the limit could never
            // be fetched.
            if bytes > self.options.reply_limit && !found.is_empty() {
                break;
            }
            found.push(StoredValue::clone(value));
        }
        found
    }
}

impl Documents for ConfigService {
    fn current(&self) -> Option<Rc<Document>> {
        if !self.may_serve() {
            return None;
        }
        self.document.borrow().clone()
    }
}

impl HeadListener for ConfigService {
    fn on_head(&self, head: HeadInfo, sender: SocketAddr, confirmed: Instant) {
        self.wanted.borrow_mut().add(head, sender, confirmed);
        if self.bootstrapped.get() {
            self.start_fetch();
        }
    }

    fn has_newer(&self) -> bool {
        self.wanted.borrow().version() > self.version()
    }

    fn on_declared_gone(&self) {
        self.gate.close(self.clock.now() + self.options.recheck_timeout);
    }
}

impl PeerHandler for ConfigService {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            let reply = match message {
                PeerMessage::Fetch(digests) => PeerReply::Values(self.answer_fetch(&digests)),
                PeerMessage::ConfigState => {
                    PeerReply::ConfigState(self.members.head_state.confirmation())
                }
                _ => {
                    return Err(Error::protocol(
                        "unexpected message for the configuration service",
                    ));
                }
            };
            traffic::count_reply(&reply);
            Ok(reply)
        })
    }
}
