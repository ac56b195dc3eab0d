//! Shares of the free slots by demand, with updates that are late or lost.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyquay::policy::demand::DISPATCH_SPAN;
use daisyquay::policy::demand::Demands;
use daisyquay::policy::demand::MAX_NOTICE_BYTES;
use daisyquay::policy::demand::Notice;
use daisyquay::policy::demand::RecentDispatches;
use daisyquay::policy::gateway_queue::Occupancy;
use daisyquay::policy::gateway_queue::free_slots;

const SERVICE: u32 = 7;

const SLOTS: u32 = 64;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct Gateway {
    demands: Demands,
    demand: usize,
    /// Gateways in its directory.
    directory: usize,
    has_stopped: bool,
    /// When each gateway was last heard, and how many updates in a row were lost.
    heard: BTreeMap<u64, (Duration, u32)>,
}

/// Gateways that send each other updates, of which up to three in a row are lost.
struct Fleet {
    gateways: Vec<Gateway>,
    now: Duration,
    in_transit: Vec<(Duration, usize, usize, Notice)>,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            gateways: Vec::new(),
            now: Duration::ZERO,
            in_transit: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        };
        (0..count).for_each(|_| fleet.join(count));
        fleet
    }

    fn join(&mut self, directory: usize) {
        self.gateways.push(Gateway {
            directory,
            ..Gateway::default()
        });
    }

    /// Runs for `time`; after each step, the sum of what all gateways may add must not exceed the
    /// free slots by more than the stated number. With `varies`, demand changes at random. The
    /// gateways have not added any requests before; see
    /// `lost_numbers_of_requests_exceed_the_capacity_by_the_stated_number` for those that have.
    fn run(&mut self, time: Duration, varies: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(10);
            let now = self.now;
            for (_, from, to, notice) in self.in_transit.extract_if(.., |row| row.0 <= now) {
                let gateway = &mut self.gateways[to];
                gateway.demands.apply(from as u64, notice, now);
                gateway.heard.entry(from as u64).or_default().0 = now;
            }
            (0..self.gateways.len()).for_each(|from| self.step(from, varies));
            let running = self.gateways.iter().filter(|row| !row.has_stopped);
            let count = running.count() as u32;
            for (requests, extra) in [(0, 1 + SLOTS / 8), (SLOTS / 2 + 1, 1)] {
                let all = 0..self.gateways.len();
                let added: u32 = all.map(|i| self.may_add(i, requests)).sum();
                let free = SLOTS + SLOTS / 8 - requests;
                assert!(added <= free + count * extra, "{added} at {now:?}");
            }
        }
    }

    fn step(&mut self, from: usize, varies: bool) {
        let now = self.now;
        let gateway = &mut self.gateways[from];
        if gateway.has_stopped {
            return;
        }
        if varies && self.rng.u32(..40) == 0 {
            gateway.demand = self.rng.choice([0, 3, 20, 400]).unwrap();
        }
        gateway.heard.retain(|_, row| now < row.0 + ms(3_500));
        let heard = &gateway.heard;
        gateway.demands.retain(|row| heard.contains_key(&row));
        let notice = Notice::new([(SERVICE, gateway.demand)].into_iter());
        if !gateway.demands.is_due(&notice, now) && !now.as_millis().is_multiple_of(1_000) {
            return;
        }
        gateway.demands.record_published(notice.clone(), now);
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            if let Some((_, lost)) = self.gateways[to].heard.get_mut(&(from as u64)) {
                let is_lost = *lost < 3 && self.rng.bool();
                *lost = if is_lost { *lost + 1 } else { 0 };
                if is_lost {
                    continue;
                }
            }
            let at = now + ms(self.rng.u64(1..130));
            self.in_transit.push((at, from, to, notice.clone()));
        }
    }

    fn share(&self, i: usize) -> f64 {
        let gateway = &self.gateways[i];
        let gateways = gateway.directory.max(gateway.heard.len() + 1);
        let heard = gateway.heard.keys().copied();
        let demands = &gateway.demands;
        demands.share(SERVICE, gateways, heard, |_| true, self.now)
    }

    fn may_add(&self, i: usize, requests: u32) -> u32 {
        if self.gateways[i].has_stopped {
            return 0;
        }
        free_slots(&Occupancy {
            slots: SLOTS,
            requests,
            own: 0,
            own_before: 0,
            share: self.share(i),
        })
    }
}

/// Guards against more requests than the stated bound while demand changes and updates are lost.
#[test]
fn lost_updates_do_not_add_up_to_more_than_the_capacity() {
    for seed in 0..5 {
        Fleet::new(8, seed).run(ms(20_000), true);
    }
}

/// Guards against more requests than the stated bound while no gateway hears of the others'
/// requests for several windows: each counts its own as known again after a window.
#[test]
fn lost_numbers_of_requests_exceed_the_capacity_by_the_stated_number() {
    let shares = [0.5, 0.2, 0.1, 0.1, 0.05, 0.05];
    let n = shares.len() as u32;
    for others in [0, SLOTS / 2 + 1] {
        let free = SLOTS + SLOTS / 8 - others;
        let extra = if others == 0 { 1 + SLOTS / 8 } else { 1 };
        let mut own = [0; 6];
        for windows in 1..=8 {
            for (own, share) in own.iter_mut().zip(shares) {
                *own += free_slots(&Occupancy {
                    slots: SLOTS,
                    requests: others + *own,
                    own: *own,
                    own_before: *own,
                    share,
                });
            }
            let added: u32 = own.iter().sum();
            assert!(added <= (windows * (free + n * extra)).min(n * free));
            assert!(windows < 3 || added > free + n * extra, "{added}");
        }
    }
}

/// Guards against gateways that exceed the capacity when one joins or stops, also while the
/// replicas are not reached, so that only the new one has a directory with itself; and against
/// capacity that stays reserved for one that has stopped.
#[test]
fn shares_follow_gateways_that_join_and_stop() {
    let mut fleet = Fleet::new(6, 1);
    fleet.run(ms(4_000), true);
    fleet.join(8);
    fleet.join(8);
    fleet.run(ms(4_000), true);
    for i in [1, 6] {
        fleet.gateways[i].has_stopped = true;
    }
    fleet.run(ms(4_000), true);
    for i in 0..8 {
        fleet.gateways[i].demand = if i == 0 { 300 } else { 0 };
    }
    fleet.run(ms(1_500), false);
    assert!(fleet.share(0) > 0.75, "{}", fleet.share(0));
}

/// Guards against a gateway with more callers than the others that is limited to the same share.
#[test]
fn shares_follow_demand_within_one_second() {
    let mut fleet = Fleet::new(8, 2);
    for i in 0..8 {
        fleet.gateways[i].demand = 10;
    }
    fleet.run(ms(2_000), false);
    for (busiest, other) in [(0, 1), (1, 0)] {
        fleet.gateways[busiest].demand = 930;
        fleet.gateways[other].demand = 10;
        fleet.run(ms(1_000) - DISPATCH_SPAN, false);
        let share = fleet.share(busiest);
        assert!(share > 0.65, "{share}");
    }
}

/// Guards against gateways that are kept waiting, or take everything, because others do not publish
/// their demand: each of those with requests counts the same.
#[test]
fn gateways_of_unknown_demand_count_as_much_as_the_others_on_average() {
    let mut demands = Demands::default();
    for at in [0, 700] {
        demands.record_published(Notice::new([(SERVICE, 10)].into_iter()), ms(at));
    }
    let share = |busy: u64| demands.share(SERVICE, 5, 1..5, |run_id| run_id <= busy, ms(700));
    assert!((share(0) - 0.8).abs() < 1e-9);
    assert!((share(4) - (0.75 / 5.0 + 0.05)).abs() < 1e-9);
}

/// Guards against updates that exceed their limit, and a limit that drops the busiest services.
#[test]
fn notices_are_bounded_and_keep_the_busiest_services() {
    let rows = (0..100).map(|i| (u32::MAX - i, 60_000 + i as usize * 100));
    let notice = Notice::new(rows);
    let bytes = bincode::serde::encode_to_vec(Some(&notice), bincode::config::standard());
    assert!(bytes.unwrap().len() <= MAX_NOTICE_BYTES);
    let mut demands = Demands::default();
    demands.record_published(notice.clone(), ms(0));
    demands.record_published(notice, ms(700));
    let share = |service| demands.share(service, 2, [].into_iter(), |_| false, ms(700));
    assert!(share(u32::MAX - 99) > 0.8);
    assert!(share(u32::MAX) < 0.6);
    let mut dispatches = RecentDispatches::default();
    (0..5_000).for_each(|_| dispatches.record(ms(1)));
    assert!(dispatches.count(ms(1)) <= 1_024);
    assert_eq!(dispatches.count(ms(1) + DISPATCH_SPAN), 0);
}
