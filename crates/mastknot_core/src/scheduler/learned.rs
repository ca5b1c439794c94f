//! Stored profile: values that this process has learned, and values that other processes learned earlier.

use super::SchedulerDecision;
use super::job_scheduler::JobScheduler;
use crate::job::LearnedProfile;
use crate::profile::{ProfileOffer, profile_update};
use crate::types::{Moment, WallTime, stable_hash};

impl JobScheduler {
    /// Returns the values to store. An entry without ranked queues has no slowdowns and run times of its own and passes
    /// on those that it has read.
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

    /// Returns the profile that this entry would write, or `None` if it holds nothing that justifies a write.
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
        let update = profile_update(known, &profile, self.priors.has_ranked_queue)?;
        let writer_rank = self.writer_rank();
        Some(ProfileOffer {
            profile,
            update,
            writer_rank,
        })
    }

    /// Returns the position of this entry among the listed entries in the order in which they write.
    fn writer_rank(&self) -> usize {
        let own_name = &self.settings.entry;
        let own_rank = (stable_hash(&[own_name]), own_name);
        let others = self.entries.iter().map(|entry| &entry.name);
        let ranks = others.map(|name| (stable_hash(&[name]), name));
        ranks.filter(|rank| *rank < own_rank).count()
    }

    /// Applies a profile that was read. Suspects take effect at once, even without ranked queues, because detecting
    /// them again would cost targets.
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
            self.apply_pending_priors();
        }
    }

    /// Activates the slowdowns and run times that others have learned, once a job has come to a ranked queue.
    pub(super) fn activate_priors(&mut self) {
        if !self.priors.has_ranked_queue {
            self.priors.has_ranked_queue = true;
            self.apply_pending_priors();
        }
    }

    fn apply_pending_priors(&mut self) {
        let pending = std::mem::take(&mut self.priors.pending);
        for times in &pending.run_times {
            self.run_times.merge_prior(times);
        }
        for slowdown in &pending.slowdowns {
            self.class_slowdowns.merge_prior(slowdown);
        }
        if !pending.slowdowns.is_empty() {
            self.update_slowdowns();
        }
    }
}
