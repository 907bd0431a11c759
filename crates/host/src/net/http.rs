//! HTTP/1.1 messages: parsed by `httparse`, framed by length or chunks.

use std::io::Write;
use std::time::Duration;

/// Headers that one message may hold.
const MAX_HEADERS: usize = 64;

/// Limits of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HttpLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a request to arrive once its first byte did.
    pub request_time: Duration,
    /// Time that a connection may wait for its next request.
    pub idle_time: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            // The largest catalogue that operators may publish.
            body_bytes: 4 * 1024 * 1024,
            request_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
}

/// A whole request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers in order; names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// The first header of this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A whole response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// Headers besides the length and the connection's.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response without a body.
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    /// A response with a body of this type.
    pub fn with_body(status: u16, kind: &str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![("Content-Type".into(), kind.into())],
            body,
        }
    }

    /// The first header of this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// What a buffer holds.
pub(crate) enum Parsed<T> {
    /// Not a whole message yet.
    More,
    /// A message, the bytes that it took, and whether the connection ends after it.
    Whole(T, usize, bool),
    /// Not a message that is served: status and reason.
    Bad(u16, &'static str),
}

/// Reads a request.
pub(crate) fn parse_request(buf: &[u8], limits: &HttpLimits) -> Parsed<HttpRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let head = match req.parse(buf) {
        Ok(httparse::Status::Complete(head)) if head <= limits.head_bytes => head,
        Ok(httparse::Status::Partial) if buf.len() <= limits.head_bytes => return Parsed::More,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Parsed::Bad(431, "the head is too long");
        }
        Err(_) => return Parsed::Bad(400, "the head cannot be read"),
    };
    let headers = own(req.headers);
    let (body, end) = match body(buf, head, &headers, limits.body_bytes) {
        Parsed::Whole(body, end, _) => (body, end),
        Parsed::More => return Parsed::More,
        Parsed::Bad(status, reason) => return Parsed::Bad(status, reason),
    };
    let close = closes(&headers, req.version);
    let whole = HttpRequest {
        method: req.method.unwrap_or_default().into(),
        path: req.path.unwrap_or_default().into(),
        headers,
        body,
    };
    Parsed::Whole(whole, end, close)
}

/// Reads a response.
pub(super) fn parse_response(buf: &[u8], limits: &HttpLimits) -> Parsed<HttpResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut res = httparse::Response::new(&mut headers);
    let head = match res.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Parsed::More,
        Err(_) => return Parsed::Bad(502, "the head cannot be read"),
    };
    let headers = own(res.headers);
    let (body, end) = match body(buf, head, &headers, limits.body_bytes) {
        Parsed::Whole(body, end, _) => (body, end),
        Parsed::More => return Parsed::More,
        Parsed::Bad(status, reason) => return Parsed::Bad(status, reason),
    };
    let close = closes(&headers, res.version);
    let whole = HttpResponse {
        status: res.code.unwrap_or_default(),
        headers,
        body,
    };
    Parsed::Whole(whole, end, close)
}

fn own(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    };
    headers.iter().map(text).collect()
}

fn closes(headers: &[(String, String)], version: Option<u8>) -> bool {
    match find(headers, "connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => true,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => false,
        _ => version == Some(0),
    }
}

/// The body that starts at `head`, and where it ends.
fn body(buf: &[u8], head: usize, headers: &[(String, String)], max: usize) -> Parsed<Vec<u8>> {
    let chunked = find(headers, "transfer-encoding").is_some();
    let lengths = headers.iter().filter(|(name, _)| name == "content-length");
    if chunked {
        return if lengths.count() > 0 {
            Parsed::Bad(400, "the body has a length and a transfer coding")
        } else {
            chunks(buf, head, max)
        };
    }
    let mut lengths = lengths.map(|(_, value)| value.trim());
    let Some(first) = lengths.next() else {
        return Parsed::Whole(Vec::new(), head, false);
    };
    let number = first.bytes().all(|b| b.is_ascii_digit());
    let Some(len) = first.parse::<usize>().ok().filter(|_| number) else {
        return Parsed::Bad(400, "the body's length is no number");
    };
    if lengths.any(|other| other != first) {
        return Parsed::Bad(400, "the body has two lengths");
    }
    if len > max {
        return Parsed::Bad(413, "the body is too long");
    }
    match buf.get(head..head + len) {
        Some(body) => Parsed::Whole(body.to_vec(), head + len, false),
        None => Parsed::More,
    }
}

fn chunks(buf: &[u8], head: usize, max: usize) -> Parsed<Vec<u8>> {
    let mut body = Vec::new();
    let mut at = head;
    loop {
        let (skip, len) = match httparse::parse_chunk_size(&buf[at..]) {
            Ok(httparse::Status::Complete((skip, len))) => (skip, len as usize),
            Ok(httparse::Status::Partial) => return Parsed::More,
            Err(_) => return Parsed::Bad(400, "a chunk's size cannot be read"),
        };
        at += skip;
        if len == 0 {
            // Trailers are read over up to their empty line.
            return match buf[at..].windows(2).position(|w| w == b"\r\n") {
                Some(0) => Parsed::Whole(body, at + 2, false),
                Some(_) => match buf[at..].windows(4).position(|w| w == b"\r\n\r\n") {
                    Some(end) => Parsed::Whole(body, at + end + 4, false),
                    None => Parsed::More,
                },
                None => Parsed::More,
            };
        }
        if body.len().saturating_add(len) > max {
            return Parsed::Bad(413, "the body is too long");
        }
        let Some(chunk) = buf.get(at..at + len + 2) else {
            return Parsed::More;
        };
        body.extend_from_slice(&chunk[..len]);
        at += len + 2;
    }
}

/// The bytes of a response.
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

/// The bytes of a request.
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
