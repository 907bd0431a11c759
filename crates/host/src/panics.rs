//! What a panic does to a process: a request's thread fails with its connection only; any other one
//! ends the whole process, since a process without one of its threads would go on half alive.

use std::panic::PanicHookInfo;

use crate::logging;

/// Exit code of a process that a panic has ended.
pub const EXIT_PANIC: i32 = 70;
/// Name of the threads that each serve one HTTP connection.
pub const CONNECTION_THREAD: &str = "http-conn";

/// Logs each panic and ends the process, unless it is on a [`CONNECTION_THREAD`].
pub fn install_hook() {
    std::panic::set_hook(Box::new(on_panic));
}

fn on_panic(info: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let name = thread.name().unwrap_or_default();
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let payload = info.payload();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
    let reason = text.unwrap_or("no reason is stated");
    if name == CONNECTION_THREAD {
        log::error!(thread = name, place = place, reason = reason; "request failed by a panic");
        return;
    }
    log::error!(thread = name, place = place, reason = reason; "process ended by a panic");
    logging::flush();
    std::process::exit(EXIT_PANIC);
}
