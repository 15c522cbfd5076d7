//! Tests of the relay: links that forward, are cut, are delayed, go silent or are closed.

use std::{
    io,
    time::{Duration, Instant},
};

use standins::{
    block_on,
    http::Client,
    relay::{LinkChange, Relay},
    scripted::{Scripted, answer},
};
use yare::parameterized;

fn link(change: impl FnOnce(&mut LinkChange)) -> LinkChange {
    let mut link = LinkChange::default();
    change(&mut link);
    link
}

fn start_relay() -> (Scripted, Relay, Client) {
    let server = Scripted::start(|_| vec![answer(200, &[], b"")]).unwrap();
    let relay = Relay::start(0, &[(0, server.address)]).unwrap();
    let client = Client::new(relay.ports.links[0], Duration::from_millis(200));
    (server, relay, client)
}

#[parameterized(
    up = { LinkChange { cut_up: Some(true), ..Default::default() }, 1 },
    down = { LinkChange { cut_down: Some(true), ..Default::default() }, 2 },
)]
fn a_cut_link_forwards_nothing_until_it_is_restored(cut: LinkChange, arrived: usize) {
    block_on(async {
        let (server, relay, client) = start_relay();
        client.get("/").await.unwrap();

        relay.apply(&cut);
        let error = client.get("/").await.unwrap_err();
        let calls = server.requests().len();
        relay.apply(&link(|link| (link.cut_up, link.cut_down) = (Some(false), Some(false))));
        let restored = client.get("/").await.unwrap();

        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
        assert_eq!(calls, arrived);
        assert_eq!(restored.status, 200);
    });
}

#[test]
fn open_connections_go_silent_while_new_ones_work() {
    block_on(async {
        let (_server, relay, client) = start_relay();
        client.get("/").await.unwrap();

        relay.apply(&link(|link| link.silence = true));

        assert_eq!(client.get("/").await.unwrap_err().kind(), io::ErrorKind::TimedOut);
        assert_eq!(client.get("/").await.unwrap().status, 200);
    });
}

#[test]
fn closed_connections_break_at_once() {
    block_on(async {
        let (_server, relay, client) = start_relay();
        client.get("/").await.unwrap();

        relay.apply(&link(|link| link.close = true));
        let start = Instant::now();

        assert!(client.get("/").await.is_err());
        assert!(start.elapsed() < Duration::from_millis(150));
    });
}

#[test]
fn a_delayed_link_adds_its_delay_in_both_directions() {
    block_on(async {
        let (_server, relay, client) = start_relay();
        relay.apply(&link(|link| link.delay_ms = Some(30)));
        let start = Instant::now();

        client.get("/").await.unwrap();

        assert!(start.elapsed() >= Duration::from_millis(60));
    });
}
