//! HTTP as a caller sends it.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

/// What a caller got.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Whether the body ended before its time.
    pub(crate) is_truncated: bool,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(40)))
        .timeout_connect(Some(Duration::from_secs(2)))
        .build()
        .into()
}

/// Sends a request; `None` where no answer began.
pub(crate) fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = agent().run(request.body(body.to_owned()).ok()?).ok()?;
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let status = response.status().as_u16();
    let mut reader = BufReader::new(response.body_mut().as_reader());
    let mut body = String::new();
    let is_truncated = loop {
        match reader.read_line(&mut body) {
            Ok(0) => break false,
            Ok(_) => {}
            Err(_) => break true,
        }
    };
    Some(Response {
        status,
        headers,
        body,
        is_truncated,
    })
}

pub(crate) fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<Response> {
    send("GET", address, path, headers, "")
}

pub(crate) fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    send("POST", address, path, headers, body)
}

/// A chat-completions body.
pub(crate) fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({
        "model": model,
        "max_tokens": tokens,
        "stream": stream,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

/// The text of a streamed answer, or `None` where it is not whole.
pub(crate) fn stream_text(reply: &Response) -> Option<String> {
    if reply.is_truncated {
        return None;
    }
    let mut text = String::new();
    let mut finished = false;
    for line in reply.body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return finished.then_some(text);
        }
        let event: Value = serde_json::from_str(data).unwrap();
        if let Some(piece) = event.pointer("/choices/0/delta/content") {
            text.push_str(piece.as_str().unwrap());
        }
        finished |= event
            .pointer("/choices/0/finish_reason")
            .is_some_and(|reason| !reason.is_null());
    }
    None
}
