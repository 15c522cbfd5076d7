//! Nodes on standby, which are not announced because larger nodes serve in their place.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Instant};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{Store, ids::NodeName};
use kumquatnotch_route::{announce::Announcer, mirror::Mirror};
use schema::{TestSchema, options};

struct Fixture {
    tier: Tier,
    store: Rc<FakeStore>,
}

/// A node with a capacity of 1.0 next to two of 4.0, all of which have just started.
fn fixture() -> Fixture {
    let (tier, store) = (Tier::new(), Rc::new(FakeStore::default()));
    store.put("c", b"3");
    for name in ["large-1", "large-2"] {
        store.put(&format!("n/{name}"), &node_entry(refusing_address(), 4.0));
    }
    let dyn_store: Rc<dyn Store> = store.clone();
    let schema = Rc::new(TestSchema);
    let mirror = Mirror::new(options(), tier.router.clone(), dyn_store.clone(), schema);
    mirror.start();
    let key = "n/me".to_owned();
    let (name, record) = (NodeName::from("me"), node_entry(refusing_address(), 1.0));
    Announcer::new(tier.router.clone(), dyn_store, mirror, name, key, record).start();
    Fixture { tier, store }
}

impl Fixture {
    fn is_announced(&self) -> bool {
        self.store.items.borrow().contains_key("n/me")
    }
}

/// Callers are sent to the larger nodes, so an entry would only load the store. The node takes
/// no share of the common limits, because the others don't count it.
#[test]
fn a_small_node_next_to_larger_ones_is_not_announced() {
    run(async {
        let fixture = fixture();
        pause(900).await;

        assert!(fixture.tier.router.is_ready() && !fixture.is_announced());
        assert_eq!((fixture.store.granted_leases.get(), fixture.tier.router.own_share()), (0, 0.0));
    });
}

/// A large node is lost, and its entry expires with its lease. The small node must announce
/// itself at once: otherwise callers would be sent to a single node, and fail with it.
#[test]
fn a_small_node_announces_itself_when_a_larger_one_is_lost() {
    run(async {
        let fixture = fixture();
        pause(700).await;
        fixture.store.delete("n/large-1");
        let lost = Instant::now();
        while !fixture.is_announced() {
            pause(10).await;
        }

        // The entry is retained for half a second, because it may have expired in an outage.
        assert!(lost.elapsed().as_millis() < 1_500, "after {:?}", lost.elapsed());
    });
}
