//! Bytes without end, as the answer of an endpoint or as a request, until the other side closes
//! the connection.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Time after which a flood ends by itself.
const TIME_MAX: Duration = Duration::from_secs(15);

/// Bytes after which a flood ends by itself.
const BYTES_MAX: usize = 1024 * 1024 * 1024;

/// Bytes of one write of a flood.
const BLOCK_BYTES: usize = 64 * 1024;

/// Longest wait of one write, so that a flood that its caller does not read ends as well.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// Most bytes of an answer to a flood that are kept.
const ANSWER_BYTES_MAX: u64 = 64 * 1024;

/// Requests of one endpoint that get a flood; later ones get no answer.
const FLOODS_MAX: usize = 64;

/// What is sent. In an answer, `{id}` stands for the request's id in both parts.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The bytes that come once.
    pub start: String,
    /// The bytes that come again and again.
    pub piece: String,
}

/// One answer or request without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flood {
    /// Bytes written, those in the buffers of the two sockets included.
    pub bytes: usize,
    /// Time from the first byte to the close by the other side; none while it goes on.
    pub closed_after: Option<Duration>,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    floods: Arc<Mutex<Vec<Flood>>>,
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port that names requests by the header `id_header`,
    /// which is written in lower case.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub fn start(id_header: &'static str, shape: Shape) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let floods = Arc::default();
        let all = Arc::clone(&floods);
        thread::spawn(move || {
            for stream in listener.incoming().flatten().take(FLOODS_MAX) {
                let (all, shape) = (Arc::clone(&all), shape.clone());
                // A request that is cut has no answer.
                thread::spawn(move || drop(answer(stream, id_header, &shape, &all)));
            }
        });
        Ok(Self { address, floods })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its answers so far.
    pub fn floods(&self) -> Vec<Flood> {
        lock(&self.floods).clone()
    }
}

fn lock(floods: &Mutex<Vec<Flood>>) -> MutexGuard<'_, Vec<Flood>> {
    floods.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads one request and answers it without end.
fn answer(
    mut stream: TcpStream,
    id_header: &str,
    shape: &Shape,
    all: &Mutex<Vec<Flood>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIME_MAX))?;
    stream.set_write_timeout(Some(WRITE_TIME))?;
    let id = read(&mut BufReader::new(stream.try_clone()?), id_header)?;
    let start = shape.start.replace("{id}", &id);
    let piece = shape.piece.replace("{id}", &id);
    let index = {
        let mut all = lock(all);
        all.push(Flood { bytes: 0, closed_after: None });
        all.len() - 1
    };
    pour(&mut stream, &start, &piece, |flood| lock(all)[index] = flood);
    Ok(())
}

/// Sends a request without end and returns how it went and what came back.
///
/// # Errors
///
/// Returns an error when no connection can be opened.
pub fn send(address: SocketAddr, shape: &Shape) -> io::Result<(Flood, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIME_MAX))?;
    stream.set_write_timeout(Some(WRITE_TIME))?;
    let reader = stream.try_clone()?;
    let reading = thread::spawn(move || {
        let mut answer = Vec::new();
        // A reset ends the answer as well.
        let _ = reader.take(ANSWER_BYTES_MAX).read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    });
    let mut flood = Flood { bytes: 0, closed_after: None };
    pour(&mut stream, &shape.start, &shape.piece, |now| flood = now);
    drop(stream.shutdown(Shutdown::Both));
    Ok((flood, reading.join().unwrap_or_default()))
}

/// Writes until the other side closes the connection, or until the bounds of a flood.
fn pour(stream: &mut TcpStream, start: &str, piece: &str, mut note: impl FnMut(Flood)) {
    let block = piece.repeat((BLOCK_BYTES / piece.len().max(1)).max(1));
    let mut flood = Flood { bytes: 0, closed_after: None };
    let started = Instant::now();
    let mut rest = start.as_bytes();
    while started.elapsed() < TIME_MAX && flood.bytes < BYTES_MAX {
        if rest.is_empty() {
            rest = block.as_bytes();
        }
        match stream.write(rest) {
            Ok(count) => {
                rest = &rest[count..];
                flood.bytes += count;
            }
            Err(error) if is_wait(&error) => {}
            Err(_) => flood.closed_after = Some(started.elapsed()),
        }
        note(flood);
        if flood.closed_after.is_some() {
            return;
        }
    }
}

fn is_wait(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), Interrupted | TimedOut | WouldBlock)
}

/// Reads a request with its body and returns its id.
fn read(reader: &mut BufReader<TcpStream>, id_header: &str) -> io::Result<String> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            if line.trim_end().is_empty() {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase() {
            name if name == id_header => id = value.to_owned(),
            name if name == "content-length" => length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    io::copy(&mut reader.by_ref().take(length), &mut io::sink())?;
    Ok(id)
}
