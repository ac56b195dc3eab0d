//! The overhead of an entry: sends the same requests to a stand-in directly and through an entry,
//! one after the other. Run it by `cargo bench --bench relay`.

#![expect(clippy::unwrap_used, reason = "a benchmark fails by panicking")]

mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use support::Cluster;
use support::cpu_time;
use support::quantile;
use support::resident_mb;

/// Requests of one measurement, by all callers together.
const REQUESTS: usize = 6000;

/// Tokens of the long stream.
const LONG_STREAM_TOKENS: u32 = 400_000;

/// A caller with one keep-alive connection.
struct Caller {
    stream: BufReader<TcpStream>,
    address: SocketAddr,
}

impl Caller {
    fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream: BufReader::new(stream),
            address,
        }
    }

    /// Sends a request and reads the whole response. Returns the seconds to the first byte of the
    /// body and to its end, and the number of events.
    fn send(&mut self, body: &str) -> (f64, f64, usize) {
        let started = Instant::now();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer \
             dev-maple-key\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        self.stream.get_mut().write_all(head.as_bytes()).unwrap();
        let (mut length, mut is_chunked, mut status) = (0, false, String::new());
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line).unwrap();
            let lower = line.to_ascii_lowercase();
            if status.is_empty() {
                status = line.clone();
            }
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            is_chunked |= lower.starts_with("transfer-encoding: chunked");
            if line == "\r\n" {
                break;
            }
        }
        assert!(status.contains("200"), "{status}");
        self.stream.fill_buf().unwrap();
        let first = started.elapsed().as_secs_f64();
        let events = if is_chunked {
            self.read_chunked()
        } else {
            self.read_plain(length)
        };
        (first, started.elapsed().as_secs_f64(), events)
    }

    /// Reads a body of `length` bytes, which counts as one event.
    fn read_plain(&mut self, length: usize) -> usize {
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).unwrap();
        1
    }

    /// Reads a body in chunked encoding and returns its number of events.
    fn read_chunked(&mut self) -> usize {
        let mut events = 0;
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line).unwrap();
            let size = usize::from_str_radix(line.trim(), 16).unwrap();
            let mut chunk = vec![0; size + 2];
            self.stream.read_exact(&mut chunk).unwrap();
            if size == 0 {
                return events;
            }
            events += chunk
                .windows(6)
                .filter(|window| window == b"data: ")
                .count();
        }
    }
}

fn body(tokens: u32, stream: bool) -> String {
    format!(
        "{{\"model\":\"notes@small\",\"max_tokens\":{tokens},\"stream\":{stream},\"messages\":\
         [{{\"role\":\"user\",\"content\":\"hello\"}}]}}"
    )
}

/// Sends [`REQUESTS`] requests. Returns the times to the first byte and to the end, each sorted and
/// in milliseconds, and the requests per second.
fn measure(address: SocketAddr, callers: usize, stream: bool) -> (Vec<f64>, Vec<f64>, f64) {
    let started = Instant::now();
    let per_caller = REQUESTS / callers;
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            thread::spawn(move || {
                let mut caller = Caller::new(address);
                let body = body(8, stream);
                (0..per_caller)
                    .map(|_| caller.send(&body))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let times: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().unwrap())
        .collect();
    let rate = times.len() as f64 / started.elapsed().as_secs_f64();
    let sorted = |values: Vec<f64>| {
        let mut values: Vec<f64> = values.into_iter().map(|s| s * 1e3).collect();
        values.sort_by(f64::total_cmp);
        values
    };
    let first = sorted(times.iter().map(|(first, _, _)| *first).collect());
    let end = sorted(times.iter().map(|(_, end, _)| *end).collect());
    (first, end, rate)
}

fn main() {
    let mut cluster = Cluster::start_with_inventory(3, 1);
    let flags = [
        "--versions",
        "notes@small",
        "--slots",
        "2000",
        "--first",
        "0.002",
        "--token",
        "0",
    ];
    let (_runner, runner) = cluster.start_announced_standin("runner-1", &flags);
    let entry = cluster.entry_addresses[0];
    let pid = cluster.entries[0].pid();
    println!("resident idle: entry {:.1} MB", resident_mb(pid));
    println!(
        "mode     callers  via     first_p50  first_p99  end_p50  end_p99  req/s  entry_us/req"
    );
    for stream in [false, true] {
        for callers in [1, 32, 256] {
            for (via, address) in [("direct", runner), ("entry", entry)] {
                measure(address, callers, stream);
                let before = cpu_time(pid);
                let (first, end, rate) = measure(address, callers, stream);
                let us_per_request =
                    (cpu_time(pid) - before).as_secs_f64() * 1e6 / first.len() as f64;
                println!(
                    "{:<8} {callers:<8} {via:<7} {:>9.2}  {:>9.2}  {:>7.2}  {:>7.2}  {rate:>5.0}  \
                     {us_per_request:>6.0}",
                    if stream { "stream" } else { "plain" },
                    quantile(&first, 0.5),
                    quantile(&first, 0.99),
                    quantile(&end, 0.5),
                    quantile(&end, 0.99),
                );
            }
        }
    }
    let before = cpu_time(pid);
    let started = Instant::now();
    let (_, _, events) = Caller::new(entry).send(&body(LONG_STREAM_TOKENS, true));
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_s = (cpu_time(pid) - before).as_secs_f64();
    println!(
        "long stream: {events} events in {elapsed_s:.2} s; {:.0} tokens a second of the entry's \
         processor time",
        events as f64 / cpu_s.max(Duration::from_millis(10).as_secs_f64())
    );
    println!("resident after load: entry {:.1} MB", resident_mb(pid));
    for (i, replica) in cluster.replicas.iter().enumerate() {
        println!(
            "resident after load: replica {i} {:.1} MB",
            resident_mb(replica.pid())
        );
    }
}
