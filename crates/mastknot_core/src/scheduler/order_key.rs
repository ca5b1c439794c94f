use std::time::Duration;

use crate::types::Moment;

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outlook {
    /// It can end within its objective.
    InTime,
    /// It can end within three times its objective.
    Late,
    /// It can only end later still.
    Hopeless,
}

/// Which waiting job is served first: the lowest key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// What can still be in time goes before what can't.
    pub outlook: Outlook,
    /// The last moment to start the longest remaining work, for this outlook.
    pub latest_start: Moment,
    /// The order of arrival.
    pub sequence: u64,
}

/// A job's times, from which its place follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobTimes {
    /// It is in time until then.
    pub(crate) objective: Moment,
    /// It is late until then.
    pub(crate) late: Moment,
}

impl JobTimes {
    /// The place of a job whose longest remaining chain of work takes `chain`.
    pub(crate) fn key(&self, now: Moment, chain: Duration, sequence: u64) -> OrderKey {
        let end = now + chain;
        let (outlook, by) = if end <= self.objective {
            (Outlook::InTime, self.objective)
        } else if end <= self.late {
            (Outlook::Late, self.late)
        } else {
            (Outlook::Hopeless, self.late)
        };
        OrderKey {
            outlook,
            latest_start: by - chain,
            sequence,
        }
    }
}
