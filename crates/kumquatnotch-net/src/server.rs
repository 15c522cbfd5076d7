//! The server: an accept loop, and one task per connection.
//!
//! A graceful shutdown has two steps. [`Server::drain`] asks clients with each reply to close
//! their connection. [`Server::close`] waits a short time, in which requests that were sent
//! before the client saw the shutdown are still answered, closes idle connections, stops
//! listening, and waits for requests in flight. [`Server::shut_down`] also ends those that are
//! still running when the time for the shutdown runs out.

use std::{
    borrow::Cow,
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
use kumquatnotch_core::{
    Clock, Error, LocalFuture, Result, clock,
    lifecycle::{Lifecycle, Stage},
};
use monoio::net::TcpListener;

use crate::{
    message::{REQUEST_ID_HEADER, Reply, Request, log_text},
    open_requests::OpenRequests,
    server_connection, socket,
};

/// Maximum time for which new requests are still answered after the start of the shutdown.
///
/// Some clients reuse a connection without checking whether it was closed. This time exceeds
/// the one-way latency to any client, so that their requests get a refusal that says "not run".
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Interval between checks whether all connections are closed.
const CLOSE_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Minimum number of these checks after the handlers were told to end their requests.
///
/// A process that wakes up after its deadline still has to write their replies.
const MIN_END_POLLS: u32 = 4;

/// Pause of the accept loop when no more connections can be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles requests.
pub trait Handler {
    /// Starts to process `request`.
    fn start(&self, request: Request) -> Work<'_>;

    /// Returns the identity of a request for the log; empty if it has none.
    fn identity<'a>(&self, request: &'a Request) -> Cow<'a, str> {
        request.headers.get(REQUEST_ID_HEADER).map(log_text).unwrap_or_default()
    }

    /// Returns the reply to a request that is refused before it was read, as the process exits.
    fn refuse_unread(&self) -> Reply {
        Reply::error(&Error::Leaving)
    }

    /// Records the round trip to a client.
    ///
    /// For clients that ask in their request to close the connection, this is the time from
    /// the reply until the client has closed its end.
    fn record_round_trip(&self, _round_trip: Duration) {}
}

/// The processing of one request.
pub struct Work<'a> {
    /// Completes with the reply.
    pub reply: LocalFuture<'a, Reply>,
    /// Whether the work continues after its client disconnects.
    ///
    /// A search is dropped on disconnection. A non-idempotent request must run to completion,
    /// since the client may ask for its outcome again.
    pub detached: bool,
}

impl<'a> Work<'a> {
    /// Creates work that is dropped when its client disconnects.
    pub fn new(reply: impl Future<Output = Reply> + 'a) -> Work<'a> {
        Work { reply: Box::pin(reply), detached: false }
    }

    /// Creates work that runs to completion even if its client disconnects.
    pub fn detached(reply: impl Future<Output = Reply> + 'a) -> Work<'a> {
        Work { reply: Box::pin(reply), detached: true }
    }

    /// Creates work that replies immediately.
    pub fn ready(reply: Reply) -> Work<'a> {
        Work::new(std::future::ready(reply))
    }
}

/// Options of a [`Server`].
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Name of the server in logs and metrics.
    pub name: &'static str,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time for which a connection waits for its next request.
    pub idle_timeout: Duration,
    /// Maximum time for receiving a request after its first byte, and for sending a reply.
    pub transfer_timeout: Duration,
    /// Interval of interim responses while a request runs; `None` if none are sent.
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

/// State shared by the connections of a server.
pub(crate) struct Context {
    pub(crate) options: ServerOptions,
    pub(crate) clock: Rc<dyn Clock>,
    pub(crate) handler: Rc<dyn Handler>,
    /// When clients were first asked to close their connections.
    pub(crate) drained: Cell<Option<Instant>>,
    pub(crate) closing: Shared<oneshot::Receiver<()>>,
    /// When idle connections are closed, once the server closes.
    linger_end: Cell<Option<Instant>>,
    ending: Shared<oneshot::Receiver<()>>,
    /// Connections that wait for a request, longest idle first.
    pub(crate) idle: RefCell<VecDeque<oneshot::Sender<()>>>,
    pub(crate) open: Cell<usize>,
    pub(crate) requests: OpenRequests,
}

/// An HTTP server.
#[derive(Clone)]
pub struct Server {
    shared: Rc<Context>,
    address: SocketAddr,
    closer: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    ender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
}

impl Server {
    /// Starts to listen and to accept connections.
    pub fn try_new(
        options: ServerOptions,
        clock: Rc<dyn Clock>,
        handler: Rc<dyn Handler>,
    ) -> Result<Server> {
        let name = options.name;
        let listener = socket::listen(options.address)
            .and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (address, listener) = listener.map_err(|error| Error::BadSettings {
            detail: format!("failed to listen on {}: {error}", options.address),
        })?;
        let (closer, closing) = oneshot::channel();
        let (ender, ending) = oneshot::channel();
        let shared = Rc::new(Context {
            options,
            clock,
            handler,
            drained: Cell::new(None),
            closing: closing.shared(),
            linger_end: Cell::new(None),
            ending: ending.shared(),
            idle: RefCell::default(),
            open: Cell::new(0),
            requests: OpenRequests::default(),
        });
        monoio::spawn(accept(listener, shared.clone()));
        tracing::info!("net: {name} listens at {address}");
        let [closer, ender] = [closer, ender].map(|sender| Rc::new(RefCell::new(Some(sender))));
        Ok(Server { shared, address, closer, ender })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.open.get()
    }

    /// Returns the number of requests in flight.
    pub fn requests(&self) -> usize {
        self.shared.requests.count()
    }

    /// Asks clients with each reply from now on to close their connection.
    pub fn drain(&self) {
        let drained = &self.shared.drained;
        drained.set(drained.get().or_else(|| Some(self.shared.clock.now())));
    }

    /// Closes idle connections, stops listening, and waits for requests in flight; returns
    /// false if some have not completed by `deadline`.
    pub async fn close(&self, deadline: Instant) -> bool {
        let closed = self.wait_closed(deadline).await;
        if !closed {
            self.log_cut();
        }
        closed
    }

    /// Closes the server like [`Server::close`], and ends what is still running when the time of
    /// `lifecycle` is over: its handlers learn this from [`Stage::Ending`], and requests that are
    /// still being read are refused.
    ///
    /// Returns false if requests had to be ended. Those whose reply is not sent by `deadline` are
    /// cut and logged.
    pub async fn shut_down(&self, lifecycle: &Lifecycle, deadline: Instant) -> bool {
        let end = lifecycle.ends_at().unwrap_or(deadline).min(deadline);
        if self.wait_closed(end).await || self.requests() == 0 {
            return true;
        }
        lifecycle.advance(Stage::Ending);
        drop(self.ender.borrow_mut().take());
        let clock = &*self.shared.clock;
        let mut polls = 0;
        while self.requests() > 0 && (polls < MIN_END_POLLS || clock.now() < deadline) {
            clock::sleep(clock, CLOSE_POLL_PERIOD).await;
            polls += 1;
        }
        self.log_cut();
        false
    }

    async fn wait_closed(&self, deadline: Instant) -> bool {
        self.drain();
        let clock = &*self.shared.clock;
        if let Some(closer) = self.closer.borrow_mut().take() {
            let now = clock.now();
            let linger = LINGER_TIME.min(deadline.saturating_duration_since(now) / 2);
            self.shared.linger_end.set(Some(now + linger));
            drop(closer);
        }
        while self.shared.open.get() > 0 {
            if clock.now() >= deadline {
                return false;
            }
            clock::sleep(clock, CLOSE_POLL_PERIOD).await;
        }
        true
    }
}

impl Server {
    /// Logs the requests that get no answer, as the process exits.
    fn log_cut(&self) {
        let Context { options, clock, drained, requests, .. } = &*self.shared;
        for request in requests.list() {
            request.log_cut(options.name, clock.now(), drained.get());
        }
    }
}

impl Context {
    /// Registers an idle connection; the receiver completes if the connection must be closed
    /// in favour of a new one.
    pub(crate) fn register_idle(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut idle = self.idle.borrow_mut();
        // Connections that have received a request remain in the queue; removes them lazily.
        if idle.len() > 2 * self.open.get() {
            idle.retain(|sender| !sender.is_canceled());
        }
        idle.push_back(sender);
        receiver
    }

    /// Closes the connection that has been idle longest.
    ///
    /// Otherwise, callers that hold connections without using them would lock out others for
    /// the whole idle timeout.
    fn close_longest_idle(&self) {
        while let Some(sender) = self.idle.borrow_mut().pop_front() {
            if sender.send(()).is_ok() {
                return;
            }
        }
    }

    /// Completes when the linger time after the start of the shutdown has elapsed.
    pub(crate) async fn linger_elapsed(&self) {
        let _ = self.closing.clone().await;
        if let Some(end) = self.linger_end.get() {
            self.clock.sleep_until(end).await;
        }
    }

    /// Completes when the requests that are still open must end.
    pub(crate) async fn ended(&self) {
        let _ = self.ending.clone().await;
    }
}

async fn accept(listener: TcpListener, shared: Rc<Context>) {
    // New connections are accepted until the linger time has elapsed: their requests get a
    // refusal that says "not run", which a connection reset would not convey.
    let end = shared.linger_elapsed();
    let mut end = std::pin::pin!(end);
    loop {
        if shared.open.get() >= shared.options.max_connections {
            // Further connections wait in the backlog of the kernel.
            shared.close_longest_idle();
            let pause = clock::sleep(&*shared.clock, ACCEPT_RETRY_DELAY);
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
                // Out of file descriptors: some become free when requests end.
                tracing::warn!(
                    "net: {} failed to accept a connection: {error}",
                    shared.options.name
                );
                clock::sleep(&*shared.clock, ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => return,
        }
    }
}
