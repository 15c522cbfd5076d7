//! Nodes that the others need not know, as larger ones serve in their place.

mod common;
#[path = "common/store.rs"]
mod fake;
#[path = "common/schema.rs"]
mod schema;

use std::{rc::Rc, time::Instant};

use common::*;
use fake::FakeStore;
use kumquatnotch_core::{
    Store,
    ids::{Fingerprint, NodeName},
};
use kumquatnotch_policy::crashes::Crash;
use kumquatnotch_route::{
    announce::{Announcer, NodeKeys},
    mirror::Mirror,
};
use schema::{TestSchema, options};

struct World {
    tier: Tier,
    store: Rc<FakeStore>,
}

/// A node with a capacity of 1.0 beside two of 4.0, which have just started.
fn world() -> World {
    let (tier, store) = (Tier::new(), Rc::new(FakeStore::default()));
    store.put("c", b"3");
    for name in ["large-1", "large-2"] {
        store.put(&format!("n/{name}"), &node_entry(refusing_address(), 4.0));
    }
    let dyn_store: Rc<dyn Store> = store.clone();
    let schema = Rc::new(TestSchema);
    let mirror = Mirror::new(options(), tier.router.clone(), dyn_store.clone(), schema);
    mirror.start();
    let keys = NodeKeys { record: "n/me".to_owned(), crashes: "x/me".to_owned() };
    let (name, record) = (NodeName::from("me"), node_entry(refusing_address(), 1.0));
    Announcer::new(tier.router.clone(), dyn_store, mirror, name, keys, record).start();
    World { tier, store }
}

impl World {
    fn is_announced(&self) -> bool {
        self.store.items.borrow().contains_key("n/me")
    }
}

/// Callers are sent to the larger nodes, so an entry would only cost the store. The node
/// takes nothing of what the nodes share, as the others don't count it.
#[test]
fn a_small_node_beside_larger_ones_announces_nothing() {
    run(async {
        let world = world();
        pause(900).await;

        assert!(world.tier.router.is_ready() && !world.is_announced());
        assert_eq!((world.store.leases.get(), world.tier.router.own_share()), (0, 0.0));
    });
}

/// A large node is lost. Its entry goes with its lease, and the small one is needed at
/// once: callers would be sent to a single node otherwise, and fail with it.
#[test]
fn a_small_node_announces_itself_when_a_larger_one_is_lost() {
    run(async {
        let world = world();
        pause(700).await;
        world.store.delete("n/large-1");
        let lost = Instant::now();
        while !world.is_announced() {
            pause(10).await;
        }

        // Its entry is kept for half a second, as it may have lapsed with an outage.
        assert!(lost.elapsed().as_millis() < 1_500, "after {:?}", lost.elapsed());
    });
}

/// A replica was crashed by a request through a node on standby: all nodes must hear it.
#[test]
fn a_small_node_announces_itself_to_tell_of_crashes() {
    run(async {
        let world = world();
        pause(300).await;
        let crashes = &world.tier.router.crashes;
        crashes.note(Crash { print: Fingerprint(7), attempt: 1 }, Instant::now());
        pause(1_500).await;

        assert!(world.store.items.borrow().contains_key("x/me"));
    });
}
