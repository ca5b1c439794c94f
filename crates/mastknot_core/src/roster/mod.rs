//! Assignment of keys to entries, and the authority of an entry to accept new keys.

mod acceptance;
mod accepting;
mod adopting;
mod member;
mod membership;
mod membership_effect;
mod membership_settings;
mod past_roster;
mod peer_view;
mod peers;
mod proposing;
mod renewing;
#[allow(clippy::module_inception)]
mod roster;

pub use acceptance::Acceptance;
pub use member::{Member, MemberId};
pub use membership::Membership;
pub use membership_effect::{MembershipEffect, RosterWrite, WriteDecision};
pub use membership_settings::MembershipSettings;
pub use roster::{PastMembers, Roster};
