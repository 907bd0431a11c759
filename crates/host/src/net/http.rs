//! Parsing and serialization of HTTP/1.1 messages. `httparse` parses the heads; bodies are framed
//! by `Content-Length` or chunked coding.

use std::io::Write;
use std::time::Duration;

/// Maximum number of headers of a message.
pub(super) const MAX_HEADERS: usize = 64;

/// The response that asks a caller to send the body of its request.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits for HTTP messages and for callers' connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HttpLimits {
    /// Maximum size of a request's start line and headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Time limit for a request to arrive completely, counted from its first byte.
    pub request_time: Duration,
    /// Time limit for which a connection may wait for its next request.
    pub idle_time: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            // This is also the largest catalogue that operators can publish.
            body_bytes: 4 * 1024 * 1024,
            request_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}

/// An HTTP request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpRequest {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target: path and query.
    pub path: String,
    /// The headers in order. Names of parsed requests are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, decoded if it was chunked.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of the first header of this name, compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns whether the caller waits for [`CONTINUE`] before it sends the body.
    pub(crate) fn expects_continue(&self) -> bool {
        self.header("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Returns the memory in bytes that the request takes.
    pub(crate) fn held_bytes(&self) -> usize {
        let texts = |(name, value): &(String, String)| name.capacity() + value.capacity();
        let headers = self.headers.capacity() * size_of::<(String, String)>();
        let texts: usize = self.headers.iter().map(texts).sum();
        self.body.capacity() + self.path.capacity() + headers + texts
    }
}

/// An HTTP response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers in order. `Content-Length` and `Connection` are added when a response is sent.
    pub headers: Vec<(String, String)>,
    /// The body, decoded if it was chunked.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns a response without a body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// Returns a response with a body. `content_type` is the value of `Content-Type`.
    pub fn with_body(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type".into(), content_type.into())],
            body,
        }
    }

    /// Returns the value of the first header of this name, compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// The result of parsing the start of a buffer.
pub(super) enum Parsed<T> {
    /// The message is not complete yet.
    Incomplete,
    /// A message, its end in the buffer, and whether the connection closes after it.
    Complete(T, usize, bool),
    /// A message that is not accepted: status and reason for the response.
    Invalid(u16, &'static str),
}

/// Parses a response at the start of `buf`. Only the body limit applies.
pub(super) fn parse_response(buf: &[u8], limits: &HttpLimits) -> Parsed<HttpResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let head = match res.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(_) => return Parsed::Invalid(502, "the head cannot be read"),
    };
    let headers = owned_headers(res.headers);
    let (body, end) = match parse_body(buf, head, &headers, limits.body_bytes) {
        Parsed::Complete(body, end, _) => (body, end),
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(status, reason) => return Parsed::Invalid(status, reason),
    };
    let close = closes_connection(&headers, res.version);
    let response = HttpResponse {
        status: res.code.unwrap_or_default(),
        headers,
        body,
    };
    Parsed::Complete(response, end, close)
}

pub(super) fn owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    };
    headers.iter().map(text).collect()
}

pub(super) fn closes_connection(headers: &[(String, String)], version: Option<u8>) -> bool {
    match find_header(headers, "connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => true,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => false,
        _ => version == Some(0),
    }
}

/// Parses the body that starts at offset `head`. Completes with the end of the message in `buf`;
/// the flag is always `false`.
fn parse_body(
    buf: &[u8],
    head: usize,
    headers: &[(String, String)],
    max: usize,
) -> Parsed<Vec<u8>> {
    let chunked = find_header(headers, "transfer-encoding").is_some();
    let lengths = headers.iter().filter(|(name, _)| name == "content-length");
    if chunked {
        return if lengths.count() > 0 {
            Parsed::Invalid(400, "the body has a length and a transfer coding")
        } else {
            parse_chunked_body(buf, head, max)
        };
    }
    let mut lengths = lengths.map(|(_, value)| value.trim());
    let Some(first) = lengths.next() else {
        return Parsed::Complete(Vec::new(), head, false);
    };
    let is_number = first.bytes().all(|b| b.is_ascii_digit());
    let Some(len) = first.parse::<usize>().ok().filter(|_| is_number) else {
        return Parsed::Invalid(400, "the body's length is no number");
    };
    if lengths.any(|other| other != first) {
        return Parsed::Invalid(400, "the body has two lengths");
    }
    if len > max {
        return Parsed::Invalid(413, "the body is too long");
    }
    match buf.get(head..head + len) {
        Some(body) => Parsed::Complete(body.to_vec(), head + len, false),
        None => Parsed::Incomplete,
    }
}

fn parse_chunked_body(buf: &[u8], head: usize, max: usize) -> Parsed<Vec<u8>> {
    let mut body = Vec::new();
    let mut at = head;
    loop {
        let (skip, len) = match httparse::parse_chunk_size(&buf[at..]) {
            Ok(httparse::Status::Complete((skip, len))) => (skip, len as usize),
            Ok(httparse::Status::Partial) => return Parsed::Incomplete,
            Err(_) => return Parsed::Invalid(400, "a chunk's size cannot be read"),
        };
        at += skip;
        if len == 0 {
            // Trailers are skipped up to the empty line that ends them.
            return match buf[at..].windows(2).position(|w| w == b"\r\n") {
                Some(0) => Parsed::Complete(body, at + 2, false),
                Some(_) => match buf[at..].windows(4).position(|w| w == b"\r\n\r\n") {
                    Some(end) => Parsed::Complete(body, at + end + 4, false),
                    None => Parsed::Incomplete,
                },
                None => Parsed::Incomplete,
            };
        }
        if body.len().saturating_add(len) > max {
            return Parsed::Invalid(413, "the body is too long");
        }
        let Some(chunk) = buf.get(at..at + len + 2) else {
            return Parsed::Incomplete;
        };
        body.extend_from_slice(&chunk[..len]);
        at += len + 2;
    }
}

/// Appends the bytes of a response to `buf`, with `Connection: close` if `close` is set.
pub(crate) fn response_bytes(response: &HttpResponse, close: bool, buf: &mut Vec<u8>) {
    let reason = match response.status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "-",
    };
    let len = response.body.len();
    let _ = write!(
        buf,
        "HTTP/1.1 {} {reason}\r\nContent-Length: {len}\r\n",
        response.status
    );
    for (name, value) in &response.headers {
        let _ = write!(buf, "{name}: {value}\r\n");
    }
    if close {
        buf.extend_from_slice(b"Connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(&response.body);
}

/// Returns the bytes of a request with the headers `Host` and `Content-Length` added.
pub fn request_bytes(host: &str, request: &HttpRequest) -> Vec<u8> {
    let mut buf = Vec::with_capacity(256 + request.body.len());
    let HttpRequest {
        method,
        path,
        headers,
        body,
    } = request;
    let _ = write!(buf, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(buf, "{name}: {value}\r\n");
    }
    let _ = write!(buf, "Content-Length: {}\r\n\r\n", body.len());
    buf.extend_from_slice(body);
    buf
}
