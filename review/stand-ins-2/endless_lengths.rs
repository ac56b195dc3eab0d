//! Faulty runners whose answers have a length and a body without end, beside sound runners.

#[path = "kit.rs"]
mod kit;

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::*;

/// `memoryMb` of the machines of `lagon-mix`.
const MEMORY_MB: f64 = 110.0;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Length that the answer of a faulty runner has by its head.
const STATED_LENGTH: usize = 8_000_000;
/// Bytes that it sends at once; the rest comes a byte at a time.
const SENT_AT_ONCE: usize = 7_900_000;
const TRICKLE: Duration = Duration::from_millis(100);
/// Requests a second for the service with faulty runners, at all machines together.
const PREVIEWS_PER_S: f64 = 42.0;
const PREVIEW_LIMIT: Duration = Duration::from_millis(2500);
/// Requests a second for the service whose runners are sound.
const VERDICTS_PER_S: f64 = 21.0;
const VERDICT_LIMIT: Duration = Duration::from_secs(5);
const VERDICT_WORK: Duration = Duration::from_millis(1500);
const TRAFFIC: Duration = Duration::from_secs(12);
/// From when on two of the three runners are faulty.
const FAULTY_FROM: Duration = Duration::from_secs(5);
/// Requests that the rule LOST excuses.
const EXCUSED: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-cover","host":"ficu95.example","pathPrefix":"/cover/","kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"listener-app","maxAttempts":2,"allowAnonymous":true},{"name":"r-rights","host":"ficu95.example","pathPrefix":"/rights/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":5000,"priority":2,"service":"daisy-llm","maxAttempts":1,"allowAnonymous":true}],"services":[{"name":"listener-app","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false},{"name":"daisy-llm","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

struct Outcome {
    id: String,
    machine: usize,
    was_kept: bool,
    result: Result<u16, String>,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match Record::create(&folder) {
        Ok(record) => run(&record, is_disrupted).unwrap_or_else(|e| {
            record.say(format!("the case can't run: {e}"));
            CANNOT_RUN
        }),
        Err(_) => CANNOT_RUN,
    };
    std::process::exit(code);
}

fn run(record: &Record, is_disrupted: bool) -> io::Result<i32> {
    let mut deployment = Deployment::start(3, record)?;
    let arrived: Arc<Mutex<Vec<String>>> = Arc::default();
    let began_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 1..=3_u8 {
        let id = format!("i-a{number:07x}");
        let (began_at, own, record) = (began_at.clone(), id.clone(), record.clone());
        let serve = move |arrival: &mut Arrival| {
            let age = lock(&began_at).map(|at| at.elapsed()).unwrap_or_default();
            if is_disrupted && number > 1 && age >= FAULTY_FROM {
                record.line(format!("runner {own}: spoils its answer to {}", arrival.id));
                return spoil(arrival, &own);
            }
            thread::sleep(Duration::from_millis(30));
            succeed(arrival, &own)?;
            Ok(true)
        };
        let (address, controls) = (deployment.stand_in(number), deployment.controls());
        runners.push(Runner::start(
            &id,
            "listener-app",
            address,
            6,
            controls,
            Arc::new(serve),
        )?);
    }
    for number in 4..=6_u8 {
        let id = format!("i-b{number:07x}");
        let (arrived, own, record) = (arrived.clone(), id.clone(), record.clone());
        let serve = move |arrival: &mut Arrival| {
            lock(&arrived).push(arrival.id.clone());
            io::copy(
                &mut arrival.reader.take(arrival.length as u64),
                &mut io::sink(),
            )?;
            record.line(format!("sound runner {own}: runs {}", arrival.id));
            thread::sleep(VERDICT_WORK);
            succeed(arrival, &own)?;
            Ok(true)
        };
        let (address, controls) = (deployment.stand_in(number), deployment.controls());
        runners.push(Runner::start(
            &id,
            "daisy-llm",
            address,
            64,
            controls,
            Arc::new(serve),
        )?);
    }
    if deployment
        .order("POST", "/-/Config.Replace", CONFIG, record)
        .is_none_or(|a| a.status != 200)
    {
        return Err(io::Error::other("no acknowledgement of the configuration"));
    }
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the gateways are not ready"));
    }
    thread::sleep(Duration::from_secs(2));
    let started_at = Instant::now();
    *lock(&began_at) = Some(started_at);

    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let fronts: Vec<_> = deployment.machines.iter().map(Machine::front).collect();
    let mut consumers = Vec::new();
    // Each consumer sends one request after another on its kept connection.
    for (kind, per_s, limit) in [
        ("cover", PREVIEWS_PER_S, PREVIEW_LIMIT),
        ("rights", VERDICTS_PER_S, VERDICT_LIMIT),
    ] {
        let count = (per_s * limit.as_secs_f64()).ceil() as usize + 8;
        for index in 0..count {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            let machine = index % fronts.len();
            let front = fronts[machine];
            consumers.push(thread::spawn(move || {
                let interval = Duration::from_secs_f64(count as f64 / per_s);
                let mut due = started_at + interval.mul_f64(index as f64 / count as f64);
                let mut kept: Option<TcpStream> = None;
                let mut number = 0;
                while due < started_at + TRAFFIC {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    due += interval;
                    number += 1;
                    let was_kept = kept.is_some();
                    let stream = match kept
                        .take()
                        .map_or_else(|| TcpStream::connect_timeout(&front, SECOND), Ok)
                    {
                        Ok(stream) => stream,
                        Err(e) => {
                            record.line(format!(
                                "consumer: no connection to machine {}: {e}",
                                machine + 1
                            ));
                            continue;
                        }
                    };
                    let id = format!("{kind}-{index:03}-{number:03}");
                    record.line(format!("consumer: sends {id} to machine {}", machine + 1));
                    let result = send(&stream, kind, &id, limit).map_err(|e| e.to_string());
                    record.line(format!("consumer: {id} got {result:?}"));
                    if result.is_ok() {
                        kept = Some(stream);
                    }
                    lock(&outcomes).push(Outcome {
                        id,
                        machine,
                        was_kept,
                        result,
                    });
                }
            }));
        }
    }

    // The platform: ends a process that uses more than its memory, and starts it again.
    let mut kills = vec![0; deployment.machines.len()];
    let mut peaks = vec![0.0_f64; deployment.machines.len()];
    let mut restarts: Vec<(Instant, usize)> = Vec::new();
    while !consumers.iter().all(thread::JoinHandle::is_finished) {
        for index in 0..deployment.machines.len() {
            let machine = &mut deployment.machines[index];
            let Some(memory) = machine.gateway_memory_mb() else {
                continue;
            };
            peaks[index] = peaks[index].max(memory);
            if memory > MEMORY_MB && machine.has_gateway() {
                machine.kill_gateway();
                kills[index] += 1;
                record.say(format!(
                    "platform: the gateway of machine {} uses {memory:.0} MB of {MEMORY_MB} and is killed",
                    index + 1
                ));
                restarts.push((Instant::now() + RESTART_DELAY, index));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = restarts
            .into_iter()
            .partition(|(at, _)| *at <= Instant::now());
        restarts = later;
        for (_, index) in due {
            deployment.start_gateway(index)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    drop(runners);
    judge(record, &lock(&outcomes), &lock(&arrived), &kills, &peaks)
}

fn judge(
    record: &Record,
    outcomes: &[Outcome],
    arrived: &[String],
    kills: &[usize],
    peaks: &[f64],
) -> io::Result<i32> {
    let is_lost = |o: &&Outcome| o.was_kept && o.result.is_err() && arrived.contains(&o.id);
    let lost: Vec<_> = outcomes.iter().filter(is_lost).collect();
    for outcome in &lost {
        record.line(format!(
            "lost: {} at machine {}: a sound runner ran it; the kept connection ended without an answer: {:?}",
            outcome.id,
            outcome.machine + 1,
            outcome.result
        ));
    }
    let served = |kind: &str| {
        let of_kind = || outcomes.iter().filter(|o| o.id.starts_with(kind));
        let served = of_kind().filter(|o| o.result == Ok(200)).count();
        format!("{served} of {} of {kind}", of_kind().count())
    };
    let peaks: Vec<String> = peaks.iter().map(|peak| format!("{peak:.0}")).collect();
    record.say(format!(
        "served {} and {}; {} requests that sound runners ran had no answer; peaks of memory {} MB; kills {kills:?}",
        served("cover"),
        served("rights"),
        lost.len(),
        peaks.join(", ")
    ));
    if lost.len() > EXCUSED {
        record.say("LOST is broken");
        return Ok(BROKEN);
    }
    record.say("the rule held");
    Ok(HELD)
}

/// Sends a sound head with a length, and bytes that are no answer until the caller closes.
fn spoil(arrival: &mut Arrival, runner: &str) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {runner}.{id}\r\nContent-Length: {STATED_LENGTH}\r\n\r\n",
        id = arrival.id
    );
    arrival.stream.write_all(head.as_bytes())?;
    arrival.stream.write_all(&vec![b'#'; SENT_AT_ONCE])?;
    for _ in SENT_AT_ONCE..STATED_LENGTH {
        thread::sleep(TRICKLE);
        arrival.stream.write_all(b"#")?;
    }
    Ok(false)
}

/// Sends a request and returns the status of the answer.
fn send(mut stream: &TcpStream, kind: &str, id: &str, limit: Duration) -> io::Result<u16> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit + SECOND))?;
    let deadline = limit.as_millis().to_string();
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    let (method, body): (_, &[u8]) = if kind == "cover" {
        ("GET", b"")
    } else {
        ("POST", b"verdict")
    };
    write_request(
        &mut stream,
        method,
        &format!("/{kind}/{id}"),
        &headers,
        body,
    )?;
    Ok(read_answer(&mut BufReader::new(stream))?.status)
}
