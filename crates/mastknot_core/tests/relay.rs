//! Transfer of the configuration between two processes: in parts, from sources that disconnect, and with versions
//! that are replaced meanwhile.

use std::time::Duration;

use mastknot_core::job::{ConfigDocument, DocumentPart, DocumentRequest};
use mastknot_core::relay::{DocumentFetch, DocumentServer, LinkRate};
use mastknot_core::types::Moment;

/// 2 Mbit/s, in bytes per second.
const LIMITED_LINK: LinkRate = LinkRate::from_bytes_per_s(250_000);
const NO_TIMEOUT: Duration = Duration::ZERO;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn document(version: u64, length: usize) -> ConfigDocument {
    let bytes = (0..length).map(|position| (position as u64 * 7 + version) as u8);
    ConfigDocument {
        version,
        bytes: bytes.collect::<Vec<u8>>().into(),
    }
}

fn serve(
    server: &mut DocumentServer<u8>,
    now: Moment,
    reader: u8,
    request: DocumentRequest,
    newest: &ConfigDocument,
) -> DocumentPart {
    server.request(reader, request);
    let (to, part) = server
        .poll(now, Some(newest), LIMITED_LINK)
        .expect("a part");
    assert_eq!(to, reader);
    part
}

#[test]
fn a_document_comes_in_parts_of_four_milliseconds_of_the_link() {
    let newest = document(3, 10_500);
    let mut server = DocumentServer::default();
    let mut fetch = DocumentFetch::new(0);
    fetch.record_offer(1_u8, 3);
    let mut now = at(1_000);
    let mut parts = 0;
    let received = loop {
        let (source, request) = fetch
            .poll(now, 2, NO_TIMEOUT, LIMITED_LINK)
            .expect("a request");
        let part = serve(&mut server, now, 9, request, &newest);
        assert_eq!(part.bytes.len().min(1_000), part.bytes.len());
        parts += 1;
        if let Some(received) = fetch.receive_part(source, part) {
            break received;
        }
        now = now + Duration::from_millis(8);
    };
    assert_eq!(received, newest);
    assert_eq!(parts, 11);
    assert_eq!(
        fetch.poll(now, 2, NO_TIMEOUT, LIMITED_LINK),
        None,
        "the document is complete"
    );
}

#[test]
fn parts_use_half_of_the_link_for_any_number_of_readers() {
    let newest = document(1, 100_000);
    let mut server = DocumentServer::default();
    let request = DocumentRequest {
        version: 1,
        offset: 0,
        limit: u32::MAX,
    };
    let mut sent = 0;
    for ms in 0..1_000 {
        for reader in 0..8_u8 {
            server.request(reader, request);
        }
        if let Some((_, part)) = server.poll(at(ms), Some(&newest), LIMITED_LINK) {
            sent += part.bytes.len();
        }
    }
    assert!(
        (100_000..=126_000).contains(&sent),
        "{sent} bytes in a second"
    );
}

#[test]
fn the_reader_with_most_of_a_document_is_served_first() {
    let newest = document(1, 10_000);
    let mut server = DocumentServer::default();
    let request = |offset| DocumentRequest {
        version: 1,
        offset,
        limit: 1_000,
    };
    server.request(1_u8, request(0));
    server.request(2_u8, request(5_000));
    let (first, _) = server
        .poll(at(0), Some(&newest), LIMITED_LINK)
        .expect("a part");
    assert_eq!(first, 2);
}

#[test]
fn a_version_in_transfer_is_finished_although_a_newer_one_arrives() {
    let (older, newer) = (document(1, 2_500), document(2, 2_500));
    let mut server = DocumentServer::default();
    let mut fetch = DocumentFetch::new(0);
    fetch.record_offer(1_u8, 1);
    let (_, request) = fetch
        .poll(at(0), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    assert_eq!(
        fetch.receive_part(1, serve(&mut server, at(0), 9, request, &older)),
        None
    );
    for step in 1..3 {
        let now = at(step * 10);
        let (_, request) = fetch
            .poll(now, 0, NO_TIMEOUT, LIMITED_LINK)
            .expect("a request");
        let received = fetch.receive_part(1, serve(&mut server, now, 9, request, &newer));
        assert_eq!(received, (step == 2).then(|| older.clone()));
    }
}

#[test]
fn a_source_with_a_newer_version_sends_it_from_the_beginning() {
    let newer = document(5, 800);
    let mut server = DocumentServer::default();
    let mut fetch = DocumentFetch::new(0);
    fetch.record_offer(1_u8, 4);
    let (_, request) = fetch
        .poll(at(0), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    assert_eq!(request.version, 4);
    let received = fetch.receive_part(1, serve(&mut server, at(0), 9, request, &newer));
    assert_eq!(received, Some(newer));
}

#[test]
fn a_silent_source_is_replaced_and_the_received_parts_are_kept() {
    let newest = document(3, 2_500);
    let mut server = DocumentServer::default();
    let mut fetch = DocumentFetch::new(0);
    fetch.record_offer(1_u8, 3);
    fetch.record_offer(2_u8, 3);
    let (first, request) = fetch
        .poll(at(0), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    fetch.receive_part(first, serve(&mut server, at(0), 9, request, &newest));
    let (same, _) = fetch
        .poll(at(5), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    assert_eq!(same, first);
    assert_eq!(
        fetch.poll(at(300), 0, NO_TIMEOUT, LIMITED_LINK),
        None,
        "the answer may still come"
    );
    let (other, request) = fetch
        .poll(at(500), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    assert_ne!(other, first);
    assert_eq!(request.offset, 1_000);
}

#[test]
fn a_disconnected_source_is_replaced_at_once() {
    let mut fetch = DocumentFetch::new(0);
    fetch.record_offer(1_u8, 3);
    fetch.record_offer(2_u8, 3);
    let (first, _) = fetch
        .poll(at(0), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    fetch.forget(first);
    let (other, _) = fetch
        .poll(at(1), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    assert_ne!(other, first);
}

#[test]
fn other_processes_are_asked_only_after_the_store_timeout() {
    let mut fetch = DocumentFetch::new(0);
    let timeout = Duration::from_millis(500);
    fetch.record_offer(1_u8, 3);
    assert_eq!(fetch.poll(at(100), 2, timeout, LIMITED_LINK), None);
    assert_eq!(fetch.next_tick(timeout), Some(at(600)));
    assert_eq!(
        fetch.poll(at(400), 3, timeout, LIMITED_LINK),
        None,
        "the store has already delivered this version"
    );
    assert_eq!(fetch.next_tick(timeout), None);
}

#[test]
fn a_document_that_is_too_long_is_rejected() {
    let mut fetch = DocumentFetch::new(0);
    fetch.record_offer(1_u8, 3);
    fetch
        .poll(at(0), 0, NO_TIMEOUT, LIMITED_LINK)
        .expect("a request");
    let part = DocumentPart {
        version: 3,
        offset: 0,
        total: u32::MAX,
        bytes: vec![0; 512].into(),
    };
    assert_eq!(fetch.receive_part(1, part), None);
    assert_eq!(
        fetch.poll(at(10), 0, NO_TIMEOUT, LIMITED_LINK),
        None,
        "the document is not requested again at once"
    );
}
