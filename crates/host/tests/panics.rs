//! A panic on a thread ends the process and says why; one on a connection's thread does not.

use std::env;
use std::process::{Command, Output};
use std::thread;

use rw_host::logging;
use rw_host::panics::{CONNECTION_THREAD, EXIT_PANIC};
use rw_host::settings::{Level, LogSettings};

/// Names the thread on which the child process panics.
const THREAD: &str = "RW_TEST_PANIC_THREAD";

/// Runs this test program again with a panic on a thread of the name.
fn panic_on(thread: &str) -> Output {
    let program = env::current_exe().expect("the program's path is known");
    Command::new(program)
        .args(["--exact", "child", "--nocapture"])
        .env(THREAD, thread)
        .output()
        .expect("the program starts")
}

/// Not a test of its own: the body of the child process.
#[test]
fn child() {
    let Ok(name) = env::var(THREAD) else { return };
    logging::init(&LogSettings {
        level: Level::Info,
        json: true,
        stdout: true,
    });

    let thread = thread::Builder::new().name(name);
    let panicked = thread.spawn(|| panic!("of the test")).expect("a thread");
    assert!(panicked.join().is_err());
    logging::flush();
}

#[test]
fn a_panic_ends_the_process_and_is_logged() {
    let output = panic_on("members");
    assert_eq!(output.status.code(), Some(EXIT_PANIC), "{output:?}");
    let log = String::from_utf8_lossy(&output.stdout);
    assert!(log.contains("process ended by a panic"), "{log}");
    assert!(
        log.contains("of the test") && log.contains("members"),
        "{log}"
    );
}

#[test]
fn a_panic_of_a_request_leaves_the_process_alive() {
    let output = panic_on(CONNECTION_THREAD);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let log = String::from_utf8_lossy(&output.stdout);
    assert!(log.contains("request failed by a panic"), "{log}");
}
