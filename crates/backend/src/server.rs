//! HTTP server that runs the tasks.

use std::io;
use std::thread;

use rouille::{Request, Response, Server};
use rw_host::http;

use crate::announcer;
use crate::behaviour::{Behaviour, field};
use crate::journal::Journal;

/// Maximum size of a task's payload.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// Number of threads in addition to one per slot, for connections that wait.
const SPARE_THREADS: usize = 8;

/// Serves tasks until the process is killed. Fails if the journal cannot be opened or the address
/// cannot be bound.
pub fn run(behaviour: Behaviour) -> io::Result<()> {
    let journal = Journal::open(behaviour.journal.as_deref())?;
    announcer::start(&behaviour);
    let (listen, threads) = (behaviour.listen, behaviour.slots as usize + SPARE_THREADS);
    let server = Server::new(listen, move |req| handle_request(&behaviour, &journal, req))
        .map_err(|e| io::Error::other(format!("{listen}: {e}")))?;
    server.pool_size(threads).run();
    Ok(())
}

/// Handles one request: records the start, waits for the run time, and answers with the payload's
/// field `echo`. A task that fails is answered with status 500 instead.
fn handle_request(behaviour: &Behaviour, journal: &Journal, req: &Request) -> Response {
    if req.method() != "POST" || req.url() != "/run" {
        return Response::empty_404();
    }
    let payload = match http::read_body(req, MAX_PAYLOAD_BYTES) {
        Ok(payload) => String::from_utf8_lossy(&payload).into_owned(),
        Err(response) => return response,
    };
    let header = |name| req.header(name).unwrap_or("-");
    journal.record(&format!(
        "{} {} {}",
        header("Redwingwick-Job"),
        header("Redwingwick-Task"),
        header("Redwingwick-Attempt")
    ));
    if behaviour.fails(&payload) {
        return Response::text("this backend server fails").with_status_code(500);
    }
    thread::sleep(behaviour.run_time(&payload));
    Response::text(field(&payload, "echo").unwrap_or("").to_owned())
}
