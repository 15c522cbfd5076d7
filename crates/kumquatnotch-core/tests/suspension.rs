//! Telling a suspension of the VM from noise between two clocks.

use std::time::Duration;

use kumquatnotch_core::suspension::{Suspension, suspended};

const MS: Duration = Duration::from_millis(1);

/// Notes the leads of the boot clock one after the other.
fn note(suspension: &mut Suspension, leads: &[u32]) -> Duration {
    let mut leads = leads.iter().copied();
    suspension.note(|| leads.next().map_or(10_000 * MS, |lead| lead * MS), 4)
}

/// The VM is suspended for three seconds, and later for two more. The steady clock has
/// counted none of them, so they are added to it.
#[test]
fn suspensions_add_up() {
    let mut suspension = Suspension::new();
    note(&mut suspension, &[700, 700, 700, 700]);

    let first = note(&mut suspension, &[3_700, 3_700, 3_700, 3_700]);
    let later = note(&mut suspension, &[3_701]);
    let second = note(&mut suspension, &[5_700, 5_700, 5_700, 5_700]);

    assert_eq!((first, later, second), (3_000 * MS, 3_000 * MS, 5_000 * MS));
}

/// The process is put aside for longer than the noise between the readings of the two
/// clocks. Taken for a suspension, it would make every lease and answer look old.
#[test]
fn a_pause_between_two_readings_is_none() {
    let mut suspension = Suspension::new();
    note(&mut suspension, &[900, 700, 700, 700]);

    let total = note(&mut suspension, &[800, 950, 701]);

    assert_eq!(total, Duration::ZERO);
}

#[test]
fn a_vm_that_runs_was_not_suspended() {
    assert_eq!((suspended(), suspended()), (Duration::ZERO, Duration::ZERO));
}
