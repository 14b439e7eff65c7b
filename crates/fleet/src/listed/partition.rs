//! Which data centres are within reach, where no node hears every other one within seconds.
//!
//! Pattern: a data centre is cut off for six seconds. Among hundreds of nodes one hears each other one
//! every twenty seconds, so the silence of a node shows nothing in time; all of the silent data centre
//! together are heard every third of a second. Nodes also tell each other how long ago they themselves
//! heard of each data centre, which makes up for summaries that were drawn late or were lost. Only what the
//! sender heard itself counts: what was heard from others would be told round and round after the cut, a
//! little younger each time.

use model::time::Time;
use std::{collections::BTreeMap, time::Duration};

/// Silence of a whole data centre after which it counts as out of reach.
///
/// Nodes of the own data centre tell fifteen times a second how long ago they heard of the other one; that
/// none of thirty heard a word for so long, of two or three a second and node that come from elsewhere, is no
/// chance where there are enough of them.
const SILENCE: Duration = Duration::from_secs(2);

/// Longest age of the last word of the own data centre with which the silence of others counts. A node
/// that hears nobody is cut off itself, or was starved, and learns nothing from silence.
const OWN_WORD: Duration = Duration::from_millis(600);

/// Fewest other nodes of the own data centre for each other data centre with which silence counts.
///
/// Four of them hear ten words of each in [`SILENCE`], in the mean; that there is none of ten is one chance in
/// twenty thousand. With fewer of them, or more data centres, it is a common one.
const LISTENERS_A_PLACE: usize = 4;

/// Most nodes whose word about others arrives within [`SILENCE`].
const LISTENERS_MOST: usize = 30;

/// Data centres that are remembered; another node's word names no more of them.
const MOST: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Word {
    /// When a node of the data centre last spoke to this one.
    own: Time,
    /// When it spoke to any node, as far as known.
    any: Time,
}

/// When each data centre was last heard of.
#[derive(Debug, Default)]
pub(super) struct Detector {
    words: BTreeMap<String, Word>,
}

impl Detector {
    /// Notes that a node of `place` spoke to this one.
    pub(super) fn hear(&mut self, place: &str, now: Time) {
        let word = Word { own: now, any: now };
        if let Some(known) = self.words.get_mut(place) {
            *known = word;
        } else if self.words.len() < MOST {
            self.words.insert(place.to_owned(), word);
        }
    }

    /// Notes that another node heard of data centres so many milliseconds ago. Those that this node never
    /// heard of itself are left out.
    pub(super) fn hear_of(&mut self, ages_ms: &BTreeMap<String, u64>, now: Time) {
        for (place, age) in ages_ms {
            if let Some(word) = self.words.get_mut(place) {
                let age = Duration::from_millis(*age);
                let at = Time::at(now.since(Time::default()).saturating_sub(age));
                word.any = word.any.max(at);
            }
        }
    }

    /// Forgets the silence so far: this process did not run, so it heard nobody.
    pub(super) fn wake(&mut self, now: Time) {
        self.words.values_mut().for_each(|word| word.any = now);
    }

    /// Returns how long ago each data centre but `own` spoke to this node itself, in ms.
    pub(super) fn ages_ms(&self, own: &str, now: Time) -> BTreeMap<String, u64> {
        let others = self.words.iter().filter(|(place, _)| *place != own);
        others
            .map(|(place, word)| (place.clone(), now.since(word.own).as_millis() as u64))
            .collect()
    }

    /// Returns the data centres that fell silent, as seen by a node of `own` with `listeners` others beside it.
    pub(super) fn silent(&self, own: &str, listeners: usize, now: Time) -> Vec<String> {
        let hears = self.words.get(own).is_some_and(|word| now.since(word.own) < OWN_WORD);
        let others = self.words.len().saturating_sub(1);
        if !hears || listeners.min(LISTENERS_MOST) < others * LISTENERS_A_PLACE {
            return Vec::new();
        }
        let silent =
            |(place, word): &(&String, &Word)| *place != own && now.since(word.any) > SILENCE;
        self.words.iter().filter(silent).map(|(place, _)| place.clone()).collect()
    }
}
