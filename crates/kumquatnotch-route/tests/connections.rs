//! Connections to replicas: how many are open, and what becomes of those that replicas close.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::*;
use standins::scripted::Step;

/// Number of connections that a replica of the test configuration accepts.
const MAX_CONNECTIONS: u32 = 40;

/// Guards against a burst that opens more connections to a replica than it accepts, which it
/// would reset with the requests on them.
#[test]
fn burst_opens_no_more_connections_than_a_replica_accepts() {
    run(async {
        let tier = Tier::serving(single());
        let (open, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (counted, highest) = (open.clone(), most.clone());
        let replica = scripted_replica(move |request| {
            counted.set(counted.get() + 1);
            highest.set(highest.get().max(counted.get()));
            let counted = counted.clone();
            monoio::spawn(async move {
                pause(20).await;
                counted.set(counted.get() - 1);
            });
            vec![Step::Wait(Duration::from_millis(20)), proven_reply(request, "p", b"body")]
        });
        tier.add("s0", replica.address);

        let identities: Vec<String> = (0..120).map(|number| format!("r{number}")).collect();
        let requests = identities.iter().map(|identity| tier.get("/a/x", identity));
        let answers = futures_util::future::join_all(requests).await;

        assert!(most.get() <= MAX_CONNECTIONS, "{} connections", most.get());
        assert!(answers.iter().all(|answer| answer.status == 200));
        assert_eq!(open.get(), 0);
    });
}

/// Guards against requests that are lost on a connection which the replica closes after a short
/// idle time, a moment before or while the request is sent.
#[test]
fn requests_survive_connections_that_replicas_close_when_idle() {
    run(async {
        for kind in [single(), exclusive()] {
            let tier = Tier::serving(kind);
            let replica = scripted_replica(|request| {
                let close = [Step::Wait(Duration::from_millis(150)), Step::Close];
                [vec![proven_reply(request, "p", b"body")], close.to_vec()].concat()
            });
            tier.add("s0", replica.address);

            let mut statuses = Vec::new();
            for number in 0..6 {
                let identity = format!("r{number}");
                statuses.push(tier.post("/a/x", &identity, b"body").await.status);
                pause(160 + 20 * number).await;
            }

            assert_eq!(statuses, [200; 6]);
            assert_eq!(replica.requests().len(), 6);
        }
    });
}
