//! HTTP/1.1 as far as the stand-ins need it, on blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response that was read: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. `None` if the connection ended, failed or timed out before its end.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            let len = headers
                .iter()
                .find(|(n, _)| n == "content-length")
                .and_then(|(_, v)| v.parse::<usize>().ok())
                .unwrap_or(0);
            if buf.len() >= end + 4 + len {
                let body = String::from_utf8_lossy(&buf[end + 4..end + 4 + len]).into_owned();
                buf.drain(..end + 4 + len);
                return Some(Message {
                    line,
                    headers,
                    body,
                });
            }
        }
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buf.extend_from_slice(&chunk[..n]),
        }
    }
}

pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The outcome of a call. Status 0: no answer (`end` tells why).
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub location: Option<String>,
    pub end: &'static str,
}

/// Sends one request on a new connection and waits for the answer for at most `patience`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Answer {
    let none = |end| Answer {
        status: 0,
        body: String::new(),
        location: None,
        end,
    };
    let begin = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, patience) else {
        return none("no connection");
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if stream
        .write_all(request_text(method, path, headers, body).as_bytes())
        .is_err()
    {
        return none("not sent");
    }
    let mut buf = Vec::new();
    match read_message(&mut stream, &mut buf) {
        Some(m) => Answer {
            status: m.status(),
            location: m.header("location").map(str::to_owned),
            body: m.body,
            end: "answered",
        },
        None if begin.elapsed() >= patience => none("no answer in time"),
        None => none("connection ended without an answer"),
    }
}
