//! A benchmark cluster of processes: the platform, targets and nodes.
//!
//! The processes are killed when their owners are dropped, so that a benchmark that fails
//! leaves none behind.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use kumquatnotch::{
    config::settings::{
        GroupSettings, JoinSettings, LimitSettings, ListenSettings, NodeSettings, PlatformSettings,
        Settings,
    },
    core::{ids::DataCentre, vms::Vm},
};
use serde::de::DeserializeOwned;
use standin_store::faults::Calls;
use standins::{
    http::Client,
    records::RunLog,
    targets::{FleetPorts, TargetPort},
};

use crate::processes_layout::{CENTRES, Shards, plans};

/// Timeout of control requests to stand-ins and nodes.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of nodes that the settings of each node list as seeds for joining.
const SEED_COUNT: usize = 3;

/// Clock ticks per second of the CPU times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// The specification of a cluster.
pub struct Spec {
    /// The name of the cluster, part of the name of its directory.
    pub name: String,
    /// Number of nodes, assigned to the data centres round-robin.
    pub nodes: usize,
    /// Number of data centres.
    pub centres: usize,
    /// The collections whose shards the targets serve.
    pub shards: Vec<Shards>,
    /// Number of processes that run the targets.
    pub processes: usize,
    /// Maximum number of connections of a node to a target.
    pub connections: usize,
    /// Number of shards in a group.
    pub group: usize,
}

/// A child process, killed on drop.
pub struct Process {
    child: Child,
}

/// A node, which may be stopped.
pub struct NodeProcess {
    /// The address that it listens on for callers.
    pub entry: SocketAddr,
    /// `None` while the node is down.
    process: Option<Process>,
    settings: PathBuf,
    log: PathBuf,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time, in seconds.
    pub cpu: f64,
    /// Resident memory, in MiB.
    pub memory: f64,
}

/// A running cluster.
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    /// The targets.
    pub targets: Vec<TargetPort>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The specification of the cluster.
    pub spec: Spec,
    control_addresses: Vec<SocketAddr>,
    _standins: Vec<Process>,
    _temp_dir: TempDir,
}

#[derive(serde::Deserialize)]
struct PlatformPort {
    address: SocketAddr,
}

impl Cluster {
    /// Starts all processes; no document is published yet.
    pub async fn start(spec: Spec) -> io::Result<Cluster> {
        let folder = TempDir::create(&spec.name)?;
        let log = folder.0.join("standins.log");
        let mut platform = Process::start("standin-store", &[], &log)?;
        let PlatformPort { address } = platform.read_ports()?;
        let mut standins = vec![platform];
        let mut control_addresses = Vec::new();
        let mut targets = Vec::new();
        for (number, plan) in plans(&spec.shards, spec.processes).iter().enumerate() {
            let file = folder.0.join(format!("targets{number}.toml"));
            fs::write(&file, toml::to_string(plan).map_err(io::Error::other)?)?;
            let args = ["--plan".to_owned(), file.display().to_string()];
            let mut process = Process::start("standin-targets", &args, &log)?;
            let ports: FleetPorts = process.read_ports()?;
            standins.push(process);
            control_addresses.push(ports.control);
            targets.extend(ports.targets);
        }
        let (nodes, peers) = start_nodes(&spec, address, &folder.0)?;
        let cluster = Cluster {
            nodes,
            targets,
            platform: address,
            spec,
            control_addresses,
            _standins: standins,
            _temp_dir: folder,
        };
        cluster.list_vms(&peers).await?;
        Ok(cluster)
    }

    /// Waits until all running nodes are ready and see exactly the running nodes as up.
    pub async fn wait_until_converged(&self, limit: Duration) -> io::Result<()> {
        let until = std::time::Instant::now() + limit;
        let up = self.running().count();
        for node in self.running() {
            let client = Client::new(node.entry, CONTROL_TIMEOUT);
            while !has_converged(&client, up).await {
                if std::time::Instant::now() > until {
                    return Err(io::Error::other(format!(
                        "node {} did not converge in time",
                        node.entry
                    )));
                }
                monoio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    fn running(&self) -> impl Iterator<Item = &NodeProcess> {
        self.nodes.iter().filter(|node| node.process.is_some())
    }

    fn processes(&self) -> impl Iterator<Item = &Process> {
        self.nodes.iter().filter_map(|node| node.process.as_ref())
    }

    /// Returns the resource usage of the running nodes, in their order.
    pub fn usage(&self) -> io::Result<Vec<Usage>> {
        self.processes().map(Process::usage).collect()
    }

    /// Returns the call counts of the platform.
    pub async fn calls(&self) -> io::Result<Calls> {
        Client::new(self.platform, CONTROL_TIMEOUT).get("/standin/calls").await?.json()
    }

    /// Returns the run log of each process of targets, without its first `after` runs.
    pub async fn logs(&self, after: &[usize]) -> io::Result<Vec<RunLog>> {
        let mut logs = Vec::new();
        for (number, control) in self.control_addresses.iter().enumerate() {
            let after = after.get(number).copied().unwrap_or_default();
            let client = Client::new(*control, CONTROL_TIMEOUT);
            logs.push(client.get(&format!("/standin/log?after={after}")).await?.json()?);
        }
        Ok(logs)
    }

    /// Returns the sum of a metric over its labels for each running node; zero for a node that
    /// does not answer yet.
    pub async fn metric(&self, name: &str) -> Vec<f64> {
        let mut sums = Vec::new();
        for node in self.running() {
            let reply = Client::new(node.entry, CONTROL_TIMEOUT).get("/metrics").await;
            let text = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            let text = text.unwrap_or_default();
            let lines = text.lines().filter(|line| line.starts_with(name));
            let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sums.push(values.sum());
        }
        sums
    }

    /// Returns the log output of a node.
    pub fn node_log(&self, number: usize) -> io::Result<String> {
        fs::read_to_string(&self.nodes[number].log)
    }

    /// Number of io_uring descriptors that the running nodes have open.
    pub fn io_urings(&self) -> io::Result<usize> {
        let mut count = 0;
        for process in self.processes() {
            for entry in fs::read_dir(format!("/proc/{}/fd", process.child.id()))? {
                // The descriptor may have been closed since the directory was read.
                let Ok(link) = fs::read_link(entry?.path()) else {
                    continue;
                };
                count += usize::from(link.to_string_lossy().contains("io_uring"));
            }
        }
        Ok(count)
    }

    async fn list_vms(&self, peers: &[SocketAddr]) -> io::Result<()> {
        let vm = |(number, peer): (usize, &SocketAddr)| Vm {
            peer: *peer,
            centre: DataCentre::from(CENTRES[number % self.spec.centres]),
            leaving: false,
        };
        let vms: Vec<Vm> = peers.iter().enumerate().map(vm).collect();
        Client::new(self.platform, CONTROL_TIMEOUT).post("/standin/vms", &vms).await?;
        Ok(())
    }
}

async fn has_converged(client: &Client, nodes: usize) -> bool {
    let Ok(ready) = client.get("/readyz").await else {
        return false;
    };
    let Ok(status) = client.get("/status").await else {
        return false;
    };
    let up = String::from_utf8_lossy(&status.body).matches(" Up in ").count();
    ready.status == 200 && up == nodes
}

fn start_nodes(
    spec: &Spec,
    platform: SocketAddr,
    folder: &Path,
) -> io::Result<(Vec<NodeProcess>, Vec<SocketAddr>)> {
    let ports = free_ports(spec.nodes * 2)?;
    let (entries, peers) = ports.split_at(spec.nodes);
    let mut nodes = Vec::new();
    for number in 0..spec.nodes {
        let settings = Settings {
            node: NodeSettings {
                name: format!("n{number}"),
                centre: CENTRES[number % spec.centres].to_owned(),
                region: "siam".to_owned(),
            },
            listen: ListenSettings { entry: entries[number], peer: peers[number] },
            platform: PlatformSettings { address: platform, ..Default::default() },
            join: JoinSettings { seeds: peers.iter().take(SEED_COUNT).copied().collect() },
            limits: LimitSettings { connections: spec.connections, ..Default::default() },
            groups: GroupSettings { shards: spec.group, ..Default::default() },
            ..Default::default()
        };
        let file = folder.join(format!("n{number}.toml"));
        fs::write(&file, toml::to_string(&settings).map_err(io::Error::other)?)?;
        let log = folder.join(format!("n{number}.log"));
        let mut node = NodeProcess { entry: entries[number], process: None, settings: file, log };
        node.launch()?;
        nodes.push(node);
    }
    Ok((nodes, peers.to_vec()))
}

impl NodeProcess {
    /// Starts the process of the node, also after it was killed.
    pub fn launch(&mut self) -> io::Result<()> {
        let args = ["--settings".to_owned(), self.settings.display().to_string()];
        self.process = Some(Process::start("kumquatnotchd", &args, &self.log)?);
        Ok(())
    }

    /// Kills the process of the node.
    pub fn kill(&mut self) {
        self.process = None;
    }
}

impl Process {
    /// Starts the program `name` from the directory of the current executable.
    fn start(name: &str, args: &[String], log: &Path) -> io::Result<Process> {
        let path = std::env::current_exe()?.with_file_name(name);
        if !path.is_file() {
            let detail = format!("{name} is missing; build the workspace with --release first");
            return Err(io::Error::other(detail));
        }
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .spawn()?;
        Ok(Process { child })
    }

    /// Reads the line of JSON with which a stand-in reports its addresses.
    fn read_ports<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let Some(output) = self.child.stdout.take() else {
            return Err(io::Error::other("the output of the process has already been read"));
        };
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }

    fn usage(&self) -> io::Result<Usage> {
        usage_of(self.child.id())
    }
}

/// Returns the CPU time that a process has used so far, and its resident memory.
pub(crate) fn usage_of(id: u32) -> io::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    parse_usage(&stat, &status)
        .ok_or_else(|| io::Error::other("unexpected format of /proc/PID/stat or status"))
}

/// Parses the contents of `/proc/PID/stat` and `/proc/PID/status`.
fn parse_usage(stat: &str, status: &str) -> Option<Usage> {
    // The process name in parentheses may contain any character; the state follows it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = memory.split_whitespace().next()?.parse().ok()?;
    Some(Usage { cpu: ticks / TICKS_PER_SECOND, memory: kilobytes / 1_024.0 })
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn create(name: &str) -> io::Result<TempDir> {
        let own = std::process::id();
        let path = std::env::temp_dir().join(format!("kumquatnotch-measure-{own}-{name}"));
        fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns addresses with currently free ports of the loopback interface.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let listeners = (0..count).map(bind).collect::<io::Result<Vec<TcpListener>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// Returns the load average of the machine, for the header of a report.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<&str>>().join(" ")
}
