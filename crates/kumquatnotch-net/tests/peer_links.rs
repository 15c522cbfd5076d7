//! Tests of the links between nodes.

mod common;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{accept, after, pause, read, registry, run, write};
use kumquatnotch_core::{
    Error, LocalFuture, Peers, Result,
    clock::RuntimeClock,
    ids::{ConfigVersion, Digest, QueryId, ShardName, TenantName},
    member::Confirmation,
    peer::{
        CONFIG_SERVICE, HOLDER_SERVICE, PeerHandler, PeerMessage, PeerReply, RelayCall,
        TICKET_SERVICE,
    },
    query::GroupRequest,
    registry::Registry,
    ticket::{ExclusiveRequest, Outcome},
};
use kumquatnotch_net::{
    PeerLinks, Server,
    peer_links::PeerLinkOptions,
    peer_route::PeerRoute,
    server::ServerOptions,
    silence::{INTERIM_PERIOD, SILENCE_TIMEOUT},
};
use yare::parameterized;

/// A handler that answers after a delay and counts the messages begun and ended.
struct Worker {
    delay: Duration,
    begun: Cell<usize>,
    ended: Cell<usize>,
}

impl PeerHandler for Worker {
    fn handle(&self, message: PeerMessage) -> LocalFuture<'_, Result<PeerReply>> {
        Box::pin(async move {
            self.begun.set(self.begun.get() + 1);
            monoio::time::sleep(self.delay).await;
            self.ended.set(self.ended.get() + 1);
            match message {
                PeerMessage::ConfigState => Ok(PeerReply::ConfigState(confirmation())),
                PeerMessage::Exclusive(_) => Ok(PeerReply::Exclusive(outcome())),
                _ => Err(Error::NoTarget),
            }
        })
    }
}

fn confirmation() -> Confirmation {
    Confirmation { version: ConfigVersion(4), age_ms: Some(9) }
}

fn outcome() -> Outcome {
    Outcome::Done(serde_json::json!("room 4"))
}

fn node(delay_ms: u64) -> (Server, Rc<Worker>) {
    let registry = Registry::default();
    let delay = Duration::from_millis(delay_ms);
    let worker = Rc::new(Worker { delay, begun: Cell::new(0), ended: Cell::new(0) });
    for service in [CONFIG_SERVICE, HOLDER_SERVICE, TICKET_SERVICE] {
        registry.register::<Rc<dyn PeerHandler>>(service, worker.clone());
    }
    let options = ServerOptions {
        name: "peer",
        interim_period: Some(INTERIM_PERIOD),
        ..ServerOptions::default()
    };
    let route = Rc::new(PeerRoute::new(registry));
    (Server::try_new(options, Rc::new(RuntimeClock), route).expect("a free port"), worker)
}

fn links() -> Rc<PeerLinks> {
    PeerLinks::try_new(PeerLinkOptions::default(), &registry()).expect("the options are valid")
}

fn group() -> PeerMessage {
    PeerMessage::Group(Box::new(GroupRequest {
        query: QueryId(1),
        tenant: TenantName::from("siam"),
        class: Default::default(),
        selector: "desk".into(),
        version: Default::default(),
        shards: vec![ShardName::from("s0")],
        body: "{}".to_owned(),
        limit: 1,
        fingerprint: Default::default(),
        patience_ms: 500,
        deadline_ms: 1_000,
        hedge: false,
    }))
}

fn exclusive() -> PeerMessage {
    PeerMessage::Exclusive(Box::new(ExclusiveRequest {
        ticket: "n1:1:1:1:1".to_owned(),
        tenant: TenantName::from("siam"),
        selector: "hold".into(),
        key: "room 4".to_owned(),
        body: "{}".to_owned(),
        deadline_ms: 1_000,
    }))
}

fn relay() -> PeerMessage {
    let call = common::booking(1);
    PeerMessage::Relay(Box::new(RelayCall { selector: "hold".into(), call, deadline_ms: 500 }))
}

#[test]
fn messages_reach_the_service_they_name() {
    run(async {
        let (server, _) = node(0);
        let links = links();
        let send = |message| {
            let links = links.clone();
            async move { links.send(server.address(), &message, after(500)).await }
        };

        let state = send(PeerMessage::ConfigState).await;

        assert_eq!(state, Ok(PeerReply::ConfigState(confirmation())));
    });
}

/// A service fails or is not registered. The node answers with the error and its code.
#[test]
fn errors_keep_their_codes() {
    run(async {
        let (server, _) = node(0);
        let links = links();

        let failed = links.send(server.address(), &group(), after(500)).await;
        let missing = PeerMessage::Versions(Vec::new());
        let empty = Server::try_new(
            ServerOptions::default(),
            Rc::new(RuntimeClock),
            Rc::new(PeerRoute::new(Registry::default())),
        )
        .unwrap();
        let absent = links.send(empty.address(), &missing, after(500)).await;

        assert_eq!(failed, Ok(PeerReply::Failed(Error::NoTarget)));
        let name = HOLDER_SERVICE.to_owned();
        assert_eq!(absent, Ok(PeerReply::Failed(Error::ServiceMissing { name })));
    });
}

/// A node processes an exclusive request for longer than the silence timeout. Its interim
/// responses show that the connection works, so the sender waits for the reply.
#[test]
fn interim_responses_prevent_the_silence_timeout() {
    run(async {
        let (server, _) = node(900);

        let reply = links().send(server.address(), &exclusive(), after(3_000)).await;

        assert_eq!(reply, Ok(PeerReply::Exclusive(outcome())));
    });
}

/// Guards against a node that counts as silent while it still reads a long message, during which it
/// sends no interim response.
#[test]
fn a_node_that_reads_a_long_message_slowly_is_not_silent() {
    run(async {
        const LONG: usize = 1 << 20;
        let listener = standins::listen_with_small_window(0).unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut left = LONG;
            while left > 0 {
                left = left.saturating_sub(read(&mut stream).await.len());
                pause(2).await;
            }
            write(&mut stream, "HTTP/1.1 418 X\r\ncontent-length: 0\r\n\r\n").await;
            pause(1_000).await;
        });
        let PeerMessage::Exclusive(mut message) = exclusive() else { unreachable!() };
        message.body = "x".repeat(LONG);
        let start = Instant::now();

        let reply = links().send(address, &PeerMessage::Exclusive(message), after(5_000)).await;

        assert_eq!(reply, Err(Error::protocol("unexpected status 418")));
        assert!(start.elapsed() > SILENCE_TIMEOUT, "{:?}", start.elapsed());
    });
}

/// The sender drops a message, as the root does when a hedge has won. The holder sees the end
/// of the connection and stops a search, but completes an exclusive request.
#[parameterized(
    for_search = { group(), 0 },
    for_exclusive = { exclusive(), 1 },
    for_relay = { relay(), 1 },
)]
fn dropping_a_send_ends_searches_only(message: PeerMessage, ended: usize) {
    run(async {
        let (server, worker) = node(200);
        let links = links();

        let send = links.send(server.address(), &message, after(3_000));
        let _ = monoio::time::timeout(Duration::from_millis(80), send).await;
        pause(300).await;

        assert_eq!((worker.begun.get(), worker.ended.get()), (1, ended));
    });
}

/// Starts a proxy between nodes whose first `silent` connections lose all data after the first
/// request and reply.
fn lossy_proxy(upstream: SocketAddr, silent: usize) -> SocketAddr {
    accept(move |number, mut stream| async move {
        use monoio::{io::AsyncWriteRentExt, net::TcpStream};
        let mut other = TcpStream::connect_addr(upstream).await.expect("the node listens");
        let mut served = 0;
        loop {
            let request = read_bytes(&mut stream).await;
            if request.is_empty() {
                return;
            }
            if number < silent && served > 0 {
                continue;
            }
            let _ = other.write_all(request).await;
            let reply = read_bytes(&mut other).await;
            let _ = stream.write_all(reply).await;
            served += 1;
        }
    })
}

async fn read_bytes(stream: &mut monoio::net::TcpStream) -> Vec<u8> {
    use monoio::io::AsyncReadRent;
    let (count, mut buffer) = stream.read(vec![0; 64 << 10]).await;
    buffer.truncate(count.unwrap_or(0));
    buffer
}

/// The control connection to a healthy node has gone silent. The message is sent again on a new
/// connection within the time of a probe. Otherwise the node would be suspected, although only
/// the connection is at fault.
#[test]
fn control_messages_are_retried_on_a_new_connection() {
    run(async {
        let (server, _) = node(0);
        let address = lossy_proxy(server.address(), 1);
        let links = links();
        links.send(address, &PeerMessage::ConfigState, after(500)).await.unwrap();

        let reply = links.send(address, &PeerMessage::ConfigState, after(500)).await;

        assert_eq!(reply, Ok(PeerReply::ConfigState(confirmation())));
    });
}

/// A group request is sent on a connection that has gone silent, so no interim response
/// arrives. The root gets `ConnectionSilent` after 0.4 s and can send the request again.
#[test]
fn a_search_on_a_silent_connection_fails_early() {
    run(async {
        let (server, _) = node(0);
        let address = lossy_proxy(server.address(), 1);
        let links = links();
        links.send(address, &group(), after(500)).await.unwrap();
        let start = Instant::now();

        let lost = links.send(address, &group(), after(5_000)).await;
        let elapsed = start.elapsed();
        let next = links.send(address, &group(), after(500)).await;

        assert_eq!(lost, Err(Error::ConnectionSilent));
        assert!(elapsed.as_millis() < 600, "{elapsed:?}");
        assert!(next.is_ok(), "{next:?}");
    });
}

/// A connection has gone silent while idle. It does not answer the check before an exclusive
/// request, so the request is sent once, over a new connection.
#[test]
fn an_exclusive_request_is_not_sent_on_a_silent_connection() {
    run(async {
        let (server, worker) = node(0);
        let address = lossy_proxy(server.address(), 1);
        let links = links();
        links.send(address, &group(), after(500)).await.unwrap();
        pause(50).await;

        let reply = links.send(address, &exclusive(), after(1_000)).await;

        assert_eq!(reply, Ok(PeerReply::Exclusive(outcome())));
        assert_eq!(worker.begun.get(), 2);
    });
}

/// The other side closes the connection after reading an exclusive request. The request is not
/// sent again, since the node may have begun it.
#[test]
fn an_exclusive_request_is_sent_once() {
    run(async {
        let seen = Rc::new(RefCell::new(0));
        let counter = seen.clone();
        let address = accept(move |_, mut stream| {
            let counter = counter.clone();
            async move {
                read(&mut stream).await;
                *counter.borrow_mut() += 1;
            }
        });

        let reply = links().send(address, &exclusive(), after(500)).await;

        assert_eq!(reply, Err(Error::ConnectionLost));
        assert_eq!(*seen.borrow(), 1);
    });
}

#[test]
fn a_refused_connection_fails_at_once() {
    run(async {
        let address = "127.0.0.1:9".parse().unwrap();

        let message = PeerMessage::Fetch(vec![Digest([0; 16])]);
        let reply = links().send(address, &message, after(500)).await;

        assert_eq!(reply, Err(Error::ConnectRefused));
    });
}
