//! Requests of callers that disconnect before the request is delivered are dropped: the caller may
//! have sent the request elsewhere, and it would run twice.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use rw_core::codec::ClusterKey;
use rw_core::ids::NodeRef;
use rw_core::msg::{Hello, Role};
use rw_host::net::{Accepts, Net, NetEvent};

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

fn start_net() -> (Net, SocketAddr) {
    let hello = Hello {
        node: NodeRef {
            name: "n".into(),
            incarnation: 1,
        },
        role: Role::Entry,
        domain: "d".into(),
    };
    let (mut net, _) =
        Net::new(ClusterKey::new("a secret of tests"), hello, 8).expect("event loop starts");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let addr = listener.local_addr().expect("the listener has an address");
    drop(listener);
    net.listen(addr, Accepts::Http(0))
        .expect("the port is still free");
    (net, addr)
}

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
