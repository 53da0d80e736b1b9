//! Sets of task indexes, and their form in the progress records.
use serde_json::Value;

/// A set of task indexes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}
impl TaskSet {
    /// Adds a task and returns whether it was new.
    pub fn insert(&mut self, i: u32) -> bool {
        let (w, b) = (i as usize / 64, i % 64);
        if self.words.len() <= w {
            self.words.resize(w + 1, 0);
        }
        let new = self.words[w] & (1 << b) == 0;
        self.words[w] |= 1 << b;
        self.count += new as u32;
        new
    }
    /// Whether task `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w & (1 << (i % 64)) != 0)
    }
    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }
    /// Whether the set has no tasks.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
    /// Number of tasks in the set whose index is below `n`.
    pub fn count_below(&self, n: u32) -> u32 {
        let word = n as usize / 64;
        let mask = (1u64 << (n % 64)) - 1;
        let not_below = self.words.get(word).map_or(0, |w| (w & !mask).count_ones())
            + self.words.iter().skip(word + 1).map(|w| w.count_ones()).sum::<u32>();
        self.count - not_below
    }
    /// Adds all tasks of `other`.
    pub fn union(&mut self, other: &TaskSet) {
        for (i, w) in other.words.iter().enumerate() {
            let mut w = *w;
            while w != 0 {
                self.insert(i as u32 * 64 + w.trailing_zeros());
                w &= w - 1;
            }
        }
    }
    /// Encodes the tasks of a chunk as comma-separated 64-bit words in hexadecimal,
    /// without trailing zero words.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let from = (chunk * PROGRESS_CHUNK_TASKS / 64) as usize;
        let to = (from + PROGRESS_CHUNK_TASKS as usize / 64).min(self.words.len());
        let mut words = self.words.get(from.min(to)..to).unwrap_or(&[]);
        while let [rest @ .., 0] = words {
            words = rest;
        }
        words.iter().map(|w| format!("{w:x}")).collect::<Vec<_>>().join(",")
    }
    /// Adds the tasks of a chunk encoded by [`TaskSet::chunk_text`].
    pub fn add_chunk(&mut self, chunk: u32, text: &str) {
        for (i, part) in text.split(',').enumerate().take(PROGRESS_CHUNK_TASKS as usize / 64) {
            let mut w = u64::from_str_radix(part, 16).unwrap_or(0);
            while w != 0 {
                self.insert(chunk * PROGRESS_CHUNK_TASKS + i as u32 * 64 + w.trailing_zeros());
                w &= w - 1;
            }
        }
    }
}

/// Splits the text of a progress chunk into values of at most `max_bytes` bytes. Each
/// value keeps its words at their positions, with empty words for those of earlier parts.
pub fn split_progress_text(text: &str, max_bytes: usize) -> Vec<Value> {
    const QUOTES: usize = 2;
    const SEPARATOR: usize = 1;
    let mut parts = vec![String::new()];
    for (position, word) in text.split(',').enumerate() {
        let Some(part) = parts.last_mut() else { break };
        if position == 0 {
            part.push_str(word);
        } else if part.len() + SEPARATOR + word.len() + QUOTES <= max_bytes {
            part.push(',');
            part.push_str(word);
        } else {
            parts.push(",".repeat(position) + word);
        }
    }
    parts.into_iter().map(Value::from).collect()
}

/// Tasks in one progress record: at most 128 words of 17 bytes, 2.2 KB, split over
/// several values where one value is too small ([`split_progress_text`]).
pub const PROGRESS_CHUNK_TASKS: u32 = 8192;
