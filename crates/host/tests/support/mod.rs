//! An event loop without a daemon.

use std::net::{SocketAddr, TcpListener};

use rw_core::codec::ClusterKey;
use rw_core::ids::NodeRef;
use rw_core::msg::{Hello, Role};
use rw_host::net::{Accepts, Net};

/// A complete request.
pub const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

/// Returns an event loop that takes 8 connections, 7 of them callers', and its address for HTTP.
pub fn start_net() -> (Net, SocketAddr) {
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
