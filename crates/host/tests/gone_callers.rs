//! Requests of callers that disconnect before the request is delivered are dropped: the caller may
//! have sent the request elsewhere, and it would run twice.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use rw_host::net::{Net, NetEvent};
use support::{REQUEST, start_net};

/// Returns the number of requests delivered within ten polls of 20 ms.
fn count_requests(net: &mut Net) -> usize {
    let mut events = Vec::new();
    for _ in 0..10 {
        net.poll(Duration::from_millis(20), &mut events)
            .expect("poll succeeds");
    }
    let is_request = |event: &&NetEvent| matches!(event, NetEvent::Request(..));
    events.iter().filter(is_request).count()
}

#[test]
fn a_request_is_delivered_only_while_its_caller_is_connected() {
    let (mut net, addr) = start_net();
    let mut connected = TcpStream::connect(addr).expect("connect succeeds");
    connected.write_all(REQUEST).expect("request is sent");
    let mut disconnected = TcpStream::connect(addr).expect("connect succeeds");
    disconnected.write_all(REQUEST).expect("request is sent");
    drop(disconnected);
    assert_eq!(count_requests(&mut net), 1);
    drop(connected);
}
