//! The client of the platform's service.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{Method, header};
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Platform, Result,
    platform::{Entry, Expect, VALUE_LIMIT, Vm},
    random::Random,
    registry::Registry,
    services,
};

use crate::{
    flight::Plan,
    message::{Reply, Request},
    pool::{Lane, Pool, PoolOptions},
    silence,
};

/// The header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// What a waiting read may take beyond its wait.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Options of [`PlatformClient`].
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where the service listens.
    pub address: SocketAddr,
    /// How long a call may take.
    pub timeout: Duration,
    /// The most connections open to it, besides one for waiting reads.
    pub connections: usize,
}

impl Default for PlatformOptions {
    fn default() -> PlatformOptions {
        PlatformOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            timeout: Duration::from_secs(2),
            connections: 2,
        }
    }
}

/// The client of the platform's service.
pub struct PlatformClient {
    options: PlatformOptions,
    pool: Rc<Pool>,
}

impl PlatformClient {
    /// A client that uses the clock and generator of the registry; registers itself.
    pub fn try_new(options: PlatformOptions, registry: &Registry) -> Result<Rc<PlatformClient>> {
        let clock = registry.find::<Rc<dyn Clock>>(services::CLOCK)?;
        let random = registry.find::<Random>(services::RANDOM)?;
        let client = Rc::new(PlatformClient::new(options, clock, random));
        registry.register::<Rc<dyn Platform>>(services::PLATFORM, client.clone());
        Ok(client)
    }

    /// A client for programs without a registry.
    pub fn new(options: PlatformOptions, clock: Rc<dyn Clock>, random: Random) -> PlatformClient {
        let bounds = PoolOptions {
            control: options.connections,
            work: options.connections,
            idle: Duration::from_secs(30),
            body: VALUE_LIMIT + 4_096,
            patient: true,
        };
        let pool = Pool::new(options.address, bounds, clock, random);
        PlatformClient { options, pool }
    }

    fn deadline(&self) -> Instant {
        self.pool.clock.now() + self.options.timeout
    }

    /// Sends a read, twice if need be.
    async fn read(&self, target: &str) -> Result<Reply> {
        let plan = Plan::plain(Request::get(target));
        let reply = self.pool.call_again(Lane::Control, &plan, self.deadline()).await;
        let reply = reply.map_err(|_| Error::PlatformUnavailable)?;
        refusal(&reply).map_or(Ok(reply), Err)
    }

    /// Sends a write, once.
    async fn write(&self, request: Request) -> Result<Reply> {
        let mut plan = Plan::plain(request);
        // On a silent connection the write would be lost and its outcome unknown.
        let check = Request::get("/v1/keys?prefix=kumquatnotch/none");
        plan.check = Some((silence::CHECK_SEARCH, check));
        match self.pool.call(Lane::Control, &plan, self.deadline()).await {
            Ok(reply) => refusal(&reply).map_or(Ok(reply), Err),
            Err(error) if error.is_not_run() => Err(Error::PlatformUnavailable),
            Err(_) => Err(Error::WriteUnknown),
        }
    }
}

impl Platform for PlatformClient {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Entry>>> {
        Box::pin(async move {
            let reply = self.read(&key_path(key)).await?;
            match reply.status.as_u16() {
                200 => Ok(Some(to_entry(reply)?)),
                404 => Ok(None),
                status => Err(unexpected(status)),
            }
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
        expect: Expect,
    ) -> LocalFuture<'a, Result<u64>> {
        Box::pin(async move {
            if value.len() > VALUE_LIMIT {
                return Err(Error::ValueTooLarge { limit: VALUE_LIMIT as u64 });
            }
            let mut request = Request::new(Method::PUT, &key_path(key));
            request.body = bytes::Bytes::copy_from_slice(value);
            let reply = self.write(expecting(request, expect)).await?;
            match reply.status.as_u16() {
                200 => revision_of(&reply),
                status => Err(unexpected(status)),
            }
        })
    }

    fn delete<'a>(&'a self, key: &'a str, expect: Expect) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let request = Request::new(Method::DELETE, &key_path(key));
            let reply = self.write(expecting(request, expect)).await?;
            match reply.status.as_u16() {
                204 | 404 => Ok(()),
                status => Err(unexpected(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            let reply = self.read(&format!("/v1/keys?prefix={prefix}")).await?;
            match reply.status.as_u16() {
                200 => reply.read_json(),
                status => Err(unexpected(status)),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Option<Entry>>> {
        Box::pin(async move {
            let path = key_path(key);
            let target = format!("{path}?after={after}&wait_ms={}", wait.as_millis());
            let plan = Plan::plain(Request::get(&target));
            let deadline = self.pool.clock.now() + wait + WATCH_SLACK;
            let reply = self.pool.call(Lane::Work, &plan, deadline).await;
            let reply = reply.map_err(|_| Error::PlatformUnavailable)?;
            if let Some(error) = refusal(&reply) {
                return Err(error);
            }
            match reply.status.as_u16() {
                200 => Ok(Some(to_entry(reply)?)),
                304 | 404 => Ok(None),
                status => Err(unexpected(status)),
            }
        })
    }

    fn vms(&self) -> LocalFuture<'_, Result<Vec<Vm>>> {
        Box::pin(async move {
            let reply = self.read("/v1/vms").await?;
            match reply.status.as_u16() {
                200 => reply.read_json(),
                status => Err(unexpected(status)),
            }
        })
    }
}

fn key_path(key: &str) -> String {
    format!("/v1/kv/{key}")
}

fn expecting(request: Request, expect: Expect) -> Request {
    match expect {
        Expect::Any => request,
        Expect::Absent => request.with(header::IF_NONE_MATCH.as_str(), "*"),
        Expect::Revision(revision) => request.with(header::IF_MATCH.as_str(), revision),
    }
}

/// The error of a reply that says nothing was done.
fn refusal(reply: &Reply) -> Option<Error> {
    match reply.status.as_u16() {
        412 => Some(Error::CompareFailed),
        413 => Some(Error::ValueTooLarge { limit: VALUE_LIMIT as u64 }),
        429 => Some(Error::PlatformBusy),
        503 => Some(Error::PlatformUnavailable),
        _ => None,
    }
}

fn to_entry(reply: Reply) -> Result<Entry> {
    Ok(Entry { revision: revision_of(&reply)?, value: reply.body.to_vec() })
}

fn revision_of(reply: &Reply) -> Result<u64> {
    reply.header(REVISION_HEADER).ok_or_else(|| Error::protocol("the revision is missing"))
}

fn unexpected(status: u16) -> Error {
    Error::protocol(format!("status {status}"))
}
