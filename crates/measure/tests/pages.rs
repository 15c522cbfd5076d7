//! The pages name only tests, files and commands that are there.

#[path = "pages/references.rs"]
mod references;
#[path = "pages/repository.rs"]
mod repository;

use std::{fs, path::Path};

use repository::Repository;
use yare::parameterized;

/// Guards against pages that name what was renamed or removed, and so promise a check that nothing
/// makes.
#[test]
fn pages_name_only_what_is_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let repository = Repository::read(&root).unwrap();
    let is_page = |path: &&String| {
        let in_docs = path.strip_prefix("docs/").is_some_and(|name| !name.contains('/'));
        ["README.md", "DEVELOPERS.md"].contains(&path.as_str()) || in_docs && path.ends_with(".md")
    };
    let pages: Vec<&String> = repository.paths.iter().filter(is_page).collect();

    let missing = pages.iter().flat_map(|page| {
        let text = fs::read_to_string(root.join(page)).unwrap();
        references::missing(&repository, page, &text)
    });
    let missing: Vec<String> = missing.collect();

    assert!(pages.len() > 10, "{pages:?}");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

fn repository() -> Repository {
    let mut repository = Repository::default();
    let sources = [
        ("crates/kumquatnotch-route/Cargo.toml", "[package]\nname = \"kumquatnotch-route\""),
        ("crates/kumquatnotch-route/src/journal.rs", "const MAX_EVENTS: usize = 1;"),
        ("crates/kumquatnotch-route/tests/store.rs", "fn a_lost_watch_is_retried() {}"),
        ("crates/kumquatnotch-ctl/Cargo.toml", "[package]\nname = \"kumquatnotch-ctl\""),
        ("crates/kumquatnotch-ctl/src/main.rs", "struct Story { request: String, beliefs: u32 }"),
        ("scripts/test", "SOAK_NODES=3"),
    ];
    sources.iter().for_each(|(name, text)| repository.add_source(name, text));
    for path in ["crates", "docs", "docs/PROOFS.md", "README.md", "scripts", "target"] {
        repository.paths.insert(path.to_owned());
    }
    repository
}

/// Guards against a check that finds nothing: each of these names something that isn't there.
#[parameterized(
    test = { "`a_hanging_platform_ends_in_time` [platform]", "test a_hanging_platform_ends_in_time" },
    after_code_of_two_lines = { "`scripts/test\n--all` and `an_old_test_of_it`", "test an_old_test_of_it" },
    test_of_another_crate = { "`a_lost_watch_is_retried` [ctl]", "test a_lost_watch_is_retried in crates/kumquatnotch-ctl/" },
    variable = { "with `SOAK_SEEDS`", "name SOAK_SEEDS" },
    metric = { "`kumquatnotch_old_total`", "name kumquatnotch_old_total" },
    file = { "in route/copies.rs, since", "file route/copies.rs" },
    file_in_code = { "`crates/kumquatnotch-route/src/copies.rs`", "file crates/kumquatnotch-route/src/copies.rs" },
    directory = { "`crates/kumquatnotch-holder`", "path crates/kumquatnotch-holder" },
    link = { "[proofs](PROOF.md)", "page PROOF.md" },
    script = { "`scripts/check --all`", "command scripts/check" },
    package = { "`cargo test -p kumquatnotch-holder`", "package kumquatnotch-holder" },
    test_file = { "`cargo test -p kumquatnotch-route --test copies`", "test file crates/kumquatnotch-route/tests/copies.rs" },
    program = { "```\ntarget/release/kumquatnotch-old --x\n```", "program kumquatnotch-old" },
    option = { "```\n$ kumquatnotch-ctl story ID --opinions 2\n```", "option --opinions of crates/kumquatnotch-ctl" },
)]
fn name_of_something_missing_is_found(text: &str, expected: &str) {
    let missing = references::missing(&repository(), "docs/DESIGN.md", text);

    let found = missing.iter().any(|line| line.ends_with(&format!("no {expected}")));
    assert!(found, "{missing:?}");
}

/// Guards against a check that objects to what is there, or to what only looks like a name.
#[parameterized(
    test = { "`a_lost_watch_is_retried` [route]" },
    tests_of_two_crates = { "| `a_lost_watch_is_retried`, `store.rs` [route], `tests` [ctl] |" },
    variable = { "with `SOAK_NODES`" },
    end_of_a_name = { "`_NODES`" },
    file = { "route/journal.rs, `store.rs` and docs/PROOFS.md." },
    link = { "[proofs](PROOFS.md#runs), [start](../README.md), [site](https://example.org/x)" },
    package = { "`cargo test -p kumquatnotch-route --test store a_lost`" },
    placeholder = { "`cargo test -p CRATE --test NAME`, `crates/NAME/src`" },
    command = { "```\n$ kumquatnotch-ctl story ID logs/*.log --beliefs 2   # comment\n```" },
    route = { "`GET /v1/follow?after=REVISION`, `/readyz`" },
)]
fn name_of_something_there_is_accepted(text: &str) {
    let missing = references::missing(&repository(), "docs/DESIGN.md", text);

    assert!(missing.is_empty(), "{missing:?}");
}
