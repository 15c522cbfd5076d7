//! Child processes of a run, which are killed when the run ends for any reason.

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

/// Interval at which [`Process::wait`] checks for the exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program `name` from the folder of the current executable or its parent.
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

    /// Reads the line in which a stand-in prints its ports.
    pub fn ports<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let Some(output) = self.child.stdout.take() else {
            return Err(io::Error::other("the output of the process has been read already"));
        };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(pid) = Pid::from_raw(self.child.id() as i32) else {
            return Err(io::Error::other("the process id is not valid"));
        };
        Ok(kill_process(pid, signal)?)
    }

    /// Returns the exit status, or `None` if the process still runs.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for the exit; returns `None` if the process still runs after `limit`.
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

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program of the workspace.
fn program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Test executables are in a subfolder of the folder with the programs.
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::other(format!("{name} is missing; run `cargo build --workspace` first"))
    })
}

/// Range of the ports of nodes, below the ephemeral ports of the system.
///
/// The system could assign an ephemeral port to any connection while its node is down;
/// the node could then not start again.
const NODE_PORTS: Range<u16> = 12_000..32_000;

/// Maximum number of random ports that [`free_ports`] tries.
const MAX_PORT_ATTEMPTS: usize = 1_000;

/// Returns `count` ports that are free on the loopback address.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    // Not seeded, as concurrent runs with one seed must not choose the same ports.
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
        return Err(io::Error::other("not enough free ports in the range of the nodes"));
    }
    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}
