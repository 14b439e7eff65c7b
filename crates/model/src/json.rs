//! JSON parsing that rejects duplicate keys.
//!
//! `serde_json::Value` silently keeps the last of two equal keys. `serde_json` itself limits
//! nesting to 128 levels, so a malicious document can't exhaust the stack.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

use crate::fault::Fault;

/// Parses `text` as one JSON value without duplicate keys.
///
/// For a duplicate key, the fault's pointer is that of the key; for a syntax error it is empty and
/// the reason contains line and column.
///
/// ```
/// let fault = model::json::parse("services/x", r#"{"profile": "a", "profile": "b"}"#).unwrap_err();
/// assert_eq!(fault.pointer, "/profile");
/// ```
pub fn parse(document: &str, text: &str) -> Result<Value, Fault> {
    let mut duplicate = None;
    let mut input = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { location: Location::Root, duplicate: &mut duplicate };
    let parsed = seed.deserialize(&mut input).and_then(|value| input.end().map(|()| value));
    if let Some(pointer) = duplicate {
        return Err(Fault::new(document, pointer, "duplicate key"));
    }
    parsed.map_err(|e| Fault::new(document, "", format!("not valid JSON: {e}")))
}

/// Appends `segment` to a JSON pointer, escaped according to RFC 6901.
pub fn join_pointer(pointer: &str, segment: &str) -> String {
    format!("{pointer}/{}", segment.replace('~', "~0").replace('/', "~1"))
}

/// Location of a value. Converted to a JSON pointer only for a fault, since building the pointer of
/// every value would cost more than parsing.
#[derive(Clone, Copy)]
enum Location<'a> {
    Root,
    Field(&'a Location<'a>, &'a str),
    Element(&'a Location<'a>, usize),
}

impl Location<'_> {
    fn pointer(&self) -> String {
        match self {
            Location::Root => String::new(),
            Location::Field(parent, name) => join_pointer(&parent.pointer(), name),
            Location::Element(parent, index) => join_pointer(&parent.pointer(), &index.to_string()),
        }
    }
}

/// Deserializes one value and records the first duplicate key within it.
struct ValueSeed<'a> {
    location: Location<'a>,
    duplicate: &'a mut Option<String>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
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
            let location = Location::Element(&self.location, items.len());
            let seed = ValueSeed { location, duplicate: self.duplicate };
            match seq.next_element_seed(seed)? {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let location = Location::Field(&self.location, &key);
            if object.contains_key(&key) {
                self.duplicate.get_or_insert_with(|| location.pointer());
            }
            let value = map.next_value_seed(ValueSeed { location, duplicate: self.duplicate })?;
            object.insert(key, value);
        }
        Ok(Value::Object(object))
    }
}
