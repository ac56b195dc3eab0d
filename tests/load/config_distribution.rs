//! Storms of large configurations that two hundred gateways on slow links need at once.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use daisyquay::config::Inventory;
use daisyquay::config::Organisation;
use daisyquay::config::Route;
use daisyquay::config::WeightedService;
use daisyquay::peer::ConfigUpdate;
use daisyquay::peer::ConfigView;
use daisyquay::replica::ConfigHistory;

const GATEWAYS: usize = 200;
const REPLICAS: usize = 5;
const REPLICA_BYTES_PER_S: f64 = 100e6 / 8.0;
const GATEWAY_BYTES_PER_S: f64 = 10e6 / 8.0;
const ROUND_TRIP: Duration = Duration::from_millis(2);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
const MAX_GRANTED_BYTES: usize = 16 * 1024;

/// The platform's limit from the acknowledgement of a configuration until it is in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

fn route(name: String) -> Route {
    Route {
        host: "a1b2c3.example".into(),
        prefix: format!("/{name}/").into(),
        name: name.into(),
        repeat: daisyquay::config::RetryPolicy::Idempotent,
        timeout_ms: 2500,
        target_ms: 150,
        rank: 2,
        ladder: Vec::new(),
        split: vec![WeightedService {
            service: "app".into(),
            weight: 1,
        }],
        attempts: 2,
        anonymous: false,
        affinity: false,
        resume: false,
        gap_ms: 0,
        regions: Vec::new(),
    }
}

/// Returns a configuration with `routes` routes whose names are hard to compress.
fn view(revision: u64, routes: usize) -> ConfigView {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut word = move || -> String { (0..8).map(|_| rng.alphanumeric()).collect() };
    let mut names: Vec<String> = (0..routes).map(|_| word()).collect();
    // Each revision has one route that the others lack.
    names.push(format!("only-{revision}"));
    let organisations = (0..40)
        .map(|i| Organisation {
            name: format!("organisation-{i}").into(),
            key_sha256: Vec::new(),
            weight: 1,
            rank: 0,
            quality_target: 0.5,
            allowed: Vec::new(),
            regions: Vec::new(),
        })
        .collect();
    ConfigView {
        revision,
        inventory: Arc::new(Inventory {
            organisations,
            routes: names.into_iter().map(route).collect(),
            ..Inventory::default()
        }),
        ..ConfigView::default()
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// The next revision is committed.
    Commit,
    /// A gateway renews or asks for an update again.
    Renew(usize),
}

/// Gateways and replicas as state machines over links of limited width.
struct Fleet {
    /// Revision held by each gateway, and the position of the replica that it asks next.
    gateways: Vec<(ConfigView, usize)>,
    history: ConfigHistory,
    /// When each replica's link has sent all that was asked of it.
    free_at: Vec<Duration>,
    /// When the leader and the replica beside it are lost; another leader is elected in a second.
    leader_lost_at: Option<Duration>,
    /// Whether the leader sends the whole configuration, uncompressed, in each grant.
    sends_whole: bool,
    /// The newest revision that all gateways hold, and since when.
    everywhere: Vec<(u64, Duration)>,
}

impl Fleet {
    fn new(leader_lost_at: Option<Duration>, sends_whole: bool) -> Self {
        let mut history = ConfigHistory::default();
        history.record(view(1, 40));
        Self {
            gateways: (0..GATEWAYS).map(|i| (view(1, 40), i)).collect(),
            history,
            free_at: vec![Duration::ZERO; REPLICAS],
            leader_lost_at,
            sends_whole,
            everywhere: vec![(1, Duration::ZERO)],
        }
    }

    fn leader(&self, now: Duration) -> Option<usize> {
        match self.leader_lost_at {
            Some(lost_at) if now >= lost_at + Duration::from_secs(1) => Some(2),
            Some(lost_at) if now >= lost_at => None,
            _ => Some(0),
        }
    }

    fn is_lost(&self, replica: usize, now: Duration) -> bool {
        replica < 2 && self.leader_lost_at.is_some_and(|lost_at| now >= lost_at)
    }

    /// Returns when `bytes` from a replica have arrived at a gateway.
    fn transfer(&mut self, replica: usize, bytes: usize, now: Duration) -> Duration {
        let bytes = bytes as f64;
        let sent = (now + ROUND_TRIP).max(self.free_at[replica])
            + Duration::from_secs_f64(bytes / REPLICA_BYTES_PER_S);
        self.free_at[replica] = sent;
        sent + Duration::from_secs_f64(bytes / GATEWAY_BYTES_PER_S)
    }

    /// One renewal of a gateway; returns the time of the next.
    fn renew(&mut self, gateway: usize, now: Duration) -> Duration {
        let Some(leader) = self.leader(now) else {
            return now + RETRY_INTERVAL;
        };
        let held = self.gateways[gateway].0.revision;
        let Some(update) = self.history.update_from(held) else {
            return now + RENEWAL_INTERVAL;
        };
        let is_granted = self.sends_whole || update.size() <= MAX_GRANTED_BYTES;
        let source = if is_granted {
            leader
        } else {
            self.gateways[gateway].1 % REPLICAS
        };
        let bytes = if self.sends_whole {
            // About what one route takes in an uncompressed configuration.
            150 * view(1, 40 + 1732).inventory.routes.len()
        } else {
            update.size()
        };
        let arrived = self.transfer(source, bytes, now);
        if self.is_lost(source, now) || arrived > now + CALL_TIMEOUT {
            self.gateways[gateway].1 += 1;
            return now + CALL_TIMEOUT + RETRY_INTERVAL;
        }
        self.hold(gateway, &update, arrived);
        arrived.max(now + RENEWAL_INTERVAL)
    }

    fn hold(&mut self, gateway: usize, update: &ConfigUpdate, now: Duration) {
        let held = &mut self.gateways[gateway].0;
        *held = update.apply(held).unwrap();
        let oldest = self.gateways.iter().map(|(held, _)| held.revision).min();
        let (known, _) = *self.everywhere.last().unwrap();
        if let Some(oldest) = oldest.filter(|&oldest| oldest > known) {
            self.everywhere.push((oldest, now));
        }
    }

    /// Commits the views at their times and returns how long each took to be in force everywhere;
    /// `None` for one that never was.
    fn play(&mut self, commits: Vec<(Duration, ConfigView)>) -> Vec<Option<Duration>> {
        let mut events: BinaryHeap<Reverse<(Duration, Event)>> = (0..GATEWAYS)
            .map(|i| {
                Reverse((
                    RENEWAL_INTERVAL.mul_f64(i as f64 / GATEWAYS as f64),
                    Event::Renew(i),
                ))
            })
            .chain(commits.iter().map(|&(at, _)| Reverse((at, Event::Commit))))
            .collect();
        let mut pending = commits.clone().into_iter();
        while let Some(Reverse((now, event))) = events.pop() {
            if now > Duration::from_secs(20) {
                break;
            }
            match event {
                Event::Commit => self.history.record(pending.next().unwrap().1),
                Event::Renew(gateway) => {
                    let next = self.renew(gateway, now);
                    events.push(Reverse((next, Event::Renew(gateway))));
                }
            }
        }
        let in_force = |revision: u64, at: Duration| {
            let reached = self.everywhere.iter().find(|(held, _)| *held >= revision);
            reached.map(|(_, since)| since.saturating_sub(at))
        };
        let times = commits
            .iter()
            .map(|(at, view)| in_force(view.revision, *at));
        times.collect()
    }
}

/// A change that adds 1,732 routes, then nine small ones in quick succession.
fn storm() -> Vec<(Duration, ConfigView)> {
    let start = Duration::from_secs(5);
    (0..10)
        .map(|i| {
            (
                start + Duration::from_millis(330) * i,
                view(2 + u64::from(i), 40 + 1732),
            )
        })
        .collect()
}

#[track_caller]
fn assert_in_force_in_time(times: &[Option<Duration>]) {
    for time in times {
        assert!(time.is_some_and(|time| time <= IN_FORCE_LIMIT), "{times:?}");
    }
}

#[test]
fn large_configuration_is_in_force_at_all_gateways_in_time() {
    assert_in_force_in_time(&Fleet::new(None, false).play(storm()));
}

#[test]
fn large_configuration_is_in_force_in_time_while_the_leader_and_another_replica_are_lost() {
    for lost_ms in [5050, 5200, 5500, 6500] {
        let mut fleet = Fleet::new(Some(Duration::from_millis(lost_ms)), false);
        assert_in_force_in_time(&fleet.play(storm()));
    }
}

/// The baseline: whole configurations from the leader alone.
#[test]
fn whole_configurations_from_the_leader_alone_come_too_late() {
    let times = Fleet::new(None, true).play(storm());
    let late = |time: &Option<Duration>| time.is_none_or(|time| time > IN_FORCE_LIMIT);
    assert!(times.iter().any(late), "{times:?}");
}

#[test]
fn small_change_of_a_large_configuration_fits_into_a_grant() {
    let update = ConfigUpdate::between(&view(1, 1772), &view(2, 1772));
    assert!(
        update.size() <= MAX_GRANTED_BYTES,
        "{} bytes",
        update.size()
    );
}
