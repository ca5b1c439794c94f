//! Coordination logic of mastknot, a dispatcher for sub-second tasks, for use inside other
//! programs.
//!
//! No part performs input or output or reads a clock: the program calls `step(now, event)` and
//! carries out the returned effects. See [`EntryCore`] and [`SideCore`] for the two processes. The
//! smaller parts can be used on their own: [`FairQueue`], [`RetryBudget`], [`Ledger`],
//! [`Membership`], [`ConfigReplica`], [`ConfigWrite`].
//!
//! This crate has no feature flags.

pub use mastknot_core::config::{Applied, ConfigReplica, ConfigWrite, Profile, Service, Team};
pub use mastknot_core::decision::{Decision, DecisionLog, Rule};
pub use mastknot_core::dispatch::{Dispatcher, FairQueue, JobOrder, RetryBudget};
pub use mastknot_core::entry::{CallerRequest, EntryCore, EntryEffect, EntryEvent, EntrySettings};
pub use mastknot_core::message;
pub use mastknot_core::roster::{Member, MemberId, Membership, MembershipSettings, Roster};
pub use mastknot_core::side::{SideCore, SideEffect, SideEvent, SideSettings};
pub use mastknot_core::submission::{Ledger, LedgerSettings, Lookup};
pub use mastknot_core::types;
