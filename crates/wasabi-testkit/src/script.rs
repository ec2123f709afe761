//! An endpoint with scripted responses: their content and timing do not depend on the requests.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Timeout of reads from a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A step of a script.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads the request line and headers of a request.
    Head,
    /// Reads the body of the request and records the request as run.
    Body,
    /// Writes bytes. `{id}` is replaced by the id of the last request.
    Write(Vec<u8>),
    /// Waits before the next step.
    Pause(Duration),
    /// Closes the connection.
    Close,
}

impl Step {
    /// Creates a step that writes a text.
    pub fn write(text: impl AsRef<[u8]>) -> Self {
        Self::Write(text.as_ref().to_vec())
    }
}

/// A request that an endpoint has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The request id.
    pub id: String,
    /// The request line and headers, with header names in lower case.
    pub head: String,
    /// Whether the body was read as well, which counts as a run.
    pub has_run: bool,
}

/// A running endpoint with scripted responses.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Request>>>,
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port that takes request ids from the header
    /// `id_header`, given in lower case. Each connection runs the next script; further connections
    /// repeat the last one. After its script, a connection stays open until the peer closes it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(id_header: &'static str, scripts: Vec<Vec<Step>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let seen = Arc::default();
        let log = Arc::clone(&seen);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let Some(script) = scripts.get(number).or(scripts.last()).cloned() else { return };
                let log = Arc::clone(&log);
                // An I/O error, such as a closed connection, ends the script.
                thread::spawn(move || drop(run_script(stream, id_header, &script, &log)));
            }
        });
        Ok(Self { address, seen })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests received so far.
    pub fn seen(&self) -> Vec<Request> {
        lock(&self.seen).clone()
    }

    /// Returns the number of runs of requests with an id.
    pub fn runs(&self, id: &str) -> usize {
        lock(&self.seen).iter().filter(|request| request.id == id && request.has_run).count()
    }
}

fn lock(seen: &Mutex<Vec<Request>>) -> MutexGuard<'_, Vec<Request>> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the steps of a script on a connection.
fn run_script(
    mut stream: TcpStream,
    id_header: &str,
    script: &[Step],
    seen: &Mutex<Vec<Request>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let (mut id, mut length, mut index) = (String::new(), 0, 0);
    for step in script {
        match step {
            Step::Head => {
                let head = read_head(&mut reader)?;
                id = header(&head, id_header).unwrap_or_default().to_owned();
                length =
                    header(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
                let mut seen = lock(seen);
                index = seen.len();
                seen.push(Request { id: id.clone(), head, has_run: false });
            }
            Step::Body => {
                io::copy(&mut reader.by_ref().take(length), &mut io::sink())?;
                lock(seen)[index].has_run = true;
            }
            Step::Write(bytes) => stream.write_all(&replace_id(bytes, &id))?,
            Step::Pause(time) => thread::sleep(*time),
            Step::Close => return Ok(()),
        }
    }
    io::copy(&mut reader, &mut io::sink())?;
    Ok(())
}

/// Returns the bytes with each `{id}` replaced by the id.
fn replace_id(bytes: &[u8], id: &str) -> Vec<u8> {
    const PLACEHOLDER: &[u8] = b"{id}";
    let mut output = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some(first) = rest.first() {
        if let Some(after) = rest.strip_prefix(PLACEHOLDER) {
            output.extend_from_slice(id.as_bytes());
            rest = after;
        } else {
            output.push(*first);
            rest = &rest[1..];
        }
    }
    output
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            _ if line.trim_end().is_empty() => return Ok(head),
            Some((name, value)) if !head.is_empty() => {
                head.push_str(&format!("{}:{value}\n", name.to_ascii_lowercase()));
            }
            _ => head.push_str(&format!("{}\n", line.trim_end())),
        }
    }
}

/// Returns the value of a header, given in lower case, from [`Request::head`].
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
}
