//! HTTP endpoints for backend servers: announcing, renewing and withdrawing.

use std::time::Duration;

use flume::Sender;
use rouille::{Request, Response};
use rw_core::agent::Announcement;
use rw_core::ids::Name;
use rw_host::cluster::Cluster;
use rw_host::http;

use crate::event_loop::Event;

/// Maximum number of open HTTP connections; further ones are refused.
pub const HTTP_CONNECTIONS: usize = 64;
/// Maximum size of an announcement's body in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;
/// Time for the event loop to take an event, and for its reply to arrive.
const EVENT_LOOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers an HTTP request. `ready` is the readiness that `/readyz` reports.
pub fn handle(req: &Request, tx: &Sender<Event>, ready: bool, cluster: &Cluster) -> Response {
    if let Some(response) = http::common_endpoints(req, ready, cluster) {
        return response;
    }
    let path = req.url();
    match (req.method(), path.as_str()) {
        ("PUT", "/v1/backend") => announce(req, tx),
        ("DELETE", path) => match path.strip_prefix("/v1/backend/") {
            Some(name) => withdraw(name, tx),
            None => not_found(),
        },
        _ => not_found(),
    }
}

fn not_found() -> Response {
    http::problem("not-found", 404, "no such path", None)
}

fn announce(req: &Request, tx: &Sender<Event>) -> Response {
    let announced: Announcement = match http::json_body(req, MAX_ANNOUNCEMENT_BYTES) {
        Ok(announced) => announced,
        Err(response) => return response,
    };
    if announced.slots == 0
        || announced.services.is_empty()
        || !announced.url.starts_with("http://")
    {
        let detail = "slots must be at least 1, services not empty, url http://ADDRESS:PORT";
        return http::problem("malformed", 400, detail, None);
    }
    send_event(tx, |reply| Event::Announce(announced, reply))
}

fn withdraw(name: &str, tx: &Sender<Event>) -> Response {
    let name = Name::from(name);
    send_event(tx, |reply| Event::Withdraw(name, reply))
}

/// Sends an event to the event loop and turns its reply into a response.
fn send_event<F>(tx: &Sender<Event>, event: F) -> Response
where
    F: FnOnce(Sender<bool>) -> Event,
{
    let (reply_tx, reply_rx) = flume::bounded(1);
    let sent = tx.send_timeout(event(reply_tx), EVENT_LOOP_TIMEOUT).is_ok();
    match reply_rx.recv_timeout(EVENT_LOOP_TIMEOUT) {
        Ok(true) if sent => Response::empty_204(),
        Ok(false) => http::problem("not-found", 404, "no such backend server", None),
        _ => http::problem("overloaded", 503, "the agent is busy", None),
    }
}
