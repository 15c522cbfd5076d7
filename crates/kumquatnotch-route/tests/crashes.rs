//! Requests that crash replicas: how many they reach, and which requests are refused.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::*;
use kumquatnotch_core::{Clock, clock::RuntimeClock};
use kumquatnotch_net::message::Request;
use kumquatnotch_policy::crashes::{Crash, CrashRecord, MAX_TRIALS, MIN_CRASHES, Verdict};
use kumquatnotch_route::{crash_alarm::ALARM_PATH, crash_check};
use standins::scripted::{Scripted, Step, answer};
use yare::parameterized;

const SHARDS: usize = 8;

/// Time after which a crash is known to the node.
const DETECTION_MS: u64 = 800;

/// Replicas of the shards, two of each, which crash on `/a/crash`.
struct Replicas {
    running: Rc<RefCell<Vec<Option<Scripted>>>>,
    reached: Rc<RefCell<Vec<usize>>>,
}

impl Replicas {
    fn start(tier: &Tier, shards: usize) -> Replicas {
        let running: Rc<RefCell<Vec<Option<Scripted>>>> = Rc::default();
        let reached: Rc<RefCell<Vec<usize>>> = Rc::default();
        for index in 0..2 * shards {
            let (crash_running, crash_reached) = (running.clone(), reached.clone());
            let replica = Scripted::start(move |request| {
                if request.path != "/a/crash" {
                    let proof = format!("p{index}");
                    return vec![proven_reply(request, &proof, &[1; 16])];
                }
                crash_reached.borrow_mut().push(index);
                let running = crash_running.clone();
                monoio::spawn(async move {
                    pause(30).await;
                    let crashed = running.borrow_mut()[index].take();
                    drop(crashed);
                });
                vec![Step::Silence]
            })
            .unwrap();
            tier.add(&format!("s{}", index / 2), replica.address);
            running.borrow_mut().push(Some(replica));
        }
        Replicas { running, reached }
    }

    fn crashed(&self) -> usize {
        self.running.borrow().iter().filter(|replica| replica.is_none()).count()
    }
}

/// Records crashes of this many replicas with a request.
fn note_crashes(tier: &Tier, request: &Request, count: u64) {
    let fingerprint = crash_check::fingerprint(request);
    for replica in 0..count {
        let service = crash_check::service_hash(&service("s0"));
        let crash = Crash { incarnation: replica, service };
        let record = CrashRecord::new(&request.target(), 0);
        tier.router.crashes.note_crash(fingerprint, crash, record, RuntimeClock.now());
    }
}

/// The request that `Tier::get` sends.
fn sent(path: &str) -> Request {
    let mut request = Request::get(path);
    request.headers.insert(http::header::HOST, http::HeaderValue::from_static(HOST));
    request
}

/// Guards against a search that crashes both replicas of each shard: one of each by its parts, and
/// the other one by sending the lost parts again.
#[test]
fn search_that_crashes_replicas_leaves_one_of_nearly_every_shard() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let replicas = Replicas::start(&tier, SHARDS);

        let answer = tier.get("/a/crash", "first").await;
        pause(DETECTION_MS).await;

        assert_eq!(answer.status, 502);
        assert_eq!(replicas.crashed(), SHARDS + 2);
    });
}

/// Guards against a caller that sends such a search again at another node as soon as it has failed,
/// before the crashes are confirmed: the replicas that are left of each shard would run it.
#[test]
fn other_nodes_are_warned_before_the_caller_comes_to_them() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let other = Tier::named("other", 100.0, "home");
        other.put(1, vec![shards(SHARDS, 0.5)]);
        tier.add_node("other", "home", other.peer.address());
        let replicas = Replicas::start(&tier, SHARDS);
        for index in 0..2 * SHARDS {
            let address = replicas.running.borrow()[index].as_ref().unwrap().address;
            other.add(&format!("s{}", index / 2), address);
        }

        tier.get("/a/crash", "first").await;
        let again = other.get("/a/crash", "again").await;
        let once_more = other.get("/a/crash", "once more").await;

        assert_eq!((again.status, once_more.status), (502, 503));
        assert_eq!(replicas.crashed(), SHARDS + 3);
    });
}

/// Guards against a caller that overtakes the warning: its failure is answered before the other nodes
/// have taken it. A node that takes none delays the answer for a short time only.
#[parameterized(
    slow = { vec![Step::Wait(Duration::from_millis(200)), answer(200, &[], b"")] },
    silent = { vec![Step::Silence] },
)]
fn failed_search_is_answered_after_the_warnings(steps: Vec<Step>) {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let other = Scripted::start(move |request| match request.path.as_str() {
            ALARM_PATH => steps.clone(),
            _ => vec![answer(200, &[], b"")],
        });
        let other = other.unwrap();
        tier.add_node("other", "home", other.address);
        let _replicas = Replicas::start(&tier, SHARDS);
        let start = RuntimeClock.now();

        let answer = tier.get("/a/crash", "first").await;

        let took = RuntimeClock.now() - start;
        assert_eq!(answer.status, 502);
        assert!(took >= Duration::from_millis(200), "{took:?}");
        assert!(took < single().timeout / 2, "{took:?}");
    });
}

/// Guards against retries of such a search that reach all shards again: each trial costs one
/// replica, and after the last of them the search reaches none.
#[test]
fn search_that_crashed_replicas_is_tried_at_one_shard() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let replicas = Replicas::start(&tier, SHARDS);
        note_crashes(&tier, &sent("/a/crash"), MIN_CRASHES as u64);

        let first = tier.get("/a/crash", "first").await;
        let second = tier.get("/a/crash", "second").await;

        assert_eq!((first.status, second.status), (502, 503));
        assert!(second.headers.contains_key("retry-after"));
        assert_eq!(*replicas.reached.borrow(), [0]);
    });
}

/// Guards against a harmless search that is refused because it was present at crashes: its trial
/// is answered, and it is answered as a whole at once.
#[test]
fn harmless_search_is_acquitted_by_its_trial_and_answered_whole() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let _replicas = Replicas::start(&tier, SHARDS);
        note_crashes(&tier, &sent("/a/popular"), 7);

        let answers = [tier.get("/a/popular", "r1").await, tier.get("/a/popular", "r2").await];

        for answer in answers {
            assert_eq!((answer.status, header_count(&answer, "x-proofs")), (200, SHARDS));
        }
        let fingerprint = crash_check::fingerprint(&sent("/a/popular"));
        assert_eq!(tier.router.crashes.record(fingerprint), None);
    });
}

/// Guards against a search that nobody asked before and that is refused because it was running
/// on many replicas of a rack when this was lost.
#[test]
fn search_in_work_when_a_rack_is_lost_is_served() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let slow: Vec<Scripted> = (0..SHARDS)
            .map(|index| {
                let slow = scripted_replica(|_| vec![Step::Silence]);
                tier.add(&format!("s{index}"), slow.address);
                slow
            })
            .collect();
        let replicas = Replicas::start(&tier, SHARDS);

        let in_work = tier.get("/a/new", "first");
        let lost = async {
            pause(60).await;
            drop(slow);
        };
        let (first, ()) = futures_util::future::join(in_work, lost).await;
        pause(DETECTION_MS).await;
        let again = tier.get("/a/new", "again").await;

        assert_eq!((first.status, again.status), (200, 200));
        assert_eq!(replicas.crashed(), 0);
    });
}

/// Guards against callers of other requests that are refused beside one that crashes replicas.
#[test]
fn other_requests_are_not_refused() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let replicas = Replicas::start(&tier, SHARDS);

        tier.get("/a/crash", "first").await;
        pause(DETECTION_MS).await;
        let others = [tier.get("/a/popular", "r1").await, tier.get("/a/crash?x", "r2").await];

        // The second one is another request, and crashes replicas as the stand-ins look at paths.
        assert_eq!(others[0].status, 200);
        assert_ne!(others[1].status, 503);
        assert!(replicas.reached.borrow().len() > SHARDS);
    });
}

/// Guards against a request to one service that crashes one replica after the other: it is
/// refused once three have crashed and its trials have failed, and reaches no more than that.
#[test]
fn request_to_one_service_reaches_few_replicas() {
    run(async {
        let tier = Tier::serving(exclusive());
        let mut reached = 0;
        let mut statuses = Vec::new();
        for attempt in 0..6 {
            let replica = scripted_replica(|_| vec![Step::Close]);
            tier.add("s0", replica.address);
            let answer = tier.post("/a/crash", &format!("r{attempt}"), b"body").await;
            statuses.push((answer.status, answer.headers.contains_key("retry-after")));
            reached += replica.requests().len();
            // A crashed replica only comes back under another ID.
            remove_crashed(&tier, replica).await;
        }

        let (sent, refused) = ((502, false), (503, true));
        assert_eq!(statuses, [sent, sent, sent, sent, refused, refused]);
        // The next trial follows after a minute only.
        assert!(reached == MIN_CRASHES + 1 && MAX_TRIALS > 1);
    });
}

/// Guards against a trial that is used up while no replica can run it.
#[test]
fn trial_waits_for_a_replica() {
    run(async {
        let tier = Tier::serving(single());
        note_crashes(&tier, &sent("/a/x"), MIN_CRASHES as u64);

        let without = tier.get("/a/x", "r1").await;
        let replica = replica("p", b"body");
        tier.add("s0", replica.address);
        let with = tier.get("/a/x", "r2").await;

        assert_eq!((without.status, with.status), (503, 200));
    });
}

/// Guards against a request that is suspect because a full replica rejected its trial.
#[test]
fn rejected_trial_is_taken_back() {
    run(async {
        let tier = Tier::serving(single());
        let full =
            scripted_replica(|_| vec![standins::scripted::answer(503, &[("x-not-run", "1")], b"")]);
        tier.add("s0", full.address);
        note_crashes(&tier, &sent("/a/x"), MIN_CRASHES as u64);
        let fingerprint = crash_check::fingerprint(&sent("/a/x"));

        let answer = tier.get("/a/x", "r1").await;

        assert_eq!(answer.status, 503);
        let verdict = tier.router.crashes.verdict(fingerprint, RuntimeClock.now());
        assert_eq!(verdict, Verdict::Trial);
    });
}

/// Guards against a search that is refused as not run although a replica has run it in its trial:
/// too few of its shards have replicas.
#[test]
fn search_that_ran_in_its_trial_is_not_refused_as_not_run() {
    run(async {
        let tier = Tier::serving(shards(SHARDS, 0.5));
        let _replicas = Replicas::start(&tier, 2);
        note_crashes(&tier, &sent("/a/new"), MIN_CRASHES as u64);

        let answer = tier.get("/a/new", "r1").await;

        assert_eq!(answer.status, 502);
    });
}

/// Guards against a harmless request that is refused for a day because the replies to its trials
/// were lost, although no replica crashed.
#[test]
fn trial_whose_reply_is_lost_without_a_crash_is_taken_back() {
    run(async {
        let tier = Tier::serving(single());
        let replica = scripted_replica(|_| vec![Step::Close]);
        tier.add("s0", replica.address);
        note_crashes(&tier, &sent("/a/x"), MIN_CRASHES as u64);

        let answer = tier.get("/a/x", "r1").await;
        pause(DETECTION_MS + 200).await;

        let fingerprint = crash_check::fingerprint(&sent("/a/x"));
        let verdict = tier.router.crashes.verdict(fingerprint, RuntimeClock.now());
        assert_eq!((answer.status, verdict), (502, Verdict::Trial));
    });
}

/// Guards against a harmless request that is refused for a minute because the caller left during
/// its trial.
#[test]
fn trial_goes_on_after_its_caller_has_left() {
    run(async {
        let tier = Tier::serving(single());
        let replica = scripted_replica(|request| {
            vec![Step::Wait(Duration::from_millis(300)), proven_reply(request, "p", b"body")]
        });
        tier.add("s0", replica.address);
        note_crashes(&tier, &sent("/a/x"), MIN_CRASHES as u64);
        let fingerprint = crash_check::fingerprint(&sent("/a/x"));

        let impatient = monoio::time::timeout(Duration::from_millis(100), tier.get("/a/x", "r1"));
        assert!(impatient.await.is_err());
        pause(400).await;

        assert_eq!(tier.router.crashes.verdict(fingerprint, RuntimeClock.now()), Verdict::Free);
    });
}

/// A replica closes connections without a reply but keeps running. The requests are not
/// suspected.
#[test]
fn a_lost_reply_is_not_a_crash() {
    run(async {
        let tier = Tier::serving(exclusive());
        let replica = scripted_replica(|_| vec![Step::Close]);
        tier.add("s0", replica.address);

        for attempt in 0..4 {
            let answer = tier.post("/a/crash", &format!("r{attempt}"), b"body").await;
            assert_eq!(answer.status, 502);
            pause(200).await;
        }

        assert_eq!(replica.requests().len(), 4);
    });
}

/// Number of values in a header that lists them.
fn header_count(answer: &standins::http::Answer, name: &str) -> usize {
    let values = answer.headers.get_all(name).iter();
    values.map(|value| value.to_str().unwrap().split(',').count()).sum()
}

/// Stops a replica, waits until the crash is detected, and removes it from the directory.
async fn remove_crashed(tier: &Tier, replica: Scripted) {
    let address = replica.address;
    drop(replica);
    pause(Duration::from_millis(DETECTION_MS).as_millis() as u64).await;
    let replicas = tier.router.directory.of(&service("s0"));
    for other in replicas.iter().filter(|other| other.spec().address == address) {
        tier.router.directory.remove(&other.id);
    }
}
