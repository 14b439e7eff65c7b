//! The operators' command line: checks documents, queries nodes and reads their logs.

mod check;
mod fleet;
mod load;
mod logs;
mod output;
mod show;
mod trace;

use pico_args::Arguments;
use std::{net::SocketAddr, process::ExitCode};

const HELP: &str = "\
baobabctl: checks documents and asks nodes of a mesh

usage:
  baobabctl check FILE...                   checks profiles and services as a node would
  baobabctl status --node IP:PORT [--all] [--json]
                                            the fleet as that node can gather it, by data centre, with
                                            the nodes that need attention; --all names every node
  baobabctl explain SERVICE --node IP:PORT [--json]
                                            profile and upstreams as that node would choose now
  baobabctl load --node IP:PORT [--json]    calls that the node answered and refused, by service and cause,
                                            and the load of its upstream
  baobabctl timeline --node IP:PORT [--follow] [--json]
                                            events of all reachable nodes in causal order
  baobabctl timeline FILE... [--json]       the same, out of what nodes logged
  baobabctl trace ID FILE... [--json]       all that nodes logged about one request, in causal order,
                                            and one sentence for its cause

  --node IP:PORT  a node's address for operators
  --help          prints this text
  --version       prints the version

A file's key is made of its folder and name: profiles/posting.json is profiles/posting.
exit status: 0 done, 1 the answer is no, 2 usage wrong
";

/// Exit status of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Exit {
    Success,
    /// Negative result, or the result cannot be obtained.
    Failure,
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
        })
    }
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Exit::Success.into();
    }
    if arguments.contains("--version") {
        println!("baobabctl {}", env!("CARGO_PKG_VERSION"));
        return Exit::Success.into();
    }
    let exit = run(arguments).unwrap_or_else(|reason| {
        eprintln!("baobabctl: {reason}; see --help");
        Exit::Usage
    });
    exit.into()
}

fn run(mut arguments: Arguments) -> Result<Exit, String> {
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    match command.as_deref() {
        Some("check") => Ok(check::run(&files(arguments)?)),
        Some("status") => {
            let (node, format) = node_and_format(&mut arguments)?;
            let all = arguments.contains("--all");
            reject_rest(arguments)?;
            let detail = if all { fleet::Detail::All } else { fleet::Detail::Problems };
            Ok(show::status(node, format, detail))
        }
        Some("explain") => {
            let (node, format) = node_and_format(&mut arguments)?;
            let service: String = arguments.free_from_str().map_err(|e| e.to_string())?;
            reject_rest(arguments)?;
            Ok(show::explain(node, &service, format))
        }
        Some("load") => {
            let (node, format) = node_and_format(&mut arguments)?;
            reject_rest(arguments)?;
            Ok(show::load(node, format))
        }
        Some("trace") => {
            let format = format(&mut arguments);
            let id: String = arguments.free_from_str().map_err(|e| e.to_string())?;
            trace::run(&id, &files(arguments)?, format)
        }
        Some("timeline") => {
            if !has_node_option(&arguments) {
                let format = format(&mut arguments);
                return show::logged_timeline(&files(arguments)?, format);
            }
            let (node, format) = node_and_format(&mut arguments)?;
            let follow = arguments.contains("--follow");
            reject_rest(arguments)?;
            Ok(if follow { show::follow(node, format) } else { show::timeline(node, format) })
        }
        Some(other) => Err(format!("unknown command {other}")),
        None => Err("name a command".to_owned()),
    }
}

/// Returns the remaining arguments as files; fails on an unknown option or without any file.
fn files(arguments: Arguments) -> Result<Vec<String>, String> {
    let files: Vec<String> =
        arguments.finish().into_iter().map(|a| a.to_string_lossy().into_owned()).collect();
    match files.iter().find(|f| f.starts_with('-')) {
        Some(option) => Err(format!("unknown option {option}")),
        None if files.is_empty() => Err("name at least one file".to_owned()),
        None => Ok(files),
    }
}

fn has_node_option(arguments: &Arguments) -> bool {
    arguments.clone().finish().iter().any(|argument| argument == "--node")
}

fn format(arguments: &mut Arguments) -> show::Format {
    if arguments.contains("--json") { show::Format::Json } else { show::Format::Text }
}

fn node_and_format(arguments: &mut Arguments) -> Result<(SocketAddr, show::Format), String> {
    let format = format(arguments);
    let node = arguments.value_from_str("--node").map_err(|e| e.to_string())?;
    Ok((node, format))
}

fn reject_rest(arguments: Arguments) -> Result<(), String> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(rest) => Err(format!("unknown argument {}", rest.to_string_lossy())),
    }
}
