//! The times at which gateways renew that have started together.

use std::time::Duration;

use daisyquay::lease::RENEWAL_INTERVAL;
use daisyquay::policy::renewal_timing::EARLY_RENEWAL_INTERVAL;
use daisyquay::policy::renewal_timing::Progress;
use daisyquay::policy::renewal_timing::RenewalTiming;

/// Time for which a replica has held the first renewal.
const HELD: Duration = Duration::from_millis(400);

fn granted(phase: f64) -> RenewalTiming {
    let mut timing = RenewalTiming::new(phase);
    timing.record_grant(HELD);
    timing
}

/// Guards against a second renewal, and a list of gateways, before the others have introduced
/// themselves.
#[test]
fn gateway_without_a_list_waits_for_the_others_from_its_grant() {
    let mut timing = granted(0.5);
    let delay = timing.next_delay(Progress::Complete, false, Duration::ZERO, HELD);
    assert_eq!(delay, EARLY_RENEWAL_INTERVAL);
    assert!(!timing.may_list_gateways(HELD + delay / 2));
    assert!(timing.may_list_gateways(HELD + delay));
}

/// Guards against gateways that load the replicas with attempts which can't succeed.
#[test]
fn attempts_without_a_reply_become_rarer_and_a_rejected_update_is_not_fetched_early() {
    let mut timing = granted(0.5);
    let mut delay_ms = |progress| {
        timing
            .next_delay(progress, true, HELD, HELD + Duration::from_millis(1))
            .as_millis()
    };
    let delays = [(); 6].map(|()| delay_ms(Progress::Unavailable));
    assert_eq!(delays, [40, 80, 160, 320, 400, 400]);
    assert_eq!(delay_ms(Progress::Partial), 0);
    delay_ms(Progress::Complete);
    assert_eq!(delay_ms(Progress::Rejected), 399);
}

/// Guards against gateways that renew at the same moments for good, because replicas have released
/// their first renewals at once.
#[test]
fn gateways_released_at_once_spread_over_the_interval() {
    let renewals = [0.0, 0.25, 0.5, 0.75].map(|phase| {
        let mut timing = granted(phase);
        let mut sent_at = Duration::ZERO;
        [HELD, HELD * 2].map(|now| {
            let now = now.max(sent_at);
            sent_at = now + timing.next_delay(Progress::Complete, true, sent_at, now);
            sent_at
        })
    });
    for (i, [first, second]) in (0..).zip(renewals) {
        assert_eq!(first, HELD + RENEWAL_INTERVAL / 4 * i);
        assert_eq!(second, first + RENEWAL_INTERVAL);
    }
}
