//! The stand-in platform: revisions, watches, leases, counts and faults.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_util::future::join;
use monoio::time::sleep;
use standins::{
    block_on,
    http::{Answer, Client},
    platform::{PlatformChange, PlatformServer},
};
use yare::parameterized;

fn platform() -> (PlatformServer, Client) {
    let platform = PlatformServer::start(0).unwrap();
    let client = Client::new(platform.address, Duration::from_secs(2));
    (platform, client)
}

async fn put(
    client: &Client,
    headers: &[(&str, &str)],
    value: &'static [u8],
) -> io::Result<Answer> {
    client.send("PUT", "/v1/kv/a/b", headers, Bytes::from_static(value)).await
}

#[test]
fn writes_compare_revisions() {
    block_on(async {
        let (_platform, client) = platform();

        let first = put(&client, &[("if-none-match", "*")], b"one").await.unwrap();
        let again = put(&client, &[("if-none-match", "*")], b"two").await.unwrap();
        let revision = first.revision().unwrap().to_string();
        let second = put(&client, &[("if-match", &revision)], b"two").await.unwrap();
        let stale = put(&client, &[("if-match", &revision)], b"three").await.unwrap();
        let unreadable = put(&client, &[("if-match", "x")], b"four").await.unwrap();

        let statuses = [&first, &again, &second, &stale, &unreadable].map(|answer| answer.status);
        assert_eq!(statuses, [200, 412, 200, 412, 400]);
        let value = client.get("/v1/kv/a/b").await.unwrap();
        assert_eq!(&value.body[..], b"two");
        assert_eq!(value.revision(), second.revision());
        let keys: Vec<String> = client.get("/v1/keys?prefix=a/").await.unwrap().json().unwrap();
        assert_eq!(keys, ["a/b"]);
    });
}

#[test]
fn a_watch_waits_for_the_next_revision_and_counts_once() {
    block_on(async {
        let (platform, client) = platform();
        let writer = Client::new(platform.address, Duration::from_secs(2));
        let write = async {
            sleep(Duration::from_millis(50)).await;
            put(&writer, &[], b"new").await.unwrap()
        };

        let (seen, written) = join(client.get("/v1/kv/a/b?after=0&wait_ms=1000"), write).await;
        let later = client.get("/v1/kv/a/b?after=99&wait_ms=30").await.unwrap();

        let seen = seen.unwrap();
        assert_eq!((seen.status, seen.revision()), (200, written.revision()));
        assert_eq!(later.status, 304);
        let calls = platform.calls();
        assert_eq!((calls.total, calls.watches, calls.writes), (3, 2, 1));
    });
}

#[test]
fn a_value_goes_with_its_lease() {
    block_on(async {
        let (_platform, client) = platform();
        let lease = serde_json::json!({ "ttl_ms": 60 });
        let lease: serde_json::Value =
            client.post("/v1/leases", &lease).await.unwrap().json().unwrap();
        let id = lease["id"].to_string();
        put(&client, &[("x-lease", &id)], b"mine").await.unwrap();

        let renewal = format!("/v1/leases/{id}");
        let renewed = client.send("POST", &renewal, &[], Bytes::new()).await.unwrap();
        let held = client.get("/v1/kv/a/b").await.unwrap();
        sleep(Duration::from_millis(100)).await;
        let lapsed = client.send("POST", &renewal, &[], Bytes::new()).await.unwrap();
        let gone = client.get("/v1/kv/a/b").await.unwrap();

        assert_eq!([renewed, held, lapsed, gone].map(|a| a.status), [204, 200, 404, 404]);
    });
}

#[test]
fn a_lost_reply_hides_a_write_that_took_effect() {
    block_on(async {
        let (platform, client) = platform();
        platform.apply(&PlatformChange { lose_replies: Some(1), ..Default::default() });

        let lost = put(&client, &[], b"kept").await;

        assert!(lost.is_err());
        let value = client.get("/v1/kv/a/b").await.unwrap();
        assert_eq!(&value.body[..], b"kept");
    });
}

#[parameterized(
    outage = { PlatformChange { outage: Some(true), ..Default::default() }, 503 },
    limit = { PlatformChange { write_limit: Some(0), ..Default::default() }, 429 },
)]
fn a_refused_write_does_nothing(change: PlatformChange, status: u16) {
    block_on(async {
        let (platform, client) = platform();
        platform.apply(&change);

        let refused = put(&client, &[], b"no").await.unwrap();
        platform.apply(&PlatformChange { outage: Some(false), ..Default::default() });

        assert_eq!(refused.status, status);
        assert_eq!(client.get("/v1/kv/a/b").await.unwrap().status, 404);
        assert_eq!(platform.calls().refused, 1);
    });
}

#[test]
fn values_over_a_mebibyte_are_refused() {
    block_on(async {
        let (_platform, client) = platform();
        let body = |size| Bytes::from(vec![0; size]);

        let fits = client.send("PUT", "/v1/kv/a", &[], body(1 << 20)).await.unwrap();
        let over = client.send("PUT", "/v1/kv/a", &[], body((1 << 20) + 1)).await.unwrap();

        assert_eq!([fits.status, over.status], [200, 413]);
    });
}

#[test]
fn the_list_of_vms_lags() {
    block_on(async {
        let (platform, client) = platform();
        platform.apply(&PlatformChange { vms_lag_ms: Some(100), ..Default::default() });
        let vms = serde_json::json!([{ "peer": "127.0.0.1:7000", "centre": "amman" }]);
        client.post("/standin/vms", &vms).await.unwrap();

        let now: Vec<serde_json::Value> = client.get("/v1/vms").await.unwrap().json().unwrap();
        sleep(Duration::from_millis(150)).await;
        let later: Vec<serde_json::Value> = client.get("/v1/vms").await.unwrap().json().unwrap();

        assert_eq!((now.len(), later.len()), (0, 1));
        assert_eq!(later[0]["leaving"], false);
    });
}
