use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{LearnedProfile, LearnedRunTimes, LearnedSlowdown, TaskKind};

/// So many runs make a belief worth keeping: with fewer it is not used either.
const ENOUGH: u32 = 16;
/// A mean of times that is off by this factor sends work to other targets than it should.
const MOST_OFF: f64 = 1.25;
/// Beliefs that still hold are written again after this time: they count less the older they are.
const REFRESHED_EACH: Duration = Duration::from_secs(60 * 60);

/// What is worth writing in what an entry believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProfileUpdate {
    /// Paces or run times: without them work goes to less fitting targets for some dozens of runs.
    Slowdown,
    /// A suspect more or less: without it targets are lost until it is found again.
    Suspect,
}

/// What is new in an entry's beliefs against what was last read or written, if it is worth a write.
///
/// Whoever has no ranked queues vouches for no paces: those that it has are not its own.
pub fn profile_update(
    known: Option<&LearnedProfile>,
    own: &LearnedProfile,
    vouches_for_paces: bool,
) -> Option<ProfileUpdate> {
    let nothing = LearnedProfile::default();
    let before = known.unwrap_or(&nothing);
    if kinds(before) != kinds(own) {
        return Some(ProfileUpdate::Suspect);
    }
    if !vouches_for_paces {
        return None;
    }
    let has_own = !own.slowdowns.is_empty() || !own.run_times.is_empty();
    let is_old = has_own && is_stale(before, own);
    let is_changed = has_new_pace(before, own) || has_new_times(before, own);
    (is_old || is_changed).then_some(ProfileUpdate::Slowdown)
}

fn kinds(profile: &LearnedProfile) -> BTreeSet<TaskKind> {
    let suspects = profile.suspects.iter();
    suspects.map(|suspect| suspect.kind).collect()
}

/// Nothing that was never written is stale.
fn is_stale(before: &LearnedProfile, own: &LearnedProfile) -> bool {
    let age = own.written_ms.saturating_sub(before.written_ms);
    before.written_ms > 0 && Duration::from_millis(age) >= REFRESHED_EACH
}

fn has_new_pace(before: &LearnedProfile, own: &LearnedProfile) -> bool {
    let key = |pace: &LearnedSlowdown| (pace.queue.clone(), pace.class.clone());
    let known = before.slowdowns.iter();
    let known: BTreeMap<_, f64> = known.map(|pace| (key(pace), pace.log_ratio)).collect();
    let mut settled = own.slowdowns.iter().filter(|pace| pace.runs >= ENOUGH);
    settled.any(|pace| is_off(known.get(&key(pace)), pace.log_ratio))
}

fn has_new_times(before: &LearnedProfile, own: &LearnedProfile) -> bool {
    let ratio = |times: &LearnedRunTimes| times.log_run_time - times.log_estimate;
    let known = before.run_times.iter();
    let known: BTreeMap<_, f64> = known
        .map(|times| (times.queue.clone(), ratio(times)))
        .collect();
    let mut settled = own.run_times.iter().filter(|times| times.steps >= ENOUGH);
    settled.any(|times| is_off(known.get(&times.queue), ratio(times)))
}

fn is_off(known: Option<&f64>, own: f64) -> bool {
    known.is_none_or(|known| (known - own).abs() > MOST_OFF.ln())
}
