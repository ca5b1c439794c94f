//! Jobs of sized tasks, and the messages with which entries and sides run them.

mod attempt_numbers;
mod config_document;
mod document_part;
mod end_of_run;
mod entry_news;
mod entry_order;
mod job_answer;
mod job_id;
mod job_request;
mod known_entry;
mod lease_terms;
mod queue_policy;
mod room;
mod run_id;
mod side_report;
mod step_spec;
mod target_profile;
mod waiting_need;

pub use attempt_numbers::AttemptNumbers;
pub use config_document::ConfigDocument;
pub use document_part::{DocumentPart, DocumentRequest};
pub use end_of_run::{EndOfRun, NotRunCause};
pub use entry_news::EntryNews;
pub use entry_order::{AdoptedRun, EntryOrder, EntryWelcome, StartOrder};
pub use job_answer::JobAnswer;
pub use job_id::{JobId, JobIdError};
pub use job_request::{JobRequest, JobRequestError};
pub use known_entry::{KnownEntry, directory_digest};
pub use lease_terms::LeaseTerms;
pub use queue_policy::QueuePolicy;
pub use room::Room;
pub use run_id::{RunId, TaskRef};
pub use side_report::{EndedRun, SideHello, SideReport, SideStatus, TargetCondition};
pub use step_spec::StepSpec;
pub use target_profile::{TargetId, TargetProfile};
pub use waiting_need::WaitingNeed;
