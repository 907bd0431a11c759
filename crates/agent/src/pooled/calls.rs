//! Persistent HTTP connections to the worker, with one call at a time on each.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rw_core::pool::Uptime;
use rw_core::pool::driver::Call;
use rw_host::net::{ConnId, HttpRequest, Net, request_bytes};

/// Maximum number of concurrent calls, well below the number of connections that a worker accepts.
const MAX_CONNS: usize = 24;

/// The connections to the worker: the idle ones and those with a call in flight.
#[derive(Debug)]
pub struct WorkerConns {
    worker: SocketAddr,
    host: String,
    idle: Vec<ConnId>,
    busy: IndexMap<ConnId, (u64, Call)>,
}

impl WorkerConns {
    /// Creates an empty pool of connections to the worker at this address.
    pub fn new(worker: SocketAddr) -> Self {
        Self {
            worker,
            host: worker.to_string(),
            idle: Vec::new(),
            busy: IndexMap::new(),
        }
    }

    /// Sends a call. Returns `false` if no connection is available; nothing was sent then.
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
            None => match net.open_call_conn(now, self.worker) {
                Ok(conn) => conn,
                Err(e) => {
                    log::warn!(step = "connect", peer:% = self.worker, error:% = e;
                        "call to worker not sent");
                    return false;
                }
            },
        };
        net.call(conn, &request_bytes(&self.host, req));
        self.busy.insert(conn, (id, call));
        true
    }

    /// Returns the id and the call that the response on this connection belongs to, and marks the
    /// connection as idle. Returns `None` if no call is in flight on it.
    pub fn on_response(&mut self, conn: ConnId) -> Option<(u64, Call)> {
        let call = self.busy.swap_remove(&conn)?;
        self.idle.push(conn);
        Some(call)
    }

    /// Removes a closed connection and returns the id and the call that was in flight on it.
    pub fn on_closed(&mut self, conn: ConnId) -> Option<(u64, Call)> {
        self.idle.retain(|idle| *idle != conn);
        self.busy.swap_remove(&conn)
    }

    /// Abandons a call and closes its connection. Does nothing if the call is not in flight.
    pub fn drop_call(&mut self, id: u64, net: &mut Net) {
        let conn = self.busy.iter().find(|(_, (call, _))| *call == id);
        if let Some(conn) = conn.map(|(conn, _)| *conn) {
            self.busy.swap_remove(&conn);
            net.close(conn);
        }
    }
}
