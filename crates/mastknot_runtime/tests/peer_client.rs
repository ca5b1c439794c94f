//! Client of a peer whose pooled connections go silent without a reset while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::{BodyExt, Full};
use mastknot_runtime::PeerClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Number of pooled connections that go silent.
const POOLED: usize = 5;
/// Maximum time for a call, far more than an answer over loopback takes.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Peer whose first [`POOLED`] connections go silent once `are_silent` is set.
struct Peer {
    address: SocketAddr,
    opened: Arc<AtomicUsize>,
    are_silent: Arc<AtomicBool>,
}

impl Peer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let opened = Arc::new(AtomicUsize::new(0));
        let are_silent = Arc::new(AtomicBool::new(false));
        let (count, silence) = (Arc::clone(&opened), Arc::clone(&are_silent));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let is_old = count.fetch_add(1, Ordering::SeqCst) < POOLED;
                tokio::spawn(serve(stream, is_old, Arc::clone(&silence)));
            }
        });
        Self {
            address,
            opened,
            are_silent,
        }
    }
}

async fn serve(mut stream: TcpStream, is_old: bool, are_silent: Arc<AtomicBool>) {
    let mut head = [0_u8; 1024];
    while let Ok(1..) = stream.read(&mut head).await {
        if is_old && are_silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        // All calls of a round are sent before the first one is answered, so that each opens its own connection.
        tokio::time::sleep(Duration::from_millis(30)).await;
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Makes a call; returns whether it was answered.
async fn call(client: &PeerClient, peer: &Peer) -> bool {
    let request = Request::get(format!("http://{}/", peer.address));
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let answer = async {
        let response = client.client().request(request).await.unwrap();
        response.into_body().collect().await.unwrap();
    };
    let is_answered = timeout(CALL_TIMEOUT, answer).await.is_ok();
    match is_answered {
        true => client.record_answered(),
        false => client.record_unanswered(),
    }
    is_answered
}

#[tokio::test]
async fn a_call_does_not_wait_behind_more_than_two_silent_connections() {
    let peer = Peer::start().await;
    let client = PeerClient::new(Duration::from_secs(1));
    let calls = (0..POOLED).map(|_| call(&client, &peer));
    assert!(join_all(calls).await.into_iter().all(|answered| answered));
    assert_eq!(peer.opened.load(Ordering::SeqCst), POOLED);
    peer.are_silent.store(true, Ordering::SeqCst);
    let mut answers = Vec::new();
    for _ in 0..3 {
        answers.push(call(&client, &peer).await);
    }
    assert_eq!(answers, [false, false, true]);
}

#[tokio::test]
async fn one_call_without_an_answer_costs_no_connection() {
    let peer = Peer::start().await;
    let client = PeerClient::new(Duration::from_secs(1));
    assert!(call(&client, &peer).await);
    client.record_unanswered();
    assert!(call(&client, &peer).await);
    assert_eq!(peer.opened.load(Ordering::SeqCst), 1);
}
