//! The decision cores of mastknot.
//!
//! Cores perform no input or output and read no clock. Each takes an event with the time at which
//! it is handled and returns effects: `step(now, event) -> effects`. The processes are thin shells
//! around the cores, and the tests, the benchmarks and embedding programs run the same code.
//!
//! - [`side`]: a target's slots, handed out as single-use credits
//! - [`dispatch`]: queues, fairness, placement and early refusal at an entry
//! - [`submission`]: the ledger that keeps a submission from starting twice
//! - [`roster`]: which entry holds a key, and whether it may accept new ones
//! - [`config`]: the configuration that every node has in force
//! - [`entry`]: all of an entry's parts behind one `step`
//!
//! For jobs of sized tasks under leases, on a platform with a store of its own:
//!
//! - [`job`]: jobs, and the messages between entries and sides
//! - [`scheduler`]: an entry, which owns jobs until they are answered
//! - [`agent`]: a side, which runs tasks on its target
//! - [`relay`]: transfer of the configuration between processes in parts
//! - [`profile`]: storage of learned values beyond the lifetime of the processes
//!
//! This crate has no feature flags.

pub mod admission;
pub mod agent;
pub mod config;
pub mod decision;
pub mod dispatch;
pub mod entry;
pub mod job;
pub mod message;
pub mod profile;
pub mod relay;
pub mod roster;
pub mod scheduler;
pub mod side;
pub mod submission;
pub mod types;
