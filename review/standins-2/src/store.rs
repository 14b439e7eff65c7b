//! The platform's store, read-only for nodes: `kv-key`, `kv-range` and `kv-watch`.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Largest number of items of a page.
const PAGE: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    events: Vec<(u64, Value)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store at a free port of `ip`.
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store { address: listener.local_addr()?, state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value; its return is the acknowledgement.
    pub fn put(&self, key: &str, value: &Value) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let bytes = value.to_string().into_bytes();
        let created = state.items.get(key).map_or(revision, |(_, _, created)| *created);
        state.events.push((revision, item(key, &bytes, revision, created)));
        state.items.insert(key.to_owned(), (bytes, revision, created));
        changed.notify_all();
        revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, json!({"key": key, "rev": revision, "is_gone": true})));
        }
        changed.notify_all();
        state.revision
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (status, body) = self.answer(head.word(1));
            let body = body.to_string();
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/-/kv-key" => self.key(&text("key")),
            "/-/kv-range" => ("200 OK", self.range(&text("prefix"), &text("after"))),
            "/-/kv-watch" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                ("200 OK", self.watch(&text("prefix"), after, wait))
            }
            _ => ("404 Not Found", json!({})),
        }
    }

    fn key(&self, key: &str) -> (&'static str, Value) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some((bytes, revision, created)) => {
                let mut found = item(key, bytes, *revision, *created);
                found["at_rev"] = state.revision.into();
                ("200 OK", found)
            }
            None => ("404 Not Found", json!({"at_rev": state.revision})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.state.0.lock().unwrap();
        let mut found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Value> = found
            .by_ref()
            .take(PAGE)
            .map(|(key, (bytes, revision, created))| item(key, bytes, *revision, *created))
            .collect();
        json!({"items": items, "has_more": found.next().is_some(), "at_rev": state.revision})
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Value {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<Value> = state
                .events
                .iter()
                .filter(|(revision, event)| {
                    *revision > after && event["key"].as_str().unwrap_or("").starts_with(prefix)
                })
                .map(|(_, event)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return json!({"events": events, "at_rev": state.revision});
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> Value {
    json!({
        "key": key, "value": STANDARD.encode(value), "rev": revision, "created": created, "lease": 0,
    })
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let hex = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let hex = String::from_utf8_lossy(&hex).into_owned();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
