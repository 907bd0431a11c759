//! Tests of the command line, run as a separate process.

use std::io::{Read, Write};
use std::process::{Command, Output, Stdio};

fn redwingwick(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_redwingwick"))
        .args(args)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_token_is_hashed_from_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_redwingwick"))
        .arg("hash-token")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"secret\n").unwrap();
    let output = child.wait_with_output().unwrap();
    assert_eq!(text(&output.stdout).trim().len(), 64);
}

#[test]
fn an_unreachable_control_node_gives_exit_code_5_and_one_line() {
    let output = redwingwick(&["--control", "127.0.0.1:1", "status", "--any"]);
    assert_eq!(output.status.code(), Some(5));
    assert_eq!(
        text(&output.stderr).lines().count(),
        1,
        "{}",
        text(&output.stderr)
    );
}

#[test]
fn settings_errors_name_file_and_reason_on_one_line() {
    let path = std::env::temp_dir().join(format!("rw-check-{}.toml", std::process::id()));
    let valid = include_str!("../../../examples/entry.toml");
    let cases = [
        (
            valid.replace("domain = \"d1\"", "domian = \"d1\""),
            "domian",
        ),
        (valid.replace("127.0.0.1:7201", "nowhere"), "socket address"),
        (
            valid.replace("change-me-to-a-long-secret", "short"),
            "node.cluster_secret",
        ),
    ];
    for (settings, reason) in cases {
        std::fs::write(&path, settings).unwrap();
        let output = redwingwick(&["check", path.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(4));
        let line = text(&output.stderr);
        assert!(
            line.contains(reason) && line.contains(path.to_str().unwrap()),
            "{line}"
        );
        assert_eq!(line.lines().count(), 1);
    }
    std::fs::remove_file(path).unwrap();
}

#[test]
fn the_example_settings_are_valid() {
    for name in ["control", "entry", "agent"] {
        let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
        assert_eq!(
            redwingwick(&["check", &path]).status.code(),
            Some(0),
            "{name}"
        );
    }
}

#[test]
fn completions_and_man_pages_are_generated() {
    for shell in ["bash", "zsh", "fish"] {
        assert!(!redwingwick(&["completions", shell]).stdout.is_empty());
    }
    let dir = std::env::temp_dir().join(format!("rw-man-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    assert!(
        redwingwick(&["man", dir.to_str().unwrap()])
            .status
            .success()
    );
    assert!(dir.join("redwingwick.1").exists());
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn a_closed_output_pipe_is_no_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_redwingwick"))
        .args(["completions", "zsh"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let output = child.wait_with_output().unwrap();
    assert!(output.stderr.is_empty(), "{}", text(&output.stderr));
    assert!(output.status.success());
}

/// Serves one request on a loopback port with this status and body. Returns the address, and the
/// request once it was served.
fn entry_that_answers(status: &str, body: &str) -> (String, std::thread::JoinHandle<String>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let response = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut req = String::new();
        let mut buf = [0; 4096];
        while !req.ends_with('}') {
            let n = stream.read(&mut buf).unwrap();
            req.push_str(&text(&buf[..n]));
        }
        stream.write_all(response.as_bytes()).unwrap();
        req
    });
    (addr, served)
}

fn explain(entry: &str, further: &[&str]) -> Output {
    let args = ["explain", "--token", "t", "--entry", entry, "--queue", "q"];
    let job = ["--count", "3", "--cpu", "2.6", "--memory", "64MB"];
    redwingwick(&[&args[..], &job, &["--estimate", "200ms"], further].concat())
}

/// Guards against units that reach the entry as other amounts, and against reasons that come after the
/// table.
#[test]
fn an_explanation_is_asked_for_in_the_entrys_units_and_shown_with_the_reasons_first() {
    let answer = include_str!("explanation.json");
    let (entry, served) = entry_that_answers("200 OK", answer);
    let output = explain(&entry, &["--label", "big", "--deadline", "1.5s"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let req = served.join().unwrap();
    assert!(req.contains("Bearer t"), "{req}");
    for field in [
        "\"tasks\":3",
        "\"cpu_milli\":2600",
        "\"memory_mb\":64",
        "\"estimate_ms\":200",
        "\"label\":\"big\"",
        "\"deadline_ms\":1500",
    ] {
        assert!(req.contains(field), "{field} {req}");
    }
    let shown = text(&output.stdout);
    let lines: Vec<&str> = shown.lines().collect();
    assert!(lines[0].starts_with("waits: tier Late, 2 jobs before it"));
    assert_eq!(lines[1].trim(), "1 of 3 workers: no room");
    assert!(shown.contains("2 jobs wait (0.9 core-s)"), "{shown}");
    assert!(lines.len() <= 24, "{shown}");
}

/// Guards against errors that scripts can't tell apart.
#[test]
fn an_unknown_queue_and_an_unreachable_entry_have_exit_codes_of_their_own() {
    let (entry, served) = entry_that_answers("422 Unprocessable", "queue \"q\" does not exist");
    let output = explain(&entry, &[]);
    served.join().unwrap();
    assert_eq!(output.status.code(), Some(7), "{}", text(&output.stderr));
    assert!(text(&output.stderr).contains("queue \"q\" does not exist"));
    let output = explain("127.0.0.1:1", &[]);
    assert_eq!(output.status.code(), Some(8), "{}", text(&output.stderr));
    let output = explain("127.0.0.1:1", &["--memory", "64"]);
    assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
}
