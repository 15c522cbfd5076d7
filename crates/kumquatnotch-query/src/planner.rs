//! Plans by selector, and the asking of holders for versions.
//!
//! A plan is kept until the document or what is known of versions changes, so
//! that planning costs nothing while neither does.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use kumquatnotch_core::{
    Clock, Error, Result,
    answer::ShardVersions,
    clock::sleep,
    collections::HashMap,
    document::{Document, SelectorSpec},
    ids::{ConfigVersion, SelectorName, ShardName},
    peer::{PeerMessage, PeerReply},
};

use crate::{
    groups::GroupId,
    plan::{GoneShards, Plan, plan, plan_without},
    router::Router,
    view::VersionView,
};

/// How often holders are asked again while no version at all is known.
const VERSION_RETRY: Duration = Duration::from_millis(50);
/// For how long after its last query the versions of a selector are kept fresh.
const SELECTOR_IDLE: Duration = Duration::from_secs(60);

/// Plans queries over what is known of versions.
pub(crate) struct Planner {
    clock: Rc<dyn Clock>,
    router: Rc<Router>,
    pub view: VersionView,
    timeout: Duration,
    cached: RefCell<HashMap<SelectorName, CachedPlan>>,
    version: Cell<ConfigVersion>,
}

struct CachedPlan {
    shards: Rc<Vec<ShardName>>,
    plan: Option<(u64, Rc<Plan>)>,
    used: Instant,
}

impl Planner {
    pub fn new(clock: Rc<dyn Clock>, router: Rc<Router>, timeout: Duration) -> Planner {
        Planner {
            clock,
            router,
            view: VersionView::default(),
            timeout,
            cached: RefCell::default(),
            version: Cell::default(),
        }
    }

    /// Plans a query of `selector`, asking holders for versions if none is known.
    pub async fn plan(
        &self,
        document: &Document,
        (name, spec): (&SelectorName, &SelectorSpec),
        deadline: Instant,
    ) -> Result<Rc<Plan>> {
        let shards = self.shards(document, name, spec);
        if shards.is_empty() {
            return Err(Error::NoTarget);
        }
        // Right after its start a node knows nothing. Answering "no version" at
        // once would fail the first callers, so it asks and waits a little.
        while self.view.has_no_versions(&shards) {
            self.refresh(document, &shards, deadline).await;
            if !self.view.has_no_versions(&shards) {
                break;
            }
            if self.clock.now() + VERSION_RETRY >= deadline {
                return Err(Error::NoSnapshot);
            }
            sleep(&*self.clock, VERSION_RETRY).await;
        }
        self.cached_plan(name, &shards)
    }

    fn cached_plan(&self, name: &SelectorName, shards: &[ShardName]) -> Result<Rc<Plan>> {
        let changes = self.view.changes();
        let mut all = self.cached.borrow_mut();
        if let Some(CachedPlan { plan: Some((at, plan)), .. }) = all.get(name)
            && *at == changes
        {
            return Ok(plan.clone());
        }
        let made = Rc::new(plan(&self.view, shards)?);
        if let Some(cached) = all.get_mut(name) {
            cached.plan = Some((changes, made.clone()));
        }
        Ok(made)
    }

    /// Plans again without what turned out to be gone; `None` if that is no better.
    pub fn replan(
        &self,
        document: &Document,
        (name, spec): (&SelectorName, &SelectorSpec),
        old: &Plan,
        gone: &GoneShards,
    ) -> Option<Rc<Plan>> {
        let shards = self.shards(document, name, spec);
        let new = plan_without(&self.view, &shards, gone).ok()?;
        let rest = old.without(gone);
        (new.version != old.version && new.is_better(&rest)).then(|| Rc::new(new))
    }

    /// The shards that the targets of a selector are declared for, sorted.
    fn shards(
        &self,
        document: &Document,
        name: &SelectorName,
        spec: &SelectorSpec,
    ) -> Rc<Vec<ShardName>> {
        let mut all = self.cached.borrow_mut();
        if self.version.replace(document.version) != document.version {
            all.clear();
            let declared: BTreeSet<&ShardName> =
                document.targets.values().map(|target| &target.shard).collect();
            self.view.retain(|shard| declared.contains(shard));
        }
        let now = self.clock.now();
        let cached = all.entry(name.clone()).or_insert_with(|| {
            let shards: BTreeSet<ShardName> =
                document.select(spec).map(|(_, target)| target.shard.clone()).collect();
            CachedPlan { shards: Rc::new(shards.into_iter().collect()), plan: None, used: now }
        });
        cached.used = now;
        cached.shards.clone()
    }

    /// Asks for what was not heard of for `age`, of one selector.
    pub async fn refresh_stale(
        &self,
        document: &Document,
        (name, spec): (&SelectorName, &SelectorSpec),
        age: Duration,
        deadline: Instant,
    ) {
        let shards = self.shards(document, name, spec);
        let stale = self.view.stale(self.clock.now(), &shards, age);
        if !stale.is_empty() {
            self.refresh(document, &stale, deadline).await;
        }
    }

    /// Asks holders for the versions of `shards`.
    pub async fn refresh(&self, document: &Document, shards: &[ShardName], deadline: Instant) {
        let now = self.clock.now();
        self.view.mark_requested(now, shards);
        let until = deadline.min(now + self.timeout);
        let mut groups: BTreeMap<GroupId, Vec<ShardName>> = BTreeMap::new();
        for shard in shards {
            let group = self.router.group(document, shard);
            groups.entry(group).or_default().push(shard.clone());
        }
        let asked =
            groups.into_iter().map(|(group, shards)| self.fetch_versions(group, shards, until));
        for held in join_all(asked).await.into_iter().flatten() {
            self.view.update(self.clock.now(), &held);
        }
    }

    async fn fetch_versions(
        &self,
        group: GroupId,
        shards: Vec<ShardName>,
        until: Instant,
    ) -> Option<Vec<ShardVersions>> {
        let message = PeerMessage::Versions(shards);
        for holder in self.router.holders(group) {
            if let Ok(PeerReply::Versions(held)) = self.router.send(&holder, &message, until).await
            {
                return Some(held);
            }
            if self.clock.now() >= until {
                return None;
            }
        }
        None
    }

    /// Asks for what was not heard of for `age`, of the selectors in use.
    pub async fn keep_fresh(&self, document: &Document, age: Duration) {
        let now = self.clock.now();
        let stale: Vec<ShardName> = {
            let all = self.cached.borrow();
            let used =
                |cached: &&CachedPlan| now.saturating_duration_since(cached.used) < SELECTOR_IDLE;
            let shards: BTreeSet<ShardName> = all
                .values()
                .filter(used)
                .flat_map(|cached| self.view.stale(now, &cached.shards, age))
                .collect();
            shards.into_iter().collect()
        };
        if !stale.is_empty() {
            self.refresh(document, &stale, now + self.timeout).await;
        }
    }
}
