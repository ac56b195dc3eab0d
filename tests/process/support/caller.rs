//! A caller that keeps its connection open and reads its responses at the pace of a test.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::Response;

/// Longest wait for a byte of a response. It only ends a test that hangs.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// Bytes that are read at a time.
const PIECE_BYTES: usize = 64 * 1024;

/// One connection of a caller.
pub(crate) struct Caller {
    stream: TcpStream,
    /// Received bytes that belong to no response yet.
    buf: Vec<u8>,
}

impl Caller {
    /// Connects; `None` if nobody listens.
    pub(crate) fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Some(Self {
            stream,
            buf: Vec::new(),
        })
    }

    /// Sends a request; `false` if the connection has ended.
    pub(crate) fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> bool {
        let length = body.len().to_string();
        let mut headers = headers.to_vec();
        headers.push(("content-length", &length));
        self.send_head(method, path, &headers) && self.stream.write_all(body.as_bytes()).is_ok()
    }

    /// Sends a request whose body takes about half a second; `false` if the connection has ended.
    pub(crate) fn send_slowly(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> bool {
        let length = body.len().to_string();
        let mut headers = headers.to_vec();
        headers.push(("content-length", &length));
        self.send_head(method, path, &headers)
            && body.as_bytes().chunks(body.len() / 10 + 1).all(|piece| {
                std::thread::sleep(Duration::from_millis(50));
                self.stream.write_all(piece).is_ok()
            })
    }

    /// Sends a request head with these headers only; `false` if the connection has ended.
    pub(crate) fn send_head(&mut self, method: &str, path: &str, headers: &[(&str, &str)]) -> bool {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes()).is_ok()
    }

    /// Sends text as it is; `false` if the connection has ended.
    pub(crate) fn send_text(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Waits for the end of the connection; `false` if another byte comes, or nothing for a while.
    pub(crate) fn is_closed(&mut self) -> bool {
        let received = self.stream.read(&mut [0]);
        let is_end = received.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |n| n == 0);
        self.buf.is_empty() && is_end
    }

    /// Receives a response as fast as it comes; see [`Self::receive_at`].
    pub(crate) fn receive(&mut self) -> Option<Response> {
        self.receive_at(|_| {})
    }

    /// Receives a response; `None` if the connection ended before its head was complete. `pace` is
    /// called before each read, with the bytes received so far, and may wait.
    pub(crate) fn receive_at(&mut self, mut pace: impl FnMut(usize)) -> Option<Response> {
        let head_end = loop {
            if let Some(at) = memchr::memmem::find(&self.buf, b"\r\n\r\n") {
                break at + 4;
            }
            pace(self.buf.len());
            self.read().then_some(())?;
        };
        let mut response = parse_head(&self.buf[..head_end])?;
        self.buf.drain(..head_end);
        let is_chunked = response.header("transfer-encoding") == "chunked";
        let length = response.header("content-length").parse().unwrap_or(0);
        let body = loop {
            let end = if is_chunked {
                find_last_chunk(&self.buf)
            } else {
                (self.buf.len() >= length).then_some(length)
            };
            if let Some(end) = end {
                break self.buf.drain(..end).collect::<Vec<u8>>();
            }
            pace(self.buf.len());
            if !self.read() {
                response.is_truncated = true;
                break std::mem::take(&mut self.buf);
            }
        };
        response.body = if is_chunked {
            decode_chunks(&body)
        } else {
            String::from_utf8(body).unwrap()
        };
        Some(response)
    }

    /// Reads some bytes; `false` at the end of the connection.
    fn read(&mut self) -> bool {
        let mut piece = vec![0; PIECE_BYTES];
        match self.stream.read(&mut piece) {
            Ok(n) => {
                self.buf.extend_from_slice(&piece[..n]);
                n > 0
            }
            Err(_) => false,
        }
    }
}

fn parse_head(head: &[u8]) -> Option<Response> {
    let head = std::str::from_utf8(head).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    Some(Response {
        status,
        headers,
        body: String::new(),
        is_truncated: false,
    })
}

/// Returns the end of a body in chunked encoding; `None` if it is not complete.
fn find_last_chunk(body: &[u8]) -> Option<usize> {
    let mut at = 0;
    loop {
        let (data, end) = chunk_at(body, at)?;
        if data.is_empty() {
            return Some(end);
        }
        at = end;
    }
}

/// Returns the data of the chunk that begins at `at`, and its end.
fn chunk_at(body: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let line_end = at + memchr::memmem::find(body.get(at..)?, b"\r\n")?;
    let size = std::str::from_utf8(&body[at..line_end]).ok()?;
    let size = usize::from_str_radix(size, 16).ok()?;
    let start = line_end + 2;
    let data = body.get(start..start + size)?;
    let end = start + size + 2;
    (body.len() >= end).then_some((data, end))
}

/// Returns the data of all complete chunks.
fn decode_chunks(body: &[u8]) -> String {
    let mut text = Vec::new();
    let mut at = 0;
    while let Some((data, end)) = chunk_at(body, at) {
        text.extend_from_slice(data);
        at = end;
    }
    String::from_utf8(text).unwrap()
}
