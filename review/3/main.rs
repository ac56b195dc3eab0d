//! A service goes to a new version, back, and to the new one again; then a final fault.

#[path = "../support.rs"]
mod support;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use support::*;

const PERIOD_S: u32 = 12;
/// Longest time for which an order may be sent again: `ackMs`.
const RESEND_TIME: Duration = Duration::from_secs(4);
/// Time in which a rollout must be completed, from its acknowledgement.
const COMPLETION_LIMIT: Duration = Duration::from_secs(PERIOD_S as u64 + 6);
const DOWN_TIME: Duration = Duration::from_millis(800);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

fn start_runners(fleet: &Arc<Fleet>, first: usize, version: &str) -> Vec<Runner> {
    (0..3)
        .map(|number| {
            let settings = RunnerSettings {
                id: format!("i-{}", first + number),
                service: "xano55b".to_owned(),
                version: version.to_owned(),
                slots: 6,
                work: Duration::from_millis(60),
            };
            Runner::start(fleet, first + number, settings, Arc::new(|_| String::new()))
        })
        .collect()
}

fn begin(fleet: &Fleet, target: &str) -> bool {
    let body = format!(r#"{{"service":"xano55b","target":"{target}","periodS":{PERIOD_S}}}"#);
    let answer = fleet.operate("POST", "/-/Rollouts.Begin", &body, RESEND_TIME);
    answer.is_some_and(|answer| answer.status == 200)
}

/// Returns `state` and `target` of the service's rollout.
fn read(fleet: &Fleet, limit: Duration) -> Option<(String, String)> {
    let answer = fleet.operate("GET", "/-/Rollouts.Read/xano55b", "", limit)?;
    let field = |name: &str| {
        let (_, rest) = answer.body.split_once(&format!("\"{name}\":\""))?;
        Some(rest.split('"').next()?.to_owned())
    };
    Some((field("state")?, field("target")?))
}

/// Brings the service to a version: orders the rollout, starts the new runners and stops the old ones
/// when it is completed.
fn roll_out(fleet: &Arc<Fleet>, old: Vec<Runner>, first: usize, target: &str) -> Vec<Runner> {
    let new = start_runners(fleet, first, target);
    if !begin(fleet, target) {
        fleet
            .record
            .say("could not run: a first rollout was not accepted");
        fleet.stop();
        std::process::exit(NOT_RUN);
    }
    let limit = fleet.record.seconds() + COMPLETION_LIMIT.as_secs_f64();
    while read(fleet, RESEND_TIME) != Some(("completed".to_owned(), target.to_owned())) {
        if fleet.record.seconds() > limit {
            fleet
                .record
                .say("could not run: a first rollout was not completed");
            fleet.stop();
            std::process::exit(NOT_RUN);
        }
        thread::sleep(Duration::from_millis(500));
    }
    for runner in old {
        runner.stop(&fleet.record);
    }
    new
}

fn main() {
    let record = Record::create();
    let fleet = Fleet::new(&record, 3);
    for machine in 0..3 {
        fleet.start_replica(machine, true);
        fleet.start_gateway(machine);
    }
    let body = configuration(1);
    let answer = fleet.operate("POST", "/-/Config.Replace", &body, Duration::from_secs(10));
    if answer.is_none_or(|answer| answer.status != 200) {
        record.say("could not run: the first configuration was not accepted");
        fleet.stop();
        std::process::exit(NOT_RUN);
    }
    let mut runners = start_runners(&fleet, 0, "v1");
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        runners = roll_out(&fleet, runners, 3, "v2");
        thread::sleep(RESEND_TIME + Duration::from_secs(1));
        runners = roll_out(&fleet, runners, 6, "v1");
        thread::sleep(RESEND_TIME + Duration::from_secs(1));
    }
    let _new = start_runners(&fleet, 9, "v2");
    let accepted = begin(&fleet, "v2");
    if !accepted {
        record.say("could not run: the last rollout was not acknowledged");
        fleet.stop();
        std::process::exit(NOT_RUN);
    }
    let before = read(&fleet, RESEND_TIME);
    record.line(&format!(
        "after the acknowledgement of the rollout to v2: {before:?}"
    ));
    // The final fault: all processes of the core are killed at the same moment.
    for machine in 0..3 {
        fleet.kill(&format!("replica-{machine}"));
    }
    thread::sleep(DOWN_TIME);
    for machine in 0..3 {
        fleet.start_replica(machine, false);
    }
    thread::sleep(RECOVERY);
    let after = read(&fleet, RECOVERY);
    let is_kept = after.as_ref().is_some_and(|(_, target)| target == "v2");
    // Which version the requests reach by the end of the rollout's period.
    thread::sleep(Duration::from_secs(u64::from(PERIOD_S)));
    let mut versions = Vec::new();
    for count in 0..40 {
        let open = Connection::open(fleet.front(count % 3), Duration::from_secs(2));
        let answer =
            open.and_then(|mut open| consume(&mut open, "GET", "/lookup/1", &format!("c-{count}")));
        versions.push(answer.map_or_else(|e| format!("{e:?}"), |answer| answer.body));
    }
    let on_new = versions
        .iter()
        .filter(|body| body.starts_with("v2"))
        .count();
    record.say(&format!(
        "the rollout to v2 was acknowledged; read before the final fault: {before:?}, after it: {after:?}; \
         {on_new} of 40 requests run on v2 a period later"
    ));
    drop(runners);
    fleet.stop();
    std::process::exit(if is_kept { HELD } else { BROKEN });
}
