//! The operators' command line: checks documents and asks nodes.

mod check;
mod fleet;
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

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Done,
    No,
    Usage,
}

impl From<End> for ExitCode {
    fn from(end: End) -> ExitCode {
        ExitCode::from(match end {
            End::Done => 0,
            End::No => 1,
            End::Usage => 2,
        })
    }
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return End::Done.into();
    }
    if arguments.contains("--version") {
        println!("baobabctl {}", env!("CARGO_PKG_VERSION"));
        return End::Done.into();
    }
    let end = run(arguments).unwrap_or_else(|reason| {
        eprintln!("baobabctl: {reason}; see --help");
        End::Usage
    });
    end.into()
}

fn run(mut arguments: Arguments) -> Result<End, String> {
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    match command.as_deref() {
        Some("check") => Ok(check::run(&files(arguments)?)),
        Some("status") => {
            let (node, form) = node_and_form(&mut arguments)?;
            let all = arguments.contains("--all");
            finish(arguments)?;
            let extent = if all { fleet::Extent::All } else { fleet::Extent::Attention };
            Ok(show::status(node, form, extent))
        }
        Some("explain") => {
            let (node, form) = node_and_form(&mut arguments)?;
            let service: String = arguments.free_from_str().map_err(|e| e.to_string())?;
            finish(arguments)?;
            Ok(show::explain(node, &service, form))
        }
        Some("trace") => {
            let form = form(&mut arguments);
            let id: String = arguments.free_from_str().map_err(|e| e.to_string())?;
            trace::run(&id, &files(arguments)?, form)
        }
        Some("timeline") => {
            if !wants_node(&arguments) {
                let form = form(&mut arguments);
                return show::files(&files(arguments)?, form);
            }
            let (node, form) = node_and_form(&mut arguments)?;
            let follow = arguments.contains("--follow");
            finish(arguments)?;
            Ok(if follow { show::follow(node, form) } else { show::timeline(node, form) })
        }
        Some(other) => Err(format!("unknown command {other}")),
        None => Err("name a command".to_owned()),
    }
}

/// Returns the files that are named; an option among them is a mistake.
fn files(arguments: Arguments) -> Result<Vec<String>, String> {
    let files: Vec<String> =
        arguments.finish().into_iter().map(|a| a.to_string_lossy().into_owned()).collect();
    match files.iter().find(|f| f.starts_with('-')) {
        Some(option) => Err(format!("unknown option {option}")),
        None if files.is_empty() => Err("name at least one file".to_owned()),
        None => Ok(files),
    }
}

fn wants_node(arguments: &Arguments) -> bool {
    arguments.clone().finish().iter().any(|argument| argument == "--node")
}

fn form(arguments: &mut Arguments) -> show::Form {
    if arguments.contains("--json") { show::Form::Json } else { show::Form::Text }
}

fn node_and_form(arguments: &mut Arguments) -> Result<(SocketAddr, show::Form), String> {
    let form = form(arguments);
    let node = arguments.value_from_str("--node").map_err(|e| e.to_string())?;
    Ok((node, form))
}

fn finish(arguments: Arguments) -> Result<(), String> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(rest) => Err(format!("unknown argument {}", rest.to_string_lossy())),
    }
}
