//! An HTTP client for requests of callers.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

/// A response as the caller received it.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Whether the connection failed before the end of the body.
    pub(crate) is_truncated: bool,
}

impl Response {
    /// Returns the value of the header `name`, which is in lower case, or an empty text without it.
    pub(crate) fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map_or("", |(_, value)| value)
    }

    /// Returns the body as JSON, or `null` if it is none.
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

/// Sends a request. Returns `None` if there was no response head.
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

/// Returns the body of a chat completion request.
pub(crate) fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({
        "model": model,
        "max_tokens": tokens,
        "stream": stream,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

/// Returns the text of a streamed response, or `None` if the stream was truncated or lacks its
/// finish reason or `[DONE]`.
pub(crate) fn stream_text(response: &Response) -> Option<String> {
    if response.is_truncated {
        return None;
    }
    let mut text = String::new();
    let mut is_finished = false;
    for line in response.body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return is_finished.then_some(text);
        }
        let event: Value = serde_json::from_str(data).unwrap();
        if let Some(delta) = event.pointer("/choices/0/delta/content") {
            text.push_str(delta.as_str().unwrap());
        }
        is_finished |= event
            .pointer("/choices/0/finish_reason")
            .is_some_and(|reason| !reason.is_null());
    }
    None
}
