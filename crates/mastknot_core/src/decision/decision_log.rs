use std::collections::VecDeque;

use super::Decision;
use crate::types::{SubmissionKey, WallTime};

/// Log of the latest decisions of one entry. It is bounded in number; the oldest decision is
/// dropped first.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    capacity: usize,
    next_id: u64,
    records: VecDeque<(u64, WallTime, Decision)>,
}

impl DecisionLog {
    /// Returns a log that keeps the latest `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            next_id: 1,
            records: VecDeque::new(),
        }
    }

    /// Adds a decision and returns its number.
    pub fn record(&mut self, wall: WallTime, decision: Decision) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        if self.records.len() >= self.capacity {
            self.records.pop_front();
        }
        self.records.push_back((id, wall, decision));
        id
    }

    /// Returns the decisions after number `after` with their numbers and times, oldest first.
    pub fn since(&self, after: u64) -> impl Iterator<Item = &(u64, WallTime, Decision)> {
        self.records.iter().filter(move |(id, _, _)| *id > after)
    }

    /// Returns the decisions about one submission, oldest first.
    pub fn of(&self, key: SubmissionKey) -> impl Iterator<Item = &(u64, WallTime, Decision)> {
        self.records
            .iter()
            .filter(move |(_, _, decision)| decision.key == key)
    }

    /// Returns the lowest number in the log, or the next number if the log is empty.
    pub fn oldest(&self) -> u64 {
        self.records.front().map_or(self.next_id, |(id, _, _)| *id)
    }
}
