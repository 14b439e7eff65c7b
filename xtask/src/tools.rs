//! What several chores need.

use pico_args::Arguments;
use std::{
    path::{Path, PathBuf},
    process::Command,
};

/// Why a chore did not succeed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// It was called wrongly.
    Usage(String),
    /// It was carried out and failed.
    Task(String),
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Failure::Task(error.to_string())
    }
}

/// Refuses arguments that nobody took.
pub(crate) fn finish(arguments: Arguments) -> Result<(), Failure> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(rest) => Err(Failure::Usage(format!("unknown argument {}", rest.to_string_lossy()))),
    }
}

/// Returns the folder of the workspace.
pub(crate) fn root() -> PathBuf {
    let own = Path::new(env!("CARGO_MANIFEST_DIR"));
    own.parent().unwrap_or(own).to_owned()
}

/// Runs cargo in the workspace; its output goes where this program's goes.
pub(crate) fn cargo(arguments: &[&str]) -> Result<(), Failure> {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(program).args(arguments).current_dir(root()).status()?;
    if status.success() {
        return Ok(());
    }
    Err(Failure::Task(format!("cargo {} failed", arguments.join(" "))))
}

/// Builds the programs as they are shipped and returns the folder they are in.
pub(crate) fn build() -> Result<PathBuf, Failure> {
    cargo(&["build", "--release", "--package", "baobabrelayd", "--package", "baobabctl"])?;
    let target = std::env::var_os("CARGO_TARGET_DIR");
    let target = target.map_or_else(|| root().join("target"), PathBuf::from);
    Ok(target.join("release"))
}

/// Turns a missing value into a failure.
pub(crate) fn require<T>(value: Option<T>, reason: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Task(reason.to_owned()))
}
