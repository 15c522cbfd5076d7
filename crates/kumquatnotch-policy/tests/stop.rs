//! Tests of the stop rule.

use std::time::Duration;

use kumquatnotch_core::document::StopSpec;
use kumquatnotch_policy::stop::{Progress, StopRule, TenantStop, WaitForAll};
use yare::parameterized;

fn spec(patience: f64, enough: f64) -> StopSpec {
    StopSpec { patience, enough }
}

fn progress(elapsed_ms: u64, covered: u32, open: u32) -> Progress {
    let elapsed = Duration::from_millis(elapsed_ms);
    Progress { elapsed, deadline: Duration::from_millis(1_000), asked: 50, covered, open }
}

#[parameterized(
    before_patience = { spec(0.5, 0.9), progress(499, 49, 1), false },
    enough_at_patience = { spec(0.5, 0.9), progress(500, 45, 5), true },
    too_thin_at_patience = { spec(0.5, 0.9), progress(500, 44, 6), false },
    waits_for_all = { spec(0.5, 1.0), progress(900, 49, 1), false },
    nothing_open = { spec(0.5, 1.0), progress(3, 40, 0), true },
    nothing_covered = { spec(0.0, 0.0), progress(900, 0, 50), false },
    not_a_number = { spec(f64::NAN, f64::NAN), progress(900, 49, 1), false },
    beyond_bounds = { spec(-3.0, 7.0), progress(900, 49, 1), false },
)]
fn a_tenant_trades_coverage_against_time(spec: StopSpec, progress: Progress, expected: bool) {
    assert_eq!(TenantStop.is_enough(&spec, &progress), expected);
}

#[parameterized(
    just_enough = { spec(0.5, 0.9), progress(9, 40, 5), true },
    too_few_left = { spec(0.5, 0.9), progress(9, 40, 4), false },
    all_wanted = { spec(0.5, 1.0), progress(9, 0, 49), false },
    none_wanted = { spec(0.5, 0.0), progress(9, 0, 0), true },
)]
fn a_query_cannot_suffice_once_too_few_shards_are_open(
    spec: StopSpec,
    progress: Progress,
    expected: bool,
) {
    assert_eq!(TenantStop.can_suffice(&spec, &progress), expected);
    assert!(WaitForAll.can_suffice(&spec, &progress));
}

#[parameterized(
    siam = { spec(0.5, 0.9), 500 },
    barid = { spec(0.5, 1.0), 1_000 },
)]
fn tenants_requiring_all_shards_wait_until_the_deadline(spec: StopSpec, expected_ms: u64) {
    let deadline = Duration::from_millis(1_000);

    let patience = TenantStop.patience(&spec, deadline);

    assert_eq!(patience.as_millis() as u64, expected_ms);
    assert_eq!(WaitForAll.patience(&spec, deadline), deadline);
}
