//! Telling a suspension of the VM from noise between two clocks.

use std::time::Duration;

use kumquatnotch_core::suspension::{SuspensionDetector, suspended_time};

const MS: Duration = Duration::from_millis(1);

/// Notes the leads of the boot clock one after the other.
fn update(detector: &mut SuspensionDetector, offsets: &[u32]) -> Duration {
    let mut offsets = offsets.iter().copied();
    detector.update(|| offsets.next().map_or(10_000 * MS, |offset| offset * MS), 4)
}

/// The VM is suspended for three seconds, and later for two more. The steady clock has
/// counted none of them, so they are added to it.
#[test]
fn suspensions_add_up() {
    let mut detector = SuspensionDetector::new();
    update(&mut detector, &[700, 700, 700, 700]);

    let first = update(&mut detector, &[3_700, 3_700, 3_700, 3_700]);
    let later = update(&mut detector, &[3_701]);
    let second = update(&mut detector, &[5_700, 5_700, 5_700, 5_700]);

    assert_eq!((first, later, second), (3_000 * MS, 3_000 * MS, 5_000 * MS));
}

/// The process is put aside for longer than the noise between the readings of the two
/// clocks. Taken for a suspension, it would make every lease and answer look old.
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
