//! Helpers of the benchmarks: those of the process tests, which start the programs, and readers of
//! the kernel's counters.

#![allow(dead_code, unused_imports, reason = "each benchmark uses some of them")]

#[path = "../../tests/process/support/mod.rs"]
mod process;

use std::time::Duration;

pub(crate) use self::process::Cluster;
pub(crate) use self::process::INVENTORY;
pub(crate) use self::process::Program;
pub(crate) use self::process::eventually;

/// Clock ticks per second in the processor times of `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time that a process has used, in user and kernel mode.
pub(crate) fn cpu_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in units of 1024 kB.
pub(crate) fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let kb: f64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb / 1024.0
}

/// Returns the bytes that the machine's IP layer has received, with headers. On loopback, each byte
/// that is sent is received once.
pub(crate) fn received_bytes() -> u64 {
    let netstat = std::fs::read_to_string("/proc/net/netstat").unwrap();
    let mut lines = netstat.lines().filter(|line| line.starts_with("IpExt"));
    let (names, values) = (lines.next().unwrap(), lines.next().unwrap());
    let column = names
        .split_whitespace()
        .position(|name| name == "InOctets")
        .unwrap();
    values
        .split_whitespace()
        .nth(column)
        .unwrap()
        .parse()
        .unwrap()
}

/// Returns the quantile of sorted values at `share`, from 0 to 1.
pub(crate) fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last_index = sorted.len().saturating_sub(1);
    sorted[(last_index as f64 * share).round() as usize]
}
