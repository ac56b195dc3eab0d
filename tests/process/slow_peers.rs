//! Callers and upstreams that read late, slowly or in bursts: what they were sent arrives whole.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::framing::MEMORY_LIMIT_KB;
use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::INVENTORY;
use crate::support::Program;
use crate::support::ReceivedRequest;
use crate::support::Upstream;
use crate::support::chat_body;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::free_address;
use crate::support::get;
use crate::support::ok_response;
use crate::support::stream_response_head;
use crate::support::write;

/// Routes whose time limits leave room for the callers of these tests.
const ROUTES: &str = r#"
[[routes]]
name = "tile"
host = "previews.example"
prefix = "/tile/"
timeout_ms = 30000
target_ms = 8000
attempts = 3
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "upload"
host = "previews.example"
prefix = "/upload/"
repeat = "once"
timeout_ms = 30000
target_ms = 8000
split = [{ service = "previews", weight = 1 }]

[[routes]]
name = "notes"
host = "previews.example"
prefix = "/notes/"
repeat = "stream"
timeout_ms = 30000
target_ms = 8000
resume = true
split = [{ service = "previews", weight = 1 }]
"#;

/// More than the buffers of both sockets take, and less than the largest body.
const LARGE: usize = 7_900_000;

/// Receive buffer of callers with small buffers.
const SMALL_BUFFER: usize = 32 * 1024;

/// Bytes of the text of one event.
const EVENT_BYTES: usize = 8 * 1024;

/// How a caller reads.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Time from the end of its request to its first read.
    starts_after: Duration,
    /// Bytes that it reads at a time.
    burst: usize,
    /// Time between two bursts.
    pause: Duration,
    /// Whether it asks for the end of the connection after the response.
    asks_to_close: bool,
    /// Size of its receive buffer; `None` for the usual one.
    buffer: Option<usize>,
}

const PROMPT: Pace = Pace {
    starts_after: Duration::ZERO,
    burst: usize::MAX,
    pause: Duration::ZERO,
    asks_to_close: false,
    buffer: None,
};

fn connect(address: SocketAddr, buffer: Option<usize>) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if let Some(bytes) = buffer {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    socket.connect(&address.into()).unwrap();
    let stream = TcpStream::from(socket);
    let limit = Some(Duration::from_secs(40));
    stream.set_read_timeout(limit).unwrap();
    stream.set_write_timeout(limit).unwrap();
    stream
}

fn request_head(method: &str, path: &str, id: &str, length: usize, asks_to_close: bool) -> String {
    let connection = if asks_to_close { "close" } else { "keep-alive" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: previews.example\r\nauthorization: Bearer dev-maple-key\
         \r\ndaisyquay-attempt: {id}\r\ndaisyquay-deadline-ms: 30000\r\nconnection: {connection}\
         \r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads one response at that pace; returns its status and the body, as far as it came.
fn read_response(stream: TcpStream, pace: Pace) -> (u16, Vec<u8>) {
    thread::sleep(pace.starts_after);
    let mut reader = BufReader::with_capacity(
        4096,
        Paced {
            stream,
            pace,
            left: pace.burst,
        },
    );
    let mut line = String::new();
    let _ = reader.read_line(&mut line);
    let status = line.split(' ').nth(1).map_or(0, |s| s.parse().unwrap());
    let mut length = None;
    loop {
        line.clear();
        let read = reader.read_line(&mut line).unwrap_or_default();
        if read == 0 || line == "\r\n" {
            break;
        }
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = Some(value.trim().parse::<u64>().unwrap());
        }
    }
    let mut body = Vec::new();
    if let Some(length) = length {
        let _ = reader.take(length).read_to_end(&mut body);
        return (status, body);
    }
    loop {
        line.clear();
        let _ = reader.read_line(&mut line);
        let Ok(length) = u64::from_str_radix(line.trim(), 16) else {
            return (status, body);
        };
        if length == 0 {
            body.extend_from_slice(b"the end");
            return (status, body);
        }
        let _ = reader.by_ref().take(length).read_to_end(&mut body);
        line.clear();
        let _ = reader.read_line(&mut line);
    }
}

/// Reads a connection in bursts.
struct Paced {
    stream: TcpStream,
    pace: Pace,
    left: usize,
}

impl Read for Paced {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.left == 0 {
            thread::sleep(self.pace.pause);
            self.left = self.pace.burst;
        }
        let limit = buf.len().min(self.left);
        let n = self.stream.read(&mut buf[..limit])?;
        self.left -= n;
        Ok(n)
    }
}

/// Sends a request without a body and reads the response at that pace.
fn fetch(address: SocketAddr, path: &str, pace: Pace) -> (u16, Vec<u8>) {
    let mut stream = connect(address, pace.buffer);
    let id = format!("{}{path}", stream.local_addr().unwrap().port());
    let head = request_head("GET", path, &id, 0, pace.asks_to_close);
    stream.write_all(head.as_bytes()).unwrap();
    read_response(stream, pace)
}

/// Returns a text of that length whose pieces differ.
fn text(length: usize) -> String {
    let mut text = String::with_capacity(length + 16);
    while text.len() < length {
        text.push_str(&format!("{:015}\n", text.len()));
    }
    text.truncate(length);
    text
}

fn events(length: usize) -> Vec<String> {
    (1..=length / EVENT_BYTES)
        .map(|id| format!("id: {id}\ndata: {}\n\n", "y".repeat(EVENT_BYTES)))
        .collect()
}

/// Answers `/tile/BYTES` by a body of that size and `/notes/BYTES` by a stream.
fn answer(seen: &ReceivedRequest, out: &mut TcpStream) -> bool {
    let path = seen.request_line.split(' ').nth(1).unwrap();
    let length = path.rsplit('/').next().unwrap().parse().unwrap();
    if !path.starts_with("/notes/") {
        return write(out, &ok_response(seen, &text(length)));
    }
    write(out, &stream_response_head(seen))
        && events(length).iter().all(|event| write(out, &chunk(event)))
        && write(out, "0\r\n\r\n")
}

struct Setup {
    cluster: Cluster,
    gateway: Program,
    address: SocketAddr,
    admin: SocketAddr,
}

impl Setup {
    fn new(upstream: SocketAddr) -> Self {
        let cluster = Cluster::start(1, 1);
        cluster.apply(&format!("{INVENTORY}{ROUTES}"), &["--change-id", "first"]);
        announce(&cluster, "u0", upstream);
        let (address, admin) = (free_address(), free_address());
        let gateway = cluster.start_gateway_with(address, &["--admin-listen", &admin.to_string()]);
        eventually("the gateway has its routes", || {
            let reply = get(address, "/nowhere/", &[])?;
            (reply.status == 404).then_some(())
        });
        Self {
            cluster,
            gateway,
            address,
            admin,
        }
    }
}

/// Fetches all `paths` at once, each at its pace, and checks that each response is whole.
fn assert_whole(address: SocketAddr, calls: &[(&str, usize, Pace)]) {
    let replies: Vec<_> = calls
        .iter()
        .map(|&(prefix, length, pace)| {
            let path = format!("{prefix}{length}");
            thread::spawn(move || fetch(address, &path, pace))
        })
        .collect();
    let mut cut = Vec::new();
    for (&(prefix, length, pace), reply) in calls.iter().zip(replies) {
        let (status, body) = reply.join().unwrap();
        let expected = if prefix.starts_with("/notes/") {
            events(length).concat() + "the end"
        } else {
            text(length)
        };
        if (status, &*body) != (200, expected.as_bytes()) {
            let (got, all) = (body.len(), expected.len());
            cut.push(format!("{prefix} {pace:?}: {status}, {got} of {all}"));
        }
    }
    assert!(cut.is_empty(), "{cut:#?}");
}

/// Guards against resetting the connection of a caller that does not read for some seconds.
#[test]
fn response_is_whole_for_a_caller_that_begins_to_read_late() {
    let upstream = Upstream::start(answer);
    let setup = Setup::new(upstream.address);
    let late = Pace {
        starts_after: Duration::from_secs(8),
        ..PROMPT
    };
    let asks_to_close = Pace {
        asks_to_close: true,
        ..late
    };
    assert_whole(
        setup.address,
        &[
            ("/tile/", LARGE, late),
            ("/notes/", LARGE, late),
            ("/tile/", LARGE, asks_to_close),
            ("/notes/", LARGE, asks_to_close),
        ],
    );
}

/// Guards against holding the responses of callers that read nothing until the memory is used up.
#[test]
fn callers_that_read_nothing_do_not_take_the_memory_of_a_small_vm() {
    let upstream = Upstream::start(answer);
    let setup = Setup::new(upstream.address);
    let path = format!("/tile/{LARGE}");
    let callers: Vec<_> = (0..24)
        .map(|i| {
            let mut stream = connect(setup.address, Some(SMALL_BUFFER));
            let head = request_head("GET", &path, &format!("idle-{i}"), 0, false);
            stream.write_all(head.as_bytes()).unwrap();
            thread::sleep(Duration::from_millis(250));
            stream
        })
        .collect();
    assert_whole(setup.address, &[("/tile/", LARGE, PROMPT)]);
    let peak_kb = setup.gateway.peak_memory_kb();
    assert!(peak_kb < MEMORY_LIMIT_KB, "{peak_kb} kB");
    let port = setup.address.port();
    let log = setup.cluster.folder.join(format!("gateway-{port}.log"));
    let log = std::fs::read_to_string(log).unwrap();
    let ended = log.matches("event=caller_stalled").count();
    let metrics = get(setup.admin, "/metrics", &[]).unwrap().body;
    let counter = metrics
        .lines()
        .find(|line| line.starts_with("daisyquay_stalled_callers"));
    let counted = counter.and_then(|line| line.rsplit(' ').next());
    assert!(ended > 0, "{log}");
    assert_eq!(counted, Some(&*ended.to_string()));
    drop(callers);
}

/// Returns the bytes that the sockets between a process and a caller take while the caller reads
/// nothing.
fn socket_capacity(address: SocketAddr, prefix: &str) -> usize {
    let mut caller = connect(address, Some(SMALL_BUFFER));
    let path = format!("{prefix}{LARGE}");
    let head = request_head("GET", &path, "capacity", 0, false);
    caller.write_all(head.as_bytes()).unwrap();
    let ports = [address.port(), caller.local_addr().unwrap().port()];
    let mut last = 0;
    eventually("the sockets are full", || {
        thread::sleep(Duration::from_millis(300));
        let queued = queued_bytes(ports);
        (queued > 0 && std::mem::replace(&mut last, queued) == queued).then_some(queued)
    })
}

/// Returns the unacknowledged and unread bytes of the connection between two local ports.
fn queued_bytes(ports: [u16; 2]) -> usize {
    let hex = |text: &str| usize::from_str_radix(text, 16).unwrap();
    let port = |address: &str| hex(address.rsplit(':').next().unwrap());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut queued = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let found = [port(fields[1]), port(fields[2])];
        let (tx, rx) = fields[4].split_once(':').unwrap();
        if found == ports.map(usize::from) {
            queued += hex(tx);
        } else if found == [ports[1], ports[0]].map(usize::from) {
            queued += hex(rx);
        }
    }
    queued
}

/// Guards against dropping the last bytes of a response when its connection is closed after it.
#[test]
fn last_bytes_arrive_before_a_connection_closes() {
    let upstream = Upstream::start(answer);
    let setup = Setup::new(upstream.address);
    let capacity = socket_capacity(setup.address, "/tile/");
    let late = Pace {
        starts_after: Duration::from_secs(3),
        asks_to_close: true,
        buffer: Some(SMALL_BUFFER),
        ..PROMPT
    };
    // These responses leave the gateway with a few kB when the sockets are full.
    let plain = (0..16).map(|i| ("/tile/", capacity - 12_000 + i * 2_000, late));
    let streams = (0..16).map(|i| {
        (
            "/notes/",
            capacity - 8 * EVENT_BYTES + i * EVENT_BYTES,
            late,
        )
    });
    let calls: Vec<_> = plain.chain(streams).collect();
    assert_whole(setup.address, &calls);
}

/// Guards against dropping the last bytes of a response when an entry closes the connection after
/// it, or because the caller sends nothing more.
#[test]
fn last_bytes_arrive_before_an_entry_closes_the_connection() {
    const PREFIX: &str = "/app/previews/";
    let upstream = Upstream::start(answer);
    let cluster = Cluster::start_with_inventory(1, 1);
    announce(&cluster, "u0", upstream.address);
    let address = cluster.entry_addresses[0];
    eventually("the entry has the upstream", || {
        let reply = get(address, "/app/previews/1", &[AUTH_HEADER])?;
        (reply.status == 200).then_some(())
    });
    let capacity = socket_capacity(address, PREFIX);
    let late = Pace {
        starts_after: Duration::from_secs(8),
        buffer: Some(SMALL_BUFFER),
        ..PROMPT
    };
    let asks_to_close = Pace {
        starts_after: Duration::from_secs(3),
        asks_to_close: true,
        ..late
    };
    let calls: Vec<_> = (0..12)
        .map(|i| capacity - 12_000 + i * 2_000)
        .flat_map(|length| [(PREFIX, length, late), (PREFIX, length, asks_to_close)])
        .chain([(PREFIX, LARGE, late), (PREFIX, LARGE, asks_to_close)])
        .collect();
    assert_whole(address, &calls);
}

/// Guards against cutting a chat stream whose caller begins to read late.
#[test]
fn chat_stream_is_whole_for_a_caller_that_begins_to_read_late() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let flags = ["--versions", "notes@small", "--token", "0", "--first", "0"];
    let (_runner, _) = cluster.start_announced_standin("runner-1", &flags);
    let address = cluster.entry_addresses[0];
    let body = chat_body("notes@small", "late", 20_000, true);
    let callers: Vec<_> = [false, true]
        .into_iter()
        .map(|asks_to_close| {
            let body = body.clone();
            let late = Pace {
                starts_after: Duration::from_secs(8),
                asks_to_close,
                buffer: Some(SMALL_BUFFER),
                ..PROMPT
            };
            thread::spawn(move || {
                let mut stream = connect(address, late.buffer);
                let path = "/v1/chat/completions";
                let head = request_head("POST", path, path, body.len(), asks_to_close);
                stream.write_all((head + &body).as_bytes()).unwrap();
                read_response(stream, late)
            })
        })
        .collect();
    for caller in callers {
        let (status, body) = caller.join().unwrap();
        let body = String::from_utf8(body).unwrap();
        let is_whole = body.ends_with("data: [DONE]\n\nthe end");
        assert!(status == 200 && is_whole, "{status}, {}", body.len());
    }
}

/// Guards against giving up a request while its upstream pauses in reading the body.
#[test]
fn upstream_that_pauses_in_reading_a_large_body_answers_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let upstream = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || read_after_pause(stream));
        }
    });
    let setup = Setup::new(upstream);
    let body = text(LARGE);
    for path in ["/upload/a", "/tile/a"] {
        let mut stream = connect(setup.address, None);
        let head = request_head("POST", path, path, LARGE, false);
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(body.as_bytes()).unwrap();
        let (status, reply) = read_response(stream, PROMPT);
        let reply = String::from_utf8(reply).unwrap();
        assert_eq!((status, &*reply), (200, &*LARGE.to_string()), "{path}");
    }
}

/// Guards against waiting until the deadline for an upstream that never reads a large request.
#[test]
fn large_request_leaves_an_upstream_that_never_reads() {
    const LENGTH: usize = 4_000_000;
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent_address = silent.local_addr().unwrap();
    let (tx, accepted) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for stream in silent.incoming().flatten() {
            tx.send(stream).unwrap();
        }
    });
    let sound =
        Upstream::start(|seen, out| write(out, &ok_response(seen, &seen.body.len().to_string())));
    let setup = Setup::new(sound.address);
    announce(&setup.cluster, "u1", silent_address);
    thread::sleep(Duration::from_secs(1));
    let callers: Vec<_> = (0..8)
        .map(|i| {
            let mut stream = connect(setup.address, None);
            thread::spawn(move || {
                let head = request_head("POST", "/tile/a", &format!("id-{i}"), LENGTH, false);
                stream.write_all(head.as_bytes()).unwrap();
                stream.write_all(text(LENGTH).as_bytes()).unwrap();
                read_response(stream, PROMPT)
            })
        })
        .collect();
    for caller in callers {
        let (status, body) = caller.join().unwrap();
        let body = String::from_utf8(body).unwrap();
        assert_eq!((status, &*body), (200, &*LENGTH.to_string()));
    }
    assert!(accepted.try_recv().is_ok(), "no request went to it");
}

/// Guards against cutting off a caller that sends a request slowly or with pauses.
#[test]
fn caller_that_sends_slowly_is_answered() {
    const LENGTH: usize = 1_000_000;
    let upstream = Upstream::start(|seen, out| {
        write(out, &ok_response(seen, &seen.body.len().to_string()));
        true
    });
    let setup = Setup::new(upstream.address);
    let entry = setup.cluster.entry_addresses[0];
    let callers: Vec<_> = [
        (setup.address, "/upload/a"),
        (setup.address, "/tile/a"),
        (entry, "/app/previews/a"),
    ]
    .into_iter()
    .map(|(address, path)| {
        thread::spawn(move || {
            let mut stream = connect(address, None);
            let head = request_head("POST", path, path, LENGTH, false);
            let (first, rest) = head.split_at(40);
            stream.write_all(first.as_bytes()).unwrap();
            thread::sleep(Duration::from_secs(2));
            stream.write_all(rest.as_bytes()).unwrap();
            for (i, piece) in text(LENGTH).as_bytes().chunks(100_000).enumerate() {
                let pause = if i == 5 { 4000 } else { 300 };
                thread::sleep(Duration::from_millis(pause));
                stream.write_all(piece).unwrap();
            }
            (path, read_response(stream, PROMPT))
        })
    })
    .collect();
    for caller in callers {
        let (path, (status, body)) = caller.join().unwrap();
        let body = String::from_utf8(body).unwrap();
        assert_eq!((status, &*body), (200, &*LENGTH.to_string()), "{path}");
    }
}

/// Guards against an entry that gives up an upstream which pauses in reading the body of a call.
#[test]
fn entry_waits_for_an_upstream_that_pauses_in_reading() {
    /// Just below an entry's limit.
    const LENGTH: usize = 4_000_000;
    const PREFIX: &str = "/app/previews/";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let upstream = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || read_after_pause(stream));
        }
    });
    let cluster = Cluster::start_with_inventory(1, 1);
    announce(&cluster, "u0", upstream);
    let entry = cluster.entry_addresses[0];
    eventually("the entry has the upstream", || {
        let reply = get(entry, PREFIX, &[AUTH_HEADER])?;
        (reply.status == 200).then_some(())
    });
    let mut stream = connect(entry, None);
    let head = request_head("POST", PREFIX, "a", LENGTH, false);
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(text(LENGTH).as_bytes()).unwrap();
    let (status, reply) = read_response(stream, PROMPT);
    let reply = String::from_utf8(reply).unwrap();
    assert_eq!((status, &*reply), (200, &*LENGTH.to_string()));
}

/// Serves one request: reads its head, pauses, reads its body and answers with the body's length.
fn read_after_pause(stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let mut seen = ReceivedRequest::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or_default() == 0 {
            return;
        }
        if line == "\r\n" {
            break;
        }
        seen.headers.push_str(&line);
    }
    thread::sleep(Duration::from_secs(3));
    let length: u64 = seen
        .header("content-length")
        .map_or(0, |length| length.parse().unwrap());
    let mut body = Vec::new();
    let _ = reader.take(length).read_to_end(&mut body);
    let reply = body.len().to_string();
    write(&mut out, &ok_response(&seen, &reply));
}
