use std::collections::VecDeque;
use std::time::Duration;

use crate::job::TargetCrash;
use crate::types::Moment;

/// Time for which crashes are reported to newly linked entries. Entries remember crashes for the
/// same time.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Maximum number of remembered crashes. A target that crashes every 3 s causes 20 crashes in a
/// minute.
const MAX_REMEMBERED: usize = 20;

/// Recent crashes of a target, for entries that were not linked when the crashes happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLog {
    crashes: VecDeque<(Moment, TargetCrash)>,
}

impl CrashLog {
    /// Records a crash that happened at `now`.
    pub(crate) fn record(&mut self, now: Moment, crash: TargetCrash) {
        if self.crashes.len() == MAX_REMEMBERED {
            self.crashes.pop_front();
        }
        self.crashes.push_back((now, crash));
    }

    /// Returns the crashes that entries would still remember, with their current age.
    pub(crate) fn recent(&self, now: Moment) -> Vec<TargetCrash> {
        let ago = |at: &Moment| now.since(*at);
        let recent = self.crashes.iter().filter(|(at, _)| ago(at) < MAX_AGE);
        let reports = recent.map(|(at, crash)| TargetCrash {
            ago_ms: ago(at).as_millis() as u32,
            ..crash.clone()
        });
        reports.collect()
    }
}
