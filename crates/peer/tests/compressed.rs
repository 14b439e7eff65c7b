//! Compression of messages, and rejection of malformed ones.

use fleet::message::Bundle;
use model::{
    config::Version,
    document::{Delta, Document},
};
use peer::compressed::{Message, compress, decompress};

const LIMIT_BYTES: u64 = 12 << 20;

/// A configuration of 2,000 routes.
fn bundle() -> Bundle {
    let document = |number: u32| {
        Document {
        key: format!("routes/r-{number}"),
        modified: 7,
        text: format!(
            "{{\"host\":\"h{}.example\",\"prefix\":\"/p{number}/\",\"targets\":[{{\"service\":\"paydesk\",\"weight\":1000}}],\"kind\":\"idempotent\",\"attempts\":3,\"timeout_ms\":1500,\"objective_ms\":800,\"priority\":2}}",
            number % 40
        )
        .into(),
    }
    };
    let documents = (0..2_000).map(document).collect();
    let delta = Delta { revision: 7, full: true, documents, ..Delta::default() };
    Bundle { version: Version { revision: 7, ..Version::default() }, delta, more: false }
}

#[test]
fn configuration_compresses_below_a_quarter_and_round_trips() {
    let bundle = bundle();
    let plain = serde_json::to_vec(&bundle).expect("a bundle is JSON").len();
    let compressed = compress(&bundle).expect("a bundle is JSON");
    assert!(compressed.len() * 4 < plain, "{} of {plain}", compressed.len());
    assert_eq!(decompress::<Bundle>(&compressed, LIMIT_BYTES).expect("valid message"), bundle);
}

#[track_caller]
fn check(deflated: &str, expect: &str) {
    let message: Message =
        serde_json::from_value(serde_json::json!({ "deflated": deflated })).expect("a message");
    let error = decompress::<Bundle>(&message, 1_000).expect_err("malformed message").to_string();
    assert!(error.starts_with(expect), "{error}");
}

#[test]
fn malformed_messages_are_rejected() {
    check("?", "no base64");
    check("AAAA", "cannot be inflated");
    check(&text_of(&compress(&"text").expect("text is JSON")), "not the expected message");
}

/// Guards against memory exhaustion by a small message that inflates to gigabytes.
#[test]
fn message_that_inflates_beyond_the_limit_is_rejected() {
    let bomb = compress(&"0".repeat(1 << 20)).expect("text is JSON");
    assert!(bomb.len() < 10_000);
    check(&text_of(&bomb), "more than 1000 bytes");
}

fn text_of(message: &Message) -> String {
    let value = serde_json::to_value(message).expect("a message is JSON");
    value["deflated"].as_str().expect("a text").to_owned()
}
