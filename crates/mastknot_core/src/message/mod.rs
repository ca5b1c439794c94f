//! The typed messages that entries and sides exchange.

mod answer;
mod config_delta;
mod credit;
mod demand;
mod entry_message;
mod peer_message;
mod refusal;
mod side_message;
mod submission;
mod task_order;

pub use answer::{FailReason, Ran, Reply, SubmissionAnswer, TaskOutcome, TaskResult};
pub use config_delta::{ConfigDelta, ConfigItem, ResourceName};
pub use credit::{Credit, CreditSeq, SideCredit};
pub use demand::Demand;
pub use entry_message::EntryMessage;
pub use peer_message::{HandoverRecord, KeyStatus, PeerMessage};
pub use refusal::{Refusal, RefusalReason};
pub use side_message::{NotRunReason, RememberedTask, SideHello, SideMessage};
pub use submission::{Digest, Submission, SubmissionKind};
pub use task_order::TaskOrder;

/// Bytes of a task or of an answer, shared without copying.
pub type Payload = std::sync::Arc<[u8]>;
