//! Requests of callers whose connection has already ended.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use rw_core::codec::ClusterKey;
use rw_core::ids::NodeRef;
use rw_core::msg::{Hello, Role};
use rw_host::net::{Accepts, Net, NetEvent};

const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

fn listening() -> (Net, SocketAddr) {
    let hello = Hello {
        node: NodeRef {
            name: "n".into(),
            incarnation: 1,
        },
        role: Role::Entry,
        domain: "d".into(),
    };
    let (mut net, _) = Net::new(ClusterKey::new("a secret of tests"), hello, 8).expect("a poller");
    let free = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = free.local_addr().expect("its address");
    drop(free);
    net.listen(addr, Accepts::Http(0))
        .expect("the port is free");
    (net, addr)
}

/// Requests that are handed on while nothing new happens for a while.
fn requests(net: &mut Net) -> usize {
    let mut events = Vec::new();
    for _ in 0..10 {
        net.poll(Duration::from_millis(20), &mut events)
            .expect("poll");
    }
    let request = |event: &&NetEvent| matches!(event, NetEvent::Request(..));
    events.iter().filter(request).count()
}

#[test]
fn a_request_is_handed_on_only_while_its_caller_is_there() {
    let (mut net, addr) = listening();
    let mut stays = TcpStream::connect(addr).expect("connection");
    stays.write_all(REQUEST).expect("request");
    let mut goes = TcpStream::connect(addr).expect("connection");
    goes.write_all(REQUEST).expect("request");
    drop(goes);
    assert_eq!(requests(&mut net), 1);
    drop(stays);
}
