//! What operators see of the calls and the load of a node.

mod cluster;

use cluster::{Behaviour, Cluster, request, status};
use policy::budget;
use traffic::Tuning;

/// Guards against refusals that operators cannot attribute to a service and a cause.
#[test]
fn answers_refusals_and_denied_retries_are_counted_by_service() {
    let cluster = Cluster::new(1, 4);
    let none = budget::Settings { ratio: 0.0, slack: 0.0, ..budget::Settings::default() };
    cluster.proxies[0].set_tuning(Tuning { budget: Some(none), ..Tuning::default() });
    let call = |path: &str| cluster.exchange(0, &request("POST", path, "", "{}"));
    assert_eq!(status(&call("/post/a")), "200");
    assert_eq!(status(&call("/read/none/a")), "503");
    cluster.upstreams[0].set(Behaviour::Refuse);
    assert_eq!(status(&call("/post/a")), "503");
    assert_eq!(status(&call("/unknown/a")), "404");
    let load = cluster.proxies[0].load_report();
    let entry = |service: &str| {
        let found = load.entry.iter().find(|entry| entry.service == service);
        let found = found.unwrap_or_else(|| panic!("{service} is missing in {load:?}"));
        let refused: Vec<_> = found.refused.iter().map(|(name, n)| (name.as_str(), *n)).collect();
        (found.answered, refused, found.retries_denied)
    };
    assert_eq!(load.entry.len(), 2, "{load:?}");
    assert_eq!(entry("paydesk"), (1, vec![("refused", 1)], 1));
    assert_eq!(entry("nobody"), (0, vec![("no-upstream", 1)], 0));
    assert_eq!((load.serving.service.as_str(), load.serving.slots), ("paydesk", 4));
    assert_eq!((load.serving.busy, load.serving.waiting), (0, 0));
}
