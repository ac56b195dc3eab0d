//! An upstream that a test scripts byte by byte.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// A request as an upstream reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedRequest {
    pub(crate) request_line: String,
    pub(crate) headers: String,
    pub(crate) body: String,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.lines().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub(crate) fn attempt_id(&self) -> &str {
        self.header("daisyquay-attempt").unwrap_or_default()
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut seen = ReceivedRequest::default();
    reader
        .read_line(&mut seen.request_line)
        .ok()
        .filter(|&n| n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        if line == "\r\n" {
            break;
        }
        seen.headers.push_str(&line);
    }
    let length = seen
        .header("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    seen.body = String::from_utf8(body).unwrap();
    Some(seen)
}

/// What an upstream does with a request, on its connection; `false` closes it.
type Script = dyn Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync;

/// An upstream of the test.
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Upstream {
    pub(crate) fn start(
        script: impl Fn(&ReceivedRequest, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let (log, script): (_, Arc<Script>) = (seen.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, script) = (log.clone(), script.clone());
                thread::spawn(move || {
                    let mut out = stream.try_clone().unwrap();
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_request(&mut reader) {
                        log.lock().unwrap().push(request.clone());
                        if !script(&request, &mut out) {
                            let _ = out.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        Self { address, seen }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.seen.lock().unwrap().clone()
    }
}

pub(crate) fn ok_response(seen: &ReceivedRequest, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s-{}\r\n\
         content-length: {}\r\n\r\n{body}",
        seen.attempt_id(),
        seen.attempt_id(),
        body.len()
    )
}

pub(crate) fn stream_response_head(seen: &ReceivedRequest) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        seen.attempt_id()
    )
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) fn sse_event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

pub(crate) fn write(out: &mut TcpStream, text: &str) -> bool {
    out.write_all(text.as_bytes()).is_ok()
}
