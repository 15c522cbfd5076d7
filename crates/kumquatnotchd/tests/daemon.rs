//! Tests of the daemon as a process: its endpoints, shutdown and exit codes.

mod common;

use std::{fs, time::Instant};

use common::{Daemon, call, command, environment, pause, run, settings_file, wait_until};
use serde_json::{Value, json};

fn search() -> Value {
    json!({ "selector": "desk", "query": { "nonce": 7 }, "limit": 3 })
}

#[test]
fn settings_are_checked() {
    let good = "[node]\nname = \"n1\"\ncentre = \"amman\"\nregion = \"jordan\"\n\
                [platform]\naddress = \"127.0.0.1:9\"\n";
    let bad = good.replace("n1", "n 1");
    let (good, bad) = (settings_file(good), settings_file(&bad));

    let valid = command(&good).arg("--check").output().unwrap();
    let invalid = command(&bad).arg("--check").output().unwrap();
    let help = command(&good).arg("--help").output().unwrap();

    assert!(valid.status.success());
    assert_eq!(invalid.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert!(errors.contains("6001") && errors.contains("node.name"), "{errors}");
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(help.contains("SIGTERM") && help.contains("[platform]"), "{help}");
    fs::remove_file(good).unwrap();
    fs::remove_file(bad).unwrap();
}

/// A daemon that starts before any document is published answers `/healthz` but
/// reports that it is not ready. Once a document is in force, it serves searches
/// and reports its state.
#[test]
fn a_daemon_serves_callers_and_operators() {
    run(async {
        let environment = environment(5.0);
        let daemon = Daemon::start(&environment, &[]).await;
        assert_eq!(daemon.get("/healthz").await.status, 200);
        assert_eq!(daemon.get("/readyz").await.status, 503);

        environment.publish().await;
        daemon.wait_until_ready().await;
        let answer = call(&daemon.client(), "/v1/search", search()).await;

        assert_eq!(answer.status, 200);
        let answer: Value = answer.json().unwrap();
        assert_eq!(answer["coverage"]["covered"], 3);
        assert_eq!(answer["coverage"]["asked"], 3);
        let config: Value = daemon.get("/v1/config").await.json().unwrap();
        assert_eq!(config["nodes"][0]["confirmation"]["version"], 1);
        let status = daemon.get("/status").await.body;
        assert!(String::from_utf8_lossy(&status).contains("stage: Serving"));
        let metrics = daemon.get("/metrics").await.body;
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        let bucket = metrics.lines().find(|line| {
            line.starts_with("kumquatnotch_search_seconds_bucket")
                && line.contains("tenant=\"barid\"")
                && line.contains("class=\"desk\"")
        });
        assert!(bucket.is_some(), "{metrics}");
    });
}

/// The machines allow neither io_uring nor child processes. The daemon is
/// inspected for both while it runs.
#[test]
fn a_daemon_opens_no_io_uring_and_starts_no_process() {
    run(async {
        let environment = environment(5.0);
        let daemon = Daemon::start(&environment, &[]).await;
        environment.publish().await;
        daemon.wait_until_ready().await;
        call(&daemon.client(), "/v1/search", search()).await;
        let id = daemon.child.id();

        let open = fs::read_dir(format!("/proc/{id}/fd")).unwrap();
        let open: Vec<String> = open
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|link| link.display().to_string())
            .collect();
        let children = fs::read_to_string(format!("/proc/{id}/task/{id}/children"));

        assert!(open.iter().any(|link| link.contains("eventpoll")), "{open:?}");
        assert!(!open.iter().any(|link| link.contains("uring")), "{open:?}");
        assert_eq!(children.unwrap_or_default(), "");
    });
}

/// The daemon receives SIGTERM while a search and an exclusive request are running
/// that take longer than its advice is valid. Callers with earlier advice are
/// still served, both requests get complete answers, and the daemon exits with 0.
#[test]
fn graceful_shutdown_completes_requests_in_flight() {
    run(async {
        let environment = environment(2_500.0);
        let mut daemon = Daemon::start(&environment, &[]).await;
        environment.publish().await;
        daemon.wait_until_ready().await;
        let client = daemon.client();
        let grant: Value = call(&client, "/v1/tickets", Value::Null).await.json().unwrap();
        let hold = json!({
            "ticket": grant["ticket"], "selector": "hold", "key": "room 4",
            "request": { "key": "room 4" },
        });
        let client = daemon.client();
        let slow = monoio::spawn(async move { call(&client, "/v1/search", search()).await });
        let client = daemon.client();
        let held = monoio::spawn(async move { call(&client, "/v1/exclusive", hold).await });
        pause(300).await;

        daemon.send_sigterm();
        pause(300).await;
        let advised = daemon.get("/v1/entry").await;
        let ready = daemon.get("/readyz").await;
        let (slow, held) = (slow.await, held.await);
        let status = daemon.wait_for_exit().await;

        assert_eq!(advised.status, 200);
        assert_eq!(ready.status, 503);
        let answer: Value = slow.json().unwrap();
        assert_eq!((slow.status, &answer["coverage"]["covered"]), (200, &json!(3)), "{answer}");
        let outcome: Value = held.json().unwrap();
        assert_eq!(outcome["done"]["key"], "room 4", "{outcome}");
        assert_eq!(status.code(), Some(0));
    });
}

/// One of three daemons leaves gracefully and one is killed. An operator who checks
/// whether a change is in force everywhere must see the killed one, as the others
/// cannot tell whether it is dead, or partitioned and still serving. A daemon
/// that left gracefully is not listed.
#[test]
fn config_report_lists_a_killed_daemon_but_not_one_that_left() {
    run(async {
        let environment = environment(5.0);
        let first = Daemon::start(&environment, &[]).await;
        environment.publish().await;
        let mut killed = Daemon::start_with_seed(&environment, "n2", first.peer()).await;
        let mut leaving = Daemon::start_with_seed(&environment, "n3", first.peer()).await;
        let states = async || {
            let report: Value = first.get("/v1/config").await.json().unwrap();
            let nodes = report["nodes"].as_array().unwrap().iter();
            let summaries = nodes.map(|node| {
                let answered = !node["confirmation"].is_null();
                format!("{} {} {answered}", node["name"], node["state"]).replace('"', "")
            });
            summaries.collect::<Vec<String>>()
        };
        wait_until("all three", async || (states().await.len() == 3).then_some(())).await;

        leaving.send_sigterm();
        assert_eq!(leaving.wait_for_exit().await.code(), Some(0));
        killed.child.kill().unwrap();
        for state in ["n2 suspect false", "n2 gone false"] {
            let reported = async || states().await.contains(&state.to_owned());
            wait_until(state, async || reported().await.then_some(())).await;
        }

        assert_eq!(states().await, ["n1 up true", "n2 gone false"]);
    });
}

/// A VM is replaced by one of the same name while the earlier process is still
/// running and callers still have its address. The others know only the later
/// incarnation and send the earlier one no updates, so without a check it would
/// run forever unnoticed. It must serve until the advice of its callers has expired,
/// and then exit with the code that requests a restart.
#[test]
fn superseded_daemon_exits_with_its_own_code() {
    run(async {
        let environment = environment(5.0);
        let mut earlier = Daemon::start(&environment, &[]).await;
        environment.publish().await;
        earlier.wait_until_ready().await;
        let second = Daemon::start_with_seed(&environment, "n2", earlier.peer()).await;
        // The first daemon must have announced itself before the later one starts.
        // Until then, it would take a higher incarnation instead of being superseded.
        wait_until("advice with two nodes", async || {
            let advice: Value = second.get("/v1/entry").await.json().unwrap();
            (advice["addresses"].as_array().map(Vec::len) == Some(2)).then_some(())
        })
        .await;

        let later = Daemon::start_with_seed(&environment, "n1", second.peer()).await;
        later.wait_until_ready().await;
        wait_until("the end of its readiness", async || {
            let ready = earlier.get("/readyz").await.status == 200;
            (!ready).then_some(())
        })
        .await;
        let served = call(&earlier.client(), "/v1/search", search()).await;
        let status = earlier.wait_for_exit().await;
        let other = call(&later.client(), "/v1/search", search()).await;

        assert_eq!((served.status, other.status), (200, 200));
        assert_eq!(status.code(), Some(5));
    });
}

/// A second SIGTERM ends the daemon without waiting for the advice to expire.
#[test]
fn a_second_signal_ends_the_daemon_at_once() {
    run(async {
        let environment = environment(5.0);
        let mut daemon = Daemon::start(&environment, &[]).await;
        let start = Instant::now();

        daemon.send_sigterm();
        pause(100).await;
        daemon.send_sigterm();
        let status = daemon.wait_for_exit().await;

        assert_eq!(status.code(), Some(4));
        assert!(start.elapsed().as_millis() < 800, "{:?}", start.elapsed());
    });
}

#[test]
fn json_log_messages_start_with_a_component_prefix() {
    run(async {
        let environment = environment(5.0);
        let daemon = Daemon::start(&environment, &["--log-format", "json"]).await;

        let lines = daemon.lines.lock().unwrap().clone();

        for line in lines {
            let line: Value = serde_json::from_str(&line).unwrap();
            let message = line["fields"]["message"].as_str().unwrap().to_owned();
            let (part, _) = message.split_once(": ").unwrap();
            assert!(["net", "node", "member", "config"].contains(&part), "{message}");
        }
    });
}
