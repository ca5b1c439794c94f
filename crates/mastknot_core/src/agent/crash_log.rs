use std::collections::VecDeque;
use std::time::Duration;

use crate::job::TargetCrash;
use crate::types::Moment;

/// For how long crashes are told to entries that link anew: as long as entries remember them.
const REMEMBERED: Duration = Duration::from_secs(60);
/// The most crashes that are remembered: a target that crashes each 3 s fills a minute with 20.
const MAX_REMEMBERED: usize = 20;

/// The crashes of a target's lives, for entries that were not linked when they happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLog {
    crashes: VecDeque<(Moment, TargetCrash)>,
}

impl CrashLog {
    /// Keeps a crash that happened now.
    pub(crate) fn note(&mut self, now: Moment, crash: TargetCrash) {
        if self.crashes.len() == MAX_REMEMBERED {
            self.crashes.pop_front();
        }
        self.crashes.push_back((now, crash));
    }

    /// What is still worth telling.
    pub(crate) fn recent(&self, now: Moment) -> Vec<TargetCrash> {
        let ago = |at: &Moment| now.since(*at);
        let recent = self.crashes.iter().filter(|(at, _)| ago(at) < REMEMBERED);
        let told = recent.map(|(at, crash)| TargetCrash {
            ago_ms: ago(at).as_millis() as u32,
            ..crash.clone()
        });
        told.collect()
    }
}
