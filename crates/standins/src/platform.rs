//! The stand-in platform: the key-value service and the list of VMs, with faults.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use kumquatnotch_core::{
    LocalFuture,
    platform::{VALUE_LIMIT, Vm},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    http::{Handler, Reply, Request},
    hub::{self, Serving},
    kv::{Expect, Refused, Store},
    listen,
};

/// How often a waiting watch looks at its key.
const WATCH_PAUSE: Duration = Duration::from_millis(5);

/// The longest wait of a watch, in milliseconds.
const WATCH_LIMIT_MS: u64 = 60_000;

/// Faults of the platform: what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformChange {
    /// Each call takes this much longer, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Every call is refused.
    pub outage: Option<bool>,
    /// Every call is accepted and never answered, and does nothing.
    pub hang: Option<bool>,
    /// The next writes take effect, but their replies are lost.
    pub lose_replies: Option<u32>,
    /// Reads allowed in a second.
    pub read_limit: Option<u32>,
    /// Writes allowed in a second.
    pub write_limit: Option<u32>,
    /// The list of VMs is this old, in milliseconds.
    pub vms_lag_ms: Option<u64>,
}

/// The calls so far; a waiting watch is one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// All.
    pub total: u64,
    /// Reads of a key, of keys, or of the VMs.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes, deletes and calls for leases.
    pub writes: u64,
    /// Those refused because of a limit or an outage.
    pub refused: u64,
    /// The most in any second.
    pub peak: u64,
}

/// A running stand-in platform, which ends when this is dropped.
pub struct PlatformServer {
    /// Where it listens.
    pub address: SocketAddr,
    platform: Rc<Platform>,
    _serving: Serving,
}

impl PlatformServer {
    /// Starts it on the current runtime.
    pub fn start(port: u16) -> io::Result<PlatformServer> {
        let platform = Rc::new(Platform::default());
        let serving = hub::spawn(listen(port)?, platform.clone())?;
        Ok(PlatformServer { address: serving.address, platform, _serving: serving })
    }

    /// Changes the faults.
    pub fn apply(&self, change: &PlatformChange) {
        self.platform.apply(change);
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.platform.set_vms(vms);
    }

    /// The calls so far.
    pub fn calls(&self) -> Calls {
        self.platform.calls.get()
    }
}

/// Faults in force; limits as the brief gives them.
struct Limits {
    delay: Duration,
    outage: bool,
    hang: bool,
    lose: u32,
    reads: u32,
    writes: u32,
    lag: Duration,
}

struct Platform {
    store: RefCell<Store>,
    limits: RefCell<Limits>,
    calls: Cell<Calls>,
    second: RefCell<Second>,
    vms: RefCell<VecDeque<(Instant, Vec<Vm>)>>,
}

/// The calls of the second that runs.
struct Second {
    start: Instant,
    reads: u32,
    writes: u32,
}

impl Default for Platform {
    fn default() -> Platform {
        let limits = Limits {
            delay: Duration::from_millis(2),
            outage: false,
            hang: false,
            lose: 0,
            reads: 2_000,
            writes: 400,
            lag: Duration::ZERO,
        };
        let second = Second { start: Instant::now(), reads: 0, writes: 0 };
        Platform {
            store: RefCell::default(),
            limits: RefCell::new(limits),
            calls: Cell::default(),
            second: RefCell::new(second),
            vms: RefCell::default(),
        }
    }
}

impl Platform {
    fn apply(&self, change: &PlatformChange) {
        let mut limits = self.limits.borrow_mut();
        limits.delay = change.delay_ms.map_or(limits.delay, Duration::from_millis);
        limits.outage = change.outage.unwrap_or(limits.outage);
        limits.hang = change.hang.unwrap_or(limits.hang);
        limits.lose = change.lose_replies.unwrap_or(limits.lose);
        limits.reads = change.read_limit.unwrap_or(limits.reads);
        limits.writes = change.write_limit.unwrap_or(limits.writes);
        limits.lag = change.vms_lag_ms.map_or(limits.lag, Duration::from_millis);
    }

    fn set_vms(&self, vms: Vec<Vm>) {
        self.vms.borrow_mut().push_back((Instant::now(), vms));
    }

    /// The list as it was a while ago; nothing is listed before the first.
    fn lagging_vms(&self) -> Vec<Vm> {
        let lag = self.limits.borrow().lag;
        let vms = self.vms.borrow();
        let seen = vms.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        seen.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Counts a call; false if a limit refuses it.
    fn count(&self, is_write: bool, is_watch: bool) -> bool {
        let limits = self.limits.borrow();
        let mut second = self.second.borrow_mut();
        if second.start.elapsed() >= Duration::from_secs(1) {
            *second = Second { start: Instant::now(), reads: 0, writes: 0 };
        }
        let (count, limit) = match is_write {
            true => (&mut second.writes, limits.writes),
            false => (&mut second.reads, limits.reads),
        };
        *count += 1;
        let allowed = *count <= limit;
        let mut calls = self.calls.get();
        calls.total += 1;
        calls.writes += u64::from(is_write);
        calls.watches += u64::from(is_watch);
        calls.reads += u64::from(!is_write && !is_watch);
        calls.refused += u64::from(!allowed || limits.outage);
        calls.peak = calls.peak.max(u64::from(second.reads + second.writes));
        self.calls.set(calls);
        allowed
    }

    async fn call(&self, request: Request) -> Reply {
        let is_write = request.method != "GET";
        let allowed = self.count(is_write, request.field::<u64>("wait_ms").is_some());
        let delay = self.limits.borrow().delay;
        monoio::time::sleep(delay).await;
        if self.limits.borrow().hang {
            return Reply::Silence;
        }
        if self.limits.borrow().outage {
            return Reply::status(503);
        }
        if !allowed {
            return Reply::status(429);
        }
        let reply = self.answer(&request).await;
        if is_write && self.lose_reply() {
            return Reply::Close;
        }
        reply
    }

    fn lose_reply(&self) -> bool {
        let mut limits = self.limits.borrow_mut();
        let lost = limits.lose > 0;
        limits.lose = limits.lose.saturating_sub(1);
        lost
    }

    async fn answer(&self, request: &Request) -> Reply {
        let path = request.path.as_str();
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return self.answer_key(key, request).await;
        }
        let lease = path.strip_prefix("/v1/leases/").and_then(|id| id.parse().ok());
        match (request.method.as_str(), path, lease) {
            ("GET", "/v1/keys", _) => {
                let prefix: String = request.field("prefix").unwrap_or_default();
                Reply::json(200, &self.store.borrow_mut().keys(&prefix))
            }
            ("GET", "/v1/vms", _) => Reply::json(200, &self.lagging_vms()),
            ("POST", "/v1/leases", _) => match request.json::<LeaseBody>() {
                Ok(body) => {
                    let id = self.store.borrow_mut().grant(Duration::from_millis(body.ttl_ms));
                    Reply::json(200, &json!({ "id": id }))
                }
                Err(reply) => reply,
            },
            ("POST", _, Some(id)) => match self.store.borrow_mut().renew(id) {
                true => Reply::status(204),
                false => Reply::status(404),
            },
            ("DELETE", _, Some(id)) => {
                self.store.borrow_mut().revoke(id);
                Reply::status(204)
            }
            _ => Reply::status(404),
        }
    }

    async fn answer_key(&self, key: &str, request: &Request) -> Reply {
        if request.method == "GET" {
            return match request.field("after") {
                Some(after) => self.watch(key, after, request).await,
                None => self.read(key).unwrap_or(Reply::status(404)),
            };
        }
        let Some(expect) = expectation(request) else {
            return Reply::status(400);
        };
        match request.method.as_str() {
            "PUT" if request.body.len() > VALUE_LIMIT => Reply::status(413),
            "PUT" => {
                let (bytes, lease) = (request.body.clone(), request.header("x-lease"));
                match self.store.borrow_mut().put(key, bytes, expect, lease) {
                    Ok(revision) => written(200, revision, Bytes::new()),
                    Err(Refused::Compare) => Reply::status(412),
                    Err(Refused::Lease) => Reply::status(404),
                }
            }
            "DELETE" => match self.store.borrow_mut().delete(key, expect) {
                Ok(()) => Reply::status(204),
                Err(_) => Reply::status(412),
            },
            _ => Reply::status(405),
        }
    }

    fn read(&self, key: &str) -> Option<Reply> {
        let value = self.store.borrow_mut().get(key)?;
        Some(written(200, value.revision, value.bytes))
    }

    async fn watch(&self, key: &str, after: u64, request: &Request) -> Reply {
        let wait: u64 = request.field("wait_ms").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(WATCH_LIMIT_MS));
        loop {
            // An outage cuts the watches that wait.
            if self.limits.borrow().outage || self.limits.borrow().hang {
                return Reply::Close;
            }
            let value = self.store.borrow_mut().get(key);
            if let Some(value) = value.filter(|value| value.revision > after) {
                return written(200, value.revision, value.bytes);
            }
            if Instant::now() >= until {
                return Reply::status(304);
            }
            monoio::time::sleep(WATCH_PAUSE).await;
        }
    }
}

impl Handler for Platform {
    fn handle(&self, request: Request) -> LocalFuture<'_, Reply> {
        Box::pin(async move {
            match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/standin/faults") => match request.json::<PlatformChange>() {
                    Ok(change) => {
                        self.apply(&change);
                        Reply::status(204)
                    }
                    Err(reply) => reply,
                },
                ("POST", "/standin/vms") => match request.json::<Vec<Vm>>() {
                    Ok(vms) => {
                        self.set_vms(vms);
                        Reply::status(204)
                    }
                    Err(reply) => reply,
                },
                ("GET", "/standin/calls") => Reply::json(200, &self.calls.get()),
                _ => self.call(request).await,
            }
        })
    }
}

#[derive(Deserialize)]
struct LeaseBody {
    ttl_ms: u64,
}

/// What a write expects; `None` if that can't be read.
fn expectation(request: &Request) -> Option<Expect> {
    if request.headers.contains_key("if-none-match") {
        return Some(Expect::Revision(0));
    }
    match request.headers.contains_key("if-match") {
        true => request.header("if-match").map(Expect::Revision),
        false => Some(Expect::Any),
    }
}

fn written(status: u16, revision: u64, body: Bytes) -> Reply {
    Reply::Answer { status, revision: Some(revision), body, close: false }
}
