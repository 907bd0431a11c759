//! The HTTP server of the daemons: kept connections, trickled requests, large bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use rouille::Response;
use rw_host::http::{Pending, serve};

const PATIENCE: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

fn start(max_conns: usize) -> (SocketAddr, Pending) {
    let free = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = free.local_addr().expect("its address");
    drop(free);
    let pending = serve(addr, max_conns, |req| {
        let mut body = String::new();
        if let Some(mut data) = req.data() {
            data.read_to_string(&mut body).expect("a body");
        }
        Response::text(format!("{} {} {body}", req.method(), req.url()))
    });
    (addr, pending.expect("the port is free"))
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("time-out");
    stream
}

/// Reads until the text ends so, or the connection does.
fn answer(stream: &mut TcpStream, end: &str) -> String {
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
fn callers_who_come_at_once_and_keep_their_connections_are_all_served() {
    let (addr, pending) = start(64);
    let mut callers: Vec<TcpStream> = (0..32).map(|_| connect(addr)).collect();
    for round in 0..3 {
        for caller in &mut callers {
            caller.write_all(REQUEST).expect("request");
        }
        for (i, caller) in callers.iter_mut().enumerate() {
            let text = answer(caller, "GET /a ");
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
fn one_connection_more_than_the_limit_is_refused_as_not_run() {
    let (addr, _) = start(2);
    let mut kept = [connect(addr), connect(addr)];
    for caller in &mut kept {
        caller.write_all(REQUEST).expect("request");
        answer(caller, "GET /a ");
    }
    let text = answer(&mut connect(addr), "}");
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("not-run"), "{text}");
}

#[test]
fn trickled_requests_are_ended_and_hold_nobody_up() {
    let (addr, _) = start(300);
    let mut trickled: Vec<TcpStream> = (0..200).map(|_| connect(addr)).collect();
    for caller in &mut trickled {
        caller.write_all(b"POST /b HT").expect("a part of a head");
    }
    let mut other = connect(addr);
    other.write_all(REQUEST).expect("request");
    assert!(answer(&mut other, "GET /a ").starts_with("HTTP/1.1 200"));
    for caller in &mut trickled {
        assert_eq!(answer(caller, "\n"), "", "no answer to half a request");
    }
}

#[test]
fn a_body_is_asked_for_and_one_too_large_is_refused() {
    let (addr, _) = start(4);
    let mut caller = connect(addr);
    caller
        .write_all(b"POST /b HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        .expect("a head");
    assert!(answer(&mut caller, "\r\n\r\n").starts_with("HTTP/1.1 100"));
    caller.write_all(b"xyz").expect("a body");
    assert!(answer(&mut caller, "POST /b xyz").starts_with("HTTP/1.1 200"));
    caller
        .write_all(b"POST /b HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n")
        .expect("a head");
    let text = answer(&mut caller, "}");
    assert!(
        text.starts_with("HTTP/1.1 413") && text.contains("not-run"),
        "{text}"
    );
}
