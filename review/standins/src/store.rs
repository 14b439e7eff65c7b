//! Stand-in for the platform's read-only metadata store.

use crate::http;
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Reads take this long.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Maximum number of items in a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    key: String,
    value: Option<String>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Store { address, state: Arc::default() };
        let handle = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = handle.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.write(key, Some(value.to_owned()))
    }

    fn write(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { key: key.to_owned(), value, revision, created };
        state.history.push(item.clone());
        if item.value.is_some() {
            state.items.insert(key.to_owned(), item);
        } else {
            state.items.remove(key);
        }
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let (mut input, mut output) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = http::read(&mut input) {
            thread::sleep(ANSWER_TIME);
            let (path, query) = request.second().split_once('?').unwrap_or((request.second(), ""));
            let parameters: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode(value)))
                .collect();
            let (status, body) = match path {
                "/-/kv-range" => ("200 OK", self.range(&parameters)),
                "/-/kv-watch" => ("200 OK", self.watch(&parameters)),
                "/-/kv-key" => match self.key(&parameters) {
                    Some(body) => ("200 OK", body),
                    None => ("404 Not Found", "{}".to_owned()),
                },
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let start = format!("HTTP/1.1 {status}");
            let headers = [("Content-Type", "application/json")];
            if http::write(&mut output, &start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, parameters: &BTreeMap<String, String>) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.items.get(parameters.get("key")?).map(json)
    }

    fn range(&self, parameters: &BTreeMap<String, String>) -> String {
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (text("prefix"), text("after"));
        let state = self.state.0.lock().unwrap();
        let found: Vec<&Item> = state
            .items
            .values()
            .filter(|item| item.key.starts_with(&prefix) && (after.is_empty() || item.key > after))
            .collect();
        let page: Vec<String> = found.iter().take(PAGE).map(|item| json(item)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"at_rev\":{}}}",
            page.join(","),
            found.len() > PAGE,
            state.revision
        )
    }

    fn watch(&self, parameters: &BTreeMap<String, String>) -> String {
        let number = |name: &str| parameters.get(name).and_then(|n| n.parse::<u64>().ok());
        let prefix = parameters.get("prefix").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|item| item.revision > after && item.key.starts_with(&prefix))
                .map(json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"at_rev\":{revision}}}");
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn json(item: &Item) -> String {
    let Item { key, value, revision, created } = item;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{revision},\"created\":{created},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"is_gone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0, |w, (i, b)| w | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        let hex = |b: Option<u8>| b.and_then(|b| (b as char).to_digit(16)).unwrap_or(0) as u8;
        bytes.push(match byte {
            b'%' => hex(rest.next()) << 4 | hex(rest.next()),
            b'+' => b' ',
            byte => byte,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
