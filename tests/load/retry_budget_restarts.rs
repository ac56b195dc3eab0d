//! Retry budgets of many gateways that start, join and end while upstreams fail, checked against the
//! budget of the deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use daisyquay::policy::retry_budget::Limits;
use daisyquay::policy::retry_budget::Share;
use daisyquay::policy::retry_budget::SlidingWindow;

const BUDGET: Limits = Limits::new(0.9, 230.0, Duration::from_secs(10));

const GATEWAYS: usize = 94;
const REQUESTS_PER_S: f64 = 470.0;
const MAX_ATTEMPTS: u32 = 3;

/// Part of the first responses that have low confidence.
const DOUBTFUL: f64 = 0.4;

const STEP: Duration = Duration::from_millis(10);

/// Time from the election of a leader until it knows all gateways.
const LEADER_LEARNS: Duration = Duration::from_millis(2400);

const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// One gateway's process.
struct Process {
    serves_from: Duration,
    /// When the first list of gateways arrives.
    list_at: Duration,
    share: Share,
    window: SlidingWindow,
}

/// An attempt that runs at an upstream.
struct Attempt {
    gateway: usize,
    /// Number of the process; a killed one drops its attempts.
    process: u64,
    number: u32,
    can_escalate: bool,
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    processes: Vec<(u64, Option<Process>)>,
    next_process: u64,
    leader_since: Duration,
    running: BTreeMap<(Duration, u64), Attempt>,
    next_attempt: u64,
    failing: f64,
    failing_until: Duration,
    /// Longest time that a retry takes to its upstream.
    latency: Duration,
    late_until: Duration,
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::from_secs(100),
            processes: (0..GATEWAYS).map(|i| (i as u64, None)).collect(),
            next_process: GATEWAYS as u64,
            leader_since: Duration::ZERO,
            running: BTreeMap::new(),
            next_attempt: 0,
            failing: 0.0,
            failing_until: Duration::ZERO,
            latency: Duration::ZERO,
            late_until: Duration::ZERO,
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        // The deployment starts before its callers do.
        let traffic_at = world.now;
        world.now -= Duration::from_secs(14);
        (0..GATEWAYS).for_each(|i| world.start(i, Duration::ZERO));
        while world.now < traffic_at {
            world.renew();
            world.now += RENEWAL_INTERVAL;
        }
        world.now = traffic_at;
        world
    }

    fn seconds(&mut self, range: std::ops::Range<f64>) -> Duration {
        Duration::from_secs_f64(range.start + self.rng.f64() * (range.end - range.start))
    }

    fn start(&mut self, gateway: usize, down: Duration) {
        let serves_from = self.now + down;
        let knows_all = serves_from >= self.leader_since + LEADER_LEARNS;
        let list_delay = match self.rng.u8(0..8) {
            _ if knows_all => Duration::ZERO,
            // The leader is lost before it has sent a list.
            0 => Duration::from_secs(3),
            _ => self.seconds(0.1..0.6),
        };
        let process = Process {
            serves_from,
            list_at: serves_from + list_delay,
            share: Share::new(BUDGET, serves_from),
            window: SlidingWindow::default(),
        };
        self.processes[gateway] = (self.next_process, Some(process));
        self.next_process += 1;
    }

    fn kill(&mut self, part: f64, down: Duration) {
        let is_all = part >= 1.0;
        if is_all {
            self.leader_since = self.now + down;
        }
        for gateway in 0..self.processes.len() {
            if self.rng.f64() < part {
                let delay = down + self.seconds(0.0..0.5);
                self.start(gateway, delay);
            }
        }
    }

    /// Tells the gateways of each other, as far as the leader knows them.
    fn renew(&mut self) {
        let now = self.now;
        let is_complete = now >= self.leader_since + LEADER_LEARNS;
        let processes = self.processes.iter_mut();
        let running: Vec<&mut Process> = processes
            .filter_map(|(_, process)| process.as_mut())
            .filter(|process| process.serves_from <= now)
            .collect();
        let number = running.len();
        for process in running {
            if process.list_at <= now {
                process.share.set_gateways(number, is_complete, now);
            }
        }
    }

    /// Starts one of the disruptions.
    fn disrupt(&mut self) {
        match self.rng.u8(0..8) {
            0 | 1 => {
                self.failing = 0.3 + 0.6 * self.rng.f64();
                self.failing_until = self.now + self.seconds(3.0..8.0);
            }
            2 => self.break_attempts(),
            3 | 4 => {
                let down = self.seconds(0.3..4.0);
                self.kill(1.0, down);
            }
            5 => {
                let down = self.seconds(0.3..2.0);
                self.kill(0.55, down);
            }
            6 => {
                for _ in 0..20 {
                    self.processes.push((0, None));
                    self.start(self.processes.len() - 1, Duration::ZERO);
                }
            }
            _ => {
                self.latency = self.seconds(0.1..0.5);
                self.late_until = self.now + self.seconds(2.0..6.0);
            }
        }
    }

    /// Upstreams crash under some of the attempts.
    fn break_attempts(&mut self) {
        let part = 0.2 + 0.4 * self.rng.f64();
        let now = self.now;
        let mut broken: Vec<_> = self.running.keys().copied().collect();
        broken.retain(|_| self.rng.f64() < part);
        for key in broken {
            if let Some(attempt) = self.running.remove(&key) {
                self.fail(attempt, now);
            }
        }
    }

    fn fail(&mut self, attempt: Attempt, now: Duration) {
        self.repeat(attempt, now, SlidingWindow::try_retry, false);
    }

    /// Makes another attempt, if the budget allows it; returns whether it does.
    fn repeat(
        &mut self,
        attempt: Attempt,
        now: Duration,
        try_spend: fn(&mut SlidingWindow, &Limits, Duration) -> bool,
        is_escalation: bool,
    ) -> bool {
        let (process_id, process) = &mut self.processes[attempt.gateway];
        let Some(process) = process.as_mut().filter(|_| *process_id == attempt.process) else {
            return false;
        };
        let limits = process.share.limits(now);
        if attempt.number >= MAX_ATTEMPTS || !try_spend(&mut process.window, &limits, now) {
            return false;
        }
        let latency = if now < self.late_until {
            self.latency.mul_f64(self.rng.f64())
        } else {
            Duration::from_millis(3)
        };
        self.repeats.push(now + latency);
        self.run(Attempt {
            number: attempt.number + 1,
            can_escalate: attempt.can_escalate && !is_escalation,
            ..attempt
        });
        true
    }

    fn run(&mut self, attempt: Attempt) {
        let time = if attempt.can_escalate {
            self.seconds(0.1..0.8)
        } else {
            self.seconds(0.3..4.0)
        };
        self.running
            .insert((self.now + time, self.next_attempt), attempt);
        self.next_attempt += 1;
    }

    fn send_requests(&mut self) {
        let mut expected = REQUESTS_PER_S * STEP.as_secs_f64();
        while expected > 0.0 {
            if self.rng.f64() < expected.min(1.0) {
                let gateway = self.rng.usize(0..self.processes.len());
                let now = self.now;
                let (id, process) = &mut self.processes[gateway];
                if let Some(process) = process.as_mut().filter(|p| p.serves_from <= now) {
                    let limits = process.share.limits(now);
                    process.window.record_first_attempt(&limits, now);
                    self.requests.push(now);
                    let process = *id;
                    self.run(Attempt {
                        gateway,
                        process,
                        number: 1,
                        can_escalate: true,
                    });
                }
            }
            expected -= 1.0;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.now.as_millis() % RENEWAL_INTERVAL.as_millis() < STEP.as_millis() {
            self.renew();
        }
        self.send_requests();
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let attempt = entry.remove();
            let now = self.now;
            if now < self.failing_until && self.rng.f64() < self.failing {
                self.fail(attempt, now);
            } else if attempt.can_escalate {
                let is_doubtful = self.rng.f64() < DOUBTFUL;
                let rest = Attempt { ..attempt };
                let is_escalated =
                    is_doubtful && self.repeat(attempt, now, SlidingWindow::try_escalation, true);
                if !is_escalated {
                    self.run(Attempt {
                        can_escalate: false,
                        ..rest
                    });
                }
            }
        }
    }

    /// Returns by how many the arrivals beyond the first exceed the budget in the worst window.
    /// Requests count in the window, the one before it or the one half a window before it,
    /// whichever has most.
    fn worst_excess(&mut self) -> f64 {
        self.repeats.sort();
        let window = BUDGET.window;
        let count = |times: &[Duration], end: Duration| {
            let from = times.partition_point(|&at| at + window <= end);
            times.partition_point(|&at| at <= end) - from
        };
        let excess = |&end: &Duration| {
            let requests = [Duration::ZERO, window / 2, window]
                .into_iter()
                .map(|before| count(&self.requests, end - before))
                .max();
            let allowed = requests.unwrap_or(0) as f64 * BUDGET.ratio + BUDGET.slack;
            count(&self.repeats, end) as f64 - allowed
        };
        self.repeats.iter().map(excess).fold(f64::MIN, f64::max)
    }
}

/// Plays a short period with several disruptions; returns the worst excess over the budget.
fn play(seed: u64) -> f64 {
    let mut world = World::new(seed);
    let length = world.seconds(12.0..34.0);
    let end = world.now + length;
    let mut disruptions: Vec<Duration> = (0..world.rng.u32(5..=8))
        .map(|_| world.now + length.mul_f64(world.rng.f64()))
        .collect();
    while world.now < end {
        let now = world.now;
        let due = disruptions.extract_if(.., |at| *at <= now).count();
        (0..due).for_each(|_| world.disrupt());
        world.step();
    }
    world.worst_excess()
}

/// Guards against gateways that exceed the deployment's budget together, because each one that starts
/// has a budget of its own and does not know the others or what was spent before.
#[test]
fn gateways_that_restart_stay_within_the_budget_of_the_deployment() {
    for seed in 0..200 {
        let excess = play(seed);
        assert!(
            excess <= 0.0,
            "seed {seed}: {excess:.0} arrivals beyond the first of their request over the budget"
        );
    }
}
