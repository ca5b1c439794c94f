//! Connections opened by callers. A connection whose other end has gone silent must not occupy its descriptor.

use std::time::Duration;

use mastknot_runtime::set_up_accepted;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn the_kernel_ends_a_connection_whose_other_end_is_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let _caller = TcpStream::connect(address).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    set_up_accepted(&accepted).unwrap();
    let socket = SockRef::from(&accepted);
    assert!(socket.keepalive().unwrap());
    let probed_after = socket.tcp_keepalive_time().unwrap();
    let given_up_after = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(probed_after <= Duration::from_secs(10));
    assert!(given_up_after <= Duration::from_secs(30));
    // After a network interruption of some seconds, a finished answer must still arrive.
    assert!(given_up_after >= Duration::from_secs(20));
}
