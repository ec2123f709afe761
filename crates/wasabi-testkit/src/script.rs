//! An endpoint that answers by a script: what it writes, and when, does not depend on what it was
//! asked.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Longest wait for bytes of a request.
const READ_TIME: Duration = Duration::from_secs(20);

/// One step on a connection.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads the head of a request.
    Head,
    /// Reads the body of the request; the endpoint runs it then.
    Body,
    /// Writes bytes at once. `{id}` stands for the id of the request that was read last.
    Write(Vec<u8>),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
}

impl Step {
    /// Returns the step that writes this text.
    pub fn write(text: impl AsRef<[u8]>) -> Self {
        Self::Write(text.as_ref().to_vec())
    }
}

/// A request that an endpoint read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Its head, with header names in lower case.
    pub head: String,
    /// Whether its body was read too, so that it ran.
    pub has_run: bool,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Request>>>,
}

impl Endpoint {
    /// Starts an endpoint on a free loopback port that names requests by the header `id_header`,
    /// which is written in lower case. Each connection follows the next script, those after the
    /// last script follow that one. After its script a connection stays open until its peer closes.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub fn start(id_header: &'static str, scripts: Vec<Vec<Step>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let seen = Arc::default();
        let all = Arc::clone(&seen);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let Some(script) = scripts.get(number).or(scripts.last()).cloned() else { return };
                let all = Arc::clone(&all);
                // A peer that closes ends the script.
                thread::spawn(move || drop(follow(stream, id_header, &script, &all)));
            }
        });
        Ok(Self { address, seen })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that it read so far.
    pub fn seen(&self) -> Vec<Request> {
        lock(&self.seen).clone()
    }

    /// Returns how often it ran a request with this id.
    pub fn runs(&self, id: &str) -> usize {
        lock(&self.seen).iter().filter(|request| request.id == id && request.has_run).count()
    }
}

fn lock(seen: &Mutex<Vec<Request>>) -> MutexGuard<'_, Vec<Request>> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

fn follow(
    mut stream: TcpStream,
    id_header: &str,
    script: &[Step],
    seen: &Mutex<Vec<Request>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIME))?;
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
            Step::Write(bytes) => stream.write_all(&replaced(bytes, &id))?,
            Step::Pause(time) => thread::sleep(*time),
            Step::Close => return Ok(()),
        }
    }
    io::copy(&mut reader, &mut io::sink())?;
    Ok(())
}

/// Returns the bytes with the id in its places.
fn replaced(bytes: &[u8], id: &str) -> Vec<u8> {
    const PLACE: &[u8] = b"{id}";
    let mut replaced = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some(first) = rest.first() {
        if let Some(after) = rest.strip_prefix(PLACE) {
            replaced.extend_from_slice(id.as_bytes());
            rest = after;
        } else {
            replaced.push(*first);
            rest = &rest[1..];
        }
    }
    replaced
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

/// Returns the value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
}
