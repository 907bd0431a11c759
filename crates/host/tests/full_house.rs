//! Callers are served while others take all connections that callers may have.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rw_host::net::{HttpResponse, Net, NetEvent};
use support::{REQUEST, start_net};

/// Number of connections that callers may have.
const MAX_CALLERS: usize = 7;

/// Polls once and returns the paths of the requests that were delivered, each of which is answered.
fn serve(net: &mut Net) -> Vec<String> {
    let mut events = Vec::new();
    net.poll(Duration::from_millis(10), &mut events)
        .expect("poll succeeds");
    let mut paths = Vec::new();
    for event in events {
        if let NetEvent::Request(id, _, req) = event {
            net.respond(id, &HttpResponse::empty(200));
            paths.push(req.path);
        }
    }
    paths
}

/// Connects `count` callers, each of which sends `bytes`, and polls until all are accepted.
fn connect(net: &mut Net, addr: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let streams = (0..count).map(|_| {
        let mut stream = TcpStream::connect(addr).expect("connect succeeds");
        stream.write_all(bytes).expect("bytes are sent");
        stream
    });
    let streams = streams.collect();
    for _ in 0..3 {
        serve(net);
    }
    streams
}

/// The request of a job was lost: its connection was closed for further ones before it was read.
#[test]
fn a_request_that_has_arrived_is_read_before_its_connection_makes_room_for_others() {
    let (mut net, addr) = start_net();
    let others = connect(&mut net, addr, MAX_CALLERS - 1, b"G");
    let mut callers = connect(&mut net, addr, 1, b"");
    let newcomer = TcpStream::connect(addr).expect("connect succeeds");
    callers[0].write_all(REQUEST).expect("request is sent");
    assert_eq!(serve(&mut net), ["/a"]);
    drop((others, newcomer));
}

/// As above; here the further connections are accepted together with it.
#[test]
fn a_request_that_arrived_with_its_connection_is_read_before_others_are_accepted() {
    let (mut net, addr) = start_net();
    let others = connect(&mut net, addr, MAX_CALLERS - 1, b"G");
    let mut caller = TcpStream::connect(addr).expect("connect succeeds");
    caller.write_all(REQUEST).expect("request is sent");
    let newcomers = [(); 3].map(|()| TcpStream::connect(addr).expect("connect succeeds"));
    let paths: Vec<_> = (0..3).flat_map(|_| serve(&mut net)).collect();
    assert_eq!(paths, ["/a"]);
    drop((others, newcomers));
}

/// Callers that always had the next request ready kept everyone else out until their output was full.
#[test]
fn callers_that_send_requests_ahead_do_not_keep_others_out() {
    let (mut net, addr) = start_net();
    let crowd = connect(&mut net, addr, MAX_CALLERS, &REQUEST.repeat(10_000));
    let mut caller = TcpStream::connect(addr).expect("connect succeeds");
    let request = b"GET /other HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.write_all(request).expect("request is sent");
    let served = (0..10).any(|_| serve(&mut net).iter().any(|path| path == "/other"));
    assert!(served);
    drop(crowd);
}
