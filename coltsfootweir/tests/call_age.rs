//! Age of calls when the clocks of the two VMs differ or jump.

use std::time::Duration;

use coltsfootweir::sidecar::link::call_age::CallAge;
use proptest::prelude::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn usual_delays_are_none() {
    let mut age = CallAge::default();
    for number in 0..100 {
        let sent = 5_000 + number * 10;
        let delay = age.delay(sent, ms(900 + number * 10 + number % 7 * 30));
        assert_eq!(delay, Duration::ZERO);
    }
}

#[test]
fn call_that_was_held_up_is_told_by_its_delay() {
    let mut age = CallAge::default();
    assert_eq!(age.delay(1_000, ms(50)), Duration::ZERO);
    // Sent 200 ms later, received 2.2 s later.
    assert_eq!(age.delay(1_200, ms(2_250)), ms(2_000));
    assert_eq!(age.delay(2_300, ms(1_350)), Duration::ZERO);
}

#[test]
fn first_call_that_was_held_up_is_found_out_by_the_next() {
    let mut age = CallAge::default();
    assert_eq!(age.delay(1_000, ms(3_000)), Duration::ZERO);
    assert_eq!(age.delay(2_900, ms(3_000)), Duration::ZERO);
    assert_eq!(age.delay(2_000, ms(3_000)), ms(900));
}

proptest! {
    /// Whatever is sent, the delay is bounded by the difference of the times and nothing overflows.
    #[test]
    fn any_times_give_a_delay(times in prop::collection::vec((any::<u64>(), 0..u64::MAX / 2), 1..20)) {
        let mut age = CallAge::default();
        for (sent, now) in times {
            let delay = age.delay(sent, ms(now));
            prop_assert!(delay.is_zero() || delay > ms(250));
        }
    }
}
