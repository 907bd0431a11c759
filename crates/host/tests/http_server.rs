//! The HTTP server of the daemons: persistent connections, slow requests, large bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use rouille::Response;
use rw_host::http::{PendingRequests, serve};

const READ_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

fn start(max_conns: usize) -> (SocketAddr, PendingRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let addr = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let pending = serve(addr, max_conns, |req| {
        let mut body = String::new();
        if let Some(mut data) = req.data() {
            data.read_to_string(&mut body)
                .expect("the body is valid UTF-8");
        }
        Response::text(format!("{} {} {body}", req.method(), req.url()))
    });
    (addr, pending.expect("the port is still free"))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connect succeeds");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("timeout is set");
    stream
}

/// Reads until the text ends with `end`, or until the connection ends or times out.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buf = [0; 512];
    while !text.ends_with(end) {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(len) => text.push_str(&String::from_utf8_lossy(&buf[..len])),
        }
    }
    text
}

#[test]
fn concurrent_callers_with_persistent_connections_are_all_served() {
    let (addr, pending) = start(64);
    let mut callers: Vec<TcpStream> = (0..32).map(|_| connect(addr)).collect();
    for round in 0..3 {
        for caller in &mut callers {
            caller.write_all(REQUEST).expect("request is sent");
        }
        for (i, caller) in callers.iter_mut().enumerate() {
            let text = read_until(caller, "GET /a ");
            assert!(
                text.starts_with("HTTP/1.1 200"),
                "caller {i} in round {round}: {text:?}"
            );
        }
    }
    while pending.count() > 0 {
        std::thread::yield_now();
    }
}

#[test]
fn a_connection_beyond_the_limit_is_refused_as_not_run() {
    let (addr, _) = start(2);
    let mut persistent = [connect(addr), connect(addr)];
    for caller in &mut persistent {
        caller.write_all(REQUEST).expect("request is sent");
        read_until(caller, "GET /a ");
    }
    let text = read_until(&mut connect(addr), "}");
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("not-run"), "{text}");
}

#[test]
fn incomplete_requests_time_out_and_delay_no_other_caller() {
    let (addr, _) = start(300);
    let mut slow: Vec<TcpStream> = (0..200).map(|_| connect(addr)).collect();
    for caller in &mut slow {
        caller
            .write_all(b"POST /b HT")
            .expect("a partial head is sent");
    }
    let mut other = connect(addr);
    other.write_all(REQUEST).expect("request is sent");
    assert!(read_until(&mut other, "GET /a ").starts_with("HTTP/1.1 200"));
    for caller in &mut slow {
        assert_eq!(
            read_until(caller, "\n"),
            "",
            "an incomplete request gets no response"
        );
    }
}

#[test]
fn an_expected_body_gets_100_continue_and_an_oversized_one_is_refused() {
    let (addr, _) = start(4);
    let mut caller = connect(addr);
    caller
        .write_all(b"POST /b HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        .expect("the head is sent");
    assert!(read_until(&mut caller, "\r\n\r\n").starts_with("HTTP/1.1 100"));
    caller.write_all(b"xyz").expect("the body is sent");
    assert!(read_until(&mut caller, "POST /b xyz").starts_with("HTTP/1.1 200"));
    caller
        .write_all(b"POST /b HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n")
        .expect("the head is sent");
    let text = read_until(&mut caller, "}");
    assert!(
        text.starts_with("HTTP/1.1 413") && text.contains("not-run"),
        "{text}"
    );
}
