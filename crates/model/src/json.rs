//! JSON parsing that refuses what `serde_json` silently accepts.
//!
//! `serde_json::Value` keeps the last of two equal keys. An operator who pastes a field twice
//! would see one of the two values in force without being told which, so duplicate keys are
//! faults here. Nesting is bounded by `serde_json` itself (128 levels), so that a hostile document
//! cannot exhaust the stack.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

use crate::fault::Fault;

/// Parses `text` as one JSON value without duplicate keys.
///
/// The fault's pointer names the object that holds a duplicate key; a syntax error has an empty
/// pointer and carries line and column in its reason.
///
/// ```
/// let fault = model::json::parse("services/x", r#"{"profile": "a", "profile": "b"}"#).unwrap_err();
/// assert_eq!(fault.pointer, "/profile");
/// ```
pub fn parse(document: &str, text: &str) -> Result<Value, Fault> {
    let mut duplicate = None;
    let mut input = serde_json::Deserializer::from_str(text);
    let seed = Node { place: Place::Top, duplicate: &mut duplicate };
    let parsed = seed.deserialize(&mut input).and_then(|value| input.end().map(|()| value));
    if let Some(pointer) = duplicate {
        return Err(Fault::new(document, pointer, "the key is given twice"));
    }
    parsed.map_err(|e| Fault::new(document, "", format!("not valid JSON: {e}")))
}

/// Appends `segment` to a JSON pointer, escaped as RFC 6901 asks.
pub fn join_pointer(pointer: &str, segment: &str) -> String {
    format!("{pointer}/{}", segment.replace('~', "~0").replace('/', "~1"))
}

/// Where a value stands. The pointer to it is put together only for a fault: to do so for every
/// value would take longer than the parsing.
#[derive(Clone, Copy)]
enum Place<'a> {
    Top,
    Field(&'a Place<'a>, &'a str),
    Item(&'a Place<'a>, usize),
}

impl Place<'_> {
    fn pointer(&self) -> String {
        match self {
            Place::Top => String::new(),
            Place::Field(above, name) => join_pointer(&above.pointer(), name),
            Place::Item(above, index) => join_pointer(&above.pointer(), &index.to_string()),
        }
    }
}

/// Deserializes one value and notes the first duplicate key below it.
struct Node<'a> {
    place: Place<'a>,
    duplicate: &'a mut Option<String>,
}

impl<'de> DeserializeSeed<'de> for Node<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Node<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        let number = Number::from_f64(value).ok_or_else(|| E::custom("number out of range"))?;
        Ok(Value::Number(number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            let place = Place::Item(&self.place, items.len());
            let seed = Node { place, duplicate: self.duplicate };
            match seq.next_element_seed(seed)? {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let place = Place::Field(&self.place, &key);
            if object.contains_key(&key) {
                self.duplicate.get_or_insert_with(|| place.pointer());
            }
            let value = map.next_value_seed(Node { place, duplicate: self.duplicate })?;
            object.insert(key, value);
        }
        Ok(Value::Object(object))
    }
}
