//! Kept connections to the worker, one call at a time on each.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rw_core::pool::Uptime;
use rw_core::pool::driver::Call;
use rw_host::net::{ConnId, HttpRequest, Net, request_bytes};

/// Connections to the worker; well below what a worker takes.
const MAX_CONNS: usize = 24;

/// The calls under way and the connections that wait for one.
#[derive(Debug)]
pub struct Calls {
    worker: SocketAddr,
    host: String,
    idle: Vec<ConnId>,
    busy: IndexMap<ConnId, (u64, Call)>,
}

impl Calls {
    /// Calls to the worker at this address.
    pub fn new(worker: SocketAddr) -> Self {
        Self {
            worker,
            host: worker.to_string(),
            idle: Vec::new(),
            busy: IndexMap::new(),
        }
    }

    /// Sends a call. `false` if no connection can be had, so that it surely was not sent.
    pub fn start(
        &mut self,
        now: Uptime,
        id: u64,
        call: Call,
        req: &HttpRequest,
        net: &mut Net,
    ) -> bool {
        let conn = match self.idle.pop() {
            Some(conn) => conn,
            None if self.busy.len() >= MAX_CONNS => return false,
            None => match net.open_calls(now, self.worker) {
                Ok(conn) => conn,
                Err(e) => {
                    log::warn!(step = "connect", peer:% = self.worker, error:% = e; "call not sent");
                    return false;
                }
            },
        };
        net.call(conn, &request_bytes(&self.host, req));
        self.busy.insert(conn, (id, call));
        true
    }

    /// An answer arrived; the connection is free again.
    pub fn done(&mut self, conn: ConnId) -> Option<(u64, Call)> {
        let call = self.busy.swap_remove(&conn)?;
        self.idle.push(conn);
        Some(call)
    }

    /// A connection ended.
    pub fn ended(&mut self, conn: ConnId) -> Option<(u64, Call)> {
        self.idle.retain(|idle| *idle != conn);
        self.busy.swap_remove(&conn)
    }

    /// Nothing more is expected of a call; its connection is not used again.
    pub fn drop_call(&mut self, id: u64, net: &mut Net) {
        let conn = self.busy.iter().find(|(_, (call, _))| *call == id);
        if let Some(conn) = conn.map(|(conn, _)| *conn) {
            self.busy.swap_remove(&conn);
            net.close(conn);
        }
    }
}
