//! Fixtures for the tests of this crate.

#![allow(dead_code)]

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock,
    clock::RuntimeClock,
    document::{Class, TargetSpec},
    ids::{DataCentre, IndexVersion, ShardName, TargetName, TenantName},
    random::Random,
    registry::Registry,
    services,
    target::TargetCall,
};
use kumquatnotch_net::{
    Server, TargetLinks,
    message::{Reply, Request},
    server::{Handler, ServerOptions, Work},
    target_links::TargetLinkOptions,
};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

/// Runs a test on the runtime driver of the daemons, with a timeout of 30 s.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    standins::block_on(async {
        let limit = Duration::from_secs(30);
        monoio::time::timeout(limit, test).await.expect("the test ends in time")
    })
}

pub fn registry() -> Registry {
    let registry = Registry::default();
    registry.register::<Rc<dyn Clock>>(services::CLOCK, Rc::new(RuntimeClock));
    registry.register(services::RANDOM, Random::with_seed(7));
    registry
}

pub fn links() -> Rc<TargetLinks> {
    links_with(TargetLinkOptions::default())
}

pub fn links_with(options: TargetLinkOptions) -> Rc<TargetLinks> {
    TargetLinks::try_new(options, &registry()).expect("the options are valid")
}

pub fn spec(address: SocketAddr) -> TargetSpec {
    TargetSpec {
        address,
        centre: DataCentre::from("amman"),
        shard: ShardName::from("s0"),
        labels: Default::default(),
        drain: false,
    }
}

pub fn name() -> TargetName {
    TargetName::from("t0")
}

/// A search in version 1 of shard s0.
pub fn search(id: u64) -> TargetCall {
    TargetCall {
        id,
        shard: ShardName::from("s0"),
        version: Some(IndexVersion(1)),
        tenant: TenantName::from("barid"),
        class: Class::Desk,
        body: format!("{{\"nonce\":{id}}}"),
        limit: 2,
        exclusive: false,
    }
}

pub fn booking(id: u64) -> TargetCall {
    TargetCall { version: None, exclusive: true, ..search(id) }
}

pub fn after(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

pub async fn pause(millis: u64) {
    monoio::time::sleep(Duration::from_millis(millis)).await;
}

type Answer = Box<dyn Fn(Request) -> Work<'static>>;

/// A handler that calls a closure and records the paths of requests.
pub struct Scripted {
    answer: Answer,
    pub paths: RefCell<Vec<String>>,
    /// Recorded round trips to clients.
    pub round_trips: RefCell<Vec<Duration>>,
}

impl Handler for Scripted {
    fn start(&self, request: Request) -> Work<'_> {
        self.paths.borrow_mut().push(request.path.clone());
        (self.answer)(request)
    }

    fn record_round_trip(&self, round_trip: Duration) {
        self.round_trips.borrow_mut().push(round_trip);
    }
}

/// Starts a server that answers requests with `answer`.
pub fn serve(
    options: ServerOptions,
    answer: impl Fn(Request) -> Work<'static> + 'static,
) -> (Server, Rc<Scripted>) {
    let (paths, round_trips) = (RefCell::default(), RefCell::default());
    let handler = Rc::new(Scripted { answer: Box::new(answer), paths, round_trips });
    let server = Server::try_new(options, Rc::new(RuntimeClock), handler.clone());
    (server.expect("a free port is found"), handler)
}

/// Creates work that replies with `text` after a delay.
pub fn reply_after(millis: u64, text: &str) -> Work<'static> {
    let reply = Reply::text(http::StatusCode::OK, text);
    Work::new(async move {
        pause(millis).await;
        reply
    })
}

/// Accepts connections and passes each to `serve_stream`, numbered from zero.
pub fn accept<F>(serve_stream: impl Fn(usize, TcpStream) -> F + 'static) -> SocketAddr
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is found");
    let address = listener.local_addr().expect("it is bound");
    monoio::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            monoio::spawn(serve_stream(number, stream));
            number += 1;
        }
    });
    address
}

/// Reads available data; returns an empty string at the end of the connection.
pub async fn read(stream: &mut TcpStream) -> String {
    let (count, buffer) = stream.read(vec![0; 64 << 10]).await;
    let count = count.unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

pub async fn write(stream: &mut TcpStream, text: impl Into<String>) {
    let (result, _) = stream.write_all(text.into().into_bytes()).await;
    result.expect("the other side reads");
}

/// Sends `text` on a new connection and reads until the other side closes it.
pub async fn exchange(address: SocketAddr, text: impl Into<String>) -> String {
    let mut stream = TcpStream::connect_addr(address).await.expect("it listens");
    write(&mut stream, text).await;
    let mut all = String::new();
    loop {
        let part = read(&mut stream).await;
        if part.is_empty() {
            return all;
        }
        all.push_str(&part);
    }
}

/// Formats a reply with a body as a raw message.
pub fn raw_reply(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Formats the body of a target's reply to a search.
pub fn hit_body(key: &str) -> String {
    format!("{{\"hits\":[{{\"key\":\"{key}\",\"score\":1.0}}],\"version\":1,\"load\":0}}")
}

/// Returns one of `seeds` with one to three bytes changed, removed or duplicated.
pub fn mutated(random: &mut fastrand::Rng, seeds: &[String]) -> Vec<u8> {
    let mut bytes = random.choice(seeds).expect("there are seeds").clone().into_bytes();
    for _ in 0..random.usize(1..4) {
        let at = random.usize(..bytes.len());
        match random.u8(..3) {
            0 => bytes[at] = random.u8(..),
            1 => drop(bytes.remove(at)),
            _ => bytes.insert(at, bytes[at]),
        }
    }
    bytes
}
