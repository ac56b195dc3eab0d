//! What the benches share: the programs that the process tests start, and the kernel's figures.

#![allow(dead_code, unused_imports, reason = "each bench uses a part")]

#[path = "../../tests/process/support/mod.rs"]
mod process;

use std::time::Duration;

pub(crate) use self::process::Cluster;
pub(crate) use self::process::INVENTORY;
pub(crate) use self::process::Program;
pub(crate) use self::process::eventually;

/// Clock ticks a second in the kernel's processor times.
const TICKS: f64 = 100.0;

/// Processor time that a process has used.
pub(crate) fn cpu(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    Duration::from_secs_f64(ticks / TICKS)
}

/// Resident memory of a process, in MB.
pub(crate) fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let kb: f64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kb / 1024.0
}

/// Bytes that the machine's IP layer has received, headers included. On loopback each byte that is
/// sent is received once.
pub(crate) fn octets() -> u64 {
    let netstat = std::fs::read_to_string("/proc/net/netstat").unwrap();
    let mut lines = netstat.lines().filter(|line| line.starts_with("IpExt"));
    let (names, values) = (lines.next().unwrap(), lines.next().unwrap());
    let at = names
        .split_whitespace()
        .position(|name| name == "InOctets")
        .unwrap();
    values.split_whitespace().nth(at).unwrap().parse().unwrap()
}

/// The value at a share of sorted values.
pub(crate) fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted[(last as f64 * share).round() as usize]
}
