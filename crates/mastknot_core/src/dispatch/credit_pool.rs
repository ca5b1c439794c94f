use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use indexmap::IndexMap;
use serde::Serialize;

use super::pooled_side::PooledSide;
use crate::message::{Credit, CreditSeq, SideCredit, SideHello};
use crate::types::{Hall, Moment, NodeName};

/// How many candidates a decision records.
const RECORDED_CANDIDATES: usize = 3;

/// A side that could have been chosen, as a decision records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Candidate {
    /// The side.
    pub side: NodeName,
    /// Its score, lower is better.
    pub score: u32,
    /// The idle credits held there.
    pub idle: u32,
}

type ReadyKey = (u32, Reverse<usize>, usize);

/// All credits of one entry, ordered by how good their side is.
#[derive(Clone, Debug)]
pub(crate) struct CreditPool {
    hall: Hall,
    sides: IndexMap<NodeName, PooledSide>,
    ready: BTreeSet<ReadyKey>,
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

    /// Usable credits now.
    pub(crate) fn idle(&self) -> usize {
        self.idle
    }

    pub(crate) fn sides(&self) -> impl Iterator<Item = (&NodeName, &PooledSide)> {
        self.sides.iter()
    }

    pub(crate) fn side(&self, name: &NodeName) -> Option<&PooledSide> {
        self.sides.get(name)
    }

    /// Changes a side and puts it back in order.
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

    /// Puts a side whose pause has ended back in order.
    pub(crate) fn resume_paused(&mut self, now: Moment) {
        for index in 0..self.sides.len() {
            let side = &self.sides[index];
            if !side.credits.is_empty() && !self.ready_key.contains_key(&index) {
                self.reorder(now, index);
            }
        }
    }

    pub(crate) fn join(&mut self, now: Moment, hello: SideHello) {
        let is_away = hello.hall != self.hall;
        let name = hello.side.clone();
        self.leave(now, &name);
        self.sides.insert(name, PooledSide::new(hello, is_away));
    }

    pub(crate) fn leave(&mut self, now: Moment, name: &NodeName) {
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

    /// Whether a credit for the service can be had.
    pub(crate) fn has_credit(&self, service: &NodeName) -> bool {
        self.ready
            .iter()
            .any(|(_, _, index)| self.sides[*index].runs_service(service))
    }

    /// Takes the best credit for the service, not of the sides in `avoided`.
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
        // The oldest credit goes first: the others live longer.
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

    /// Gives one idle credit away, from the side with the worst score.
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

    /// Drops expired credits everywhere; returns how many.
    pub(crate) fn drop_expired(&mut self, now: Moment) -> u64 {
        let mut dropped = 0;
        for index in 0..self.sides.len() {
            let lapsed = self.sides[index].drop_expired(now);
            if lapsed > 0 {
                dropped += lapsed;
                self.idle -= lapsed as usize;
                self.reorder(now, index);
            }
        }
        dropped
    }

    /// Slots of all sides that run the service and are not leaving.
    pub(crate) fn slots(&self, service: &NodeName) -> u32 {
        self.sides
            .values()
            .filter(|side| !side.is_leaving && side.runs_service(service))
            .map(|side| u32::from(side.hello.slots))
            .sum()
    }
}
