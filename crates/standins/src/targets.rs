//! A set of stand-in targets in one process, with a shared control port.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch_core::{LocalFuture, ids::TargetName, random::Random};
use monoio::net::TcpListener;
use serde::{Deserialize, Serialize};

use crate::{
    faults::FaultChange,
    http::{self, Handler, Reply, Request},
    listen,
    plan::Plan,
    records::RunLog,
    server::{self, ServerHandle},
    signal::Signal,
    target::{Connection, Target},
};

/// Number of attempts of a restarted target to listen on its port, and the delay between them.
const LISTEN_ATTEMPTS: usize = 100;
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The addresses that the targets of a process listen on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPorts {
    /// The control address, where faults are set and runs are read.
    pub control: SocketAddr,
    /// The addresses of the targets, in the order of the plan.
    pub targets: Vec<TargetPort>,
}

/// The address that a target listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetPort {
    /// The name of the target.
    pub name: TargetName,
    /// The address of the target.
    pub address: SocketAddr,
}

/// The targets of a process, stopped on drop.
pub struct Fleet {
    /// The addresses that they listen on.
    pub ports: FleetPorts,
    inner: Rc<Inner>,
    _control: ServerHandle,
}

struct Inner {
    targets: Vec<Rc<Target>>,
    log: Rc<RefCell<RunLog>>,
    stop: Signal,
}

impl Fleet {
    /// Starts the targets of `plan` on the current runtime.
    pub fn start(plan: &Plan) -> io::Result<Fleet> {
        let random = Random::with_seed(plan.seed);
        let log: Rc<RefCell<RunLog>> = Rc::default();
        let mut targets = Vec::new();
        let mut listeners = Vec::new();
        let mut ports = Vec::new();
        for plan in &plan.target {
            let listener = listen(plan.port)?;
            let address = listener.local_addr()?;
            ports.push(TargetPort { name: plan.name.clone(), address });
            listeners.push((listener, address.port()));
            let random = Random::with_seed(random.number());
            targets.push(Rc::new(Target::new(plan.clone(), random, log.clone())));
        }
        let inner = Rc::new(Inner { targets, log, stop: Signal::default() });
        for (target, (listener, port)) in inner.targets.iter().zip(listeners) {
            monoio::spawn(run_target(target.clone(), listener, port, inner.clone()));
        }
        let control = server::spawn(listen(plan.control)?, Rc::new(Control(inner.clone())))?;
        let ports = FleetPorts { control: control.address, targets: ports };
        Ok(Fleet { ports, inner, _control: control })
    }

    /// Changes the faults of one target or all; returns false if there is no such target.
    pub fn apply(&self, change: &FaultChange) -> bool {
        self.inner.apply(change)
    }

    /// Returns the records of what the targets ran.
    pub fn log(&self) -> RunLog {
        self.inner.log.borrow().clone()
    }

    /// Returns the address of the target called `name`.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let target = self.ports.targets.iter().find(|target| target.name.as_str() == name);
        target.map(|target| target.address)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.inner.stop.trigger();
        self.inner.targets.iter().for_each(|target| target.incarnation().stop.trigger());
    }
}

impl Inner {
    fn apply(&self, change: &FaultChange) -> bool {
        let named = |target: &&Rc<Target>| match &change.target {
            Some(name) => target.plan.name == *name,
            None => true,
        };
        let chosen: Vec<&Rc<Target>> = self.targets.iter().filter(named).collect();
        chosen.iter().for_each(|target| target.apply(change));
        !chosen.is_empty()
    }
}

/// Runs a target, with a new incarnation after each crash.
async fn run_target(target: Rc<Target>, mut listener: TcpListener, port: u16, inner: Rc<Inner>) {
    loop {
        let incarnation = target.incarnation();
        while let Some(stream) = server::accept(&listener, &incarnation.stop).await {
            let connection = Rc::new(Connection::open(&target));
            let incarnation = incarnation.clone();
            monoio::spawn(async move {
                connection.simulate_setup().await;
                http::serve(stream, connection, &incarnation.stop).await;
            });
        }
        // Closing the port makes connection attempts fail, as with a process that has exited.
        drop(listener);
        let down = target.faults.borrow().restart_ms;
        monoio::time::sleep(Duration::from_millis(down)).await;
        if inner.stop.is_triggered() {
            return;
        }
        target.restart();
        listener = match listen_with_retry(port).await {
            Ok(listener) => listener,
            Err(_) => return,
        };
    }
}

async fn listen_with_retry(port: u16) -> io::Result<TcpListener> {
    for _ in 0..LISTEN_ATTEMPTS {
        if let Ok(listener) = listen(port) {
            return Ok(listener);
        }
        monoio::time::sleep(LISTEN_RETRY_DELAY).await;
    }
    listen(port)
}

/// Handles requests to the control port.
struct Control(Rc<Inner>);

impl Handler for Control {
    fn handle(&self, request: Request) -> LocalFuture<'_, Reply> {
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/standin/faults") => match request.json::<FaultChange>() {
                Ok(change) if self.0.apply(&change) => Reply::status(204),
                Ok(_) => Reply::status(404),
                Err(reply) => reply,
            },
            ("GET", "/standin/log") => {
                let after: usize = request.field("after").unwrap_or_default();
                let log = self.0.log.borrow();
                let runs = log.runs.get(after..).unwrap_or_default().to_vec();
                let (over_limit, shed) = (log.over_limit, log.shed);
                let drained = log.drained.clone();
                Reply::json(200, &RunLog { runs, drained, over_limit, shed })
            }
            _ => Reply::status(404),
        };
        Box::pin(async { reply })
    }
}
