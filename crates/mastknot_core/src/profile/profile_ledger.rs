use std::sync::Arc;
use std::time::Duration;

use super::{ProfileCall, ProfileOffer, ProfileRead, ProfileWrite, ProfileWriteSchedule};
use crate::job::{LearnedProfile, ProfileError};
use crate::types::Moment;

/// Pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause. Pauses double up to this time, so that a store that is down for long costs each
/// process one call per minute.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// A process's knowledge of the document in the store, and the next call to make.
///
/// One call is in progress at a time. Each write names the revision that was last read, so that no
/// document is overwritten unread.
#[derive(Clone, Debug)]
pub struct ProfileLedger {
    /// Revision of the document, 0 if it does not exist; `None` if it has to be read.
    revision: Option<u64>,
    known: Option<Arc<LearnedProfile>>,
    /// Whether the document was read before. A change that a later read shows was written in the
    /// meantime.
    has_read: bool,
    /// Bytes of a write whose outcome is not known.
    unanswered: Option<Vec<u8>>,
    /// Bytes and profile of the write in progress.
    writing: Option<(Vec<u8>, Arc<LearnedProfile>)>,
    schedule: ProfileWriteSchedule,
    pause: Duration,
    paused_until: Option<Moment>,
}

impl Default for ProfileLedger {
    fn default() -> Self {
        Self {
            revision: None,
            known: None,
            has_read: false,
            unanswered: None,
            writing: None,
            schedule: ProfileWriteSchedule::default(),
            pause: FIRST_PAUSE,
            paused_until: None,
        }
    }
}

impl ProfileLedger {
    /// Returns the profile that was last read or written.
    pub fn known(&self) -> Option<&Arc<LearnedProfile>> {
        self.known.as_ref()
    }

    /// Returns whether the document has to be read before anything is written.
    pub fn must_read(&self) -> bool {
        self.revision.is_none()
    }

    /// Returns the next call, if there is one. `offer` is the profile that the entry would write.
    pub fn next(
        &mut self,
        now: Moment,
        offer: Option<ProfileOffer>,
    ) -> Result<Option<ProfileCall>, ProfileError> {
        if self.paused_until.is_some_and(|until| now < until) {
            return Ok(None);
        }
        let Some(expected) = self.revision else {
            return Ok(Some(ProfileCall::Read));
        };
        let update = offer.as_ref().map(|offer| offer.update);
        let writer_rank = offer.as_ref().map_or(0, |offer| offer.writer_rank);
        let age = offer.as_ref().and_then(|offer| self.known_age(offer));
        if !self.schedule.is_due(now, update, writer_rank, age) {
            return Ok(None);
        }
        let Some(offer) = offer else {
            return Ok(None);
        };
        let value = match offer.profile.encode() {
            Ok(value) => value,
            Err(error) => {
                self.start_pause(now);
                return Err(error);
            }
        };
        self.writing = Some((value.clone(), Arc::new(offer.profile)));
        Ok(Some(ProfileCall::Write { value, expected }))
    }

    /// Returns the age of the known document; `None` if its writer's clock is ahead.
    fn known_age(&self, offer: &ProfileOffer) -> Option<Duration> {
        let known = self.known.as_ref()?;
        let age = offer.profile.written_ms.checked_sub(known.written_ms);
        age.map(Duration::from_millis)
    }

    /// Handles the result of a read: the revision and value of the document, or `None` if it does
    /// not exist.
    pub fn record_read(&mut self, now: Moment, item: Option<(u64, &[u8])>) -> ProfileRead {
        self.reset_pause();
        let unanswered = self.unanswered.take();
        let writing = self.writing.take();
        let is_first = !std::mem::replace(&mut self.has_read, true);
        let Some((revision, value)) = item else {
            self.revision = Some(0);
            self.known = None;
            return ProfileRead::Absent;
        };
        self.revision = Some(revision);
        if unanswered.is_some_and(|sent| sent == value) {
            self.known = writing.map(|(_, profile)| profile).or(self.known.take());
            self.schedule.record_change(now);
            return ProfileRead::Known;
        }
        self.decode_document(now, value, is_first)
    }

    fn decode_document(&mut self, now: Moment, value: &[u8], is_first: bool) -> ProfileRead {
        match LearnedProfile::decode(value) {
            Ok(profile) if self.known.as_deref() == Some(&profile) => ProfileRead::Known,
            Ok(profile) => {
                if !is_first {
                    self.schedule.record_change(now);
                }
                let profile = Arc::new(profile);
                self.known = Some(Arc::clone(&profile));
                ProfileRead::Update(profile)
            }
            Err(error) => {
                self.known = None;
                ProfileRead::NotTaken(error)
            }
        }
    }

    /// Handles a read without a result.
    pub fn record_read_failure(&mut self, now: Moment) {
        self.start_pause(now);
    }

    /// Handles the result of a write.
    pub fn record_write(&mut self, now: Moment, write: ProfileWrite) {
        match write {
            ProfileWrite::Done { revision } => {
                self.reset_pause();
                self.revision = Some(revision);
                self.known = self.writing.take().map(|(_, profile)| profile);
                self.schedule.record_change(now);
            }
            ProfileWrite::Changed => {
                self.reset_pause();
                self.writing = None;
                self.revision = None;
            }
            ProfileWrite::TurnedAway => {
                self.writing = None;
                self.start_pause(now);
            }
            ProfileWrite::Unanswered => {
                // The write may have taken effect; the next read of the document shows whether it
                // did.
                self.unanswered = self.writing.as_ref().map(|(value, _)| value.clone());
                self.revision = None;
                self.start_pause(now);
            }
        }
    }

    fn reset_pause(&mut self) {
        self.pause = FIRST_PAUSE;
        self.paused_until = None;
    }

    fn start_pause(&mut self, now: Moment) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
