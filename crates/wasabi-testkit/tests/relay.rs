//! Tests of the relay, on which the network partition tests of other crates depend.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use wasabi_testkit::relay::{Direction, Relay};

fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read(&mut byte).is_ok_and(|count| count == 1) {
                    stream.write_all(&byte).unwrap();
                }
            });
        }
    });
    address
}

fn echoes(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    stream.write_all(b"x").unwrap();
    stream.read(&mut [0]).is_ok_and(|count| count == 1)
}

/// Guards against a cut that closes connections, which would reveal the partition to both peers.
#[test]
fn a_cut_silences_open_connections_for_good() {
    for direction in [Direction::Forward, Direction::Backward] {
        let relay = Relay::start(start_echo_server()).unwrap();
        let mut stream = TcpStream::connect(relay.address()).unwrap();
        assert!(echoes(&mut stream));
        relay.cut(direction);
        assert!(!echoes(&mut stream));
        relay.restore();
        assert!(!echoes(&mut stream), "a connection that lost {direction:?} bytes works again");
        let mut fresh = TcpStream::connect(relay.address()).unwrap();
        assert!(echoes(&mut fresh));
    }
}
