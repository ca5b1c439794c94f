//! Limits of all connections of a server: who has to go when its places are taken, and what is counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mastknot_runtime::{
    CloseReason, HttpCounts, HttpServer, ResponseBody, ServerLimits, empty_response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Longest wait for something that has to come.
const PATIENCE: Duration = Duration::from_secs(30);

/// A server, whose handler answers `/held` only when it is released.
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
    if path != "/" {
        held.fetch_add(1, Ordering::SeqCst);
        releases.acquire().await.unwrap().forget();
    }
    empty_response(StatusCode::OK)
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

fn limits(connections: usize) -> ServerLimits {
    ServerLimits {
        connections,
        counts: HttpCounts::default().of_listener("test"),
        ..ServerLimits::default()
    }
}

const OK: &str = "HTTP/1.1 200 OK";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable";

#[tokio::test]
async fn the_oldest_silent_connection_makes_room_and_a_whole_request_does_not() {
    let server = TestServer::start(limits(2)).await;
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
    let server = TestServer::start(limits(2)).await;
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
async fn what_has_arrived_is_answered_when_the_server_stops() {
    let server = TestServer::start(limits(4)).await;
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
