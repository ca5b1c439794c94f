use std::collections::{BTreeMap, BTreeSet};

use crate::types::NodeName;

/// Position of one competitor on one level. On the upper level teams compete, on the lower level
/// the customers of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    /// Whether the competitor is at its limit and goes only if no competitor below its limit can.
    pub(crate) is_over_limit: bool,
    /// Order key of the competitor's first submission; lower goes first.
    pub(crate) head: u64,
    /// Work taken so far in microseconds; for teams it is divided by the weight.
    pub(crate) taken: u64,
}

/// Competitors on one level that have waiting tasks.
///
/// The competitor with the lowest head goes first, unless its taken work exceeds the least taken
/// work on the level by more than the slack. With a slack of zero the level is plain fair sharing;
/// with an unlimited slack it is ordered by head alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairLevel {
    positions: BTreeMap<NodeName, Position>,
    by_head: BTreeSet<(bool, u64, NodeName)>,
    by_taken: BTreeSet<(u64, NodeName)>,
}

impl FairLevel {
    /// Sets the position of a competitor; `None` removes the competitor.
    pub(crate) fn set(&mut self, name: &NodeName, position: Option<Position>) {
        if let Some(old) = self.positions.remove(name) {
            self.by_head
                .remove(&(old.is_over_limit, old.head, name.clone()));
            self.by_taken.remove(&(old.taken, name.clone()));
        }
        if let Some(new) = position {
            self.positions.insert(name.clone(), new);
            self.by_head
                .insert((new.is_over_limit, new.head, name.clone()));
            self.by_taken.insert((new.taken, name.clone()));
        }
    }

    /// Returns the least work that any competitor has taken.
    pub(crate) fn least_taken(&self) -> Option<u64> {
        self.by_taken.first().map(|(taken, _)| *taken)
    }

    /// Returns the competitors in the order in which they may start a task.
    pub(crate) fn order(&self, slack: u64) -> impl Iterator<Item = &NodeName> {
        let least = self.least_taken().unwrap_or(0);
        let is_within_slack =
            move |name: &NodeName| self.positions[name].taken <= least.saturating_add(slack);
        let within_slack = self
            .by_head
            .iter()
            .filter(move |(_, _, name)| is_within_slack(name));
        let beyond_slack = self
            .by_taken
            .iter()
            .filter(move |(_, name)| !is_within_slack(name));
        let within_slack = within_slack.map(|(_, _, name)| name);
        within_slack.chain(beyond_slack.map(|(_, name)| name))
    }

    /// Returns the lowest head on the level.
    pub(crate) fn first_head(&self) -> Option<u64> {
        self.by_head.iter().map(|(_, head, _)| *head).min()
    }

    /// Returns the number of competitors with waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }
}
