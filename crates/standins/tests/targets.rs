//! Tests of the stand-in targets: slots, refusals, cancellation, deadlines and faults.

use std::{io, net::SocketAddr, time::Duration};

use futures_util::future::{join, join_all};
use kumquatnotch_core::{
    ids::{IndexVersion, ShardName, TargetName, TenantName},
    target::{Phase, TargetCall, TargetReply, TargetStatus},
};
use monoio::time::sleep;
use standins::{
    block_on,
    faults::FaultChange,
    http::{Answer, Client},
    plan::{Plan, TargetPlan, held},
    records::RunEnd,
    targets::Fleet,
};
use yare::parameterized;

fn fleet(change: impl FnOnce(&mut TargetPlan)) -> (Fleet, SocketAddr) {
    let mut target = TargetPlan { connect_ms: 0, spread: 0.0, ..TargetPlan::default() };
    target.held = vec![held(1, 0, 1)];
    change(&mut target);
    let fleet = Fleet::start(&Plan { target: vec![target], ..Plan::default() }).unwrap();
    let address = fleet.address("target").unwrap();
    (fleet, address)
}

fn client(address: SocketAddr) -> Client {
    Client::new(address, Duration::from_secs(2))
}

fn call(id: u64) -> TargetCall {
    TargetCall {
        id,
        shard: ShardName::from("s0"),
        version: Some(IndexVersion(1)),
        tenant: TenantName::from("siam"),
        class: Default::default(),
        body: format!(r#"{{"nonce":{id},"key":"room"}}"#),
        limit: 5,
        exclusive: false,
    }
}

async fn run(address: SocketAddr, call: &TargetCall) -> io::Result<Answer> {
    client(address).post("/v1/run", call).await
}

fn faults(change: impl FnOnce(&mut FaultChange)) -> FaultChange {
    let mut faults = FaultChange::default();
    change(&mut faults);
    faults
}

#[test]
fn a_search_returns_the_data_of_its_shard_and_version() {
    block_on(async {
        let (fleet, address) = fleet(|_| {});

        let reply: TargetReply = run(address, &call(7)).await.unwrap().json().unwrap();

        let expected =
            standins::data::hits(&ShardName::from("s0"), IndexVersion(1), r#"{"nonce":7}"#, 5);
        assert_eq!(reply.hits, expected);
        assert_eq!(reply.hits[0].fields["nonce"], 7);
        assert_eq!(reply.version, IndexVersion(1));
        assert_eq!(fleet.log().runs[0].end, RunEnd::Done);
    });
}

#[test]
fn an_exclusive_request_is_recorded_with_its_body() {
    block_on(async {
        let (fleet, address) = fleet(|_| {});
        let call = TargetCall { exclusive: true, version: None, ..call(3) };

        let reply: TargetReply = run(address, &call).await.unwrap().json().unwrap();

        assert_eq!(reply.result["key"], "room");
        assert_eq!(reply.result["nonce"], 3);
        let runs = fleet.log().runs;
        assert!(runs[0].exclusive);
        assert_eq!(runs[0].body, call.body);
    });
}

#[test]
fn requests_beyond_the_slots_wait_and_beyond_the_queue_are_shed() {
    block_on(async {
        let (fleet, address) = fleet(|target| {
            target.slots = 1;
            target.queue = 1;
            target.service_ms = 50.0;
        });
        let calls: Vec<TargetCall> = (0..3).map(call).collect();

        let answers = join_all(calls.iter().map(|call| run(address, call))).await;

        let mut statuses: Vec<u16> = answers.into_iter().map(|a| a.unwrap().status).collect();
        statuses.sort();
        assert_eq!(statuses, [200, 200, 429]);
        let log = fleet.log();
        assert!(log.runs.iter().all(|run| run.running == 1));
        assert!(log.runs[1].start_us >= log.runs[0].end_us);
        assert_eq!(log.shed, 1);
    });
}

#[parameterized(
    running = { 1, true },
    waiting = { 2, false },
)]
fn a_cancelled_request_reports_whether_it_had_begun(id: u64, ran: bool) {
    block_on(async {
        let (_fleet, address) = fleet(|target| {
            target.slots = 1;
            target.service_ms = 200.0;
        });
        let (first, second) = (call(1), call(2));
        let cancel = async {
            sleep(Duration::from_millis(50)).await;
            client(address).post("/v1/cancel", &serde_json::json!({ "id": id })).await.unwrap()
        };

        let later = async {
            sleep(Duration::from_millis(20)).await;
            run(address, &second).await.unwrap()
        };
        let (answers, _) = join(join(run(address, &first), later), cancel).await;

        let answer = if id == 1 { answers.0.unwrap() } else { answers.1 };
        assert_eq!(answer.status, 499);
        assert_eq!(answer.json::<serde_json::Value>().unwrap()["ran"], ran);
    });
}

#[test]
fn the_deadline_ends_a_run() {
    block_on(async {
        let (fleet, address) = fleet(|target| target.service_ms = 500.0);
        let body = serde_json::to_vec(&call(1)).unwrap();

        let headers = [("x-deadline-ms", "30")];
        let answer = client(address).send("POST", "/v1/run", &headers, body.into()).await.unwrap();

        assert_eq!(answer.status, 504);
        assert_eq!(fleet.log().runs[0].end, RunEnd::Expired);
    });
}

#[parameterized(
    draining = { FaultChange { drain: Some(true), ..Default::default() }, 503 },
    shedding = { FaultChange { shed: Some(true), ..Default::default() }, 429 },
    gone = { FaultChange { unpublish: Some(IndexVersion(1)), ..Default::default() }, 410 },
    moved = { FaultChange { held: Some(vec![held(2, 1, 2)]), ..Default::default() }, 410 },
)]
fn a_refused_request_is_not_run(change: FaultChange, status: u16) {
    block_on(async {
        let (fleet, address) = fleet(|_| {});
        fleet.apply(&change);

        let answer = run(address, &call(1)).await.unwrap();

        assert_eq!(answer.status, status);
        assert!(fleet.log().runs.is_empty());
        assert_eq!(fleet.log().drained.len(), usize::from(status == 503));
    });
}

#[test]
fn a_marked_request_crashes_the_target_which_restarts_as_another_incarnation() {
    block_on(async {
        let (fleet, address) = fleet(|target| target.service_ms = 100.0);
        fleet.apply(&faults(|change| {
            change.marker = Some("poison".to_owned());
            change.restart_ms = Some(200);
        }));
        let status = async || -> TargetStatus {
            client(address).get("/v1/status").await.unwrap().json().unwrap()
        };
        let before = status().await;
        let poison = TargetCall { body: r#"{"q":"poison"}"#.to_owned(), ..call(2) };

        let unmarked = call(1);
        let late = async {
            sleep(Duration::from_millis(20)).await;
            run(address, &poison).await
        };
        let (first, second) = join(run(address, &unmarked), late).await;

        assert!(first.is_err() && second.is_err());
        sleep(Duration::from_millis(20)).await;
        assert!(client(address).get("/v1/status").await.is_err());
        sleep(Duration::from_millis(400)).await;
        let after = status().await;
        assert_ne!(before.incarnation, after.incarnation);
        assert!(fleet.log().runs.iter().all(|run| run.end == RunEnd::Lost));
    });
}

#[test]
fn open_connections_go_silent_while_new_ones_work() {
    block_on(async {
        let (fleet, address) = fleet(|_| {});
        let old = Client::new(address, Duration::from_millis(200));
        old.get("/v1/status").await.unwrap();

        fleet.apply(&faults(|change| change.silence = true));

        assert_eq!(old.get("/v1/status").await.unwrap_err().kind(), io::ErrorKind::TimedOut);
        assert_eq!(run(address, &call(1)).await.unwrap().status, 200);
    });
}

#[test]
fn a_client_opens_another_connection_once_its_idle_one_was_closed() {
    // The target crashes and restarts while the client's connection is idle. Sending on that
    // connection would look like a request interrupted in flight.
    block_on(async {
        let (fleet, address) = fleet(|_| {});
        let client = client(address);
        client.get("/v1/status").await.unwrap();

        fleet.apply(&faults(|change| {
            change.crash = true;
            change.restart_ms = Some(20);
        }));
        sleep(Duration::from_millis(100)).await;

        assert_eq!(client.get("/v1/status").await.unwrap().status, 200);
    });
}

#[test]
fn connections_over_the_limit_are_shed_and_closed() {
    block_on(async {
        let (fleet, address) = fleet(|target| target.connections = 1);
        let kept = client(address);
        kept.get("/v1/status").await.unwrap();

        let answer = run(address, &call(1)).await.unwrap();

        assert_eq!(answer.status, 429);
        assert_eq!(fleet.log().over_limit, 1);
    });
}

#[test]
fn a_target_reports_a_false_load_and_phase() {
    block_on(async {
        let (fleet, address) = fleet(|_| {});
        fleet.apply(&faults(|change| {
            change.target = Some(TargetName::from("target"));
            change.load = Some(99);
            change.lie = Some(Phase::Ready);
            change.drain = Some(true);
        }));

        let status: TargetStatus = client(address).get("/v1/status").await.unwrap().json().unwrap();

        assert_eq!((status.load, status.phase), (99, Phase::Ready));
    });
}

#[test]
fn faults_and_records_are_available_on_the_control_port() {
    block_on(async {
        let (fleet, address) = fleet(|_| {});
        let control = client(fleet.ports.control);
        run(address, &call(1)).await.unwrap();

        let unknown = faults(|change| change.target = Some(TargetName::from("nobody")));
        let answer = control.post("/standin/faults", &unknown).await.unwrap();
        let log: standins::records::RunLog =
            control.get("/standin/log?after=0").await.unwrap().json().unwrap();

        assert_eq!(answer.status, 404);
        assert_eq!(log.runs.len(), 1);
    });
}
