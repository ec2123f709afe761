//! Tests of the relay, on which the partition tests rest.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use wasabi_testkit::relay::{Direction, Relay};

fn echo() -> SocketAddr {
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

fn answers(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    stream.write_all(b"x").unwrap();
    stream.read(&mut [0]).is_ok_and(|count| count == 1)
}

/// Guards against a cut that closes connections, which would tell the ends of the partition.
#[test]
fn a_cut_silences_open_connections_for_good() {
    for direction in [Direction::Forward, Direction::Backward] {
        let relay = Relay::start(echo()).unwrap();
        let mut stream = TcpStream::connect(relay.address()).unwrap();
        assert!(answers(&mut stream));
        relay.cut(direction);
        assert!(!answers(&mut stream));
        relay.restore();
        assert!(!answers(&mut stream), "bytes of {direction:?} are missing");
        let mut fresh = TcpStream::connect(relay.address()).unwrap();
        assert!(answers(&mut fresh));
    }
}
