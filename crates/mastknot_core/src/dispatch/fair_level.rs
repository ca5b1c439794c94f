use std::collections::{BTreeMap, BTreeSet};

use crate::types::NodeName;

/// How a rival stands at one level: a team among teams, or a customer among customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Standing {
    /// Whether it is at its limit, so that it goes only if no other can.
    pub(crate) is_over: bool,
    /// The order key of its first submission: lower goes first.
    pub(crate) head: u64,
    /// The work it has taken so far, by its weight, in microseconds.
    pub(crate) taken: u64,
}

/// Rivals that have something waiting.
///
/// The lowest head goes first, as long as its owner is not ahead of the rival that has taken the
/// least by more than the slack. With no slack this is plain fair sharing; with endless slack it
/// is the plain order of the heads.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairLevel {
    standings: BTreeMap<NodeName, Standing>,
    by_head: BTreeSet<(bool, u64, NodeName)>,
    by_taken: BTreeSet<(u64, NodeName)>,
}

impl FairLevel {
    /// Sets how a rival stands; none takes it out.
    pub(crate) fn set(&mut self, name: &NodeName, standing: Option<Standing>) {
        if let Some(old) = self.standings.remove(name) {
            self.by_head.remove(&(old.is_over, old.head, name.clone()));
            self.by_taken.remove(&(old.taken, name.clone()));
        }
        if let Some(new) = standing {
            self.standings.insert(name.clone(), new);
            self.by_head.insert((new.is_over, new.head, name.clone()));
            self.by_taken.insert((new.taken, name.clone()));
        }
    }

    /// The least that any rival has taken.
    pub(crate) fn least_taken(&self) -> Option<u64> {
        self.by_taken.first().map(|(taken, _)| *taken)
    }

    /// The rivals in the order in which they may go.
    pub(crate) fn order(&self, slack: u64) -> impl Iterator<Item = &NodeName> {
        let least = self.least_taken().unwrap_or(0);
        let is_near =
            move |name: &NodeName| self.standings[name].taken <= least.saturating_add(slack);
        let near = self
            .by_head
            .iter()
            .filter(move |(_, _, name)| is_near(name));
        let far = self.by_taken.iter().filter(move |(_, name)| !is_near(name));
        let near = near.map(|(_, _, name)| name);
        near.chain(far.map(|(_, name)| name))
    }

    /// The lowest head of all.
    pub(crate) fn first_head(&self) -> Option<u64> {
        self.by_head.iter().map(|(_, head, _)| *head).min()
    }

    /// How many rivals wait.
    pub(crate) fn len(&self) -> usize {
        self.standings.len()
    }
}
