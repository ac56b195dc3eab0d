//! Stateful fuzz tests, which run random schedules against the state machines and check them with
//! simple oracles.
//!
//! `FUZZ_SEED` and `FUZZ_SCHEDULES` override the default seed and number of schedules.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admission;
mod agreement;
mod bootstrap;
mod config_update;
mod evacuation;
mod lease;
mod ledger;
mod rollout;
mod upstream;

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Default seed.
const SEED: u64 = 20_261_203;

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs up to `schedules` random schedules of `size` steps until one fails. Returns its number, the
/// error and the shrunk schedule, or `None` if all pass.
pub(crate) fn find_failure<A: Arbitrary>(
    size: usize,
    schedules: u64,
    run: impl Fn(&[A]) -> Result<(), String>,
) -> Option<(u64, String, Vec<A>)> {
    let seed = env_or("FUZZ_SEED", SEED);
    for i in 0..schedules {
        let mut r#gen = Gen::from_size_and_seed(size, seed.wrapping_add(i));
        let schedule: Vec<A> = (0..size).map(|_| A::arbitrary(&mut r#gen)).collect();
        if let Err(error) = run(&schedule) {
            let (error, schedule) = shrink(schedule, error, &run);
            return Some((i + 1, error, schedule));
        }
    }
    None
}

/// Removes steps for as long as the schedule still fails.
fn shrink<A: Arbitrary>(
    mut schedule: Vec<A>,
    mut error: String,
    run: &impl Fn(&[A]) -> Result<(), String>,
) -> (String, Vec<A>) {
    let mut chunk = schedule.len() / 2;
    while chunk > 0 {
        let mut start = 0;
        while start < schedule.len() {
            let mut shorter = schedule.clone();
            shorter.drain(start..(start + chunk).min(schedule.len()));
            match run(&shorter) {
                Err(e) => {
                    error = e;
                    schedule = shorter;
                }
                Ok(()) => start += chunk,
            }
        }
        chunk /= 2;
    }
    (error, schedule)
}

/// Panics with the shrunk schedule if a schedule fails.
pub(crate) fn assert_holds<A: Arbitrary + std::fmt::Debug>(
    size: usize,
    schedules: u64,
    run: impl Fn(&[A]) -> Result<(), String>,
) {
    let schedules = env_or("FUZZ_SCHEDULES", schedules);
    if let Some((number, error, schedule)) = find_failure(size, schedules, run) {
        panic!("schedule {number}: {error}\n{schedule:#?}");
    }
}

/// Panics unless a schedule fails under the injected fault; prints which one. A panic in the code
/// under test counts as a failure.
pub(crate) fn assert_finds_fault<A: Arbitrary>(
    fault: &str,
    size: usize,
    schedules: u64,
    run: impl Fn(&[A]) -> Result<(), String>,
) {
    let catch_panics = |steps: &[A]| {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(steps)));
        result.unwrap_or_else(|_| Err("the code under test panicked".to_owned()))
    };
    let found = find_failure(size, schedules, catch_panics);
    let (number, error, steps) =
        found.unwrap_or_else(|| panic!("{fault}: no schedule detected the injected fault"));
    println!("{fault}: schedule {number}, {} steps: {error}", steps.len());
}
