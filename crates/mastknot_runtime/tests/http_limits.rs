//! Limits of all connections of a server: who has to go when its places or its memory are spent, and what is counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{
    BodyError, CloseReason, HttpCounts, HttpServer, RequestAccount, ResponseBody, ServerLimits,
    empty_response, read_request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Longest wait for something that has to come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Memory of a job that the handler of the tests holds for `/job`, in bytes.
const JOB_BYTES: usize = 200_000;

/// A server, whose handler answers `/held` and `/job` only when it is released.
struct TestServer {
    server: HttpServer,
    counts: HttpCounts,
    releases: Arc<Semaphore>,
    /// Number of requests that the handler has held so far.
    held: Arc<AtomicUsize>,
}

impl TestServer {
    async fn start(limits: ServerLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let counts = limits.counts.clone();
        let releases = Arc::new(Semaphore::new(0));
        let held = Arc::new(AtomicUsize::new(0));
        let parts = (Arc::clone(&releases), Arc::clone(&held));
        let server = HttpServer::start_with(listener, limits, move |request| {
            let (releases, held) = parts.clone();
            answer(request, releases, held)
        });
        Self {
            server: server.unwrap(),
            counts,
            releases,
            held,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address()).await.unwrap()
    }

    async fn send(&self, request: &str) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }

    /// Waits until the server's counts show something.
    async fn wait_until(&self, shown: impl Fn(&Self) -> bool) {
        let waited = async {
            while !shown(self) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waited).await.unwrap();
    }

    async fn wait_for(&self, reason: CloseReason) {
        self.wait_until(|server| server.counts.closed(reason) > 0)
            .await;
    }

    /// Waits until the handler holds this many requests.
    async fn wait_until_held(&self, requests: usize) {
        self.wait_until(|server| server.held.load(Ordering::SeqCst) == requests)
            .await;
    }

    async fn wait_until_open(&self, connections: usize) {
        self.wait_until(|server| server.counts.open_connections() == connections)
            .await;
    }
}

async fn answer(
    request: Request<Incoming>,
    releases: Arc<Semaphore>,
    held: Arc<AtomicUsize>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let account = RequestAccount::of(&request).unwrap();
    let bytes = if path == "/job" { JOB_BYTES } else { 0 };
    let status = match read_request(request, 1_000_000, PATIENCE).await {
        Ok(_) => StatusCode::OK,
        Err(BodyError::NoMemory) => StatusCode::SERVICE_UNAVAILABLE,
        Err(_) => StatusCode::BAD_REQUEST,
    };
    let Ok(_charged) = account.charge(bytes) else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    if path != "/" {
        held.fetch_add(1, Ordering::SeqCst);
        releases.acquire().await.unwrap().forget();
    }
    empty_response(status)
}

/// Returns the status line of the next answer; empty if the connection is closed.
async fn answer_of(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = async {
        while !answer.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => answer.push(byte),
                Err(_) => return,
            }
        }
    };
    tokio::time::timeout(PATIENCE, read).await.unwrap();
    let text = String::from_utf8(answer).unwrap();
    text.lines().next().unwrap_or_default().to_owned()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

fn limits(connections: usize, memory_bytes: usize) -> ServerLimits {
    ServerLimits {
        connections,
        memory_bytes,
        counts: HttpCounts::default().of_listener("test"),
        ..ServerLimits::default()
    }
}

const OK: &str = "HTTP/1.1 200 OK";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable";

#[tokio::test]
async fn the_oldest_silent_connection_makes_room_and_a_whole_request_does_not() {
    let server = TestServer::start(limits(2, 10_000_000)).await;
    let mut whole = server.send(&get("/held")).await;
    server.wait_until_held(1).await;
    let mut silent = server.connect().await;
    server.wait_until_open(2).await;
    let mut late = server.send(&get("/")).await;
    assert_eq!(answer_of(&mut late).await, OK);
    assert_eq!(answer_of(&mut silent).await, UNAVAILABLE);
    server.releases.add_permits(1);
    assert_eq!(answer_of(&mut whole).await, OK);
    assert_eq!(server.counts.closed(CloseReason::RoomForOthers), 1);
}

#[tokio::test]
async fn a_connection_is_refused_where_all_others_wait_for_answers() {
    let server = TestServer::start(limits(2, 10_000_000)).await;
    let mut whole = [
        server.send(&get("/held")).await,
        server.send(&get("/held")).await,
    ];
    server.wait_until_held(2).await;
    let mut refused = server.connect().await;
    assert_eq!(answer_of(&mut refused).await, UNAVAILABLE);
    server.wait_for(CloseReason::NoPlace).await;
    server.releases.add_permits(2);
    for stream in &mut whole {
        assert_eq!(answer_of(stream).await, OK);
    }
}

#[tokio::test]
async fn the_body_that_held_the_most_for_the_longest_time_makes_room_and_is_refused() {
    let server = TestServer::start(limits(100, 900_000)).await;
    let head = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 500000\r\n\r\n";
    let mut stalled = server.send(&(head.to_owned() + &" ".repeat(499_900))).await;
    let has_arrived = |server: &TestServer| server.counts.held_bytes() > 499_900;
    server.wait_until(has_arrived).await;
    let mut whole = server.send(&(head.to_owned() + &" ".repeat(500_000))).await;
    assert_eq!(answer_of(&mut whole).await, OK);
    assert_eq!(answer_of(&mut stalled).await, UNAVAILABLE);
    assert_eq!(server.counts.closed(CloseReason::RoomForOthers), 1);
}

#[tokio::test]
async fn a_request_is_refused_where_whole_ones_hold_the_memory_and_served_afterwards() {
    let server = TestServer::start(limits(100, 400_000)).await;
    let mut holding = server.send(&get("/job")).await;
    server.wait_until_held(1).await;
    let mut refused = server.send(&get("/job")).await;
    assert_eq!(answer_of(&mut refused).await, UNAVAILABLE);
    server.wait_for(CloseReason::NoMemory).await;
    server.releases.add_permits(2);
    assert_eq!(answer_of(&mut holding).await, OK);
    let mut later = server.send(&get("/job")).await;
    assert_eq!(answer_of(&mut later).await, OK);
}

#[tokio::test]
async fn what_ended_connections_held_is_free_again() {
    let server = TestServer::start(limits(4, 900_000)).await;
    let head = "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 400000\r\n\r\n";
    let body = " ".repeat(400_000);
    for number in 0..20 {
        let part = if number % 2 == 0 { 400_000 } else { 300_000 };
        let mut stream = server.send(&(head.to_owned() + &body[..part])).await;
        if part == 400_000 {
            assert_eq!(answer_of(&mut stream).await, OK, "request {number}");
        }
    }
    assert_eq!(server.counts.closed(CloseReason::NoMemory), 0);
    assert_eq!(server.counts.closed(CloseReason::NoPlace), 0);
}

#[tokio::test]
async fn what_has_arrived_is_answered_when_the_server_stops() {
    let server = TestServer::start(limits(4, 900_000)).await;
    let mut held = server.send(&get("/held")).await;
    let mut silent = server.connect().await;
    server.wait_until_open(2).await;
    server.wait_until_held(1).await;
    let releases = Arc::clone(&server.releases);
    let stopping = tokio::spawn(server.server.stop());
    assert_eq!(answer_of(&mut silent).await, "");
    releases.add_permits(1);
    assert_eq!(answer_of(&mut held).await, OK);
    tokio::time::timeout(PATIENCE, stopping)
        .await
        .unwrap()
        .unwrap();
}
