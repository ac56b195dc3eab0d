//! One liveness report of another writer, with fields missing, beside the reports of sound runners.

#[path = "kit.rs"]
mod kit;

use std::io;
use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::*;

const TRAFFIC: Duration = Duration::from_secs(14);
/// When the report of another writer comes.
const REPORT_AT: Duration = Duration::from_secs(4);
/// Requests a second on each route, at all machines together.
const PER_S: f64 = 15.0;
const LIMIT: Duration = Duration::from_millis(2500);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-peek","host":"ficu95.example","pathPrefix":"/peek/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"listener-app","maxAttempts":1,"allowAnonymous":true},{"name":"r-notes","host":"ficu95.example","pathPrefix":"/notes/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"daisy-llm","maxAttempts":1,"allowAnonymous":true}],"services":[{"name":"listener-app","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false},{"name":"daisy-llm","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A request that a runner ran.
struct Run {
    id: String,
    path: String,
    runner: String,
    service: &'static str,
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
    let deployment = Deployment::start(3, record)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 1..=4_u8 {
        let service = if number <= 2 {
            "listener-app"
        } else {
            "daisy-llm"
        };
        let id = format!("i-{number:08x}");
        let (runs, own, record) = (runs.clone(), id.clone(), record.clone());
        let serve = move |arrival: &mut Arrival| {
            io::copy(
                &mut arrival.reader.take(arrival.length as u64),
                &mut io::sink(),
            )?;
            record.line(format!(
                "runner {own} of {service}: runs {} {}",
                arrival.id, arrival.path
            ));
            lock(&runs).push(Run {
                id: arrival.id.clone(),
                path: arrival.path.clone(),
                runner: own.clone(),
                service,
            });
            thread::sleep(Duration::from_millis(30));
            succeed(arrival, &own)?;
            Ok(true)
        };
        let (address, controls) = (deployment.stand_in(number), deployment.controls());
        runners.push(Runner::start(
            &id,
            service,
            address,
            6,
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
    thread::sleep(Duration::from_secs(4));

    let started_at = Instant::now();
    let fronts: Vec<_> = deployment.machines.iter().map(Machine::front).collect();
    let count = (PER_S * TRAFFIC.as_secs_f64()) as usize;
    let answers: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut consumers = Vec::new();
    for index in 0..2 * count {
        let kind = if index % 2 == 0 { "peek" } else { "notes" };
        let front = fronts[index / 2 % fronts.len()];
        let at = started_at + Duration::from_secs_f64((index / 2) as f64 / PER_S);
        let (answers, record) = (answers.clone(), record.clone());
        consumers.push(thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let id = format!("{kind}-{index:04}");
            let deadline = LIMIT.as_millis().to_string();
            let headers = [
                ("X-Attempt-Id", id.as_str()),
                ("X-Deadline-Ms", deadline.as_str()),
            ];
            let result = send(front, &format!("/{kind}/{index}"), &headers);
            record.line(format!("consumer: {id} at {front} got {result}"));
            lock(&answers).push((kind.to_owned(), result));
        }));
    }
    if is_disrupted {
        thread::sleep(REPORT_AT.saturating_sub(started_at.elapsed()));
        // Without `seq` and `coldRemainingMs`.
        let body = format!(
            r#"{{"service":"listener-app","address":"{}","zone":"pamplemousses","version":"v1","slots":6,"state":"ready","born":{}}}"#,
            deployment.stand_in(3),
            now_ms()
        );
        let path = "/-/Instances.Heartbeat/i-00000003";
        let json = [("Content-Type", "application/json")];
        let answer = ask(
            deployment.machines[0].control(),
            "POST",
            path,
            &json,
            body.as_bytes(),
            SECOND,
        )?;
        record.say(format!(
            "another writer: POST {path} {body}: {}",
            answer.status
        ));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(runners);
    Ok(judge(record, &lock(&runs), &lock(&answers)))
}

/// Sends a request over a connection of its own; returns the status and the runner that answered.
fn send(front: std::net::SocketAddr, path: &str, headers: &[(&str, &str)]) -> String {
    let mut all = vec![("Host", "ficu95.example")];
    all.extend_from_slice(headers);
    let mut stream = match std::net::TcpStream::connect_timeout(&front, SECOND) {
        Ok(stream) => stream,
        Err(e) => return format!("no connection: {e}"),
    };
    let _ = stream.set_read_timeout(Some(LIMIT + SECOND));
    let answer = write_request(&mut stream, "POST", path, &all, b"work")
        .and_then(|()| read_answer(&mut io::BufReader::new(stream)));
    match answer {
        Ok(answer) => {
            let receipt = answer.headers.get("x-response-signature").cloned();
            format!("{} {}", answer.status, receipt.unwrap_or_default())
        }
        Err(e) => format!("no answer: {e}"),
    }
}

fn judge(record: &Record, runs: &[Run], answers: &[(String, String)]) -> i32 {
    let allowed = |run: &Run| {
        let service = if run.path.starts_with("/peek/") {
            "listener-app"
        } else {
            "daisy-llm"
        };
        service == run.service
    };
    let foreign: Vec<&Run> = runs.iter().filter(|run| !allowed(run)).collect();
    for run in &foreign {
        record.line(format!(
            "foreign: {} {} was run by {} of {}, to which no configuration allows it to go",
            run.id, run.path, run.runner, run.service
        ));
    }
    let served = |kind: &str| {
        let of_kind = || answers.iter().filter(|(name, _)| name == kind);
        let served = of_kind()
            .filter(|(_, result)| result.starts_with("200"))
            .count();
        format!("{served} of {} of {kind}", of_kind().count())
    };
    record.say(format!(
        "served {} and {}; {} requests were run by a service that no configuration allows",
        served("peek"),
        served("notes"),
        foreign.len()
    ));
    if foreign.is_empty() {
        record.say("the rule held");
        return HELD;
    }
    record.say("ROUTE is broken");
    BROKEN
}
