//! Fake holder that answers from a table of shards.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result,
    answer::{GroupAnswer, ShardError, ShardVersions},
    clock::{PausedClock, sleep, timeout_at},
    ids::{IndexVersion, NodeName, ShardName},
    peer::{PeerHandler, PeerMessage, PeerReply, RelayCall},
    query::{GroupRequest, Hit},
    target::{HeldVersion, TargetReply},
};

/// Behaviour of a shard.
#[derive(Clone, Debug, Default)]
pub struct ShardState {
    pub delay: Duration,
    pub error: Option<Error>,
    pub versions: Vec<HeldVersion>,
}

/// Shards, shared by the holders of all nodes.
pub struct Shards {
    clock: PausedClock,
    states: RefCell<BTreeMap<ShardName, ShardState>>,
    /// Requests to shards: the node of the holder, the shard and the version.
    pub requests: RefCell<Vec<(NodeName, ShardName, IndexVersion)>>,
    /// Exclusive requests that ran: the shard and the body.
    pub runs: RefCell<Vec<(ShardName, String)>>,
    /// Errors returned in order by exclusive calls instead of running them.
    pub refusals: RefCell<Vec<Error>>,
    pub run_delay: RefCell<Duration>,
    pub wait: RefCell<Duration>,
    /// Node that returns answers to other requests.
    pub misdirected: RefCell<Option<NodeName>>,
    /// Shard that is absent from answers.
    pub omitted: RefCell<Option<ShardName>>,
    /// Node that refuses every group for lack of slots.
    pub refusing: RefCell<Option<NodeName>>,
}

impl Shards {
    pub fn new(clock: PausedClock) -> Shards {
        Shards {
            clock,
            states: RefCell::default(),
            requests: RefCell::default(),
            runs: RefCell::default(),
            refusals: RefCell::default(),
            run_delay: RefCell::new(Duration::from_millis(2)),
            wait: RefCell::default(),
            misdirected: RefCell::default(),
            omitted: RefCell::default(),
            refusing: RefCell::default(),
        }
    }

    pub fn set_versions(&self, shard: &ShardName, versions: Vec<HeldVersion>) {
        self.change(shard, |state| state.versions = versions);
    }

    pub fn change(&self, shard: &ShardName, change: impl FnOnce(&mut ShardState)) {
        change(self.states.borrow_mut().entry(shard.clone()).or_default());
    }

    pub fn state(&self, shard: &ShardName) -> ShardState {
        self.states.borrow()[shard].clone()
    }

    /// Returns the state of the declared shard whose replicas hold `shard` at
    /// `version`, if any.
    fn find(&self, shard: &ShardName, version: IndexVersion) -> Option<ShardState> {
        let states = self.states.borrow();
        let holds = |state: &&ShardState| {
            state.versions.iter().any(|held| held.shard == *shard && held.version == version)
        };
        // A shard is usually held under its own name.
        let own = states.get(shard).filter(holds);
        own.or_else(|| states.values().find(holds)).cloned()
    }

    fn versions(&self, shards: &[ShardName]) -> Vec<ShardVersions> {
        let states = self.states.borrow();
        let of = |shard: &ShardName| {
            let versions = states.get(shard).map(|state| state.versions.clone());
            ShardVersions { shard: shard.clone(), versions: versions.unwrap_or_default() }
        };
        shards.iter().map(of).collect()
    }

    async fn call(&self, request: &GroupRequest, shard: &ShardName) -> Result<Vec<Hit>> {
        let start: Instant = self.clock.now();
        let Some(state) = self.find(shard, request.version) else {
            return Err(Error::VersionGone { version: request.version.0 });
        };
        let partial_deadline = Duration::from_millis(request.patience_ms.min(request.deadline_ms));
        let work = sleep(&self.clock, state.delay);
        timeout_at(&self.clock, start + partial_deadline, work).await?;
        if let Some(error) = state.error {
            return Err(error);
        }
        Ok(vec![hit(shard, request.version)])
    }

    async fn group(&self, name: &NodeName, request: &GroupRequest) -> GroupAnswer {
        for shard in &request.shards {
            self.requests.borrow_mut().push((name.clone(), shard.clone(), request.version));
        }
        let calls = request.shards.iter().map(|shard| self.call(request, shard));
        let mut answer = GroupAnswer {
            hits: Vec::new(),
            covered: Vec::new(),
            missing: Vec::new(),
            held: self.versions(&request.shards),
            wait_us: self.wait.borrow().as_micros() as u64,
        };
        if self.misdirected.borrow().as_ref() == Some(name) {
            let other = ShardName::from("of-another-request");
            answer.hits.push(hit(&other, request.version));
            answer.covered.push(other);
            return answer;
        }
        for (shard, result) in request.shards.iter().cloned().zip(join_all(calls).await) {
            if self.omitted.borrow().as_ref() == Some(&shard) {
                continue;
            }
            match result {
                Ok(hits) => {
                    answer.hits.extend(hits);
                    answer.covered.push(shard);
                }
                Err(error) => answer.missing.push(ShardError { shard, error }),
            }
        }
        answer
    }

    async fn relay(&self, relay: RelayCall) -> Result<PeerReply> {
        if !self.refusals.borrow().is_empty() {
            return Err(self.refusals.borrow_mut().remove(0));
        }
        self.runs.borrow_mut().push((relay.call.shard, relay.call.body));
        let delay = *self.run_delay.borrow();
        sleep(&self.clock, delay).await;
        let number = self.runs.borrow().len();
        let result = serde_json::json!({ "held": number });
        Ok(PeerReply::Relay(Box::new(TargetReply { result, ..TargetReply::default() })))
    }
}

/// Returns a hit of a shard: an entry of the rival tenant with a private rate.
pub fn hit(shard: &ShardName, version: IndexVersion) -> Hit {
    Hit {
        key: format!("{shard}/room"),
        score: 1.0,
        owner: Some("barid".into()),
        fields: serde_json::json!({ "version": version.0 }),
        private: Some(serde_json::json!({ "rate": 40 })),
    }
}

pub struct FakeHolder {
    pub name: NodeName,
    pub shards: Rc<Shards>,
}

impl PeerHandler for FakeHolder {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            match message {
                PeerMessage::Group(_)
                    if self.shards.refusing.borrow().as_ref() == Some(&self.name) =>
                {
                    Err(Error::Overloaded { retry_ms: 100 })
                }
                PeerMessage::Group(request) => {
                    let answer = self.shards.group(&self.name, &request).await;
                    Ok(PeerReply::Group(Box::new(answer)))
                }
                PeerMessage::Versions(shards) => {
                    Ok(PeerReply::Versions(self.shards.versions(&shards)))
                }
                PeerMessage::Relay(relay) => self.shards.relay(*relay).await,
                _ => Err(Error::protocol("unexpected message for the holder service")),
            }
        })
    }
}
