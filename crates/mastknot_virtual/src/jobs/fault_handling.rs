//! Applies the scheduled faults.

use mastknot_core::scheduler::CallerId;

use super::action::Action;
use super::job_system::JobSystem;
use super::{Direction, JobFault};

impl JobSystem {
    pub(super) fn apply_fault(&mut self, fault: JobFault) {
        match fault {
            JobFault::KillEntry { entry, downtime } => {
                self.kill_entry(entry);
                self.schedule_in(downtime.as_micros() as u64, Action::StartEntry { entry });
            }
            JobFault::PauseEntry { entry, time } => {
                self.entries[entry].paused_until = self.now + time.as_micros() as u64;
                self.record_pause_for_callers(entry);
            }
            JobFault::SuspendEntry { entry, time } => {
                self.entries[entry].suspend(self.now, time);
                self.record_pause_for_callers(entry);
            }
            JobFault::SuspendSide { side, time } => {
                self.sides[side].suspend(self.now, time);
            }
            JobFault::KillSide { side, downtime } => {
                self.kill_side(side);
                self.schedule_in(downtime.as_micros() as u64, Action::StartSide { side });
            }
            JobFault::PauseSide { side, time } => {
                self.sides[side].paused_until = self.now + time.as_micros() as u64;
            }
            JobFault::PartitionLink {
                entry,
                side,
                direction,
                time,
            } => {
                let until = self.now + time.as_micros() as u64;
                let disconnection = self.disconnections.entry((entry, side)).or_default();
                if direction != Direction::ToEntry {
                    disconnection.to_side_until = until;
                }
                if direction != Direction::ToSide {
                    disconnection.to_entry_until = until;
                }
            }
            JobFault::ResetLink { entry, side } => self.reset_link(entry, side),
            JobFault::SilenceLink { entry, side } => self.silence_link(entry, side),
            JobFault::ThrottleEntry { entry, time } => {
                self.throttled_until[entry] = self.now + time.as_micros() as u64;
            }
            JobFault::CrashTarget {
                side,
                downtime,
                is_silent,
            } => {
                self.crash_target(side, is_silent);
                self.schedule_in(downtime.as_micros() as u64, Action::StartTarget { side });
            }
            JobFault::DelayReports { side, time } => {
                self.targets[side].reports_delayed_until = self.now + time.as_micros() as u64;
            }
            JobFault::Resize {
                side,
                cpu_millis,
                time,
            } => {
                self.resize_target(side, cpu_millis);
                self.schedule_in(time.as_micros() as u64, Action::ResizeOver { side });
            }
            JobFault::Misbehave {
                side,
                behaviour,
                time,
            } => {
                if let Some(target) = &mut self.targets[side].target {
                    target.behaviour = behaviour;
                }
                self.schedule_in(time.as_micros() as u64, Action::MisbehaviourOver { side });
            }
            JobFault::DelayRequests { entry, time } => self.delay_requests(entry, time),
            JobFault::BreakCallers { entry } => self.break_callers(entry),
            JobFault::StallEntry { entry, time } => self.stall_entry(entry, time),
        }
    }

    /// Records for all callers of an entry that a pause of the entry may have cost them their answers.
    pub(super) fn record_pause_for_callers(&mut self, entry: usize) {
        let affected = self
            .callers
            .values_mut()
            .filter(|caller| caller.entry == entry);
        affected.for_each(|caller| caller.may_miss_answer = true);
    }

    pub(super) fn kill_entry(&mut self, entry: usize) {
        let node = &mut self.entries[entry];
        node.core = None;
        node.incarnation += 1;
        let open = std::mem::take(&mut node.open);
        for session in open {
            self.drop_queue(session, true);
            let Some((_, side)) = self.sessions.get(&session).copied() else {
                continue;
            };
            let incarnation = self.sides[side].incarnation;
            let at = self.arrival(session, true);
            self.schedule.add(
                at,
                Action::LinkDownAtSide {
                    side,
                    incarnation,
                    session,
                },
            );
        }
        let lost = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.entry == entry);
        let lost: Vec<CallerId> = lost.map(|(caller, _)| *caller).collect();
        lost.into_iter().for_each(|caller| self.caller_lost(caller));
    }

    pub(super) fn kill_side(&mut self, side: usize) {
        let node = &mut self.sides[side];
        node.core = None;
        node.incarnation += 1;
        self.targets[side].open_probe = None;
        let open = std::mem::take(&mut self.sides[side].open);
        for session in open {
            self.drop_queue(session, false);
            let Some((entry, _)) = self.sessions.get(&session).copied() else {
                continue;
            };
            let incarnation = self.entries[entry].incarnation;
            let at = self.arrival(session, false);
            self.schedule.add(
                at,
                Action::LinkDownAtEntry {
                    entry,
                    incarnation,
                    session,
                },
            );
        }
    }
}
