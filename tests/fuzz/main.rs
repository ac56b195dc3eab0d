//! Stateful fuzzing of the pure state machines against simple oracles.
//!
//! `FUZZ_SEED` and `FUZZ_SCHEDULES` choose another run than the fixed one.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admission;
mod agreement;
mod lease;
mod ledger;
mod rollout;
mod upstream;

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Seed of the fixed run.
const SEED: u64 = 20_261_203;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs schedules until one fails; shrinks that one and returns its number, the error and what is
/// left of it.
pub(crate) fn find<A: Arbitrary>(
    size: usize,
    schedules: u64,
    run: impl Fn(&[A]) -> Result<(), String>,
) -> Option<(u64, String, Vec<A>)> {
    let seed = setting("FUZZ_SEED", SEED);
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

/// Fails with the shrunk schedule if any of them breaks a promise.
pub(crate) fn assert_holds<A: Arbitrary + std::fmt::Debug>(
    size: usize,
    schedules: u64,
    run: impl Fn(&[A]) -> Result<(), String>,
) {
    let schedules = setting("FUZZ_SCHEDULES", schedules);
    if let Some((number, error, schedule)) = find(size, schedules, run) {
        panic!("schedule {number}: {error}\n{schedule:#?}");
    }
}

/// Fails unless the planted fault is found; tells after how many schedules. An assertion of the
/// code itself that fails counts as found.
pub(crate) fn assert_finds_fault<A: Arbitrary>(
    fault: &str,
    size: usize,
    schedules: u64,
    run: impl Fn(&[A]) -> Result<(), String>,
) {
    let guarded = |steps: &[A]| {
        let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(steps)));
        ended.unwrap_or_else(|_| Err("an assertion of the code failed".to_owned()))
    };
    let found = find(size, schedules, guarded);
    let (number, error, left) = found.unwrap_or_else(|| panic!("{fault}: not found"));
    println!("{fault}: schedule {number}, {} steps: {error}", left.len());
}
