use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{LearnedProfile, LearnedRunTimes, LearnedSlowdown, TaskKind};

/// Number of runs from which a prior is stored; with fewer it is not used either.
const MIN_RUNS: u32 = 16;
/// Factor between two mean run times from which they count as different. A mean that is off by this
/// factor sends work to the wrong targets.
const MAX_RATIO: f64 = 1.25;
/// Age after which unchanged priors are written again, because they count less the older they are.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60 * 60);

/// Kind of a change to an entry's learned values that justifies a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProfileUpdate {
    /// Slowdowns or run times. Without them, work goes to less suitable targets for some dozens of
    /// runs.
    Slowdown,
    /// An added or removed suspect. Without it, targets are lost until the suspect is found again.
    Suspect,
}

/// Returns the kind of change between an entry's own values and those that were last read or
/// written, or `None` if the change does not justify a write.
///
/// An entry without ranked queues passes false for `owns_slowdowns`, since its slowdowns were
/// learned by other entries.
pub fn profile_update(
    known: Option<&LearnedProfile>,
    own: &LearnedProfile,
    owns_slowdowns: bool,
) -> Option<ProfileUpdate> {
    let empty = LearnedProfile::default();
    let before = known.unwrap_or(&empty);
    if kinds(before) != kinds(own) {
        return Some(ProfileUpdate::Suspect);
    }
    if !owns_slowdowns {
        return None;
    }
    let has_own = !own.slowdowns.is_empty() || !own.run_times.is_empty();
    let is_old = has_own && is_stale(before, own);
    let is_changed = has_new_slowdown(before, own) || has_new_times(before, own);
    (is_old || is_changed).then_some(ProfileUpdate::Slowdown)
}

fn kinds(profile: &LearnedProfile) -> BTreeSet<TaskKind> {
    let suspects = profile.suspects.iter();
    suspects.map(|suspect| suspect.kind).collect()
}

/// Returns whether the stored values are due for a refresh; false if none were ever written.
fn is_stale(before: &LearnedProfile, own: &LearnedProfile) -> bool {
    let age = own.written_ms.saturating_sub(before.written_ms);
    before.written_ms > 0 && Duration::from_millis(age) >= REFRESH_INTERVAL
}

fn has_new_slowdown(before: &LearnedProfile, own: &LearnedProfile) -> bool {
    let key = |slowdown: &LearnedSlowdown| (slowdown.queue.clone(), slowdown.class.clone());
    let known = before.slowdowns.iter();
    let known: BTreeMap<_, f64> = known
        .map(|slowdown| (key(slowdown), slowdown.log_ratio))
        .collect();
    let mut settled = own
        .slowdowns
        .iter()
        .filter(|slowdown| slowdown.runs >= MIN_RUNS);
    settled.any(|slowdown| is_different(known.get(&key(slowdown)), slowdown.log_ratio))
}

fn has_new_times(before: &LearnedProfile, own: &LearnedProfile) -> bool {
    let ratio = |times: &LearnedRunTimes| times.log_run_time - times.log_estimate;
    let known = before.run_times.iter();
    let known: BTreeMap<_, f64> = known
        .map(|times| (times.queue.clone(), ratio(times)))
        .collect();
    let mut settled = own.run_times.iter().filter(|times| times.steps >= MIN_RUNS);
    settled.any(|times| is_different(known.get(&times.queue), ratio(times)))
}

fn is_different(known: Option<&f64>, own: f64) -> bool {
    known.is_none_or(|known| (known - own).abs() > MAX_RATIO.ln())
}
