//! What outlasts the process: what it has learned, and what others had.

use super::SchedulerDecision;
use super::job_scheduler::JobScheduler;
use crate::job::LearnedProfile;
use crate::profile::{ProfileOffer, profile_update};
use crate::types::{Moment, WallTime, stable_hash};

impl JobScheduler {
    /// What it believes now; without ranked queues it has no paces of its own to tell, and passes on what it has read.
    pub fn learned(&self) -> LearnedProfile {
        let suspects = self.containment.learned();
        if !self.priors.has_ranked_queue {
            return LearnedProfile {
                suspects,
                ..self.priors.pending.clone()
            };
        }
        LearnedProfile {
            written_ms: 0,
            slowdowns: self.class_slowdowns.learned(),
            run_times: self.run_times.learned(),
            suspects,
        }
    }

    /// What it would write now, if something in it is worth it.
    pub fn profile_offer(
        &self,
        known: Option<&LearnedProfile>,
        wall: WallTime,
    ) -> Option<ProfileOffer> {
        if !self.settings.scarcity.profile {
            return None;
        }
        let profile = LearnedProfile {
            written_ms: wall.as_millis(),
            ..self.learned()
        };
        let news = profile_update(known, &profile, self.priors.has_ranked_queue)?;
        let place = self.writer_place();
        Some(ProfileOffer {
            profile,
            update: news,
            writer_rank: place,
        })
    }

    /// Its place among the listed entries in the order in which they write.
    fn writer_place(&self) -> usize {
        let own = &self.settings.entry;
        let own_rank = (stable_hash(&[own]), own);
        let others = self.entries.iter().map(|entry| &entry.name);
        let ranks = others.map(|name| (stable_hash(&[name]), name));
        ranks.filter(|rank| *rank < own_rank).count()
    }

    /// Takes what was read. Suspects count at once, whatever queues there are: finding them again costs targets.
    pub(super) fn apply_learned(&mut self, now: Moment, profile: &LearnedProfile, wall: WallTime) {
        if !self.settings.scarcity.profile {
            return;
        }
        self.counters.profiles_read += 1;
        self.record_decision(SchedulerDecision::ProfileRead {
            age_ms: profile.age(wall).as_millis() as u64,
            paces: profile.slowdowns.len(),
            run_times: profile.run_times.len(),
            suspects: profile.suspects.len(),
        });
        let aged = profile.aged(wall);
        self.contain_learned(now, &aged.suspects);
        self.priors.pending = LearnedProfile {
            suspects: Vec::new(),
            ..aged
        };
        if self.priors.has_ranked_queue {
            self.use_waiting_beliefs();
        }
    }

    /// A job has come to a ranked queue: what others have learned of paces is of use.
    pub(super) fn activate_priors(&mut self) {
        if !self.priors.has_ranked_queue {
            self.priors.has_ranked_queue = true;
            self.use_waiting_beliefs();
        }
    }

    fn use_waiting_beliefs(&mut self) {
        let waiting = std::mem::take(&mut self.priors.pending);
        for times in &waiting.run_times {
            self.run_times.believe(times);
        }
        for pace in &waiting.slowdowns {
            self.class_slowdowns.believe(pace);
        }
        if !waiting.slowdowns.is_empty() {
            self.work_out_paces();
        }
    }
}
