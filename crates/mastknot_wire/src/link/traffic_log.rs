use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use super::LinkStats;
use crate::frame::MessageKind;

/// Interval between two log lines. Metrics are usually collected as often.
const INTERVAL: Duration = Duration::from_secs(5);

/// Logs periodically how many bytes the links have carried so far, for operators who see only the logs.
///
/// Runs until its runtime ends.
pub async fn log_link_traffic(stats: Arc<LinkStats>) {
    loop {
        sleep(INTERVAL).await;
        let sent = MessageKind::ALL.map(|kind| stats.bytes_sent(kind));
        let received = MessageKind::ALL.map(|kind| stats.bytes_received(kind));
        let [work_sent, control_sent, document_sent] = sent;
        let [work_received, control_received, document_received] = received;
        info!(work_sent, control_sent, document_sent, work_received, control_received,
            document_received; "link bytes so far");
    }
}
