use std::collections::VecDeque;

use super::Decision;
use crate::types::{SubmissionKey, WallTime};

/// The latest decisions of one entry, bounded in number; the oldest goes first.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    capacity: usize,
    next_id: u64,
    records: VecDeque<(u64, WallTime, Decision)>,
}

impl DecisionLog {
    /// A log that keeps the latest `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_id: 1,
            records: VecDeque::new(),
        }
    }

    /// Keeps a decision; returns its number.
    pub fn record(&mut self, wall: WallTime, decision: Decision) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }
        self.records.push_back((id, wall, decision));
        id
    }

    /// The decisions after number `after`, oldest first, with their numbers and times.
    pub fn since(&self, after: u64) -> impl Iterator<Item = &(u64, WallTime, Decision)> {
        self.records.iter().filter(move |(id, _, _)| *id > after)
    }

    /// The decisions about one submission, oldest first.
    pub fn of(&self, key: SubmissionKey) -> impl Iterator<Item = &(u64, WallTime, Decision)> {
        self.records
            .iter()
            .filter(move |(_, _, decision)| decision.key == key)
    }

    /// The lowest number that is still kept.
    pub fn oldest(&self) -> u64 {
        self.records.front().map_or(self.next_id, |(id, _, _)| *id)
    }
}
