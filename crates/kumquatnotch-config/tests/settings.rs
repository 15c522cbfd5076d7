//! Tests of settings and documents in TOML.

use kumquatnotch_config::{
    fault::Fault,
    files::{self, FileText},
    settings::Settings,
};
use yare::parameterized;

const GOOD_SETTINGS: &str = r#"
[node]
name = "n1"
centre = "amman"
region = "jordan"

[platform]
address = "127.0.0.1:7400"
timeout = "500ms"
"#;

const GOOD_DOCUMENT: &str = r#"
[regions]
amman = "jordan"

[selectors.desk]
targets = "role = desk"
class = "desk"
tenants = ["petra"]

[tenants.petra]
keys = ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]

[targets.t1]
address = "127.0.0.1:9001"
centre = "amman"
shard = "s1"
labels = { role = "desk" }
"#;

fn file(text: &str) -> FileText {
    FileText { name: "doc.toml".to_owned(), text: text.to_owned() }
}

fn lines(faults: &[Fault]) -> Vec<String> {
    faults.iter().map(Fault::to_string).collect()
}

#[test]
fn good_settings_are_read_with_defaults() {
    let settings = Settings::parse("node.toml", GOOD_SETTINGS).unwrap();

    assert_eq!(settings.node.name, "n1");
    assert_eq!(settings.platform.timeout.as_millis(), 500);
    assert_eq!(settings.groups.holders, 1);
}

/// The file has five faults of four kinds. If only the first were reported,
/// an operator would need five starts of the node to find them all.
#[test]
fn every_fault_is_reported_with_path_line_and_reason() {
    let text = r#"
[node]
name = "n 1"
centre = "amman"
region = 5

[platform]
address = "127.0.0.1:7400"
timeout = "soon"

[limits]
body = 12
bodies = 3
"#;

    let faults = Settings::parse("node.toml", text).unwrap_err();

    let text = lines(&faults).join("\n");
    assert!(text.contains("node.toml:3: node.name: only letters"), "{text}");
    assert!(text.contains("node.toml:5: node.region: invalid type"), "{text}");
    assert!(text.contains("node.toml:9: platform.timeout: "), "{text}");
    assert!(text.contains("node.toml:12: limits.body: "), "{text}");
    assert!(text.contains("node.toml:13: limits.bodies: unknown field"), "{text}");
    assert_eq!(faults.len(), 5, "{text}");
}

#[test]
fn every_violated_bound_is_reported() {
    let text = GOOD_SETTINGS.replace("n1", "n 1") + "[limits]\nbody = 12\nconnections = 0\n";

    let faults = Settings::parse("node.toml", &text).unwrap_err();

    let text = lines(&faults).join("\n");
    assert!(text.contains("node.toml:3: node.name: only letters"), "{text}");
    assert!(text.contains("node.toml:11: limits.body: "), "{text}");
    assert!(text.contains("node.toml:12: limits.connections: "), "{text}");
}

#[test]
fn a_missing_section_is_a_fault() {
    let faults = Settings::parse("node.toml", "").unwrap_err();

    let text = lines(&faults).join("\n");
    assert!(text.contains("node.name: is missing"), "{text}");
    assert!(text.contains("platform.address"), "{text}");
}

#[test]
fn broken_syntax_is_reported_with_its_line() {
    let faults = Settings::parse("node.toml", "[node]\nname = \n[platform\n").unwrap_err();

    let text = lines(&faults).join("\n");
    assert!(text.contains("node.toml:2: "), "{text}");
    assert!(text.contains("node.toml:3: "), "{text}");
}

#[test]
fn a_good_document_is_read() {
    let document = files::parse(&[file(GOOD_DOCUMENT)]).unwrap();

    assert_eq!(document.targets.len(), 1);
    assert_eq!(document.rules.selectors.len(), 1);
}

#[parameterized(
    unknown_tenant = { "tenants = [\"petra\"]", "tenants = [\"rum\"]",
        "doc.toml:8: selectors.desk.tenants: unknown tenant rum" },
    unknown_centre = { "centre = \"amman\"", "centre = \"aqaba\"",
        "doc.toml:15: targets.t1.centre: data centre aqaba has no region" },
    broken_key = { "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "secret",
        "doc.toml:11: tenants.petra.keys: expected the SHA-256 digest of a key" },
    bad_expression = { "role = desk\"", "role = \"", "doc.toml:6: selectors.desk.targets: " },
    odd_label = { "labels =", "labls =", "doc.toml:17: targets.t1.labls: unknown field" },
    no_shard = { "shard = \"s1\"\n", "", "doc.toml:13: targets.t1: missing field `shard`" },
)]
fn document_fault_is_reported(good: &str, bad: &str, expected: &str) {
    let text = GOOD_DOCUMENT.replacen(good, bad, 1);

    let faults = files::parse(&[file(&text)]).unwrap_err();

    let text = lines(&faults).join("\n");
    assert!(text.contains(expected), "{text}");
}

/// With a key listed under two tenants, callers of one would be authorised as
/// the other and see the private rates of a competitor.
#[test]
fn key_shared_by_two_tenants_is_refused() {
    let rival = "\n[tenants.rum]\nkeys = [\"KEY\"]\n";
    let key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    let text = GOOD_DOCUMENT.to_owned() + &rival.replace("KEY", key);

    let faults = files::parse(&[file(&text)]).unwrap_err();

    assert!(lines(&faults)[0].contains("has the same key"), "{faults:?}");
}

#[test]
fn an_entry_in_two_files_is_refused() {
    let faults = files::parse(&[file(GOOD_DOCUMENT), file("[regions]\namman = \"x\"\n")]);

    let text = lines(&faults.unwrap_err()).join("\n");
    assert_eq!(text, "doc.toml:2: regions.amman: already defined in another file");
}
