//! Runners that read large requests slowly, and the memory of the gateways in front of them.

#[path = "kit.rs"]
mod kit;

use std::io;
use std::io::BufReader;
use std::io::Read;
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
/// `maxBodyBytes`: a consumer may send as much.
const BODY_BYTES: usize = 4_194_304;
const CONSUMERS: usize = 120;
/// Requests a second at all machines together.
const PER_S: f64 = 20.0;
/// Bytes a second that a slow runner reads of a request.
const SLOW_BYTES_PER_S: usize = 800_000;
/// Requests that the rule LOST excuses.
const EXCUSED: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-notes","host":"ficu95.example","pathPrefix":"/notes/","kind":"non_idempotent","timeoutMs":20000,"targetLatencyMs":4000,"priority":0,"service":"listener-app","maxAttempts":1,"allowAnonymous":true}],"services":[{"name":"listener-app","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What became of one large request.
#[derive(Debug)]
struct Outcome {
    id: String,
    machine: usize,
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
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 1..=3 {
        let id = format!("i-{number:08x}");
        let (arrived, ran, own, record) =
            (arrived.clone(), ran.clone(), id.clone(), record.clone());
        let serve = move |arrival: &mut Arrival| {
            lock(&arrived).push(arrival.id.clone());
            let is_slow = is_disrupted && arrival.length > 64 * 1024;
            read_body(arrival, is_slow)?;
            record.line(format!("runner {own}: runs {}", arrival.id));
            lock(&ran).push(arrival.id.clone());
            succeed(arrival, &own)?;
            Ok(true)
        };
        let (address, controls) = (deployment.stand_in(number), deployment.controls());
        runners.push(Runner::start(
            &id,
            "listener-app",
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

    // Each consumer has a kept connection, on which it has had an answer.
    let mut connections = Vec::new();
    for index in 0..CONSUMERS {
        let machine = index % deployment.machines.len();
        let stream = TcpStream::connect(deployment.machines[machine].front())?;
        stream.set_nodelay(true)?;
        let id = format!("{index:08x}-small");
        match send(&stream, &id, b"small", Duration::from_secs(5)) {
            Ok(200) => connections.push((machine, stream)),
            other => return Err(io::Error::other(format!("a small request got {other:?}"))),
        }
    }
    record.say(format!("{CONSUMERS} consumers have kept connections"));
    thread::sleep(Duration::from_secs(4));

    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let started_at = Instant::now();
    let consumers: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(index, (machine, stream))| {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            thread::spawn(move || {
                let at = started_at + Duration::from_secs_f64(index as f64 / PER_S);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("{index:08x}-large");
                record.line(format!("consumer: sends {id} to machine {}", machine + 1));
                let body = vec![b'a'; BODY_BYTES];
                let result = send(&stream, &id, &body, Duration::from_secs(20));
                let result = result.map_err(|e| e.to_string());
                record.line(format!("consumer: {id} got {result:?}"));
                lock(&outcomes).push(Outcome {
                    id,
                    machine,
                    result,
                });
            })
        })
        .collect();

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
    judge(
        record,
        &lock(&outcomes),
        &lock(&arrived),
        &lock(&ran),
        &kills,
        &peaks,
    )
}

fn judge(
    record: &Record,
    outcomes: &[Outcome],
    arrived: &[String],
    ran: &[String],
    kills: &[usize],
    peaks: &[f64],
) -> io::Result<i32> {
    let answered = outcomes.iter().filter(|o| o.result.is_ok()).count();
    let cut: Vec<_> = outcomes
        .iter()
        .filter(|o| o.result.is_err() && arrived.contains(&o.id))
        .collect();
    for outcome in &cut {
        record.line(format!(
            "lost: {} at machine {}: passed on to a runner, {}; the connection ended without an answer: {:?}",
            outcome.id,
            outcome.machine + 1,
            if ran.contains(&outcome.id) { "which ran it" } else { "which was reading it" },
            outcome.result
        ));
    }
    let peaks: Vec<String> = peaks.iter().map(|peak| format!("{peak:.0}")).collect();
    record.say(format!(
        "{} large requests: {answered} answered, {} passed on and then cut without an answer; peaks of \
         memory {} MB; kills {kills:?}",
        outcomes.len(),
        cut.len(),
        peaks.join(", ")
    ));
    if cut.len() > EXCUSED {
        record.say("LOST is broken");
        return Ok(BROKEN);
    }
    record.say("the rule held");
    Ok(HELD)
}

fn read_body(arrival: &mut Arrival, is_slow: bool) -> io::Result<()> {
    let mut left = arrival.length;
    let mut piece = vec![0; 16 * 1024];
    let started_at = Instant::now();
    let mut read = 0;
    while left > 0 {
        let wanted = left.min(piece.len());
        arrival.reader.read_exact(&mut piece[..wanted])?;
        left -= wanted;
        read += wanted;
        if is_slow {
            let due = started_at + Duration::from_secs_f64(read as f64 / SLOW_BYTES_PER_S as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    Ok(())
}

/// Sends a request on a kept connection and returns the status of the answer.
fn send(mut stream: &TcpStream, id: &str, body: &[u8], limit: Duration) -> io::Result<u16> {
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let deadline = limit.as_millis().to_string();
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    write_request(&mut stream, "POST", "/notes/upload", &headers, body)?;
    Ok(read_answer(&mut BufReader::new(stream))?.status)
}
