//! Runs one case of the review: `review CASE ROOT RECORD TROUBLE`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.

mod backend;
mod client;
mod dropped_route;
mod fleet;
mod http;
mod record;
mod route_name;
mod site;
mod stop;
mod store;

use std::{env, path::Path, process};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, root, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: review CASE ROOT RECORD TROUBLE");
        process::exit(2);
    };
    let (root, record, trouble) = (Path::new(root), Path::new(record), trouble != "0");
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "dropped-route" => dropped_route::run(root, record, trouble),
        "stop" => stop::run(root, record, trouble),
        "route-name" => route_name::run(root, record, trouble),
        other => panic!("no case {other}"),
    });
    process::exit(result.unwrap_or(2));
}
