//! The processes of a run: nodes, targets, the platform, and the relay for their links.

use std::{
    cell::{Cell, RefCell},
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use kumquatnotch_config::settings::{
    AdvertiseSettings, AdviceSettings, JoinSettings, ListenSettings, NodeSettings,
    PlatformSettings, Settings,
};
use kumquatnotch_core::{
    ids::{DataCentre, NodeName},
    vms::Vm,
};
use serde::{Deserialize, Serialize};
use standin_store::faults::StoreFaultChange;
use standins::{
    faults::FaultChange,
    http::Client,
    relay::{LinkChange, RelayPorts},
    targets::FleetPorts,
};

use crate::{
    layout::{self, CENTRES},
    process::{Process, free_ports},
    record::NodeInstance,
};

/// Time for which callers may use advised addresses.
pub const ADVICE_VALIDITY: Duration = Duration::from_secs(2);

/// Timeout for a change of faults at a stand-in.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of links of each node: one from its peers, one to the platform.
const LINKS_PER_NODE: usize = 2;

/// A node of a run.
pub struct Node {
    /// Name of the node.
    pub name: NodeName,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Index of the link from its peers.
    pub peer_link: usize,
    /// Index of the link to the platform.
    pub platform_link: usize,
    /// Number of restarts so far.
    pub start: Cell<u32>,
    /// Whether a fault is in progress on this node; prevents overlapping faults.
    pub has_fault: Cell<bool>,
    /// The process; `None` while the node is down.
    pub process: RefCell<Option<Process>>,
    settings: PathBuf,
    peer: SocketAddr,
}

impl Node {
    /// Identifies the current process of the node.
    pub fn instance(&self) -> NodeInstance {
        NodeInstance { node: self.name.clone(), start: self.start.get() }
    }
}

/// The processes of a run.
pub struct Cluster {
    /// All nodes, running or not.
    pub nodes: Vec<Node>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the targets and of their control interface.
    pub fleet: FleetPorts,
    folder: PathBuf,
    relay: RelayPorts,
    _standins: Vec<Process>,
}

#[derive(Deserialize)]
struct PlatformPort {
    address: SocketAddr,
}

impl Cluster {
    /// Starts the stand-ins and `count` nodes, with settings and logs in `folder`.
    pub fn start(count: usize, seed: u64, folder: &Path) -> io::Result<Cluster> {
        fs::create_dir_all(folder)?;
        let log = folder.join("standins.log");
        let mut platform = Process::start("standin-store", &[], &log)?;
        let PlatformPort { address } = platform.ports()?;

        let plan = folder.join("targets.toml");
        let text = toml::to_string(&layout::plan(seed)).map_err(io::Error::other)?;
        fs::write(&plan, text)?;
        let args = ["--plan".to_owned(), plan.display().to_string()];
        let mut targets = Process::start("standin-targets", &args, &log)?;
        let fleet: FleetPorts = targets.ports()?;

        let ports = free_ports(count * 2)?;
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let peers: Vec<SocketAddr> = ports[count..].iter().copied().map(local).collect();
        let links = peers.iter().flat_map(|peer| [*peer, address]);
        let args: Vec<String> =
            links.flat_map(|link| ["--link".to_owned(), format!("0={link}")]).collect();
        let mut process = Process::start("standin-relay", &args, &log)?;
        let relay: RelayPorts = process.ports()?;

        let node = |number: usize| Node {
            name: NodeName::from(format!("n{number}")),
            entry: local(ports[number]),
            peer_link: number * LINKS_PER_NODE,
            platform_link: number * LINKS_PER_NODE + 1,
            start: Cell::new(0),
            has_fault: Cell::new(false),
            process: RefCell::new(None),
            settings: folder.join(format!("n{number}.toml")),
            peer: peers[number],
        };
        let nodes = (0..count).map(node).collect();
        let standins = vec![platform, targets, process];
        let folder = folder.to_owned();
        let cluster =
            Cluster { nodes, platform: address, fleet, folder, relay, _standins: standins };
        for number in 0..count {
            cluster.write_settings(number)?;
            cluster.launch(number)?;
        }
        Ok(cluster)
    }

    /// Returns the node that listens for callers at `entry`.
    pub fn node_at(&self, entry: SocketAddr) -> Option<&Node> {
        self.nodes.iter().find(|node| node.entry == entry)
    }

    /// Starts the process of a node.
    pub fn launch(&self, number: usize) -> io::Result<()> {
        let node = &self.nodes[number];
        let args = ["--settings".to_owned(), node.settings.display().to_string()];
        let log = self.folder.join(format!("{}.log", node.name));
        let process = Process::start("kumquatnotchd", &args, &log)?;
        node.process.replace(Some(process));
        Ok(())
    }

    /// Starts a node that was down, as a new instance.
    pub fn relaunch(&self, number: usize) -> io::Result<()> {
        let start = &self.nodes[number].start;
        start.set(start.get() + 1);
        self.launch(number)
    }

    /// Sets the list of VMs at the platform; marks the VM of node `leaving` as leaving.
    pub async fn set_vm_list(&self, leaving: Option<usize>) -> io::Result<()> {
        let vm = |(number, node): (usize, &Node)| Vm {
            peer: self.relay.links[node.peer_link],
            centre: DataCentre::from(CENTRES[number % CENTRES.len()].0),
            leaving: leaving == Some(number),
        };
        let vms: Vec<Vm> = self.nodes.iter().enumerate().map(vm).collect();
        control(self.platform, "/standin/vms", &vms).await
    }

    /// Changes the injected faults of the platform.
    pub async fn change_platform(&self, change: &StoreFaultChange) -> io::Result<()> {
        control(self.platform, "/standin/faults", change).await
    }

    /// Changes the injected faults of targets.
    pub async fn change_targets(&self, change: &FaultChange) -> io::Result<()> {
        control(self.fleet.control, "/standin/faults", change).await
    }

    /// Changes the injected faults of links.
    pub async fn change_links(&self, change: &LinkChange) -> io::Result<()> {
        control(self.relay.control, "/standin/faults", change).await
    }

    fn write_settings(&self, number: usize) -> io::Result<()> {
        let node = &self.nodes[number];
        let (centre, region) = CENTRES[number % CENTRES.len()];
        let settings = Settings {
            node: NodeSettings {
                name: node.name.to_string(),
                centre: centre.to_owned(),
                region: region.to_owned(),
            },
            listen: ListenSettings { entry: node.entry, peer: node.peer },
            advertise: AdvertiseSettings {
                entry: None,
                peer: Some(self.relay.links[node.peer_link]),
            },
            platform: PlatformSettings {
                address: self.relay.links[node.platform_link],
                ..PlatformSettings::default()
            },
            join: JoinSettings::default(),
            advice: AdviceSettings { valid: ADVICE_VALIDITY, ..AdviceSettings::default() },
            ..Settings::default()
        };
        let text = toml::to_string(&settings).map_err(io::Error::other)?;
        fs::write(&node.settings, text)
    }
}

async fn control(address: SocketAddr, path: &str, body: &impl Serialize) -> io::Result<()> {
    let answer = Client::new(address, CONTROL_TIMEOUT).post(path, body).await?;
    match answer.status {
        204 => Ok(()),
        status => {
            Err(io::Error::other(format!("{path} answered with status {status}, expected 204")))
        }
    }
}
