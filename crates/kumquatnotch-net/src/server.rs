//! The server: an accept loop, and one task for each connection.
//!
//! A graceful shutdown has two steps. [`Server::drain`] asks clients with each
//! reply to leave their connection. [`Server::close`] closes idle connections
//! after a short time in which requests that crossed the shutdown are still
//! answered, then stops listening and waits for requests in flight.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{Either, Shared, select},
};
use kumquatnotch_core::{Clock, Error, LocalFuture, Result, clock};
use monoio::net::TcpListener;

use crate::{
    message::{Reply, Request},
    server_connection, socket,
};

/// The time for requests that were sent before their client saw the shutdown.
///
/// It is longer than any way, for clients that do not look whether a connection
/// they kept was closed: within it they get a refusal that says "not run".
const LINGER_TIME: Duration = Duration::from_secs(1);

/// How often the end of the last request is looked for.
const CLOSE_POLL_PERIOD: Duration = Duration::from_millis(5);

/// How long accepting pauses when no more connections can be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What answers requests.
pub trait Handler {
    /// Starts the work on `request`.
    fn start(&self, request: Request) -> Work<'_>;

    /// Hears how far away a client is: the way there and back.
    ///
    /// It is the time from its last reply until it has closed its end, for clients that
    /// ask in their request to close the connection.
    fn record_round_trip(&self, _trip: Duration) {}
}

/// The work on one request.
pub struct Work<'a> {
    /// Completes with the reply.
    pub reply: LocalFuture<'a, Reply>,
    /// Whether it goes on when its client goes away.
    ///
    /// A search is dropped then; a non-idempotent request must run to its end,
    /// or its outcome would be lost for the client that asks again.
    pub detached: bool,
}

impl<'a> Work<'a> {
    /// Work that ends when its client goes away.
    pub fn new(reply: impl Future<Output = Reply> + 'a) -> Work<'a> {
        Work { reply: Box::pin(reply), detached: false }
    }

    /// Work that goes on to its end.
    pub fn detached(reply: impl Future<Output = Reply> + 'a) -> Work<'a> {
        Work { reply: Box::pin(reply), detached: true }
    }

    /// A reply that is at hand.
    pub fn ready(reply: Reply) -> Work<'a> {
        Work::new(std::future::ready(reply))
    }
}

/// Options of a [`Server`].
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Where it listens; port 0 lets the system choose.
    pub address: SocketAddr,
    /// What it is called in logs and metrics.
    pub name: &'static str,
    /// The largest body it takes, in bytes.
    pub max_body: usize,
    /// The most connections open at once.
    pub max_connections: usize,
    /// How long a connection may wait for its next request.
    pub idle_timeout: Duration,
    /// How long a request may take to arrive once it has begun, and a reply to leave.
    pub transfer_timeout: Duration,
    /// How often a client is told that its request still runs; never if absent.
    pub interim_period: Option<Duration>,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "entry",
            max_body: 1 << 20,
            max_connections: 4_000,
            idle_timeout: Duration::from_secs(60),
            transfer_timeout: Duration::from_secs(10),
            interim_period: None,
        }
    }
}

/// What the connections of a server share.
pub(crate) struct Context {
    pub(crate) options: ServerOptions,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) handler: Rc<dyn Handler>,
    pub(crate) draining: Cell<bool>,
    pub(crate) closing: Shared<oneshot::Receiver<()>>,
    /// Connections that wait for a request, the longest idle first.
    pub(crate) idle: RefCell<VecDeque<oneshot::Sender<()>>>,
    pub(crate) open: Cell<usize>,
    pub(crate) in_flight: Cell<usize>,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    shared: Rc<Context>,
    address: SocketAddr,
    closer: Rc<RefCell<Option<oneshot::Sender<()>>>>,
}

impl Server {
    /// Listens, and starts to accept connections.
    pub fn try_new(
        options: ServerOptions,
        clock: Rc<dyn Clock>,
        handler: Rc<dyn Handler>,
    ) -> Result<Server> {
        let name = options.name;
        let listener = socket::listen(options.address)
            .and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (address, listener) = listener.map_err(|error| Error::BadSettings {
            detail: format!("can't listen at {}: {error}", options.address),
        })?;
        let (closer, closing) = oneshot::channel();
        let shared = Rc::new(Context {
            options,
            clock,
            handler,
            draining: Cell::new(false),
            closing: closing.shared(),
            idle: RefCell::default(),
            open: Cell::new(0),
            in_flight: Cell::new(0),
        });
        monoio::spawn(accept(listener, shared.clone()));
        tracing::info!("net: {name} listens at {address}");
        Ok(Server { shared, address, closer: Rc::new(RefCell::new(Some(closer))) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.shared.open.get()
    }

    /// How many requests are in work.
    pub fn requests(&self) -> usize {
        self.shared.in_flight.get()
    }

    /// Asks clients with each reply from now on to leave their connection.
    pub fn drain(&self) {
        self.shared.draining.set(true);
    }

    /// Closes idle connections, stops listening, and waits until requests in
    /// flight have ended; false if some had not by `deadline`.
    pub async fn close(&self, deadline: Instant) -> bool {
        self.drain();
        if let Some(closer) = self.closer.borrow_mut().take() {
            let _ = closer.send(());
        }
        let clock = &*self.shared.clock;
        while self.shared.open.get() > 0 {
            if clock.now() >= deadline {
                return false;
            }
            clock::sleep(clock, CLOSE_POLL_PERIOD).await;
        }
        true
    }
}

impl Context {
    /// Notes a connection that waits for a request; completes if it must make room.
    pub(crate) fn register_idle(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut idle = self.idle.borrow_mut();
        // Those that got their request are left behind; they are dropped now and then.
        if idle.len() > 2 * self.open.get() {
            idle.retain(|sender| !sender.is_canceled());
        }
        idle.push_back(sender);
        receiver
    }

    /// Closes the connection that was idle for longest.
    ///
    /// Otherwise callers that keep connections without using them would lock out
    /// others for as long as idle connections are kept.
    fn close_longest_idle(&self) {
        while let Some(sender) = self.idle.borrow_mut().pop_front() {
            if sender.send(()).is_ok() {
                return;
            }
        }
    }

    /// Completes when connections that have been idle since the shutdown must close.
    pub(crate) async fn linger_elapsed(&self) {
        let _ = self.closing.clone().await;
        clock::sleep(&*self.clock, LINGER_TIME).await;
    }
}

async fn accept(listener: TcpListener, shared: Rc<Context>) {
    // Until the linger time ends, new connections are taken too: their requests
    // get a refusal that says "not run", where a reset connection says nothing.
    let end = shared.linger_elapsed();
    let mut end = std::pin::pin!(end);
    loop {
        if shared.open.get() >= shared.options.max_connections {
            // The rest waits in the backlog of the kernel.
            shared.close_longest_idle();
            let pause = clock::sleep(&*shared.clock, ACCEPT_PAUSE);
            if let Either::Left(_) = select(end.as_mut(), pause).await {
                return;
            }
            continue;
        }
        let next = std::pin::pin!(listener.accept());
        match select(next, end.as_mut()).await {
            Either::Left((Ok((stream, _)), _)) => {
                monoio::spawn(server_connection::serve(stream, shared.clone()));
            }
            Either::Left((Err(error), _)) => {
                // Out of descriptors: those in use come back when requests end.
                tracing::warn!("net: {} can't accept: {error}", shared.options.name);
                clock::sleep(&*shared.clock, ACCEPT_PAUSE).await;
            }
            Either::Right(_) => return,
        }
    }
}
