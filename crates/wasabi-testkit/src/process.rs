//! Processes that end with the test that started them.

use std::{
    env,
    ffi::OsStr,
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    ops::Range,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::wait;

/// Longest time that a process may take to end after a signal.
const END_BOUND: Duration = Duration::from_secs(30);

/// Longest time that the threads of a process may take to stand still after a signal.
const STOP_BOUND: Duration = Duration::from_secs(30);

/// A signal that a test sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks the process to stop.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Thaws the process.
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A running process. It is killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    log: PathBuf,
}

impl Daemon {
    /// Starts a binary with its standard output and standard error appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log cannot be opened or the binary cannot be started.
    pub fn start<A: AsRef<OsStr>>(
        binary: &Path,
        arguments: impl IntoIterator<Item = A>,
        log: &Path,
    ) -> io::Result<Self> {
        Self::start_command(Command::new(binary).args(arguments), log)
    }

    /// Starts a command with its standard output and standard error appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log cannot be opened or the command cannot be started.
    pub fn start_command(command: &mut Command, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let _forks = forks();
        let child =
            command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output).spawn()?;
        Ok(Self { child, log: log.to_owned() })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has printed so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal. After [`Signal::Stop`] all threads of the process stand still: the system
    /// tells one of them, which may have to wait for a core while the others run on.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent, or when a thread still runs 30 s after a stop.
    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill").args([signal.name(), &self.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "{signal:?} could not be sent");
        if signal == Signal::Stop {
            wait::until("the process stands still", STOP_BOUND, || {
                is_still(self.id()).then_some(())
            });
        }
    }

    /// Returns the exit status when the process has ended.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be observed.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        match self.child.try_wait() {
            Ok(status) => status,
            Err(error) => panic!("cannot observe process {}: {error}", self.child.id()),
        }
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Panics
    ///
    /// Panics when it has not ended within 30 s.
    pub fn wait(&mut self) -> ExitStatus {
        wait::until("the end of the process", END_BOUND, || self.ended())
    }

    /// Kills the process at once and waits for its end, as `kill -9` does.
    ///
    /// # Panics
    ///
    /// Panics when it has not ended within 30 s.
    pub fn kill(&mut self) {
        // It may have ended already, which is what the caller wants.
        let _ = self.child.kill();
        self.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // A process that has already ended needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether no thread of a process runs.
fn is_still(process: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else { return true };
    threads.flatten().all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name of the program, which may hold any character.
        let state = stat.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
        matches!(state, None | Some('T' | 'Z' | 'X'))
    })
}

/// Returns the path of a binary of this workspace, built in the same profile as the test.
///
/// # Panics
///
/// Panics when the binary is not built; `cargo test --workspace` builds it.
pub fn binary(name: &str) -> PathBuf {
    let path = env::current_exe()
        .ok()
        .and_then(|test| Some(test.parent()?.parent()?.join(name)))
        .filter(|path| path.is_file());
    match path {
        Some(path) => path,
        None => panic!("binary {name} is not built; run `cargo build --workspace` first"),
    }
}

/// Returns a guard that is held while a process starts and while ports are probed: until it runs its
/// program, a new process holds copies of all listeners, so that their ports are in use.
fn forks() -> MutexGuard<'static, ()> {
    static FORKS: Mutex<()> = Mutex::new(());
    FORKS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ports that the system does not hand out by itself, so that a connection of another test cannot
/// take one between the choice and the listener's start.
const PORTS: Range<u16> = 20_000..32_000;

/// Ports that one test process tries first, so that processes started together rarely meet.
const PORTS_PER_PROCESS: u32 = 97;

/// Returns the first of some consecutive loopback ports that are free, other ones at each call.
///
/// # Panics
///
/// Panics when there are none.
pub fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _forks = forks();
    let sets = u32::from((PORTS.end - PORTS.start) / count);
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..sets {
        let set = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % sets;
        let first = PORTS.start + set as u16 * count;
        // All are held until the last one is bound.
        let bound =
            (first..first + count).map_while(|port| TcpListener::bind(("127.0.0.1", port)).ok());
        if bound.collect::<Vec<_>>().len() == usize::from(count) {
            return first;
        }
    }
    panic!("no {count} consecutive ports between {} and {} are free", PORTS.start, PORTS.end)
}

/// Returns a loopback address with a free port, another one at each call.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _forks = forks();
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in PORTS {
        let step = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (step % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port between {} and {} is free", PORTS.start, PORTS.end)
}
