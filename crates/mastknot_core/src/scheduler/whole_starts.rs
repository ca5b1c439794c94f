//! Jobs with time left begin with all their tasks, or wait.
//!
//! One that begins with a few of them is finished before others that have less time.

use std::time::Duration;

use super::active_job::ActiveJob;
use super::job_scheduler::JobScheduler;
use super::placing::Candidate;
use super::side_view::SideView;
use super::{JobScheduler as _, Outlook};
use crate::job::JobId;
use crate::types::Moment;
