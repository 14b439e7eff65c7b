//! Helpers that several tasks share.

use pico_args::Arguments;
use std::{
    path::{Path, PathBuf},
    process::Command,
};

/// Why a task failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// The task ran and failed.
    Task(String),
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Failure::Task(error.to_string())
    }
}

/// Fails if arguments are left that the task did not read.
pub(crate) fn finish(arguments: Arguments) -> Result<(), Failure> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(rest) => Err(Failure::Usage(format!("unknown argument {}", rest.to_string_lossy()))),
    }
}

/// Returns the root directory of the workspace.
pub(crate) fn root() -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    package.parent().unwrap_or(package).to_owned()
}

/// Runs cargo at the root of the workspace; it inherits standard output and standard error.
pub(crate) fn cargo(arguments: &[&str]) -> Result<(), Failure> {
    let program = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(program).args(arguments).current_dir(root()).status()?;
    if status.success() {
        return Ok(());
    }
    Err(Failure::Task(format!("cargo {} failed: {status}", arguments.join(" "))))
}

/// Builds the release programs and returns the directory that contains them.
pub(crate) fn build() -> Result<PathBuf, Failure> {
    cargo(&["build", "--release", "--package", "baobabrelayd", "--package", "baobabctl"])?;
    let target = std::env::var_os("CARGO_TARGET_DIR");
    let target = target.map_or_else(|| root().join("target"), PathBuf::from);
    Ok(target.join("release"))
}

/// Returns the value, or [`Failure::Task`] with `reason` if there is none.
pub(crate) fn require<T>(value: Option<T>, reason: &str) -> Result<T, Failure> {
    value.ok_or_else(|| Failure::Task(reason.to_owned()))
}
