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
pub(crate) struct Seen {
    pub(crate) line: String,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Seen {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub(crate) fn id(&self) -> &str {
        self.header("daisyquay-attempt").unwrap_or_default()
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Seen> {
    let mut seen = Seen::default();
    reader.read_line(&mut seen.line).ok().filter(|&n| n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        if line == "\r\n" {
            break;
        }
        seen.head.push_str(&line);
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
type Script = dyn Fn(&Seen, &mut TcpStream) -> bool + Send + Sync;

/// An upstream of the test.
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Upstream {
    pub(crate) fn start(
        script: impl Fn(&Seen, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
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

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

pub(crate) fn whole(seen: &Seen, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s-{}\r\n\
         content-length: {}\r\n\r\n{body}",
        seen.id(),
        seen.id(),
        body.len()
    )
}

pub(crate) fn stream_head(seen: &Seen) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ndaisyquay-attempt: {}\r\ndaisyquay-signature: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        seen.id()
    )
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

pub(crate) fn write(out: &mut TcpStream, text: &str) -> bool {
    out.write_all(text.as_bytes()).is_ok()
}
