//! Writes the reference pages from the tables that the code itself parses by.

use model::profile;
use node::settings;
use std::fs;
use telemetry::metric;

use crate::tools::{self, Failure};

const NOTE: &str = "<!-- Written by `cargo xtask reference`; edit the tables in the code. -->\n\n";

const PROFILE_REST: &str = "\
| field | shape | default | decides |
|---|---|---|---|
| `spill` | true or false | `true` | whether upstreams of other data centres are used when no upstream of the node's own data centre is available |
| `idempotent_methods` | list of methods in capitals | `[\"GET\", \"HEAD\"]` | methods whose calls may be run more than once |
| `routes` | list of at most 64 routes, first match wins | `[]` | exceptions for some paths |

A route:

| field | shape | default | decides |
|---|---|---|---|
| `prefix` | a path that begins with `/` | required | paths that it applies to, without the service's name |
| `methods` | list of methods in capitals | `[]`, all | methods that it applies to |
| `idempotent` | true or false | `false` | whether these calls may be run more than once |
| `deadline_ms` | 0 to 600000 ms | `0`, the profile's | deadline of these calls |

A service, key `services/NAME`, is `{\"profile\": \"NAME\"}`. If its upstreams need a warm-up after a
start, it also has `\"warm_up\": {\"calls_per_min\": 600, \"length_ms\": 3000}`: the limit of calls a minute
to a cold upstream (1 to 60000000), and how long an upstream stays cold (0 to 3600000 ms). With
`\"health_path\": \"/health\"` and the setting `headers/cold`, nodes probe their upstreams there. Names of
profiles are 1 to 63 of a-z, 0-9 and -; those of services and routes are not restricted.

A document with an unknown field, a duplicate key, a value out of range or a reference to a profile
that the same revision does not contain is rejected, and with it the whole revision: if a misspelt
field were ignored, its default would apply unnoticed. A document may have at most 1 MiB, all
together 4 MiB, and JSON may be nested 128 deep.
";

/// Writes all pages into `docs`.
pub(crate) fn write() -> Result<(), Failure> {
    let docs = tools::root().join("docs");
    for (name, text) in pages() {
        fs::write(docs.join(name), text)?;
    }
    Ok(())
}

/// Returns the file name and the text of each page.
fn pages() -> [(&'static str, String); 3] {
    [("PROFILES.md", profiles()), ("SETTINGS.md", settings()), ("METRICS.md", metrics())]
}

fn profiles() -> String {
    let mut text = format!(
        "# Profiles and services\n\n{NOTE}A profile, key `profiles/NAME`, is a JSON object; each field is optional.\n\n\
         | field | unit | range | default | decides |\n|---|---|---|---|---|\n"
    );
    for f in profile::FIELDS {
        text += &format!(
            "| `{}` | {} | {} to {} | {} | {} |\n",
            f.name, f.unit, f.low, f.high, f.default, f.help
        );
    }
    text + "\n" + PROFILE_REST
}

fn settings() -> String {
    let mut text = format!(
        "# Settings of a node\n\n{NOTE}`baobabrelayd --settings FILE` reads one JSON object; `--check` \
         lists every fault with its place.\n\n| setting | accepted | default | example | decides |\n|---|---|---|---|---|\n"
    );
    for f in settings::FIELDS {
        let default = f.default.map_or("required".to_owned(), |d| format!("`{d}`"));
        text += &format!(
            "| `{}` | {} | {} | `{}` | {} |\n",
            f.pointer, f.shape, default, f.example, f.help
        );
    }
    text
}

fn metrics() -> String {
    let mut text = format!(
        "# Metrics\n\n{NOTE}`GET /metrics` on a node's address for operators renders them as Prometheus \
         text, with dots as underscores and units and `_total` appended.\n\n| metric | unit | attributes | meaning |\n|---|---|---|---|\n"
    );
    for e in metric::CATALOGUE {
        text += &format!("| `{}` | {} | {} | {} |\n", e.name, e.unit, e.attributes, e.help);
    }
    text
}

#[cfg(test)]
mod tests;
