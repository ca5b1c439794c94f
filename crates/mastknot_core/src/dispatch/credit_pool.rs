use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use serde::Serialize;

use super::pooled_side::PooledSide;
use crate::message::{Credit, CreditSeq, SideCredit, SideHello};
use crate::types::{Hall, Moment, NodeName};

/// Maximum number of candidates in a recorded decision.
const RECORDED_CANDIDATES: usize = 3;

/// A side that could have been chosen, as recorded in a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// Name of the side.
    pub side: NodeName,
    /// Placement score of the side; lower is better.
    pub score: u32,
    /// Number of idle credits of the side that the entry holds.
    pub idle: u32,
}

/// Score of a side, its number of idle credits (the highest first) and its index in the pool.
type ReadyKey = (u32, Reverse<usize>, usize);

/// All credits of one entry, with the sides ordered by placement score.
#[derive(Clone, Debug)]
pub(crate) struct CreditPool {
    hall: Hall,
    sides: IndexMap<NodeName, PooledSide>,
    /// Sides that have idle credits and are not paused, the best first.
    ready: BTreeSet<ReadyKey>,
    /// Key in `ready` by the index of the side.
    ready_key: HashMap<usize, ReadyKey>,
    idle: usize,
}

impl CreditPool {
    pub(crate) fn new(hall: Hall) -> Self {
        Self {
            hall,
            sides: IndexMap::new(),
            ready: BTreeSet::new(),
            ready_key: HashMap::new(),
            idle: 0,
        }
    }

    /// Returns the number of idle credits.
    pub(crate) fn idle(&self) -> usize {
        self.idle
    }

    pub(crate) fn sides(&self) -> impl Iterator<Item = (&NodeName, &PooledSide)> {
        self.sides.iter()
    }

    pub(crate) fn side(&self, name: &NodeName) -> Option<&PooledSide> {
        self.sides.get(name)
    }

    /// Changes a side and updates its position in the order. Returns `None` if the side is unknown.
    pub(crate) fn update<R>(
        &mut self,
        now: Moment,
        name: &NodeName,
        change: impl FnOnce(&mut PooledSide) -> R,
    ) -> Option<R> {
        let index = self.sides.get_index_of(name)?;
        let side = &mut self.sides[index];
        let before = side.credits.len();
        let result = change(side);
        self.idle = self.idle - before + side.credits.len();
        self.reorder(now, index);
        Some(result)
    }

    fn reorder(&mut self, now: Moment, index: usize) {
        if let Some(old) = self.ready_key.remove(&index) {
            self.ready.remove(&old);
        }
        let side = &self.sides[index];
        if side.credits.is_empty() || side.is_paused(now) {
            return;
        }
        let key = (side.score(), Reverse(side.credits.len()), index);
        self.ready.insert(key);
        self.ready_key.insert(index, key);
    }

    /// Adds sides whose pause has ended to the order again.
    pub(crate) fn resume_paused(&mut self, now: Moment) {
        for index in 0..self.sides.len() {
            let side = &self.sides[index];
            if !side.credits.is_empty() && !self.ready_key.contains_key(&index) {
                self.reorder(now, index);
            }
        }
    }

    pub(crate) fn add_side(&mut self, now: Moment, hello: SideHello) {
        let is_in_other_hall = hello.hall != self.hall;
        let name = hello.side.clone();
        self.remove_side(now, &name);
        self.sides
            .insert(name, PooledSide::new(hello, is_in_other_hall));
    }

    pub(crate) fn remove_side(&mut self, now: Moment, name: &NodeName) {
        let Some((index, _, side)) = self.sides.swap_remove_full(name) else {
            return;
        };
        self.idle -= side.credits.len();
        for moved in [index, self.sides.len()] {
            if let Some(old) = self.ready_key.remove(&moved) {
                self.ready.remove(&old);
            }
        }
        if index < self.sides.len() {
            self.reorder(now, index);
        }
    }

    /// Returns whether an idle credit of a side that runs the service exists.
    pub(crate) fn has_credit(&self, service: &NodeName) -> bool {
        self.ready
            .iter()
            .any(|(_, _, index)| self.sides[*index].runs_service(service))
    }

    /// Takes a credit for the service from the side with the best score, leaving out the sides in
    /// `avoided`. Returns the side, the credit and the best candidates.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        service: &NodeName,
        avoided: &[NodeName],
    ) -> Option<(NodeName, CreditSeq, Vec<Candidate>)> {
        let fits = |index: &usize| {
            let (name, side) = self.sides.get_index(*index).expect("index is in order");
            side.runs_service(service) && !avoided.contains(name)
        };
        let indexes: Vec<usize> = self
            .ready
            .iter()
            .map(|(_, _, index)| *index)
            .filter(fits)
            .take(RECORDED_CANDIDATES)
            .collect();
        let candidates = indexes.iter().map(|index| self.candidate(*index)).collect();
        let chosen = *indexes.first()?;
        let (name, side) = self.sides.get_index_mut(chosen)?;
        let name = name.clone();
        // The oldest credit is used first, because the others expire later.
        let credit = side.credits.pop_front()?;
        side.running += 1;
        self.idle -= 1;
        self.reorder(now, chosen);
        Some((name, credit.seq, candidates))
    }

    fn candidate(&self, index: usize) -> Candidate {
        let (name, side) = self.sides.get_index(index).expect("index is in order");
        Candidate {
            side: name.clone(),
            score: side.score(),
            idle: side.credits.len() as u32,
        }
    }

    /// Removes an idle credit of the side with the worst score and returns it for lending.
    pub(crate) fn lend_one(&mut self, now: Moment) -> Option<SideCredit> {
        let &(_, _, index) = self.ready.last()?;
        let (name, side) = self.sides.get_index_mut(index)?;
        let held = side.credits.pop_back()?;
        let credit = Credit {
            incarnation: side.incarnation(),
            seq: held.seq,
            lifetime_ms: side.expires(&held).since(now).as_millis() as u32,
        };
        let side = name.clone();
        self.idle -= 1;
        self.reorder(now, index);
        Some(SideCredit { side, credit })
    }

    /// Drops the expired credits of all sides and returns their number.
    pub(crate) fn drop_expired(&mut self, now: Moment) -> u64 {
        let mut dropped = 0;
        for index in 0..self.sides.len() {
            let expired = self.sides[index].drop_expired(now);
            if expired > 0 {
                dropped += expired;
                self.idle -= expired as usize;
                self.reorder(now, index);
            }
        }
        dropped
    }

    /// Returns the number of slots of all sides that run the service and are not leaving.
    pub(crate) fn slots(&self, service: &NodeName) -> u32 {
        self.sides
            .values()
            .filter(|side| !side.is_leaving && side.runs_service(service))
            .map(|side| u32::from(side.hello.slots))
            .sum()
    }
}
