//! A runner states a very long keep-alive time in one of its answers.

#[path = "../support.rs"]
mod support;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use support::*;

/// One of twenty answers of the faulty runner has the header.
const SHARE: u64 = 20;
const FAULTY: usize = 2;
const CONSUMERS: usize = 18;
/// How long the runner spoils answers: the site's longest `garble` lasts 5.5 s.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const RESTART_DELAY: Duration = Duration::from_millis(500);

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
    let is_on = Arc::new(AtomicBool::new(false));
    let runners: Vec<Runner> = (0..3)
        .map(|number| {
            let settings = RunnerSettings {
                id: format!("i-{number}"),
                service: "xano55b".to_owned(),
                version: "v1".to_owned(),
                slots: 6,
                work: Duration::from_millis(60),
            };
            let is_on = is_on.clone();
            let extra: ExtraHeaders = Arc::new(move |count| {
                let is_due = number == FAULTY && is_on.load(Ordering::SeqCst) && count % SHARE == 0;
                let header = "Keep-Alive: timeout=18446744073709551615\r\n";
                if is_due {
                    header.to_owned()
                } else {
                    String::new()
                }
            });
            Runner::start(&fleet, number, settings, extra)
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicUsize::new(0));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (fleet, stop) = (fleet.clone(), stop.clone());
            let (lost, answered) = (lost.clone(), answered.clone());
            thread::spawn(move || consume_until(&fleet, number, &stop, &lost, &answered))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        is_on.store(true, Ordering::SeqCst);
        record.line("the runner i-2 begins to state the keep-alive time");
    }
    let begin = record.seconds();
    let mut ends = 0;
    while record.seconds() < begin + TROUBLE_TIME.as_secs_f64() {
        thread::sleep(Duration::from_millis(20));
        for (name, status) in fleet.take_ended() {
            ends += 1;
            record.line(&format!("{name} ended by itself: {status}"));
            let (fleet, is_gateway) = (fleet.clone(), name.starts_with("gateway"));
            let machine = name.rsplit('-').next().unwrap().parse().unwrap();
            thread::spawn(move || {
                thread::sleep(RESTART_DELAY);
                if is_gateway {
                    fleet.start_gateway(machine);
                } else {
                    fleet.start_replica(machine, false);
                }
            });
        }
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    // Requests count that reached a sound runner and came on a connection kept from earlier ones.
    let sound: HashSet<String> = runners[..FAULTY]
        .iter()
        .flat_map(|runner| runner.ran.lock().unwrap().clone())
        .collect();
    let lost: Vec<String> = lost
        .lock()
        .unwrap()
        .iter()
        .filter(|id| sound.contains(*id))
        .cloned()
        .collect();
    for id in &lost {
        record.line(&format!(
            "lost: {id} was passed on to a sound runner, its connection closed unanswered"
        ));
    }
    let panics: usize = (0..3)
        .map(|m| fleet.log_lines(&format!("gateway-{m}"), "panicked").len())
        .sum();
    record.say(&format!(
        "answered {}, lost at sound runners {}, processes that ended by themselves {ends}, panics logged {panics}",
        answered.load(Ordering::SeqCst),
        lost.len()
    ));
    fleet.stop();
    std::process::exit(if lost.len() > 3 { BROKEN } else { HELD });
}

/// Sends requests on a kept connection, on a new one to the next machine after a failure.
fn consume_until(
    fleet: &Arc<Fleet>,
    number: usize,
    stop: &AtomicBool,
    lost: &Mutex<Vec<String>>,
    answered: &AtomicUsize,
) {
    let mut machine = number % 3;
    let mut connection: Option<Connection> = None;
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(150));
        let limit = Duration::from_millis(1700);
        let Some(open) = connection
            .take()
            .or_else(|| Connection::open(fleet.front(machine), limit).ok())
        else {
            machine = (machine + 1) % 3;
            continue;
        };
        connection = Some(open);
        let open = connection.as_mut().unwrap();
        let was_kept = open.answered > 0;
        let id = format!("c{number}-{count}");
        let (method, path) = if number % 2 == 0 {
            ("GET", "/lookup/1")
        } else {
            ("POST", "/hold/1")
        };
        let result = consume(open, method, path, &id);
        let text = match &result {
            Ok(answer) => format!("{} {}", answer.status, answer.body.trim()),
            Err(e) => format!("no answer: {e:?}"),
        };
        fleet.record.line(&format!(
            "consumer {id} {method} {path} at machine {machine}: {text}"
        ));
        match result {
            Ok(answer) => {
                answered.fetch_add(1, Ordering::SeqCst);
                if answer.header("connection") == Some("close") {
                    connection = None;
                }
            }
            Err(e) => {
                if was_kept && e == NoAnswer::Closed {
                    lost.lock().unwrap().push(id);
                }
                connection = None;
                machine = (machine + 1) % 3;
            }
        }
    }
}
