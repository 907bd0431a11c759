//! Tests of the command line, run as a separate process.

use std::io::Write;
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
