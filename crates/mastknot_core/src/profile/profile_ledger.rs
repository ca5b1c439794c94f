use std::sync::Arc;
use std::time::Duration;

use super::{ProfileCall, ProfileOffer, ProfileRead, ProfileWrite, ProfileWriteSchedule};
use crate::job::{LearnedProfile, ProfileError};
use crate::types::Moment;

/// After a call without success.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Pauses double up to this one: a store that is down for long costs a process a call a minute.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// What a process knows of the document at the store, and the call that it makes next.
///
/// One call is under way at a time. Nothing is written over what was not read: each write names the revision that was seen.
#[derive(Clone, Debug)]
pub struct ProfileLedger {
    /// The document's revision, 0 if there is none; none: it has to be read.
    revision: Option<u64>,
    known: Option<Arc<LearnedProfile>>,
    /// Whether it was read before: what a later read shows has been written meanwhile.
    has_read: bool,
    /// A write whose outcome is not known.
    unanswered: Option<Vec<u8>>,
    /// What is being written.
    writing: Option<(Vec<u8>, Arc<LearnedProfile>)>,
    turn: ProfileWriteSchedule,
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
            turn: ProfileWriteSchedule::default(),
            pause: FIRST_PAUSE,
            paused_until: None,
        }
    }
}

impl ProfileLedger {
    /// The beliefs that were last read or written.
    pub fn known(&self) -> Option<&Arc<LearnedProfile>> {
        self.known.as_ref()
    }

    /// Whether the document has to be read before anything is written.
    pub fn must_read(&self) -> bool {
        self.revision.is_none()
    }

    /// The next call, if there is one; `offer` is what the entry would write.
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
        let news = offer.as_ref().map(|offer| offer.update);
        let place = offer.as_ref().map_or(0, |offer| offer.writer_rank);
        let age = offer.as_ref().and_then(|offer| self.known_age(offer));
        if !self.turn.is_due(now, news, place, age) {
            return Ok(None);
        }
        let Some(offer) = offer else {
            return Ok(None);
        };
        let value = match offer.profile.encode() {
            Ok(value) => value,
            Err(error) => {
                self.fail(now);
                return Err(error);
            }
        };
        self.writing = Some((value.clone(), Arc::new(offer.profile)));
        Ok(Some(ProfileCall::Write { value, expected }))
    }

    /// How old the known document is; none for one of a clock that is ahead.
    fn known_age(&self, offer: &ProfileOffer) -> Option<Duration> {
        let known = self.known.as_ref()?;
        let age = offer.profile.written_ms.checked_sub(known.written_ms);
        age.map(Duration::from_millis)
    }

    /// The document was read: its revision and value, or that there is none.
    pub fn record_read(&mut self, now: Moment, item: Option<(u64, &[u8])>) -> ProfileRead {
        self.succeed();
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
            self.turn.record_change(now);
            return ProfileRead::Known;
        }
        self.take(now, value, is_first)
    }

    fn take(&mut self, now: Moment, value: &[u8], is_first: bool) -> ProfileRead {
        match LearnedProfile::decode(value) {
            Ok(profile) if self.known.as_deref() == Some(&profile) => ProfileRead::Known,
            Ok(profile) => {
                if !is_first {
                    self.turn.record_change(now);
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

    /// A read had no result.
    pub fn record_read_failure(&mut self, now: Moment) {
        self.fail(now);
    }

    /// What became of the write.
    pub fn record_write(&mut self, now: Moment, write: ProfileWrite) {
        match write {
            ProfileWrite::Done { revision } => {
                self.succeed();
                self.revision = Some(revision);
                self.known = self.writing.take().map(|(_, profile)| profile);
                self.turn.record_change(now);
            }
            ProfileWrite::Changed => {
                self.succeed();
                self.writing = None;
                self.revision = None;
            }
            ProfileWrite::TurnedAway => {
                self.writing = None;
                self.fail(now);
            }
            ProfileWrite::Unanswered => {
                // It may have been done: the document says so.
                self.unanswered = self.writing.as_ref().map(|(value, _)| value.clone());
                self.revision = None;
                self.fail(now);
            }
        }
    }

    fn succeed(&mut self) {
        self.pause = FIRST_PAUSE;
        self.paused_until = None;
    }

    fn fail(&mut self, now: Moment) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
