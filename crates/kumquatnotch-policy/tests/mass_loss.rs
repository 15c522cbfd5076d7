//! Lost parts of a search: which are sent again, and when.

use kumquatnotch_policy::mass_loss::{Advice, MassLoss};

/// Sends lost parts again as far as this is advised; returns how many wait.
fn lose(losses: &MassLoss, count: u32) -> usize {
    let mut waiting = 0;
    for _ in 0..count {
        losses.note_lost(None);
        match losses.advice() {
            Advice::Retry => losses.begin_retry(),
            Advice::Wait => waiting += 1,
            Advice::GiveUp => {}
        }
    }
    waiting
}

/// Guards against a search that crashes one replica of each shard, and then the other one of each.
#[test]
fn search_that_loses_all_its_parts_is_retried_at_two_shards() {
    let losses = MassLoss::default();

    let waiting = lose(&losses, 20);
    losses.end_retry(false);
    let meanwhile = losses.advice();
    losses.end_retry(false);

    assert_eq!((waiting, meanwhile, losses.advice()), (18, Advice::Wait, Advice::GiveUp));
}

/// Guards against a search that misses the parts of a lost rack, although other replicas have them.
#[test]
fn search_that_loses_a_rack_is_retried_after_the_first_reply() {
    let losses = MassLoss::default();

    lose(&losses, 7);
    losses.end_retry(true);

    assert_eq!(losses.advice(), Advice::Retry);
    assert!(!losses.is_alarming());
}

#[test]
fn single_loss_is_retried_at_once() {
    let losses = MassLoss::default();

    assert_eq!(lose(&losses, 2), 0);
    assert_eq!(losses.advice(), Advice::Retry);
}
