//! A TCP relay between two processes that can drop, delay or rate-limit bytes, in one or both
//! directions.

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::{Duration, Instant},
};

/// Read timeout, after which a reading thread checks whether the relay is closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum number of delayed buffers per connection and direction.
const QUEUED_BUFFERS_MAX: usize = 1_024;

/// Step between successive delays of a direction. It is coprime to most range lengths, so that every
/// delay of the range is used in turn.
const DELAY_STEP_MS: u64 = 137;

/// A direction of traffic through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

#[derive(Debug, Default)]
struct State {
    forward_cut: AtomicBool,
    backward_cut: AtomicBool,
    closed: AtomicBool,
    connections: AtomicU64,
    forward_shaper: Mutex<Shaper>,
    backward_shaper: Mutex<Shaper>,
}

/// Delay and rate limit of a direction, shared by all connections of the relay.
#[derive(Debug, Default)]
struct Shaper {
    /// Range of delays for new buffers, in milliseconds.
    delay: Option<Range<u64>>,
    /// Rate limit, in bytes per second.
    rate: Option<u32>,
    /// Number of buffers delayed so far.
    count: u64,
    /// Time at which all bytes so far have passed at the limited rate.
    idle_at: Option<Instant>,
}

impl Shaper {
    /// Returns the time at which bytes received now may be forwarded.
    fn due(&mut self, now: Instant, bytes: usize) -> Instant {
        let mut due = now;
        if let Some(rate) = self.rate {
            let duration = Duration::from_secs_f64(bytes as f64 / f64::from(rate));
            due = self.idle_at.map_or(now, |idle_at| idle_at.max(now)) + duration;
            self.idle_at = Some(due);
        }
        if let Some(delay) = &self.delay {
            let span = (delay.end - delay.start).max(1);
            due += Duration::from_millis(delay.start + self.count * DELAY_STEP_MS % span);
            self.count += 1;
        }
        due
    }
}

impl State {
    fn shaper(&self, direction: Direction) -> MutexGuard<'_, Shaper> {
        let shaper = match direction {
            Direction::Forward => &self.forward_shaper,
            Direction::Backward => &self.backward_shaper,
        };
        shaper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cut(&self, direction: Direction) -> bool {
        let flag = match direction {
            Direction::Forward => &self.forward_cut,
            Direction::Backward => &self.backward_cut,
        };
        flag.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }
}

/// A relay that listens on its own address and forwards bytes to and from its target.
///
/// A cut drops bytes silently and keeps connections open, as a network does that has lost their state.
/// A connection whose bytes were dropped stays silent permanently, since its stream is incomplete;
/// connections opened after [`Relay::restore`] work.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming() {
                if shared.is_closed() {
                    return;
                }
                let Ok(client) = client else { continue };
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(target) else { continue };
                connect(client, server, &shared);
            }
        });
        Ok(Self { address, state })
    }

    /// Returns the address to connect to in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Drops all bytes of one direction from now on.
    pub fn cut(&self, direction: Direction) {
        let flag = match direction {
            Direction::Forward => &self.state.forward_cut,
            Direction::Backward => &self.state.backward_cut,
        };
        flag.store(true, Ordering::SeqCst);
    }

    /// Drops all bytes of both directions from now on.
    pub fn cut_both(&self) {
        self.cut(Direction::Forward);
        self.cut(Direction::Backward);
    }

    /// Delays the bytes of one direction from now on, by varying delays from a range in milliseconds.
    /// Their order on a connection is preserved.
    pub fn delay(&self, direction: Direction, delay: Range<u64>) {
        self.state.shaper(direction).delay = Some(delay);
    }

    /// Limits one direction to a rate from now on, over all connections together.
    pub fn limit(&self, direction: Direction, bytes_per_s: u32) {
        self.state.shaper(direction).rate = Some(bytes_per_s);
    }

    /// Forwards bytes again, on connections without dropped bytes.
    pub fn restore(&self) {
        self.state.forward_cut.store(false, Ordering::SeqCst);
        self.state.backward_cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then finds the relay closed.
        let _ = TcpStream::connect(self.address);
    }
}

/// Starts the threads that forward both directions of a connection.
fn connect(client: TcpStream, server: TcpStream, state: &Arc<State>) {
    let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    // Once bytes of either direction have been dropped, both directions stay silent.
    let silenced = Arc::new(AtomicBool::new(false));
    for (from, to, direction) in
        [(client, server, Direction::Forward), (server_copy, client_copy, Direction::Backward)]
    {
        let state = Arc::clone(state);
        let silenced = Arc::clone(&silenced);
        let (queue, due) = mpsc::sync_channel(QUEUED_BUFFERS_MAX);
        let writer_silenced = Arc::clone(&silenced);
        thread::spawn(move || write(to, &due, &writer_silenced));
        thread::spawn(move || read(from, &queue, direction, &state, &silenced));
    }
}

/// Bytes with the time at which they may be forwarded.
type TimedBytes = (Instant, Vec<u8>);

/// Reads bytes and queues them with their forwarding time, until the connection or the relay is closed.
fn read(
    mut from: TcpStream,
    queue: &SyncSender<TimedBytes>,
    direction: Direction,
    state: &State,
    silenced: &AtomicBool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    if from.set_read_timeout(Some(POLL_INTERVAL)).is_err() {
        return;
    }
    while !state.is_closed() {
        let count = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock
                        | io::ErrorKind::TimedOut
                        | io::ErrorKind::Interrupted
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        if state.is_cut(direction) {
            silenced.store(true, Ordering::SeqCst);
        }
        if silenced.load(Ordering::SeqCst) {
            continue;
        }
        let due = state.shaper(direction).due(Instant::now(), count);
        if queue.send((due, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
}

/// Forwards queued bytes at their time, and shuts down the connection after the last ones.
fn write(mut to: TcpStream, due: &Receiver<TimedBytes>, silenced: &AtomicBool) {
    while let Ok((at, bytes)) = due.recv() {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if silenced.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    // The end of one side is passed on to the other; after a cut it must stay hidden.
    if !silenced.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
