//! Tests of the `explain` command on the logs of several processes.

use std::process::Command;

const LOG: &str = r#"
{"timestamp":"2026-01-01T00:00:00.100Z","level":"INFO","message":"front: answered","request":"a","route":"r","status":200,"reason":"answered","ms":90,"due_ms":100,"parts":10,"missing":0}
{"timestamp":"2026-01-01T00:00:00.150Z","level":"INFO","message":"call: a copy is sent","request":"b","service":"s1"}
{"timestamp":"2026-01-01T00:00:00.160Z","level":"INFO","message":"gather: shards are missing","request":"b","late":"s1 s2"}
{"timestamp":"2026-01-01T00:00:00.200Z","level":"INFO","message":"front: answered","request":"b","route":"r","status":200,"reason":"answered","ms":101,"due_ms":100,"parts":8,"missing":2}
{"timestamp":"2026-01-01T00:00:03.000Z","level":"INFO","message":"call: the reply was lost","request":"c","service":"s1"}
{"timestamp":"2026-01-01T00:00:03.100Z","level":"INFO","message":"gather: shards are missing","request":"c","late":"s1"}
{"timestamp":"2026-01-01T00:00:03.200Z","level":"INFO","message":"front: answered","request":"c","route":"r","status":200,"reason":"answered","ms":180,"due_ms":100,"parts":9,"missing":1}
{"timestamp":"2026-01-01T00:00:03.300Z","level":"INFO","message":"front: answered","request":"d","route":"q","status":503,"reason":"replicas are crowded","ms":0,"due_ms":100,"parts":0,"missing":10}
{"timestamp":"2026-01-01T00:00:03.400Z","level":"INFO","message":"front: answered","request":"e","route":"q","status":408,"reason":"the caller went away","ms":50,"due_ms":100,"parts":0,"missing":0}
"#;

fn explain(name: &str, log: &str) -> (Option<i32>, String) {
    explain_routes(name, log, &[])
}

fn explain_routes(name: &str, log: &str, routes: &[&str]) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("explain-{}-{name}.log", std::process::id()));
    std::fs::write(&path, log).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_kumquatnotch-ctl"));
    command.arg("explain");
    for route in routes {
        command.args(["--route", route]);
    }
    let output = command.arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn losses_are_reported_by_cause_and_time() {
    let (code, report) = explain("causes", LOG);

    let words = |line: &str| line.split_whitespace().collect::<Vec<&str>>().join(" ");
    let lines: Vec<String> = report.lines().map(words).collect();
    assert_eq!(code, Some(0));
    assert_eq!(lines[0], "5 requests, 2.4 answers lost (47.20 %)");
    // Two missing parts of ten lose 1 - 0.8 * 0.8 = 0.36 of an answer, half of it each.
    for line in [
        "1.0 20.00 1 q refused: replicas are crowded",
        "1.0 20.00 1 r late: too few parts in time, replies were lost",
        "0.2 3.60 1 r part: late, hedge also late",
        "0.2 3.60 1 r part: late, not hedged",
        "2.0 3 2.0 late: too few parts in time, replies were lost",
        "0.0 2 0.4 part: late, hedge also late",
    ] {
        assert!(lines.iter().any(|printed| printed == line), "{line}: {report}");
    }
}

#[test]
fn requests_of_other_routes_are_left_out() {
    let (code, report) = explain_routes("routes", LOG, &["r"]);

    assert_eq!(code, Some(0));
    assert!(report.starts_with("3 requests, 1.4 answers lost"), "{report}");
}

#[test]
fn calls_to_the_store_are_summed_over_nodes_and_time() {
    let line = |second: u32, kind: &str, answered: u32, refused: u32| {
        format!(
            "{{\"timestamp\":\"2026-01-01T00:00:{second:02}.000Z\",\"level\":\"INFO\",\
             \"message\":\"calls: made\",\"to\":\"store\",\"kind\":\"{kind}\",\
             \"answered\":{answered},\"refused\":{refused},\"unanswered\":1}}\n"
        )
    };
    let log = [line(10, "watch", 4, 0), line(20, "watch", 3, 2), line(20, "renew", 9, 0)].concat();

    let (code, report) = explain("calls", &(LOG.to_owned() + &log));

    let words = |line: &str| line.split_whitespace().collect::<Vec<&str>>().join(" ");
    let lines: Vec<String> = report.lines().map(words).collect();
    assert_eq!(code, Some(0));
    assert!(lines.contains(&"7 2 2 store, watch".to_owned()), "{report}");
    assert!(lines.contains(&"9 0 1 store, renew".to_owned()), "{report}");
}

#[test]
fn logs_without_requests_are_an_error() {
    let (code, report) = explain("empty", "nothing\n");

    assert_eq!((code, report.as_str()), (Some(1), ""));
}
