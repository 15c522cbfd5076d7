//! Tests that VM suspensions are distinguished from jitter between two clock reads.

use std::time::Duration;

use kumquatnotch_core::suspension::{SuspensionDetector, suspended_time};

const MS: Duration = Duration::from_millis(1);

/// Updates the detector with a sequence of clock offsets, in milliseconds.
fn update(detector: &mut SuspensionDetector, offsets: &[u32]) -> Duration {
    let mut offsets = offsets.iter().copied();
    detector.update(|| offsets.next().map_or(10_000 * MS, |offset| offset * MS), 4)
}

/// The VM is suspended for three seconds and later for two more. The monotonic clock
/// includes neither, so the detector must report their sum.
#[test]
fn suspensions_add_up() {
    let mut detector = SuspensionDetector::new();
    update(&mut detector, &[700, 700, 700, 700]);

    let first = update(&mut detector, &[3_700, 3_700, 3_700, 3_700]);
    let later = update(&mut detector, &[3_701]);
    let second = update(&mut detector, &[5_700, 5_700, 5_700, 5_700]);

    assert_eq!((first, later, second), (3_000 * MS, 3_000 * MS, 5_000 * MS));
}

/// Guards against a preemption between the two clock reads, longer than the tolerance,
/// being counted as a suspension. All leases and answers would then appear too old.
#[test]
fn pause_between_clock_reads_is_not_a_suspension() {
    let mut detector = SuspensionDetector::new();
    update(&mut detector, &[900, 700, 700, 700]);

    let total = update(&mut detector, &[800, 950, 701]);

    assert_eq!(total, Duration::ZERO);
}

#[test]
fn running_vm_reports_no_suspension() {
    assert_eq!((suspended_time(), suspended_time()), (Duration::ZERO, Duration::ZERO));
}
