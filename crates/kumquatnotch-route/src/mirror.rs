//! Following the platform's store: what it holds is mirrored by every node.
//!
//! One scan, then one watch after another; of many nodes, most follow one that
//! watches the store instead ([`follow`](crate::follow)). When the store is away, what was
//! known last goes on being used; a node that knows nothing yet asks others.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use kumquatnotch_core::{
    Error, Result, Store, clock,
    store::{StoreChanges, StoreEvent, StoreScan},
};
use kumquatnotch_policy::mechanisms::Mechanism;

use crate::{
    entries::Entries,
    first_reading::{self, Reading},
    follow::{self, Followed},
    freshness,
    journal::Passage,
    router::Router,
    schema::Schema,
    sources::Sources,
};

/// Options of a [`Mirror`].
#[derive(Clone, Copy, Debug)]
pub struct MirrorOptions {
    /// How long a watch waits for changes.
    ///
    /// A watch whose connection has gone silent is noticed only when it is over,
    /// so it must stay below the time in which changes have to be seen.
    pub wait: Duration,
    /// The same if other nodes follow this one, which must hear soon that it has
    /// lost the store.
    pub followed_wait: Duration,
    /// The pause after changes came, in which more of them collect.
    ///
    /// Each return of a watch is a call that counts, and changes come in series.
    pub collect: Duration,
    /// How long an entry that vanished around an outage is kept.
    pub keep: Duration,
    /// The first pause after a failed call, before jitter; it doubles.
    pub backoff: Duration,
    /// The longest pause after a failed call, before jitter.
    pub most_backoff: Duration,
}

impl Default for MirrorOptions {
    fn default() -> MirrorOptions {
        MirrorOptions {
            wait: Duration::from_millis(2_500),
            followed_wait: Duration::from_millis(1_800),
            collect: Duration::from_millis(300),
            keep: Duration::from_millis(2_600),
            backoff: Duration::from_millis(150),
            most_backoff: Duration::from_millis(900),
        }
    }
}

/// How late the answer to a watch may be before the store counts as having been away.
const LATE_ANSWER: Duration = Duration::from_millis(300);

/// The pause of a node that follows others before it asks the store again, before jitter.
///
/// There are hundreds of them, for which a few nodes watch the store.
const FOLLOWER_PAUSE: Duration = Duration::from_secs(3);

/// By how much the news of another node must be newer.
///
/// The way of its answer makes it seem newer. Nodes that are all turned away would pass the
/// same knowledge round and take it for news.
const NEWS_MARGIN: Duration = Duration::from_millis(200);

/// Follows the store.
pub struct Mirror {
    options: MirrorOptions,
    router: Rc<Router>,
    store: Rc<dyn Store>,
    /// What it holds, as far as is known.
    pub entries: Rc<Entries>,
    sources: Sources,
    /// The revision up to which everything is known.
    after: Cell<Option<u64>>,
    /// Whether the store was in trouble since its last answer.
    trouble: Cell<bool>,
}

impl Mirror {
    /// A mirror that has read nothing yet.
    pub fn new(
        options: MirrorOptions,
        router: Rc<Router>,
        store: Rc<dyn Store>,
        schema: Rc<dyn Schema>,
    ) -> Rc<Mirror> {
        let entries = Rc::new(Entries::new(router.clone(), schema, options.keep));
        let sources = Sources::new(router.clone());
        Rc::new(Mirror {
            options,
            router,
            store,
            entries,
            sources,
            after: Cell::new(None),
            trouble: Cell::new(false),
        })
    }

    /// Starts to follow the store.
    pub fn start(self: &Rc<Mirror>) {
        monoio::spawn(self.clone().run());
        monoio::spawn(self.entries.clone().sweep());
        monoio::spawn(freshness::tell(self.router.clone()));
    }

    async fn run(self: Rc<Mirror>) {
        self.begin().await;
        let mut failures = 0;
        loop {
            if let Some(followed) = self.sources.follow(self.known()).await {
                self.take_followed(followed);
                failures = 0;
                continue;
            }
            match self.read().await {
                Ok(()) => {
                    if failures > 0 {
                        tracing::info!(failures, "mirror: the store answers again");
                    }
                    failures = 0;
                }
                Err(Error::VersionUnknown { .. }) => {
                    tracing::info!("mirror: the history is gone, reading everything anew");
                    self.after.set(None);
                }
                Err(error) => {
                    failures += 1;
                    self.note_trouble();
                    if failures == 1 {
                        tracing::warn!(code = error.code(), "mirror: the store is away: {error}");
                    }
                    self.await_store(failures).await;
                }
            }
        }
    }

    /// Waits until the store is to be asked again, or there is another node to follow.
    ///
    /// It may turn this node away and serve others, for as long as it likes. What these hear
    /// of it is in force here as well.
    async fn await_store(&self, failures: u32) {
        let clock = &*self.router.clock;
        let follows = follow::is_follower(&self.router);
        let pause = self.pause(failures);
        let wait = if follows { self.router.random.jitter(FOLLOWER_PAUSE) } else { pause };
        let until = clock.now() + wait;
        while clock.now() < until {
            match self.sources.catch_up(self.known()).await {
                Some(followed) if self.is_newer(&followed) => {
                    self.take_followed(followed);
                    if follows {
                        return;
                    }
                }
                // One failure may be a connection that was cut.
                _ if failures > 1 => self.router.journal.note_lost(),
                _ => {}
            }
            clock.sleep_until(until.min(clock.now() + pause)).await;
        }
    }

    /// Whether another node has heard from the store since this one did.
    fn is_newer(&self, followed: &Followed) -> bool {
        followed.age + NEWS_MARGIN < self.router.journal.age()
    }

    /// The pause after so many failed calls in a row.
    fn pause(&self, failures: u32) -> Duration {
        let backoff = self.options.backoff * 2u32.pow(failures.min(6) - 1);
        self.router.random.jitter(backoff.min(self.options.most_backoff))
    }

    /// The revision up to which everything is known; zero if nothing is.
    fn known(&self) -> u64 {
        self.after.get().unwrap_or(0)
    }

    /// Learns all that there is to know, from the store or from nodes that ask for this one.
    async fn begin(&self) {
        let reading =
            std::pin::pin!(first_reading::read(&self.router, &*self.store, &self.entries));
        let learning = std::pin::pin!(self.learn_from_visitors());
        match select(reading, learning).await {
            Either::Left((Reading { scan, confirmed, lenient }, _)) => {
                if lenient > Duration::ZERO {
                    self.router.be_lenient(lenient);
                }
                self.take_scan(&scan, confirmed);
            }
            Either::Right(((), _)) => {}
        }
    }

    /// Completes once a node that asked for this one has told what it knows.
    async fn learn_from_visitors(&self) {
        let clock = &*self.router.clock;
        loop {
            clock::sleep(clock, self.router.random.jitter(self.options.backoff)).await;
            // What another node knows may be old, so this is for a store that is away.
            if self.router.uses(Mechanism::Visitors) && self.ask_visitors().await {
                return;
            }
        }
    }

    /// Learns what another node knows, however old that is; false if none tells.
    ///
    /// A node that starts while the store is away knows nothing, not even where other
    /// nodes are, and would refuse all requests until the store is back. But those that
    /// knew its earlier life ask it whether it is back, and what they serve by is as
    /// good for it.
    async fn ask_visitors(&self) -> bool {
        let mut visitors = self.router.visitors();
        self.router.random.shuffle(&mut visitors);
        for visitor in visitors {
            let peer = self.router.fleet.stranger(visitor, self.router.clock.now());
            match follow::follow(&self.router, &peer, 0, Duration::ZERO).await {
                Ok(followed) => {
                    tracing::info!(
                        node = %visitor,
                        age_ms = followed.age.as_millis() as u64,
                        "mirror: learned from a node while the store is away"
                    );
                    self.take_followed(followed);
                    return true;
                }
                Err(error) => {
                    tracing::info!(node = %visitor, code = error.code(), "mirror: no news: {error}");
                }
            }
        }
        false
    }

    fn take_followed(&self, followed: Followed) {
        let Followed { passage, age, lenient } = followed;
        if lenient > Duration::ZERO {
            self.router.be_lenient(lenient);
        }
        let now = self.router.clock.now();
        let confirmed = now.checked_sub(age).unwrap_or(now);
        match passage {
            Passage::Whole(scan) => self.take_scan(&scan, confirmed),
            Passage::Changes(changes) => self.take_changes(&changes, confirmed),
        }
    }

    /// Notes that the store did not answer, or answered late.
    ///
    /// What is seen to vanish in its next answers may have lapsed meanwhile.
    pub fn note_trouble(&self) {
        self.trouble.set(true);
    }

    /// Notes that the store answers, before what it tells is taken over.
    fn note_answer(&self) {
        if self.trouble.replace(false) {
            self.router.be_lenient(self.options.keep);
        }
    }

    /// Asks the store for everything, or for what has changed.
    async fn read(&self) -> Result<()> {
        match self.after.get() {
            None => self.scan().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn scan(&self) -> Result<()> {
        let start = self.router.clock.now();
        let scan = self.store.scan(self.entries.prefix()).await?;
        self.take_scan(&scan, start);
        Ok(())
    }

    async fn watch(&self, after: u64) -> Result<()> {
        let clock = &*self.router.clock;
        let start = clock.now();
        let is_followed = follow::is_followed(&self.router);
        let wait = if is_followed { self.options.followed_wait } else { self.options.wait };
        let changes = self.store.watch(self.entries.prefix(), after, wait).await?;
        let now = clock.now();
        let took = now.saturating_duration_since(start);
        if took > wait + LATE_ANSWER || self.entries.is_lapse(&changes.events) {
            self.note_trouble();
        }
        self.note_answer();
        self.take_changes(&changes, now);
        if !changes.events.is_empty() {
            clock::sleep(clock, self.options.collect).await;
        }
        Ok(())
    }

    /// Takes over everything that the store holds.
    fn take_scan(&self, scan: &StoreScan, confirmed: Instant) {
        // Without the history, whether an entry left or lapsed can't be told.
        self.note_trouble();
        self.note_answer();
        self.entries.put_all(&scan.items);
        self.router.journal.reset(scan, confirmed);
        self.after.set(Some(scan.revision));
        self.router.set_synced();
        tracing::info!(
            revision = scan.revision,
            items = scan.items.len(),
            replicas = self.router.directory.len(),
            nodes = self.router.fleet.len(),
            "mirror: read everything"
        );
    }

    /// Takes over changes, of which some may be known.
    fn take_changes(&self, changes: &StoreChanges, confirmed: Instant) {
        let after = self.known();
        let new: Vec<&StoreEvent> =
            changes.events.iter().filter(|event| event.revision() > after).collect();
        self.entries.take_all(&new);
        self.router.journal.extend(changes, confirmed);
        self.after.set(Some(after.max(changes.revision)));
    }
}
