//! Callers that always have bytes ready, beside other work of the process. Guards against callers that keep leases,
//! heartbeats and readiness waiting.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::StatusCode;
use mastknot_runtime::{HttpServer, empty_response};
use tokio::net::TcpListener;
use tokio::task::yield_now;

const CALLERS: usize = 20;
/// Number of requests that each caller sends without waiting for answers, each about as large as one read.
const REQUESTS: usize = 50;
/// Length of each request, in bytes.
const REQUEST_BYTES: usize = 4_000;
/// Maximum number of requests that are served between two turns of other work: those of two turns of reads, as other
/// work may come just before one and just after the next.
const SERVED_BETWEEN: usize = 32;

#[tokio::test]
async fn other_work_has_its_turn_after_a_few_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    let server = HttpServer::start(listener, move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        async { empty_response(StatusCode::OK) }
    });
    let server = server.unwrap();
    let address = server.address();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| std::thread::spawn(move || send_requests(address)))
        .collect();
    let mut most = 0;
    let mut before = 0;
    while before < CALLERS * REQUESTS {
        yield_now().await;
        let now = served.load(Ordering::SeqCst);
        most = most.max(now - before);
        before = now;
    }
    for caller in callers {
        caller.join().unwrap();
    }
    assert!(most <= SERVED_BETWEEN, "{most} requests in one turn");
}

fn send_requests(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let start = "GET / HTTP/1.1\r\nhost: h\r\nx: ";
    let pad = "p".repeat(REQUEST_BYTES - start.len() - 4);
    let request = format!("{start}{pad}\r\n\r\n");
    for _ in 0..REQUESTS {
        stream.write_all(request.as_bytes()).unwrap();
    }
    stream
}
