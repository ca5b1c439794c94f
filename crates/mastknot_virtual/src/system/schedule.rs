use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Queue of actions ordered by time. Actions of the same time keep the order in which they were added.
#[derive(Clone, Debug)]
pub(crate) struct Schedule<A> {
    heap: BinaryHeap<Item<A>>,
    next: u64,
}

#[derive(Clone, Debug)]
struct Item<A> {
    at: u64,
    order: u64,
    action: A,
}

impl<A> Schedule<A> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }

    pub(crate) fn add(&mut self, at: u64, action: A) {
        self.next += 1;
        let order = self.next;
        self.heap.push(Item { at, order, action });
    }

    pub(crate) fn next_at(&self) -> Option<u64> {
        self.heap.peek().map(|item| item.at)
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, A)> {
        self.heap.pop().map(|item| (item.at, item.action))
    }
}

impl<A> PartialEq for Item<A> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<A> Eq for Item<A> {}

impl<A> PartialOrd for Item<A> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<A> Ord for Item<A> {
    fn cmp(&self, other: &Self) -> Ordering {
        // `BinaryHeap` returns the greatest item first, so the order is reversed to return the earliest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
