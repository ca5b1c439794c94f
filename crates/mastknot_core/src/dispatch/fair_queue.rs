use std::collections::{BTreeSet, HashMap, VecDeque};

use super::JobOrder;
use super::fair_level::{FairLevel, Position};
use crate::types::{Moment, NodeName, SubmissionKey, TaskId};

/// A task taken from the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Service that runs the task.
    pub service: NodeName,
    /// Time at which the submission of the task was queued.
    pub since: Moment,
}

/// A submission to add to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewSubmission {
    /// Team of the submission.
    pub team: NodeName,
    /// Customer of the team.
    pub customer: NodeName,
    /// Service that runs the tasks.
    pub service: NodeName,
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Number of tasks.
    pub count: u16,
    /// Deadline of the submission.
    pub deadline: Moment,
}

#[derive(Clone, Debug)]
struct QueuedSubmission {
    service: NodeName,
    /// Order key by which the customer's submissions are sorted; lower goes first.
    order: u64,
    since: Moment,
    /// Indexes of the tasks that wait.
    indexes: VecDeque<u16>,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    /// Work taken so far in microseconds.
    taken: u64,
    order: BTreeSet<(u64, SubmissionKey)>,
    submissions: HashMap<SubmissionKey, QueuedSubmission>,
    waiting: u32,
}

impl CustomerQueue {
    /// Takes the next task of a submission. The flag in the result is true if no task of the
    /// submission is left in the queue.
    fn take(&mut self, key: SubmissionKey, by_remaining: bool) -> (QueuedTask, bool) {
        self.waiting -= 1;
        let submission = self.submissions.get_mut(&key).expect("submission waits");
        let index = submission.indexes.pop_front().expect("task waits");
        self.order.remove(&(submission.order, key));
        let task = QueuedTask {
            task: TaskId { key, index },
            service: submission.service.clone(),
            since: submission.since,
        };
        let is_empty = submission.indexes.is_empty();
        if is_empty {
            self.submissions.remove(&key);
            return (task, true);
        }
        if by_remaining {
            submission.order = submission.indexes.len() as u64;
        }
        self.order.insert((submission.order, key));
        (task, false)
    }

    /// Removes the waiting tasks of a submission and returns their number.
    fn remove(&mut self, key: SubmissionKey) -> u32 {
        let Some(submission) = self.submissions.remove(&key) else {
            return 0;
        };
        self.order.remove(&(submission.order, key));
        let count = submission.indexes.len() as u32;
        self.waiting -= count;
        count
    }

    fn position(&self) -> Option<Position> {
        let (head, _) = self.order.first()?;
        Some(Position {
            is_over_limit: false,
            head: *head,
            taken: self.taken,
        })
    }
}

#[derive(Clone, Debug)]
struct TeamQueue {
    weight: u64,
    limit: u32,
    running: u32,
    /// Work taken so far in microseconds, divided by the team's weight.
    taken: u64,
    level: FairLevel,
    customers: HashMap<NodeName, CustomerQueue>,
    waiting: u32,
}

impl TeamQueue {
    fn is_over_limit(&self) -> bool {
        self.running >= self.limit
    }

    fn position(&self) -> Option<Position> {
        let head = self.level.first_head()?;
        Some(Position {
            is_over_limit: self.is_over_limit(),
            head,
            taken: self.taken,
        })
    }

    /// Changes a customer's queue and updates the customer's position on the level.
    fn update_customer<R>(
        &mut self,
        customer: &NodeName,
        change: impl FnOnce(&mut CustomerQueue) -> R,
    ) -> R {
        let queue = self.customers.entry(customer.clone()).or_default();
        let result = change(queue);
        let position = queue.position();
        self.level.set(customer, position);
        result
    }
}

/// Queue of waiting tasks that is shared fairly between teams and between the customers of a team.
///
/// A [`JobOrder`] decides which submission goes next, within bounds: no team may take more work (by
/// weight) than another waiting team by more than the slack, and the same holds for the customers
/// of a team. A team at its limit goes only if no team below its own limit waits.
///
/// # Examples
///
/// ```
/// use mastknot_core::dispatch::{FairQueue, JobOrder, NewSubmission};
/// use mastknot_core::types::{Moment, SubmissionKey, WallTime};
///
/// let mut queue = FairQueue::new(JobOrder::FirstCome);
/// let work = |team: &str, random, count| NewSubmission {
///     team: team.into(),
///     customer: "customer".into(),
///     service: "orders".into(),
///     key: SubmissionKey::new(WallTime::from_millis(1), random),
///     count,
///     deadline: Moment::from_millis(9),
/// };
/// queue.push(Moment::default(), work("large", 1, 100));
/// queue.push(Moment::default(), work("small", 2, 1));
/// let first = queue.pop(50, |_| true).unwrap();
/// let second = queue.pop(50, |_| true).unwrap();
/// assert_ne!(first.task.key, second.task.key, "the small team does not wait for the large one");
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue {
    job_order: JobOrder,
    slack: u64,
    teams: HashMap<NodeName, TeamQueue>,
    level: FairLevel,
    /// Team and customer of each submission that has waiting tasks.
    locations: HashMap<SubmissionKey, (NodeName, NodeName)>,
    arrivals: u64,
    waiting: u32,
    /// Virtual time of the queue: the taken work of the teams served last. A team that starts to
    /// wait begins with at least this value, so idle time gives it no credit.
    virtual_time: u64,
}

impl FairQueue {
    /// Returns an empty queue with a slack of zero, which shares evenly between teams and
    /// customers.
    pub fn new(job_order: JobOrder) -> Self {
        Self {
            job_order,
            slack: 0,
            teams: HashMap::new(),
            level: FairLevel::default(),
            locations: HashMap::new(),
            arrivals: 0,
            waiting: 0,
            virtual_time: 0,
        }
    }

    /// Sets the amount of work in microseconds by which a team or customer may be ahead of another.
    pub fn set_slack(&mut self, micros: u64) {
        self.slack = micros;
    }

    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of waiting tasks of a team.
    pub fn team_waiting(&self, team: &NodeName) -> u32 {
        self.teams.get(team).map_or(0, |queue| queue.waiting)
    }

    /// Returns the number of running tasks of a team.
    pub fn team_running(&self, team: &NodeName) -> u32 {
        self.teams.get(team).map_or(0, |queue| queue.running)
    }

    /// Returns the teams that have running tasks, with their number, sorted by name.
    pub fn running_by_team(&self) -> Vec<(NodeName, u32)> {
        let running = self.teams.iter().filter(|(_, queue)| queue.running > 0);
        let mut list: Vec<_> = running
            .map(|(team, queue)| (team.clone(), queue.running))
            .collect();
        list.sort();
        list
    }

    /// Estimates the number of waiting tasks that would go before a new task of this team and
    /// customer.
    pub fn ahead_of(&self, team: &NodeName, customer: &NodeName) -> u32 {
        let Some(queue) = self.teams.get(team) else {
            return 0;
        };
        let competitors = self.teams.values().filter(|other| other.waiting > 0);
        let weights: u64 = competitors.map(|other| other.weight).sum();
        let team_share = weights.max(queue.weight) / queue.weight.max(1);
        let customers = queue.level.len();
        let customer_waiting = queue.customers.get(customer).map_or(0, |c| c.waiting);
        let by_customer = u64::from(customer_waiting) * customers.max(1) as u64;
        let by_team = by_customer.min(u64::from(queue.waiting)) * team_share;
        by_team.min(u64::from(self.waiting)) as u32
    }

    /// Sets a team's weight and the number of tasks that it may run here while other teams wait.
    pub fn set_team(&mut self, team: &NodeName, weight: u32, limit: u32) {
        self.update_team(team, |queue| {
            queue.weight = u64::from(weight.max(1));
            queue.limit = limit;
        });
    }

    /// Adds a submission with the task indexes `0..count`.
    pub fn push(&mut self, now: Moment, work: NewSubmission) {
        let NewSubmission {
            team,
            customer,
            service,
            key,
            count,
            deadline,
        } = work;
        self.arrivals += 1;
        let order = match self.job_order {
            JobOrder::ShortestRemaining => u64::from(count),
            JobOrder::EarliestDeadline => deadline.as_micros(),
            JobOrder::FirstCome => self.arrivals,
        };
        let submission = QueuedSubmission {
            service,
            order,
            since: now,
            indexes: (0..count).collect(),
        };
        self.locations.insert(key, (team.clone(), customer.clone()));
        self.waiting += u32::from(count);
        let virtual_time = self.virtual_time;
        self.update_team(&team, |queue| {
            if queue.waiting == 0 {
                queue.taken = queue.taken.max(virtual_time);
            }
            queue.waiting += u32::from(count);
            let least = queue.level.least_taken().unwrap_or(0);
            queue.update_customer(&customer, |customer_queue| {
                if customer_queue.waiting == 0 {
                    customer_queue.taken = customer_queue.taken.max(least);
                }
                customer_queue.waiting += u32::from(count);
                customer_queue.order.insert((order, key));
                customer_queue.submissions.insert(key, submission);
            });
        });
    }

    /// Puts a task that did not run back into the queue. It goes to the front of its submission.
    /// The submission keeps its place if other tasks of it wait; otherwise it goes first.
    pub fn put_back(&mut self, team: &NodeName, customer: &NodeName, queued: QueuedTask) {
        let key = queued.task.key;
        self.waiting += 1;
        self.locations.insert(key, (team.clone(), customer.clone()));
        self.update_team(team, |queue| {
            queue.waiting += 1;
            queue.update_customer(customer, |customer_queue| {
                customer_queue.waiting += 1;
                let submission =
                    customer_queue
                        .submissions
                        .entry(key)
                        .or_insert(QueuedSubmission {
                            service: queued.service,
                            order: 0,
                            since: queued.since,
                            indexes: VecDeque::new(),
                        });
                submission.indexes.push_front(queued.task.index);
                customer_queue.order.insert((submission.order, key));
            });
        });
    }

    /// Takes the next task for whose service `can_start` returns true. The estimated run time
    /// `cost_micros` is added to the work that its team and customer have taken.
    pub fn pop(
        &mut self,
        cost_micros: u64,
        can_start: impl Fn(&NodeName) -> bool,
    ) -> Option<QueuedTask> {
        let (team, customer, key) = self.find(&can_start)?;
        let by_remaining = self.job_order == JobOrder::ShortestRemaining;
        self.waiting -= 1;
        let (task, taken, is_empty) = self.update_team(&team, |queue| {
            queue.waiting -= 1;
            queue.running += 1;
            queue.taken += cost_micros / queue.weight;
            let (task, is_empty) = queue.update_customer(&customer, |customer_queue| {
                customer_queue.taken += cost_micros;
                customer_queue.take(key, by_remaining)
            });
            (task, queue.taken, is_empty)
        });
        self.virtual_time = self
            .virtual_time
            .max(taken.saturating_sub(cost_micros + self.slack));
        if is_empty {
            self.locations.remove(&key);
        }
        Some(task)
    }

    fn find(
        &self,
        can_start: &impl Fn(&NodeName) -> bool,
    ) -> Option<(NodeName, NodeName, SubmissionKey)> {
        for team in self.level.order(self.slack) {
            let queue = &self.teams[team];
            for customer in queue.level.order(self.slack) {
                let customer_queue = &queue.customers[customer];
                let next = customer_queue
                    .order
                    .iter()
                    .find(|(_, key)| can_start(&customer_queue.submissions[key].service));
                if let Some((_, key)) = next {
                    return Some((team.clone(), customer.clone(), *key));
                }
            }
        }
        None
    }

    /// Returns the key of the submission that goes next.
    pub fn first_key(&self) -> Option<SubmissionKey> {
        self.find(&|_: &NodeName| true).map(|(_, _, key)| key)
    }

    /// Returns the lowest order key of all waiting submissions; lower is more urgent.
    pub fn first_order(&self) -> Option<u64> {
        self.level.first_head()
    }

    /// Returns whether a team runs as many tasks as it may while other teams wait.
    pub fn is_over_limit(&self, team: &NodeName) -> bool {
        self.teams.get(team).is_some_and(TeamQueue::is_over_limit)
    }

    /// Records that a task of a team was started without being taken from the queue.
    pub fn record_extra_start(&mut self, team: &NodeName) {
        self.update_team(team, |queue| queue.running += 1);
    }

    /// Records that a running task of a team has ended.
    pub fn record_ended(&mut self, team: &NodeName) {
        self.update_team(team, |queue| {
            queue.running = queue.running.saturating_sub(1);
        });
        let is_idle = |queue: &TeamQueue| queue.running == 0 && queue.waiting == 0;
        if self.teams.get(team).is_some_and(is_idle) {
            self.update_team(team, |queue| queue.customers.clear());
        }
    }

    /// Removes the waiting tasks of a submission and returns their number.
    pub fn remove(&mut self, key: SubmissionKey) -> u32 {
        let Some((team, customer)) = self.locations.remove(&key) else {
            return 0;
        };
        let removed = self.update_team(&team, |queue| {
            let removed =
                queue.update_customer(&customer, |customer_queue| customer_queue.remove(key));
            queue.waiting -= removed;
            removed
        });
        self.waiting -= removed;
        removed
    }

    /// Changes a team's queue and updates the team's place in the order of all teams.
    fn update_team<R>(&mut self, team: &NodeName, change: impl FnOnce(&mut TeamQueue) -> R) -> R {
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight: 1,
            limit: u32::MAX,
            running: 0,
            taken: 0,
            level: FairLevel::default(),
            customers: HashMap::new(),
            waiting: 0,
        });
        let result = change(queue);
        let position = queue.position();
        self.level.set(team, position);
        result
    }
}
