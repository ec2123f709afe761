//! Child processes that are killed when their test ends.

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

/// Timeout for the exit of a process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for all threads of a process to stop after [`Signal::Stop`].
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// A signal that a test sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks the process to stop.
    Terminate,
    /// Ends the process immediately.
    Kill,
    /// Suspends the process.
    Stop,
    /// Resumes the process.
    Continue,
    /// Tells the process that its settings have changed.
    Reload,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Reload => "-HUP",
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
    /// Returns an error if the log cannot be opened or the binary cannot be started.
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
    /// Returns an error if the log cannot be opened or the command cannot be started.
    pub fn start_command(command: &mut Command, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let _guard = spawn_lock();
        let child =
            command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output).spawn()?;
        Ok(Self { child, log: log.to_owned() })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the contents of the log file, the output so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal. For [`Signal::Stop`], returns only after all threads of the process have stopped:
    /// the system delivers the signal to one thread, which may have to wait for a core while the
    /// others keep running.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent, or if a thread is still running 30 s after a stop.
    pub fn signal(&self, signal: Signal) {
        let status = Command::new("kill").args([signal.name(), &self.id().to_string()]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "could not send {signal:?} to process {}",
            self.id()
        );
        if signal == Signal::Stop {
            wait::until("the stop of all threads of the process", STOP_TIMEOUT, || {
                is_stopped(self.id()).then_some(())
            });
        }
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the status of the process cannot be read.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        match self.child.try_wait() {
            Ok(status) => status,
            Err(error) => panic!("cannot read the status of process {}: {error}", self.child.id()),
        }
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if it has not ended within 30 s.
    pub fn wait(&mut self) -> ExitStatus {
        wait::until("the end of the process", EXIT_TIMEOUT, || self.ended())
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if it has not ended within 30 s.
    pub fn kill(&mut self) {
        // An error is ignored: the process may have ended already.
        let _ = self.child.kill();
        self.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // An error is ignored: the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether all threads of a process are stopped or have ended.
fn is_stopped(process: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else { return true };
    threads.flatten().all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the program name in parentheses, which may contain any character.
        let state = stat.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
        matches!(state, None | Some('T' | 'Z' | 'X'))
    })
}

/// Returns the path of a binary of this workspace, built in the same profile as the test.
///
/// # Panics
///
/// Panics if the binary is not built; `cargo test --workspace` builds it.
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

/// Returns a guard that is held while a process is spawned and while ports are probed: between fork and
/// exec, a child process holds copies of all listeners, so that their ports remain in use.
fn spawn_lock() -> MutexGuard<'static, ()> {
    static SPAWN_LOCK: Mutex<()> = Mutex::new(());
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ports outside the system's ephemeral range, so that a connection of another test cannot take a port
/// between its selection and the start of the listener.
const PORT_RANGE: Range<u16> = 20_000..32_000;

/// Offset of the first candidate per process id, so that test processes started together rarely probe
/// the same ports.
const PORT_STEP_PER_PROCESS_ID: u32 = 97;

/// Returns the first of `count` consecutive free loopback ports, different ones at each call.
///
/// # Panics
///
/// Panics if no such ports are free.
pub fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _guard = spawn_lock();
    let sets = u32::from((PORT_RANGE.end - PORT_RANGE.start) / count);
    let start = std::process::id().wrapping_mul(PORT_STEP_PER_PROCESS_ID);
    for _ in 0..sets {
        let set = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % sets;
        let first = PORT_RANGE.start + set as u16 * count;
        // All listeners stay bound until the last port has been probed.
        let bound =
            (first..first + count).map_while(|port| TcpListener::bind(("127.0.0.1", port)).ok());
        if bound.collect::<Vec<_>>().len() == usize::from(count) {
            return first;
        }
    }
    panic!(
        "no {count} consecutive ports between {} and {} are free",
        PORT_RANGE.start, PORT_RANGE.end
    )
}

/// Returns a loopback address with a free port, a different one at each call.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let _guard = spawn_lock();
    let first = std::process::id().wrapping_mul(PORT_STEP_PER_PROCESS_ID);
    for _ in PORT_RANGE {
        let step = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + (step % u32::from(PORT_RANGE.end - PORT_RANGE.start)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port between {} and {} is free", PORT_RANGE.start, PORT_RANGE.end)
}
