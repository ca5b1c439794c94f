//! Members of the roster: the entry dials the other members and sends their addresses to sides.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::message::{Context, Message};
use log::info;
use mastknot_core::message::EntryMessage;
use mastknot_core::roster::{MemberId, Roster};
use tokio::sync::watch;

use super::EntryActor;
use super::messages::GetHello;
use crate::peers::{Hello, keep_dialing};

/// Dialing task of one address.
pub(super) struct Dialed {
    /// Member that the roster lists at the address; `None` if the roster lists none.
    expected: watch::Sender<Option<MemberId>>,
    task: tokio::task::AbortHandle,
}

impl Message<GetHello> for EntryActor {
    type Reply = Hello;

    async fn handle(&mut self, _: GetHello, _: &mut Context<Self, Self::Reply>) -> Hello {
        Hello {
            member: self.core.membership().me().clone(),
            roster_version: self.core.membership().version(),
            config_version: self.core.config().version(),
            entries: self.entry_addresses(),
        }
    }
}

impl EntryActor {
    /// Dials the members of a newly adopted roster and sends the members' addresses to all sides.
    pub(super) fn apply_roster(&mut self, roster: &Roster) {
        let names: Vec<&str> = roster.member_ids().map(|id| id.name.as_str()).collect();
        info!(version = roster.version, members:? = names; "roster in force");
        self.dial_members(roster);
        self.welcome_sides();
    }

    /// Dials the members of a roster and ends the dialing of every address that is neither in the
    /// roster nor a seed.
    fn dial_members(&mut self, roster: &Roster) {
        let me = self.core.membership().me().id.clone();
        let mut wanted: Vec<SocketAddr> = self.seeds.clone();
        for member in roster.members.iter().filter(|member| member.id != me) {
            if let Ok(address) = member.address.parse() {
                wanted.push(address);
                self.dial(address, Some(member.id.clone()));
            }
        }
        self.dialed.retain(|address, dialed| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                dialed.task.abort();
            }
            is_wanted
        });
    }

    /// Sends the addresses of all entries to every linked side.
    fn welcome_sides(&self) {
        let me = self.core.membership().me().id.clone();
        let welcome = EntryMessage::Welcome {
            entry: me.name,
            incarnation: me.incarnation,
            entries: self.entry_addresses(),
        };
        for link in self.sides.values() {
            let _ = link.sender.send(welcome.clone());
        }
    }

    /// Starts the dialing of an address, or updates the member that is expected there.
    pub(super) fn dial(&mut self, address: SocketAddr, expected: Option<MemberId>) {
        if let Some(dialed) = self.dialed.get(&address) {
            dialed.expected.send_replace(expected);
            return;
        }
        let (expected, expected_receiver) = watch::channel(expected);
        let me = self.me.clone();
        let stats = Arc::clone(&self.shared.stats);
        let dialing = keep_dialing(me, address, expected_receiver, stats);
        let task = self.dialing.spawn(dialing);
        self.dialed.insert(address, Dialed { expected, task });
    }

    /// Returns the addresses of all members of the roster and of this entry.
    fn entry_addresses(&self) -> Vec<String> {
        let me = self.core.membership().me();
        let members = self
            .core
            .membership()
            .roster()
            .map(|roster| &roster.members);
        let mut addresses: Vec<String> = members
            .into_iter()
            .flatten()
            .map(|member| member.address.clone())
            .collect();
        if !addresses.contains(&me.address) {
            addresses.push(me.address.clone());
        }
        addresses
    }
}
