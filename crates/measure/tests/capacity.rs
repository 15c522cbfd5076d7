//! Checks docs/CAPACITY.md against the capacity calculation.

use std::{fs, path::Path};

use measure::{
    capacity::{Derived, Grouping, Inputs, Law, Series},
    capacity_rows::{rows, table},
};
use yare::parameterized;

const START: &str = "<!-- the table of `measure capacity` -->\n";
const END: &str = "<!-- its end -->";

/// Guards against a stale page: after a figure in docs/capacity.toml is measured again, the
/// page would keep the old table, and its readers would plan with outdated figures.
#[test]
fn the_page_has_the_current_table() {
    let inputs = inputs();
    let page = read("docs/CAPACITY.md");

    let (_, rest) = page.split_once(START).expect("the page has the start marker of the table");
    let (found, _) = rest.split_once(END).expect("the page has the end marker of the table");

    assert_eq!(found, table(&inputs), "replace the table with the output of `measure capacity`");
}

/// Guards against rows that refer to a source file that has been moved or renamed.
#[test]
fn every_source_file_named_in_a_row_exists() {
    for row in rows(&inputs()) {
        for word in row.mechanism.split([' ', ',', ';']).filter(|word| word.ends_with(".rs")) {
            let (name, rest) = word.split_once('/').expect("the path has a crate and a file");
            let name = match name {
                "kumquatnotch" => name.to_owned(),
                _ => format!("kumquatnotch-{name}"),
            };
            let path = root().join("crates").join(name).join(rest);
            assert!(path.is_file(), "{} of {:?}", path.display(), row.what);
        }
    }
}

/// Guards against figures that cannot be reproduced.
#[test]
fn every_figure_has_a_command_and_a_date() {
    let inputs = inputs();
    let values = inputs.value.iter().map(|(name, value)| (name, &value.command, &value.date));
    let series = inputs.series.iter().map(|(name, series)| (name, &series.command, &series.date));

    for (name, command, date) in values.chain(series) {
        let names = ["measure ", "example "].iter().any(|program| command.contains(program));
        assert!(names, "{name}");
        assert!(date.len() == "2026-12-02 20:00".len(), "{name}");
    }
}

/// Guards against a misspelt input name: a row whose input is not in capacity.toml has no
/// amount and would stay "not measured".
#[test]
fn rows_without_an_amount_have_an_input_that_was_not_measured() {
    let inputs = inputs();
    for row in rows(&inputs).iter().filter(|row| row.amount.is_none()) {
        let names: Vec<&str> = row.from.split(", ").collect();
        let known =
            |name: &&&str| inputs.value.contains_key(**name) || inputs.series.contains_key(**name);
        assert!(names.iter().filter(known).count() < names.len(), "{:?}", row.what);
    }
}

#[test]
fn the_size_yields_the_specified_figures() {
    let mut inputs = inputs();
    inputs.design.grouping = Grouping::Hash;
    let derived = Derived::new(&inputs);

    assert_eq!(derived.queries, 200.0);
    assert_eq!(derived.sub_requests, 320_000.0);
    assert_eq!(derived.at_replica.round(), 64_681.0);
    assert_eq!(derived.groups, 256.0);
    assert!(derived.met > 255.0 && derived.met < 256.0);
}

#[test]
fn a_query_reaches_only_the_groups_of_its_selector() {
    let mut inputs = inputs();
    inputs.design.grouping = Grouping::Selector;

    let derived = Derived::new(&inputs);

    // 1,600 shards in groups of 20 make 80 groups, rounded up to 128.
    assert_eq!(derived.groups, 3.0 * 128.0);
    assert!(derived.met > 127.0 && derived.met <= 128.0);
}

#[parameterized(
    linear = { Law::Linear, &[(10.0, 7.0), (20.0, 12.0), (30.0, 17.0)], 2.0, 0.5 },
    logarithm = { Law::Logarithm, &[(2.0, 4.0), (8.0, 10.0)], 1.0, 3.0 },
)]
fn a_fit_finds_the_line_through_the_points(law: Law, points: &[(f64, f64)], base: f64, slope: f64) {
    let series = Series {
        points: points.to_vec(),
        law,
        unit: String::new(),
        command: String::new(),
        date: String::new(),
    };

    let (found_base, found_slope) = series.fit().expect("two or more points have a fit");

    assert!((found_base - base).abs() < 1e-9);
    assert!((found_slope - slope).abs() < 1e-9);
}

#[test]
fn a_single_point_has_no_fit() {
    let series = Series {
        points: vec![(9.0, 1.0)],
        law: Law::Linear,
        unit: String::new(),
        command: String::new(),
        date: String::new(),
    };

    assert!(series.fit().is_none());
}

fn inputs() -> Inputs {
    Inputs::parse(&read("docs/capacity.toml")).expect("the file is valid")
}

fn read(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("the file can be read")
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}
