//! Planned stops of an entry: every caller gets its whole response, however late it reads, and
//! learns that its connection closes before it does.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::gateway::announce;
use crate::support::AUTH_HEADER;
use crate::support::Cluster;
use crate::support::Upstream;
use crate::support::chat_body;
use crate::support::chat_response;
use crate::support::chunk;
use crate::support::eventually;
use crate::support::get;
use crate::support::ok_response;
use crate::support::post;
use crate::support::stream_response_head;
use crate::support::stream_text;
use crate::support::write;

/// Sends a request for a response body of `bytes` on `stream`.
fn request_bytes(stream: &mut TcpStream, bytes: usize) {
    let (name, value) = AUTH_HEADER;
    let head = format!("GET /app/previews/{bytes} HTTP/1.1\r\nhost: a\r\n{name}: {value}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

/// Starts an upstream that responds with as many bytes as the path says.
fn start_sized_upstream(cluster: &Cluster) -> Upstream {
    let upstream = Upstream::start(|seen, out| {
        let path = seen.request_line.split(' ').nth(1).unwrap_or_default();
        let bytes = path.trim_matches('/').parse().unwrap_or(0);
        write(out, &ok_response(seen, &"x".repeat(bytes)))
    });
    announce(cluster, "sized", upstream.address);
    let entry = cluster.entry_addresses[0];
    eventually("the entry uses the upstream", || {
        let reply = get(entry, "/app/previews/1", &[AUTH_HEADER])?;
        (reply.status == 200).then_some(())
    });
    upstream
}

/// Starts an engine that responds for 3 s: longer than the callers' cached addresses are valid.
fn start_slow_engine(cluster: &Cluster) -> Upstream {
    let upstream = Upstream::start(|seen, out| {
        if !seen.body.contains("\"stream\":true") {
            thread::sleep(Duration::from_secs(3));
            return write(out, &chat_response(seen));
        }
        let event = |delta: Value, finish: Value| {
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
            let event = json!({ "id": seen.attempt_id(), "choices": [choice] });
            chunk(&format!("data: {event}\n\n"))
        };
        let mut is_open = write(out, &stream_response_head(seen));
        for _ in 0..30 {
            is_open &= write(out, &event(json!({ "content": "word " }), Value::Null));
            thread::sleep(Duration::from_millis(100));
        }
        let end = event(json!({}), json!("stop")) + &chunk("data: [DONE]\n\n") + &chunk("");
        is_open && write(out, &end)
    });
    let body = json!({
        "id": "engine",
        "incarnation": 1,
        "address": upstream.address.to_string(),
        "data_centre": "dc1",
        "serves": { "versions": ["notes@small"] },
        "slots": 8,
    });
    let key = ("authorization", "Bearer dev-upstream-key");
    let entry = cluster.entry_addresses[0];
    eventually("the engine is announced", || {
        let reply = post(entry, "/upstream/announce", &[key], &body.to_string())?;
        (reply.status == 204).then_some(())
    });
    // The entry learns of the upstream and of its slots with its next renewals.
    thread::sleep(Duration::from_secs(1));
    upstream
}

/// Reads a response; returns the headers in lower case, and the length of the body if it is whole.
fn read_response(reader: &mut BufReader<TcpStream>) -> Option<(String, usize)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|&n| n > 0)?;
    }
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?;
    let mut body = vec![0; length.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    Some((head, body.len()))
}

/// Returns the bytes in the kernel's buffers of a connection between `a` and `b`, both ways.
fn queued_in_kernel(a: SocketAddr, b: SocketAddr) -> usize {
    let hex = |address: SocketAddr| {
        let SocketAddr::V4(address) = address else {
            panic!("{address} is not an IPv4 address");
        };
        let ip = u32::from_le_bytes(address.ip().octets());
        format!("{ip:08X}:{:04X}", address.port())
    };
    let (a, b) = (hex(a), hex(b));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let mut queued = 0;
    for line in table.lines() {
        let fields: Vec<&str> = line.split_whitespace().collect();
        if fields[1..3] == [&a, &b] || fields[1..3] == [&b, &a] {
            let (tx, rx) = fields[4].split_once(':').unwrap();
            queued += usize::from_str_radix(tx, 16).unwrap();
            queued += usize::from_str_radix(rx, 16).unwrap();
        }
    }
    queued
}

/// Returns the bytes of a response that the kernel takes while the caller reads nothing.
fn kernel_capacity(entry: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(entry).unwrap();
    request_bytes(&mut stream, 16 << 20);
    let local = stream.local_addr().unwrap();
    let mut last = 0;
    eventually("the kernel's buffers are full", || {
        thread::sleep(Duration::from_millis(200));
        let queued = queued_in_kernel(entry, local);
        let is_full = queued > 0 && queued == last;
        last = queued;
        is_full.then_some(queued)
    })
}

// A stopping entry closed its connections at once, and whatever was unfinished or unread with them.
#[test]
fn responses_that_outlast_the_cached_addresses_reach_their_callers_whole() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let _service = start_sized_upstream(&cluster);
    let engine = start_slow_engine(&cluster);
    let entry = cluster.entry_addresses[0];
    let capacity = kernel_capacity(entry);
    cluster.wait_until_settled();
    let billed = cluster.billed_requests("maple");
    // Some of these leave only a few bytes to the process.
    let mut sizes: Vec<usize> = (0..6)
        .map(|i| capacity - (24 << 10) + i * (12 << 10))
        .collect();
    sizes.push(capacity + (1 << 20));
    let mut paused: Vec<TcpStream> = Vec::new();
    for &bytes in &sizes {
        let mut stream = TcpStream::connect(entry).unwrap();
        request_bytes(&mut stream, bytes);
        paused.push(stream);
    }
    let chats: Vec<_> = [true, false]
        .into_iter()
        .map(|is_streaming| {
            thread::spawn(move || {
                let body = chat_body("notes@small", "slow", 8, is_streaming);
                post(entry, "/v1/chat/completions", &[AUTH_HEADER], &body)
            })
        })
        .collect();
    eventually("the engine has both requests", || {
        (engine.received().len() == 2).then_some(())
    });
    cluster.entries[0].terminate();
    let mut served = 0;
    let refused = eventually("further requests are refused", || {
        let reply = get(entry, "/app/previews/1", &[AUTH_HEADER])?;
        served += u64::from(reply.status == 200);
        (reply.status != 200).then_some(reply)
    });
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.json()["error"]["code"], "leaving", "{refused:?}");
    for (header, value) in [
        ("daisyquay-ran", "no"),
        ("retry-after", "1"),
        ("connection", "close"),
    ] {
        assert_eq!(refused.header(header), value, "{refused:?}");
    }
    let mut chats = chats.into_iter().map(|chat| chat.join().unwrap());
    let stream = chats.next().unwrap().unwrap();
    assert!(stream_text(&stream).is_some(), "{stream:?}");
    let plain = chats.next().unwrap().unwrap();
    assert_eq!((plain.status, plain.is_truncated), (200, false));
    let mut received = Vec::new();
    for stream in paused {
        let response = read_response(&mut BufReader::new(stream));
        received.push(response.map_or(0, |(_, bytes)| bytes));
    }
    assert_eq!(received, sizes);
    let code = eventually("the entry has stopped", || {
        cluster.entries[0].try_exit_code()
    });
    assert_eq!(code, Some(0));
    cluster.wait_until_settled();
    // The requests that were sent until one was refused are billed as well.
    let sent = u64::try_from(sizes.len()).unwrap() + 2;
    assert_eq!(cluster.billed_requests("maple") - billed, sent + served);
}

// A caller that sent its next request on a kept connection lost it when the process closed it.
#[test]
fn kept_connections_are_told_to_close_before_the_entry_closes_them() {
    let mut cluster = Cluster::start_with_inventory(1, 1);
    let _upstream = start_sized_upstream(&cluster);
    let entry = cluster.entry_addresses[0];
    let callers: Vec<_> = (0..8)
        .map(|i| {
            thread::spawn(move || {
                let (mut whole, mut cut) = (0, Vec::new());
                // Until the entry no longer accepts connections.
                while let Ok(mut stream) = TcpStream::connect(entry) {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    for served in 0.. {
                        let (name, value) = AUTH_HEADER;
                        let request = format!(
                            "GET /app/previews/2000 HTTP/1.1\r\nhost: a\r\n{name}: {value}\r\n\r\n"
                        );
                        let sent = stream.write_all(request.as_bytes());
                        match sent.ok().and_then(|()| read_response(&mut reader)) {
                            Some((head, _)) => {
                                whole += 1;
                                if head.contains("connection: close") {
                                    break;
                                }
                            }
                            // The first request on a connection may cross the end of the listener.
                            None if served == 0 => break,
                            None => {
                                cut.push(served);
                                break;
                            }
                        }
                        thread::sleep(Duration::from_millis(i));
                    }
                }
                (whole, cut)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    cluster.entries[0].terminate();
    for caller in callers {
        let (whole, cut) = caller.join().unwrap();
        assert!(whole > 0);
        assert_eq!(cut, Vec::<u64>::new(), "requests served before the cut one");
    }
    let code = eventually("the entry has stopped", || {
        cluster.entries[0].try_exit_code()
    });
    assert_eq!(code, Some(0));
}
