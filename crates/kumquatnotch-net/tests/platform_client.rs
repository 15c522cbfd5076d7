//! The client of the platform's service, against the stand-in.

mod common;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use common::{registry, run};
use kumquatnotch_core::{
    Error, Platform,
    platform::{Expect, VALUE_LIMIT},
};
use kumquatnotch_net::{PlatformClient, platform_client::PlatformOptions};
use standins::platform::{PlatformChange, PlatformServer};

fn platform() -> (PlatformServer, Rc<PlatformClient>) {
    let server = PlatformServer::start(0).expect("a free port is found");
    let timeout = Duration::from_millis(400);
    let options = PlatformOptions { address: server.address, timeout, ..Default::default() };
    let client = PlatformClient::try_new(options, &registry()).expect("the options are fine");
    (server, client)
}

const KEY: &str = "kumquatnotch/head";

#[test]
fn values_are_read_written_listed_and_deleted() {
    run(async {
        let (_server, client) = platform();

        assert_eq!(client.get(KEY).await, Ok(None));
        let first = client.put(KEY, b"one", Expect::Absent).await.unwrap();
        let second = client.put(KEY, b"two", Expect::Revision(first)).await.unwrap();
        let entry = client.get(KEY).await.unwrap().unwrap();

        assert!(second > first);
        assert_eq!((entry.revision, entry.value.as_slice()), (second, b"two".as_slice()));
        assert_eq!(client.list("kumquatnotch/").await, Ok(vec![KEY.to_owned()]));
        assert_eq!(client.delete(KEY, Expect::Revision(second)).await, Ok(()));
        assert_eq!(client.get(KEY).await, Ok(None));
        assert_eq!(client.vms().await, Ok(Vec::new()));
    });
}

/// Two operators write from the same revision. The second one hears that the
/// key has changed.
#[test]
fn a_write_from_an_old_revision_is_refused() {
    run(async {
        let (_server, client) = platform();
        let first = client.put(KEY, b"one", Expect::Any).await.unwrap();
        client.put(KEY, b"two", Expect::Revision(first)).await.unwrap();

        let late = client.put(KEY, b"three", Expect::Revision(first)).await;
        let again = client.put(KEY, b"four", Expect::Absent).await;

        assert_eq!(late, Err(Error::CompareFailed));
        assert_eq!(again, Err(Error::CompareFailed));
    });
}

/// A write takes effect and its reply is lost. The error says that it may have,
/// and it isn't sent a second time.
#[test]
fn a_write_whose_reply_is_lost_is_unknown() {
    run(async {
        let (server, client) = platform();
        server.apply(&PlatformChange { lose_replies: Some(1), ..Default::default() });

        let lost = client.put(KEY, b"one", Expect::Absent).await;

        assert_eq!(lost, Err(Error::WriteUnknown));
        let entry = client.get(KEY).await.unwrap().unwrap();
        assert_eq!(entry.value, b"one");
        assert_eq!(server.calls().writes, 1);
    });
}

#[test]
fn an_outage_is_told_apart_from_an_unknown_write() {
    run(async {
        let (server, client) = platform();
        server.apply(&PlatformChange { outage: Some(true), ..Default::default() });

        assert_eq!(client.get(KEY).await, Err(Error::PlatformUnavailable));
        let write = client.put(KEY, b"one", Expect::Any).await;
        assert_eq!(write, Err(Error::PlatformUnavailable));
    });
}

/// The platform takes calls and never answers. A call ends with its time-out: a
/// read as unavailable, a write as unknown.
#[test]
fn a_hanging_platform_ends_in_time() {
    run(async {
        let (server, client) = platform();
        server.apply(&PlatformChange { hang: Some(true), ..Default::default() });
        let start = Instant::now();

        assert_eq!(client.get(KEY).await, Err(Error::PlatformUnavailable));
        assert_eq!(client.put(KEY, b"one", Expect::Any).await, Err(Error::WriteUnknown));

        assert!(start.elapsed().as_millis() < 1_200, "{:?}", start.elapsed());
    });
}

#[test]
fn a_watch_tells_of_a_change_or_ends() {
    run(async {
        let (_server, client) = platform();
        let first = client.put(KEY, b"one", Expect::Any).await.unwrap();

        let nothing = client.watch(KEY, first, Duration::from_millis(50)).await;
        let (other, writer) = (client.clone(), client);
        let watch =
            monoio::spawn(
                async move { other.watch(KEY, first, Duration::from_millis(2_000)).await },
            );
        common::pause(50).await;
        let second = writer.put(KEY, b"two", Expect::Any).await.unwrap();

        assert_eq!(nothing, Ok(None));
        assert_eq!(watch.await.unwrap().unwrap().revision, second);
    });
}

#[test]
fn a_value_that_is_too_large_is_not_sent() {
    run(async {
        let (server, client) = platform();

        let result = client.put(KEY, &vec![0; VALUE_LIMIT + 1], Expect::Any).await;

        assert_eq!(result, Err(Error::ValueTooLarge { limit: VALUE_LIMIT as u64 }));
        assert_eq!(server.calls().total, 0);
    });
}
