//! Output to a pipe whose reader closes it early.

use std::{
    fs,
    io::{BufRead, BufReader, Read},
    process::{Command, Stdio},
};

/// Guards against a panic on a broken pipe, as in `baobabctl timeline FILE | head`.
#[test]
fn a_closed_pipe_ends_the_command_without_an_error() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let path = folder.path().join("node.log");
    let event = |n: u64| {
        format!("{{\"stamp\":{},\"node\":\"n\",\"event\":\"source-back\"}}\n", (1_000 + n) << 16)
    };
    // Exceeds the buffer of a pipe.
    fs::write(&path, (0..20_000).map(event).collect::<String>()).expect("the file is written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_baobabctl"))
        .arg("timeline")
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut reader = BufReader::new(child.stdout.take().expect("its output is piped"));
    let mut first = String::new();
    reader.read_line(&mut first).expect("the command prints a line");
    drop(reader);
    let mut errors = String::new();
    let mut stderr = child.stderr.take().expect("its errors are piped");
    stderr.read_to_string(&mut errors).expect("errors are UTF-8");
    let status = child.wait().expect("the process ends");
    assert!(!first.is_empty());
    assert_eq!((status.code(), errors.as_str()), (Some(0), ""));
}
