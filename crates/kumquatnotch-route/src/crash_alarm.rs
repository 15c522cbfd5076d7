//! Tells other nodes directly of a search that seems to crash replicas.
//!
//! The caller of such a search sends it again at another node as soon as it has failed, long
//! before the crashes are confirmed and recorded in the store. Without a warning, that node would
//! send it to the replicas that are left of each shard. The answer to the search waits for the
//! warnings, so that they aren't overtaken by the caller.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared, join_all};
use http::{HeaderValue, StatusCode, header};
use kumquatnotch_core::{Error, Result, clock, codec, collections::HashMap, ids::Fingerprint};
use kumquatnotch_net::{message::Request, opaque_link::KeptLink};
use kumquatnotch_policy::crashes::{Crash, CrashRecord};
use serde::{Deserialize, Serialize};

use crate::{
    attempt::Call, crash_check, crash_records, headers, relay::PEER_MAX_IDLE, replica::Replica,
    router::Router,
};

/// Path of warnings of other nodes.
pub const ALARM_PATH: &str = "/v1/crashes";

/// Maximum number of nodes that are warned, selected at random.
///
/// All that callers are advised to use, in fleets of today.
const MAX_WARNED: usize = 32;

/// Timeout of a warning; later ones come too late.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time that the answer to a search waits for the warnings.
///
/// A few round trips to other nodes. Some of those that are warned may have just ended.
const MAX_DELIVERY_WAIT: Duration = Duration::from_millis(250);

/// Maximum number of alarms of this node in each period.
///
/// A rack that is lost takes parts of all searches with it, which all seem to crash replicas.
const MAX_ALARMS: u32 = 8;

/// Length of that period.
const ALARM_PERIOD: Duration = Duration::from_secs(1);

/// Limits the rate of alarms.
#[derive(Debug, Default)]
pub struct AlarmLimit {
    /// Start of the current period, and the number of alarms in it.
    period: Cell<Option<(Instant, u32)>>,
}

impl AlarmLimit {
    /// Whether an alarm may be raised now; counts it if so.
    fn admit(&self, now: Instant) -> bool {
        let current = self.period.get().filter(|(start, _)| now < *start + ALARM_PERIOD);
        let (start, count) = current.unwrap_or((now, 0));
        self.period.set(Some((start, count + 1)));
        count < MAX_ALARMS
    }
}

/// Searches whose warnings are being sent.
#[derive(Default)]
pub struct PendingAlarms {
    searches: RefCell<HashMap<Fingerprint, Shared<oneshot::Receiver<()>>>>,
}

impl PendingAlarms {
    /// Adds a search; dropping the sender ends the waits for its warnings.
    fn insert(&self, fingerprint: Fingerprint) -> oneshot::Sender<()> {
        let (sender, receiver) = oneshot::channel();
        self.searches.borrow_mut().insert(fingerprint, receiver.shared());
        sender
    }

    fn remove(&self, fingerprint: Fingerprint) {
        self.searches.borrow_mut().remove(&fingerprint);
    }

    fn get(&self, fingerprint: Fingerprint) -> Option<Shared<oneshot::Receiver<()>>> {
        self.searches.borrow().get(&fingerprint).cloned()
    }
}

/// A warning of another node.
#[derive(Debug, Serialize, Deserialize)]
struct Alarm {
    fingerprint: Fingerprint,
    record: CrashRecord,
}

/// Makes a search suspect whose parts were lost together with these replicas, here and on other
/// nodes, before it is known whether the replicas crashed.
///
/// If they did not, the first reply to a part that is sent again acquits the search.
pub fn raise(router: &Rc<Router>, call: &Call<'_>, crashes: Vec<Crash>) {
    let (fingerprint, now) = (crash_check::fingerprint(call.request), router.clock.now());
    if router.crashes.was_answered(fingerprint, now) {
        return;
    }
    let record = CrashRecord::new(&call.request.target(), crash_records::unix_seconds());
    let record = CrashRecord { crashes, ..record };
    router.crashes.merge(fingerprint, &record, now);
    if router.pending_alarms.get(fingerprint).is_some() || !router.alarm_limit.admit(now) {
        return;
    }
    let mut names: Vec<_> = router.fleet.candidates().into_iter().map(|(name, _)| name).collect();
    names.retain(|name| *name != router.local_node.name);
    router.random.shuffle(&mut names);
    names.truncate(MAX_WARNED);
    tracing::warn!(
        request = %headers::log_text(call.identity),
        print = %fingerprint,
        nodes = names.len(),
        "crashes: a search loses its parts, warning other nodes"
    );
    let Ok(message) = codec::encode(&Alarm { fingerprint, record }) else {
        return;
    };
    let peers = names.iter().filter_map(|name| router.fleet.peer(name));
    let warnings: Vec<_> = peers.map(|peer| warn(router.clone(), peer, message.clone())).collect();
    let (router, sender) = (router.clone(), router.pending_alarms.insert(fingerprint));
    monoio::spawn(async move {
        join_all(warnings).await;
        router.pending_alarms.remove(fingerprint);
        drop(sender);
    });
}

/// Waits until the warnings of a search have been delivered, but not beyond its deadline.
///
/// Otherwise the caller could come to another node before the warning does, and the search would
/// reach the replicas that are left.
pub(crate) async fn wait_until_delivered(router: &Router, request: &Request, deadline: Instant) {
    let Some(delivered) = router.pending_alarms.get(crash_check::fingerprint(request)) else {
        return;
    };
    let clock = &*router.clock;
    let latest = deadline.min(clock.now() + MAX_DELIVERY_WAIT);
    if clock::timeout_at(clock, latest, delivered).await.is_err() {
        tracing::info!("crashes: a search is answered before all nodes were warned");
    }
}

async fn warn(router: Rc<Router>, peer: Rc<Replica>, message: Vec<u8>) {
    let clock = &*router.clock;
    let sent = clock::timeout_at(clock, clock.now() + TIMEOUT, send(&router, &peer, message)).await;
    if let Err(error) = sent.and_then(|sent| sent) {
        // The node learns of the crashes from the store.
        tracing::info!(
            node = peer.id.as_str(),
            code = error.code(),
            "crashes: a node was not warned: {error}"
        );
    }
}

async fn send(router: &Router, peer: &Replica, message: Vec<u8>) -> Result<()> {
    let clock = &*router.clock;
    let link = match peer.pool.take(clock.now(), PEER_MAX_IDLE) {
        Some(link) => link,
        None => peer.pool.open(clock, clock.now() + TIMEOUT).await?,
    };
    let mut request = Request::post(ALARM_PATH, "application/msgpack", message);
    let host = HeaderValue::from_str(&peer.spec().address.to_string()).map_err(Error::internal)?;
    request.headers.insert(header::HOST, host);
    let answer = link.exchange(&request, None).await?;
    if let Some(KeptLink { link, idle_limit }) = answer.kept {
        peer.pool.put(link, clock.now(), idle_limit.max(PEER_MAX_IDLE));
    }
    match answer.reply.status {
        StatusCode::OK => Ok(()),
        status => Err(Error::protocol(format!("reply with status {}", status.as_u16()))),
    }
}

/// Takes a warning of another node.
pub fn receive(router: &Router, message: &[u8]) -> Result<()> {
    let Alarm { fingerprint, record } = codec::decode(message)?;
    let now = router.clock.now();
    // A search that this node has just answered does no harm.
    let ignored = router.crashes.was_answered(fingerprint, now);
    if !ignored {
        router.crashes.merge(fingerprint, &record, now);
    }
    tracing::info!(print = %fingerprint, ignored, "crashes: warned by another node");
    Ok(())
}
