use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use super::Moment;

/// Map whose values expire, with a maximum number of values.
///
/// When the map is full, the value that would expire first makes room for a new one.
///
/// # Examples
///
/// ```
/// use mastknot_core::types::{ExpiringMap, Moment};
///
/// let mut map = ExpiringMap::new(2);
/// map.keep("short", Moment::from_millis(10), || 1);
/// map.keep("long", Moment::from_millis(30), || 2);
/// map.keep("new", Moment::from_millis(20), || 3);
/// assert_eq!((map.get(&"short"), map.dropped()), (None, 1));
/// map.expire(Moment::from_millis(20));
/// assert_eq!((map.get(&"new"), map.get(&"long")), (None, Some(&2)));
/// ```
#[derive(Clone, Debug)]
pub struct ExpiringMap<K, V> {
    values: HashMap<K, (Moment, V)>,
    ends: BTreeSet<(Moment, K)>,
    limit: usize,
    dropped: u64,
}

impl<K: Copy + Ord + Hash, V> ExpiringMap<K, V> {
    /// Creates a map that holds at most `limit` values.
    pub fn new(limit: usize) -> Self {
        Self {
            values: HashMap::new(),
            ends: BTreeSet::new(),
            limit,
            dropped: 0,
        }
    }

    /// Returns the value of a key, which is inserted if there is none. It expires at `until`, or later if it was to
    /// expire later already.
    pub fn keep(&mut self, key: K, until: Moment, new: impl FnOnce() -> V) -> &mut V {
        let is_new = !self.values.contains_key(&key);
        if is_new && self.values.len() >= self.limit {
            self.drop_first();
        }
        let (end, value) = self.values.entry(key).or_insert_with(|| (until, new()));
        let later = until.max(*end);
        self.ends.remove(&(*end, key));
        self.ends.insert((later, key));
        *end = later;
        value
    }

    fn drop_first(&mut self) {
        if let Some((_, key)) = self.ends.pop_first() {
            self.values.remove(&key);
            self.dropped += 1;
        }
    }

    /// Removes the values that have expired.
    pub fn expire(&mut self, now: Moment) {
        while let Some((end, key)) = self.ends.first().copied() {
            if end > now {
                return;
            }
            self.ends.pop_first();
            self.values.remove(&key);
        }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key).map(|(_, value)| value)
    }

    /// Returns the value of a key for changes.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.values.get_mut(key).map(|(_, value)| value)
    }

    /// Returns the time at which a value expires.
    pub fn end(&self, key: &K) -> Option<Moment> {
        self.values.get(key).map(|(end, _)| *end)
    }

    /// Returns all keys and values, in the order in which they expire.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        let keys = self.ends.iter().map(|(_, key)| *key);
        keys.filter_map(|key| Some((key, self.get(&key)?)))
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns the number of values that made room for new ones before they expired.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
