//! Tests of whole nodes in one process, with stand-ins for the platform and the targets.

use std::{
    future::pending,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch::{
    Node, NodeOptions, Shutdown,
    config::{
        document_store::{Authorship, DocumentStore},
        files::{self, FileText},
        settings::Settings,
    },
    core::{
        Store,
        clock::RuntimeClock,
        front::{EntryAdvice, key_digest},
        peer,
        random::Random,
        services,
    },
    net::entry::OPERATOR,
    policy::{hedge::HedgeOptions, retry::RetryOptions},
    query::{FrontOptions, RouterOptions},
};
use kumquatnotch_platform::store_client::{StoreClient, StoreOptions};
use serde_json::{Value, json};
use standin_store::StoreServer;
use standins::{http::Client, plan::Plan, targets::Fleet};

const KEY: &str = "a caller's key";

fn run<T>(test: impl Future<Output = T>) -> T {
    standins::block_on(async {
        let limit = Duration::from_secs(60);
        monoio::time::timeout(limit, test).await.expect("the test ends in time")
    })
}

async fn pause(millis: u64) {
    monoio::time::sleep(Duration::from_millis(millis)).await;
}

fn settings(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let text = format!(
        "seed = 9\n[node]\nname = \"{name}\"\ncentre = \"amman\"\nregion = \"jordan\"\n\
         [platform]\naddress = \"{platform}\"\n[join]\nseeds = {seeds:?}\n\
         [advice]\nvalid = \"1s\"\n",
    );
    Settings::parse("settings", &text).expect("the settings are valid")
}

fn options(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> NodeOptions {
    let store = StoreClient::new(StoreOptions::new(platform), Rc::new(RuntimeClock));
    NodeOptions::new(settings(name, platform, seeds), Rc::new(store))
}

fn node(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Rc<Node> {
    let node = Rc::new(Node::try_new(options(name, platform, seeds)).expect("the node is created"));
    node.start();
    node
}

fn document(fleet: &Fleet) -> String {
    let mut text = format!(
        "[regions]\namman = \"jordan\"\n[tenants.barid]\nkeys = [\"{}\"]\n\
         stop = {{ patience = 0.9, enough = 1.0 }}\n\
         [selectors.desk]\ntargets = \"\"\nclass = \"desk\"\n",
        key_digest(KEY),
    );
    for (number, target) in fleet.ports.targets.iter().enumerate() {
        text.push_str(&format!(
            "[targets.{}]\naddress = \"{}\"\ncentre = \"amman\"\nshard = \"s{}\"\n",
            target.name,
            target.address,
            number % 4,
        ));
    }
    text
}

async fn publish(node: &Node, text: String) {
    let files = [FileText { name: "all.toml".to_owned(), text }];
    let document = files::parse(&files).expect("the document is valid");
    let store: Rc<dyn Store> = node.registry.find(services::STORE).unwrap();
    let store = DocumentStore::new(store, Rc::new(RuntimeClock), Random::with_seed(2));
    let base = store.current().await.expect("the platform answers");
    let author = Authorship { author: "test", note: "" };
    store.publish(&base, &document, author).await.expect("the document is accepted");
}

fn client(node: &Node) -> Client {
    Client::new(node.servers().0.address(), Duration::from_secs(5))
}

async fn advised_addresses(node: &Node) -> Vec<SocketAddr> {
    let answer = client(node).get("/v1/entry").await.expect("the node answers");
    answer.json::<EntryAdvice>().expect("the answer is advice").addresses
}

async fn coverage(client: &Client) -> Value {
    let body = json!({ "selector": "desk", "query": { "nonce": 1 } });
    let body = serde_json::to_vec(&body).expect("JSON can be written");
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let answer = client.send("POST", "/v1/search", &headers, body.into()).await;
    answer.expect("the node answers").json::<Value>().expect("it is JSON")["coverage"].clone()
}

async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds().await {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        pause(20).await;
    }
}

/// The example file documents every setting with its default. This fails if a
/// setting is added or a default changes without an update of the example.
#[test]
fn example_settings_list_every_default() {
    let text = include_str!("../../../examples/kumquatnotchd.toml");
    let bare = "[node]\nname = \"n1\"\ncentre = \"amman\"\nregion = \"jordan\"\n\
                [platform]\naddress = \"127.0.0.1:2379\"\n";
    let table: toml::Table = text.parse().expect("the example is TOML");

    let given = Settings::parse("example", text).expect("the example is valid");
    let default = Settings::parse("bare", bare).expect("the other settings have defaults");

    assert_eq!(given, default);
    let all = toml::Table::try_from(&default).expect("settings can be serialized");
    for (name, section) in &all {
        let section = section.as_table().into_iter().flat_map(|section| section.keys());
        for key in section {
            let found = table.get(name).and_then(|section| section.get(key));
            assert!(found.is_some(), "{name}.{key} is not in the example");
        }
    }
}

#[test]
fn every_service_is_registered_under_its_name() {
    run(async {
        let platform = StoreServer::start(0).expect("a free port is found");
        let node = node("n1", platform.address, &[]);

        let names = node.registry.names();

        let wanted = [
            services::CLOCK,
            services::RANDOM,
            services::TARGETS,
            services::PEERS,
            services::STORE,
            services::MEMBERS,
            services::MARKS,
            services::DOCUMENTS,
            services::FRONT,
            services::LIFECYCLE,
            peer::MEMBER_SERVICE,
            peer::CONFIG_SERVICE,
            peer::HOLDER_SERVICE,
            peer::TICKET_SERVICE,
            OPERATOR,
        ];
        for name in wanted {
            assert!(names.contains(&name), "{name} is not among {names:?}");
        }
    });
}

/// One of three nodes leaves while callers search through the others. The others
/// soon stop advising its address, it serves until earlier advice has expired,
/// and other nodes take over its shards. A handover with a gap would show as a
/// search with a missing shard.
#[test]
fn graceful_leave_keeps_full_coverage() {
    run(async {
        let platform = StoreServer::start(0).expect("a free port is found");
        let fleet = Fleet::start(&Plan::uniform(0, 8, 4)).expect("free ports are found");
        let first = node("n1", platform.address, &[]);
        let seeds = [first.servers().1.address()];
        let (second, third) =
            (node("n2", platform.address, &seeds), node("n3", platform.address, &seeds));
        publish(&first, document(&fleet)).await;
        for node in [&first, &second, &third] {
            wait_until("advice with three nodes", async || {
                advised_addresses(node).await.len() == 3
            })
            .await;
        }
        let caller = client(&second);
        wait_until("full coverage", async || coverage(&caller).await["covered"] == 4).await;

        let leaving = third.clone();
        let left = monoio::spawn(async move { leaving.leave().await });
        let start = Instant::now();
        let leaving_address = third.servers().0.address();
        let mut advised_until = Duration::ZERO;
        while start.elapsed() < Duration::from_millis(3_000) {
            let found = coverage(&caller).await;
            assert_eq!(found["covered"], 4, "after {:?}: {found}", start.elapsed());
            if advised_addresses(&second).await.contains(&leaving_address) {
                advised_until = start.elapsed();
            }
            pause(5).await;
        }

        assert_eq!(left.await, Shutdown::Clean);
        assert!(advised_until < Duration::from_millis(1_000), "{advised_until:?}");
        println!("advised for another {advised_until:?}");
    });
}

/// The settings repeat the defaults of the decisions, so that operators can read
/// them. If the two differed, a node without explicit settings would not run with
/// the default budgets of the decisions.
#[test]
fn settings_defaults_match_decision_defaults() {
    let settings = Settings::default().decisions;

    let front = FrontOptions::default();
    assert_eq!(settings.hedges, HedgeOptions::default().budget);
    assert_eq!(settings.retries, RetryOptions::default().budget);
    assert_eq!(settings.group_hedges, RouterOptions::default().hedge_share);
    assert_eq!((settings.canary, settings.admission), (front.canary, front.admission));
}

/// A second process starts with the name of a node that is still running, and the
/// other node then knows only the later incarnation. The earlier process learns of
/// it within seconds and leaves gracefully; until then, its callers still get
/// complete answers.
#[test]
fn superseded_node_leaves() {
    run(async {
        let platform = StoreServer::start(0).expect("a free port is found");
        let fleet = Fleet::start(&Plan::uniform(0, 8, 4)).expect("free ports are found");
        let earlier = Node::try_new(options("n1", platform.address, &[]));
        let earlier = Rc::new(earlier.expect("the node is created"));
        let running = earlier.clone();
        let ended = monoio::spawn(async move { running.run(Box::pin(pending())).await });
        let second = node("n2", platform.address, &[earlier.servers().1.address()]);
        publish(&second, document(&fleet)).await;
        for node in [&earlier, &second] {
            wait_until("advice with two nodes", async || advised_addresses(node).await.len() == 2)
                .await;
        }
        let caller = client(&earlier);
        wait_until("full coverage", async || coverage(&caller).await["covered"] == 4).await;

        let later = node("n1", platform.address, &[second.servers().1.address()]);
        let earlier_address = earlier.servers().0.address();
        wait_until("advice without it", async || {
            !advised_addresses(&earlier).await.contains(&earlier_address)
        })
        .await;
        let found = coverage(&caller).await;

        assert_eq!(found["covered"], 4, "{found}");
        assert_eq!(ended.await, Shutdown::Superseded);
        assert_eq!(advised_addresses(&later).await.len(), 2);
    });
}
