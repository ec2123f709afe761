//! Unbounded streams of bytes, as the response of an endpoint or as a request, until the peer closes
//! the connection.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Maximum duration of a flood, and timeout of reads.
const FLOOD_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum length of a flood, in bytes.
const FLOOD_BYTES_MAX: usize = 1024 * 1024 * 1024;

/// Approximate length of the block of pieces that is written repeatedly.
const BLOCK_BYTES: usize = 64 * 1024;

/// Timeout of one write, so that a flood ends in time even if its peer does not read it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of bytes read of the response to a flood.
const ANSWER_BYTES_MAX: u64 = 64 * 1024;

/// Maximum number of connections that an endpoint answers; later ones are not accepted.
const FLOODS_MAX: usize = 64;

/// Content of a flood. In a response, `{id}` is replaced by the request's id in both fields.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Text that is sent once, at the start.
    pub start: String,
    /// Text that is then sent repeatedly.
    pub piece: String,
}

/// Progress of an unbounded response or request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flood {
    /// Bytes written, including those that the peer has not read from the socket buffers.
    pub bytes: usize,
    /// Time from the start until the peer closed the connection; `None` if it has not closed it.
    pub closed_after: Option<Duration>,
}

/// A running endpoint that answers each request with a flood.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    floods: Arc<Mutex<Vec<Flood>>>,
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port that takes request ids from the header
    /// `id_header`, given in lower case.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(id_header: &'static str, shape: Shape) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let floods = Arc::default();
        let log = Arc::clone(&floods);
        thread::spawn(move || {
            for stream in listener.incoming().flatten().take(FLOODS_MAX) {
                let (log, shape) = (Arc::clone(&log), shape.clone());
                // An incomplete request gets no response.
                thread::spawn(move || drop(answer(stream, id_header, &shape, &log)));
            }
        });
        Ok(Self { address, floods })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the floods that it has sent so far.
    pub fn floods(&self) -> Vec<Flood> {
        lock(&self.floods).clone()
    }
}

fn lock(floods: &Mutex<Vec<Flood>>) -> MutexGuard<'_, Vec<Flood>> {
    floods.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads a request and answers it with a flood.
fn answer(
    mut stream: TcpStream,
    id_header: &str,
    shape: &Shape,
    log: &Mutex<Vec<Flood>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(FLOOD_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let id = read(&mut BufReader::new(stream.try_clone()?), id_header)?;
    let start = shape.start.replace("{id}", &id);
    let piece = shape.piece.replace("{id}", &id);
    let index = {
        let mut log = lock(log);
        log.push(Flood { bytes: 0, closed_after: None });
        log.len() - 1
    };
    write_flood(&mut stream, &start, &piece, |flood| lock(log)[index] = flood);
    Ok(())
}

/// Sends an unbounded request and returns its progress and the response.
///
/// # Errors
///
/// Returns an error if no connection can be opened.
pub fn send(address: SocketAddr, shape: &Shape) -> io::Result<(Flood, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(FLOOD_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let reader = stream.try_clone()?;
    let reading = thread::spawn(move || {
        let mut answer = Vec::new();
        // A connection reset also ends the response.
        let _ = reader.take(ANSWER_BYTES_MAX).read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    });
    let mut flood = Flood { bytes: 0, closed_after: None };
    write_flood(&mut stream, &shape.start, &shape.piece, |now| flood = now);
    drop(stream.shutdown(Shutdown::Both));
    Ok((flood, reading.join().unwrap_or_default()))
}

/// Writes until the peer closes the connection, or up to the maximum duration or length.
fn write_flood(stream: &mut TcpStream, start: &str, piece: &str, mut record: impl FnMut(Flood)) {
    let block = piece.repeat((BLOCK_BYTES / piece.len().max(1)).max(1));
    let mut flood = Flood { bytes: 0, closed_after: None };
    let started = Instant::now();
    let mut rest = start.as_bytes();
    while started.elapsed() < FLOOD_TIMEOUT && flood.bytes < FLOOD_BYTES_MAX {
        if rest.is_empty() {
            rest = block.as_bytes();
        }
        match stream.write(rest) {
            Ok(count) => {
                rest = &rest[count..];
                flood.bytes += count;
            }
            Err(error) if is_retryable(&error) => {}
            Err(_) => flood.closed_after = Some(started.elapsed()),
        }
        record(flood);
        if flood.closed_after.is_some() {
            return;
        }
    }
}

fn is_retryable(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), Interrupted | TimedOut | WouldBlock)
}

/// Reads a request including its body, and returns its id.
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
