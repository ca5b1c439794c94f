use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Member, MemberId};
use crate::types::SubmissionKey;

/// Members of an earlier version, as kept in later versions.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct PastMembers {
    /// The earlier version.
    pub version: u64,
    /// Members of the earlier version.
    pub members: Vec<MemberId>,
    /// Time at which the next version was proposed, by the proposer's wall clock, in milliseconds.
    pub replaced_at_ms: u64,
}

/// The entries of the system at one version, as the platform's store keeps them.
///
/// # Examples
///
/// ```
/// use mastknot_core::roster::{Member, MemberId, Roster};
/// use mastknot_core::types::{Incarnation, SubmissionKey, WallTime};
///
/// let member = |name: &str| Member {
///     id: MemberId { name: name.into(), incarnation: Incarnation(1) },
///     address: "127.0.0.1:1".into(),
///     hall: "windhoek-1".into(),
/// };
/// let roster = Roster::first(member("entry-1")).with(member("entry-2"), 0);
/// let key = SubmissionKey::new(WallTime::from_millis(1), 7);
/// let holder = roster.holder(key).unwrap();
/// let smaller = roster.without(&holder.id, 0);
/// assert_ne!(smaller.holder(key).unwrap().id, holder.id);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the roster; it rises by one with each change.
    pub version: u64,
    /// Members, sorted by name.
    pub members: Vec<Member>,
    /// Earlier versions under which keys that are still in use may have been held, oldest first.
    pub past: Vec<PastMembers>,
}

impl Roster {
    /// Returns the first version, with one member.
    pub fn first(member: Member) -> Self {
        Self {
            version: 1,
            members: vec![member],
            past: Vec::new(),
        }
    }

    /// Returns the next version with `member` in place of any earlier incarnation of the same
    /// entry.
    pub fn with(&self, member: Member, wall_ms: u64) -> Self {
        let mut next = self.successor(wall_ms);
        next.members.retain(|other| other.id.name != member.id.name);
        next.members.push(member);
        next.members.sort_by(|a, b| a.id.cmp(&b.id));
        next
    }

    /// Returns the next version without the member `id`.
    pub fn without(&self, id: &MemberId, wall_ms: u64) -> Self {
        let mut next = self.successor(wall_ms);
        next.members.retain(|member| member.id != *id);
        next
    }

    fn successor(&self, wall_ms: u64) -> Self {
        let mut next = self.clone();
        next.version += 1;
        next.past.push(PastMembers {
            version: self.version,
            members: self.member_ids().cloned().collect(),
            replaced_at_ms: wall_ms,
        });
        next
    }

    /// Removes the earlier versions that were replaced before `wall_ms`.
    pub fn forget_before(mut self, wall_ms: u64) -> Self {
        self.past.retain(|past| past.replaced_at_ms >= wall_ms);
        self
    }

    /// Returns the names and incarnations of the members.
    pub fn member_ids(&self) -> impl Iterator<Item = &MemberId> {
        self.members.iter().map(|member| &member.id)
    }

    /// Returns the member `id`.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Returns the member that holds a key: the one with the highest rendezvous hash.
    pub fn holder(&self, key: SubmissionKey) -> Option<&Member> {
        self.members
            .iter()
            .max_by_key(|member| rendezvous(key, &member.id))
    }
}

impl PastMembers {
    /// Returns the member that held a key under this version.
    pub fn holder(&self, key: SubmissionKey) -> Option<&MemberId> {
        self.members.iter().max_by_key(|id| rendezvous(key, id))
    }
}

fn rendezvous(key: SubmissionKey, id: &MemberId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&key.to_bytes());
    hasher.update(&id.incarnation.0.to_be_bytes());
    hasher.update(id.name.as_str().as_bytes());
    hasher.digest()
}
