//! Processes that a run starts, and ends whatever happens to it.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::Range,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use kumquatnotch_core::random::Random;
use rustix::process::{Pid, Signal, kill_process};
use serde::de::DeserializeOwned;

/// How often an ending process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program `name`, which lies next to the one that runs now.
    pub fn start(name: &str, args: &[String], log: &Path) -> io::Result<Process> {
        let path = program(name)?;
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .spawn()?;
        Ok(Process { child })
    }

    /// Reads the line in which a stand-in tells its ports.
    pub fn ports<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let Some(output) = self.child.stdout.take() else {
            return Err(io::Error::other("the output was read before"));
        };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(pid) = Pid::from_raw(self.child.id() as i32) else {
            return Err(io::Error::other("the process has no id"));
        };
        Ok(kill_process(pid, signal)?)
    }

    /// How it ended, if it has.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for its end; `None` after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // Both fail only if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of a program of the workspace.
fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Tests run from a folder below the one of the programs.
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::other(format!("{name} is missing; run `cargo build --workspace` first"))
    })
}

/// The ports that nodes may get: below those that the system gives to others.
///
/// A port that the system chose, and that a node gave up while it was down, could
/// be given to any connection in between; the node could then not start again.
const NODE_PORTS: Range<u16> = 12_000..32_000;

/// How often a port is drawn before the search is given up.
const MAX_PORT_ATTEMPTS: usize = 1_000;

/// Ports of the loopback address that are free now.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    // Runs side by side must not draw the same, so this has no seed.
    let random = Random::from_entropy();
    let mut listeners = Vec::new();
    for _ in 0..MAX_PORT_ATTEMPTS {
        if listeners.len() == count {
            break;
        }
        let port = NODE_PORTS.start + random.below(NODE_PORTS.len()) as u16;
        listeners.extend(TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port))));
    }
    if listeners.len() < count {
        return Err(io::Error::other("there are not enough free ports"));
    }
    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}
