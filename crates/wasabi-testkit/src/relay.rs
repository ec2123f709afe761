//! A TCP relay between two processes that a test can cut or slow, in one direction or in both.

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

/// Time between two looks of a copying thread at the state of its direction.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Most buffers of one connection and direction that wait for their time.
const WAITING_MAX: usize = 1_024;

/// Step between two delays of a direction, in milliseconds: a number that is prime to most spans, so
/// that all delays of a range come in turn.
const DELAY_STEP: u64 = 137;

/// A direction through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the target.
    Forward,
    /// From the target to the side that connects.
    Backward,
}

#[derive(Debug, Default)]
struct State {
    forward_cut: AtomicBool,
    backward_cut: AtomicBool,
    closed: AtomicBool,
    connections: AtomicU64,
    forward_pace: Mutex<Pace>,
    backward_pace: Mutex<Pace>,
}

/// How slow a direction is. All connections of the relay share it.
#[derive(Debug, Default)]
struct Pace {
    /// Delay of what begins to wait, in milliseconds.
    delay: Option<Range<u64>>,
    /// Bytes that pass in a second.
    rate: Option<u32>,
    /// Buffers that were given a delay.
    count: u64,
    /// When the bytes sent so far have passed.
    free: Option<Instant>,
}

impl Pace {
    /// Returns when bytes that came now may leave.
    fn due(&mut self, now: Instant, bytes: usize) -> Instant {
        let mut due = now;
        if let Some(rate) = self.rate {
            let takes = Duration::from_secs_f64(bytes as f64 / f64::from(rate));
            due = self.free.map_or(now, |free| free.max(now)) + takes;
            self.free = Some(due);
        }
        if let Some(delay) = &self.delay {
            let span = (delay.end - delay.start).max(1);
            due += Duration::from_millis(delay.start + self.count * DELAY_STEP % span);
            self.count += 1;
        }
        due
    }
}

impl State {
    fn pace(&self, direction: Direction) -> MutexGuard<'_, Pace> {
        let pace = match direction {
            Direction::Forward => &self.forward_pace,
            Direction::Backward => &self.backward_pace,
        };
        pace.lock().unwrap_or_else(PoisonError::into_inner)
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

/// A relay that listens on its own address and passes bytes to its target.
///
/// A cut drops bytes silently and keeps the connections open, as a network that has lost track of
/// them does. Connections that were open during a cut stay silent for good, since bytes of the
/// stream are missing; connections opened after [`Relay::restore`] work.
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
    /// Returns an error when no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming() {
                if shared.is_closed() {
                    return;
                }
                let Ok(near) = near else { continue };
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(target) else { continue };
                connect(near, far, &shared);
            }
        });
        Ok(Self { address, state })
    }

    /// Returns the address to connect to in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were opened to it.
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

    /// Delays the bytes of one direction from now on, by milliseconds of the range in turn. Their
    /// order on a connection stays.
    pub fn delay(&self, direction: Direction, delay: Range<u64>) {
        self.state.pace(direction).delay = Some(delay);
    }

    /// Lets one direction pass so many bytes a second from now on, over all connections together.
    pub fn limit(&self, direction: Direction, bytes_per_s: u32) {
        self.state.pace(direction).rate = Some(bytes_per_s);
    }

    /// Passes bytes again, on connections opened from now on.
    pub fn restore(&self) {
        self.state.forward_cut.store(false, Ordering::SeqCst);
        self.state.backward_cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.closed.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then sees that the relay is closed.
        let _ = TcpStream::connect(self.address);
    }
}

fn connect(near: TcpStream, far: TcpStream, state: &Arc<State>) {
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
    // A connection is silenced as a whole once bytes of either direction were dropped.
    let silenced = Arc::new(AtomicBool::new(false));
    for (from, to, direction) in
        [(near, far, Direction::Forward), (far_copy, near_copy, Direction::Backward)]
    {
        let state = Arc::clone(state);
        let silenced = Arc::clone(&silenced);
        let (waiting, due) = mpsc::sync_channel(WAITING_MAX);
        let writer_silenced = Arc::clone(&silenced);
        thread::spawn(move || write(to, &due, &writer_silenced));
        thread::spawn(move || read(from, &waiting, direction, &state, &silenced));
    }
}

/// Bytes with the time at which they may leave.
type Due = (Instant, Vec<u8>);

/// Takes what comes and gives it its time, until the connection or the relay ends.
fn read(
    mut from: TcpStream,
    waiting: &SyncSender<Due>,
    direction: Direction,
    state: &State,
    silenced: &AtomicBool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    if from.set_read_timeout(Some(LOOK_EVERY)).is_err() {
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
        let due = state.pace(direction).due(Instant::now(), count);
        if waiting.send((due, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
}

/// Passes bytes on at their time, and ends the connection after the last ones.
fn write(mut to: TcpStream, due: &Receiver<Due>, silenced: &AtomicBool) {
    while let Ok((at, bytes)) = due.recv() {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if silenced.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    // A closed or broken side ends the connection; after a cut the end must stay unseen.
    if !silenced.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
