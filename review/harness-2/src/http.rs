//! HTTP/1.1 as clients, operators and workers need it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The start line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before it is complete. `buf` holds what was read
/// beyond it.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(head) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buf[..head]).into_owned();
            let mut lines = text.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                .collect();
            let mut message = Message {
                line,
                headers,
                body: String::new(),
            };
            let len = message.header("content-length");
            let len: usize = len.and_then(|l| l.parse().ok()).unwrap_or(0);
            if buf.len() >= head + 4 + len {
                message.body = String::from_utf8_lossy(&buf[head + 4..head + 4 + len]).into_owned();
                buf.drain(..head + 4 + len);
                return Some(message);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(len) => buf.extend_from_slice(&part[..len]),
        }
    }
}

pub fn request_text(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one request on a new connection and returns the response; `None` without one in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let begin = Instant::now();
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let left = timeout.saturating_sub(begin.elapsed());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let headers = format!("Host: {addr}\r\n{headers}");
    let headers = if headers.matches("Host:").count() > 1 {
        headers
            .split_once("\r\n")
            .map_or("", |(_, rest)| rest)
            .to_owned()
    } else {
        headers
    };
    stream
        .write_all(request_text(method, path, &headers, body).as_bytes())
        .ok()?;
    read_message(&mut stream, &mut Vec::new())
}
