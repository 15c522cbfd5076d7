//! Tests of the mechanisms that can be switched off.

use kumquatnotch_policy::mechanisms::{Mechanism, Mechanisms};

#[test]
fn each_mechanism_is_found_by_its_name() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
    }
    assert_eq!(Mechanism::CopyTime.to_string(), "copy-time");
    assert!("nothing".parse::<Mechanism>().unwrap_err().contains("copy-time"));
}

#[test]
fn only_what_is_named_is_switched_off() {
    for off in Mechanism::ALL {
        let mechanisms = Mechanisms::without(&[off]);
        assert!(!mechanisms.all_enabled());
        assert!(Mechanism::ALL.into_iter().all(|other| mechanisms.uses(other) == (other != off)));
    }
    assert!(Mechanisms::default().all_enabled());
}
