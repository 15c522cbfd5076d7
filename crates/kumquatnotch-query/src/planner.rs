//! Plans per selector, and requests for the versions that holders have.
//!
//! A plan is cached until the document or the known versions change, so that repeated
//! queries need no planning.

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

/// Interval between requests for versions while none is known.
const VERSION_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after its last query during which the versions of a selector are refreshed.
const SELECTOR_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Plans queries from the known versions.
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

    /// Plans a query of a selector; requests versions from holders if none is known.
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
        // A node knows no versions right after its start. Failing at once with "no
        // version" would reject its first callers, so it requests them and waits for a
        // short time.
        while self.view.has_no_versions(&shards) {
            self.refresh(document, &shards, deadline).await;
            if !self.view.has_no_versions(&shards) {
                break;
            }
            if self.clock.now() + VERSION_RETRY_INTERVAL >= deadline {
                return Err(Error::NoSnapshot);
            }
            sleep(&*self.clock, VERSION_RETRY_INTERVAL).await;
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
        let new_plan = Rc::new(plan(&self.view, shards)?);
        if let Some(cached) = all.get_mut(name) {
            cached.plan = Some((changes, new_plan.clone()));
        }
        Ok(new_plan)
    }

    /// Plans again without the shards in `gone`; `None` if the new plan is not better.
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

    /// Returns the shards that the targets of a selector are declared for, sorted.
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

    /// Requests the versions of a selector's shards that have no report newer than
    /// `age`.
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

    /// Requests the versions of `shards` from their holders.
    pub async fn refresh(&self, document: &Document, shards: &[ShardName], deadline: Instant) {
        let now = self.clock.now();
        self.view.mark_requested(now, shards);
        let until = deadline.min(now + self.timeout);
        let mut groups: BTreeMap<GroupId, Vec<ShardName>> = BTreeMap::new();
        for shard in shards {
            let group = self.router.group(document, shard);
            groups.entry(group).or_default().push(shard.clone());
        }
        let fetches =
            groups.into_iter().map(|(group, shards)| self.fetch_versions(group, shards, until));
        for held in join_all(fetches).await.into_iter().flatten() {
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

    /// Requests the versions that have no report newer than `age`, for all selectors that
    /// were used recently.
    pub async fn refresh_used_selectors(&self, document: &Document, age: Duration) {
        let now = self.clock.now();
        let stale: Vec<ShardName> = {
            let all = self.cached.borrow();
            let used = |cached: &&CachedPlan| {
                now.saturating_duration_since(cached.used) < SELECTOR_IDLE_TIMEOUT
            };
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
