//! Services: which profile each one follows.

use crate::{arena::Key, fault::Fault, profile::Profile, read::Object, strict};

/// A service and the profile it runs under.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name by which callers address it.
    pub name: String,
    /// Its profile, in the same snapshot.
    pub profile: Key<Profile>,
}

/// Reads the profile's name out of a service document, adding every fault.
///
/// ```
/// let mut faults = Vec::new();
/// let profile = model::service::read("services/paydesk", r#"{"profile": "posting"}"#, &mut faults);
/// assert_eq!((profile.as_str(), faults.len()), ("posting", 0));
/// ```
pub fn read(document: &str, text: &str, faults: &mut Vec<Fault>) -> String {
    let value = match strict::parse(document, text) {
        Ok(value) => value,
        Err(fault) => {
            faults.push(fault);
            return String::new();
        }
    };
    let mut object = Object::new(document, "", value, faults);
    let profile = object.name("profile");
    object.finish();
    profile
}
