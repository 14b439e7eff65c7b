//! Reads typed fields from a JSON object and collects every fault.
//!
//! `serde`'s derive stops at the first error, so fields are taken one by one instead. Fields left
//! over are faults, so that a misspelt optional field does not silently keep its default.

use serde_json::{Map, Value};
use std::ops::RangeInclusive;

use crate::{fault::Fault, json};

/// Maximum length of the name of a profile, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum length of the name of an instance or data centre, in bytes: that of a key of the platform.
pub const MAX_LABEL_BYTES: usize = 200;

/// Maximum length of the name of the service of a node, in bytes; it is sent as a header.
pub const MAX_SERVICE_BYTES: usize = 4_096;

/// Format of the name of an instance or data centre, as shown in faults.
pub const LABEL: &str = "1 to 200 bytes without control characters";

/// Format of the name of the service of a node, as shown in faults.
pub const SERVICE: &str = "1 to 4096 bytes without control characters";

/// An object being parsed; fields are removed as they are taken.
pub struct Object<'a> {
    document: &'a str,
    pointer: String,
    fields: Map<String, Value>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Object<'a> {
    /// Starts parsing `value`; if it is not an object, adds a fault and treats it as empty.
    pub fn new(document: &'a str, pointer: &str, value: Value, faults: &'a mut Vec<Fault>) -> Self {
        let fields = match value {
            Value::Object(fields) => fields,
            other => {
                let reason = format!("must be an object, not {}", type_name(&other));
                faults.push(Fault::new(document, pointer, reason));
                Map::new()
            }
        };
        Object { document, pointer: pointer.to_owned(), fields, faults }
    }

    /// Takes an integer within `range`, or `default` if the field is absent or invalid.
    pub fn number(&mut self, name: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.fields.remove(name) else { return default };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                self.fault(
                    name,
                    format!("must be a whole number from {low} to {high}, not {value}"),
                );
                default
            }
        }
    }

    /// Takes a boolean, or `default` if the field is absent or invalid.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.fields.remove(name) {
            None => default,
            Some(Value::Bool(value)) => value,
            Some(other) => {
                self.fault(name, format!("must be true or false, not {}", type_name(&other)));
                default
            }
        }
    }

    /// Takes a required string that satisfies `valid`; `format` describes valid strings in faults.
    pub fn text(&mut self, name: &str, format: &str, valid: impl Fn(&str) -> bool) -> String {
        match self.fields.remove(name) {
            Some(Value::String(text)) if valid(&text) => return text,
            Some(other) => self.fault(name, format!("must be {format}, not {other}")),
            None => self.fault(name, format!("is missing; it must be {format}")),
        }
        String::new()
    }

    /// Takes a string that satisfies `valid`; `None` if the field is absent.
    pub fn optional_text(
        &mut self,
        name: &str,
        format: &str,
        valid: impl Fn(&str) -> bool,
    ) -> Option<String> {
        self.fields.contains_key(name).then(|| self.text(name, format, valid))
    }

    /// Takes a required name, see [`is_name`].
    pub fn name(&mut self, name: &str) -> String {
        self.text(name, "a name (1 to 63 of a-z, 0-9 and -)", is_name)
    }

    /// Takes a required name of an instance or data centre, see [`is_label`].
    pub fn label(&mut self, name: &str) -> String {
        self.text(name, LABEL, is_label)
    }

    /// Takes a list of strings that satisfy `valid`, or `default` if the field is absent.
    pub fn texts(
        &mut self,
        name: &str,
        format: &str,
        valid: impl Fn(&str) -> bool,
        default: &[&str],
    ) -> Vec<String> {
        let Some(items) = self.take_list(name) else {
            return default.iter().map(|&text| text.to_owned()).collect();
        };
        let mut texts = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            match item {
                Value::String(text) if valid(&text) => texts.push(text),
                other => {
                    self.fault(&format!("{name}/{i}"), format!("must be {format}, not {other}"))
                }
            }
        }
        texts
    }

    /// Takes a list of at most `limit` objects and parses each with `each`; empty if absent.
    pub fn objects<T>(
        &mut self,
        name: &str,
        limit: usize,
        mut each: impl FnMut(&mut Object<'_>) -> T,
    ) -> Vec<T> {
        let items = self.take_list(name).unwrap_or_default();
        if items.len() > limit {
            self.fault(name, format!("holds {} items, more than {limit}", items.len()));
            return Vec::new();
        }
        let base = json::join_pointer(&self.pointer, name);
        let mut values = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            let pointer = json::join_pointer(&base, &i.to_string());
            let mut object = Object::new(self.document, &pointer, item, self.faults);
            values.push(each(&mut object));
            object.finish();
        }
        values
    }

    /// Takes an object and parses it with `each`. An absent one is parsed as empty, so that each of
    /// its missing required fields is reported.
    pub fn object<T>(&mut self, name: &str, each: impl FnOnce(&mut Object<'_>) -> T) -> T {
        let value = self.fields.remove(name).unwrap_or_else(|| Value::Object(Map::new()));
        let pointer = json::join_pointer(&self.pointer, name);
        let mut object = Object::new(self.document, &pointer, value, self.faults);
        let result = each(&mut object);
        object.finish();
        result
    }

    /// Returns whether the field is present and not yet taken.
    pub fn has(&self, name: &str) -> bool {
        self.fields.contains_key(name)
    }

    /// Adds a fault at the field `name`.
    pub fn fault(&mut self, name: &str, reason: impl Into<String>) {
        let pointer = format!("{}/{name}", self.pointer);
        self.faults.push(Fault::new(self.document, pointer, reason));
    }

    /// Adds a fault for every field that was not taken.
    pub fn finish(&mut self) {
        for name in std::mem::take(&mut self.fields).keys() {
            let pointer = json::join_pointer(&self.pointer, name);
            self.faults.push(Fault::new(self.document, pointer, "is not a known field"));
        }
    }

    fn take_list(&mut self, name: &str) -> Option<Vec<Value>> {
        match self.fields.remove(name)? {
            Value::Array(items) => Some(items),
            other => {
                self.fault(name, format!("must be a list, not {}", type_name(&other)));
                Some(Vec::new())
            }
        }
    }
}

/// Returns whether `text` is a valid name: 1 to 63 of `a-z`, `0-9` and `-`.
///
/// ```
/// assert!(model::read::is_name("ktm-a"));
/// assert!(!model::read::is_name("Ktm A"));
/// ```
pub fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Returns whether `text` is a valid name of an instance or data centre.
///
/// The platform chooses these names, so no alphabet is required; the length is limited, since nodes store
/// and send them.
///
/// ```
/// assert!(model::read::is_label("Ktm_A"));
/// assert!(!model::read::is_label(""));
/// ```
pub fn is_label(text: &str) -> bool {
    text.len() <= MAX_LABEL_BYTES && is_printable(text)
}

/// Returns whether `text` is a valid name of the service of a node; see [`is_label`].
///
/// ```
/// assert!(model::read::is_service("sales_file.upload"));
/// assert!(!model::read::is_service("sales\nfile"));
/// ```
pub fn is_service(text: &str) -> bool {
    text.len() <= MAX_SERVICE_BYTES && is_printable(text)
}

fn is_printable(text: &str) -> bool {
    !text.is_empty() && !text.contains(char::is_control)
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
