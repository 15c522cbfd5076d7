//! Tests of the `story` command on the logs of several processes.

use std::{path::PathBuf, process::Command};

const ONE: &str = r#"
{"timestamp":"2026-01-01T00:00:00.100Z","level":"INFO","message":"replica: suspected","replica":"i-9"}
{"timestamp":"2026-01-01T00:00:00.150Z","level":"INFO","message":"front: answered","request":"other","status":200}
{"timestamp":"2026-01-01T00:00:00.300Z","level":"INFO","message":"front: answered","request":"id-1","status":502}
{"timestamp":"2026-01-01T00:00:00.400Z","level":"INFO","message":"replica: answers again","replica":"i-9"}
"#;

const TWO: &str = r#"
not a line of the log
{"timestamp":"2026-01-01T00:00:00.200Z","level":"INFO","message":"relay: gathered","request":"id-1","parts":3}
"#;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("story-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("n1.log"), ONE).unwrap();
    std::fs::write(folder.join("n2.log"), TWO).unwrap();
    folder
}

fn story(folder: &std::path::Path, args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kumquatnotch-ctl"));
    command.arg("story").args(args).arg(folder.join("n1.log")).arg(folder.join("n2.log"));
    let output = command.output().unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn lines_of_a_request_are_printed_in_order_with_earlier_state() {
    let folder = folder("told");

    let (code, output_text) = story(&folder, &["id-1"]);

    std::fs::remove_dir_all(&folder).unwrap();
    let lines: Vec<&str> = output_text.lines().collect();
    assert_eq!(code, Some(0));
    assert_eq!(lines.len(), 3);
    assert!(lines[0].contains("n1 replica: suspected replica=i-9"));
    assert!(lines[1].contains("n2 relay: gathered parts=3"));
    assert!(lines[2].contains("n1 front: answered status=502"));
}

#[test]
fn unknown_request_is_an_error() {
    let folder = folder("unknown");

    let (code, output_text) = story(&folder, &["id-7", "--beliefs", "0"]);

    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!((code, output_text.as_str()), (Some(1), ""));
}
