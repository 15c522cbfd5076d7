//! Fixtures: the daemon as a process, with stand-ins that run inside the test.

#![allow(dead_code)]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use kumquatnotch::{
    config::{
        document_store::{Authorship, DocumentStore},
        files::{self, FileText},
    },
    core::{clock::RuntimeClock, front::key_digest, random::Random},
};
use kumquatnotch_platform::store_client::{StoreClient, StoreOptions};
use rustix::process::{Pid, Signal, kill_process};
use standin_store::StoreServer;
use standins::{
    http::{Answer, Client},
    plan::Plan,
    targets::Fleet,
};

pub const KEY: &str = "a caller's key";

static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);

pub fn run<T>(test: impl Future<Output = T>) -> T {
    standins::block_on(async {
        let limit = Duration::from_secs(60);
        monoio::time::timeout(limit, test).await.expect("the test ends in time")
    })
}

pub async fn pause(millis: u64) {
    monoio::time::sleep(Duration::from_millis(millis)).await;
}

/// Polls `probe` until it returns a value, for at most 10 s.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(what: &str, probe: impl Fn() -> F) -> T {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        pause(20).await;
    }
}

/// Stand-ins for the platform and the targets of a daemon.
pub struct Environment {
    pub platform: StoreServer,
    pub fleet: Fleet,
}

/// Starts three targets with one shard each, and a platform without a document.
pub fn environment(service_ms: f64) -> Environment {
    let mut plan = Plan::uniform(0, 3, 3);
    plan.target.iter_mut().for_each(|target| {
        target.service_ms = service_ms;
        target.spread = 0.0;
    });
    let platform = StoreServer::start(0).expect("a free port is found");
    Environment { platform, fleet: Fleet::start(&plan).expect("free ports are found") }
}

impl Environment {
    fn document(&self) -> String {
        let mut text = format!(
            "[regions]\namman = \"jordan\"\n\
             [tenants.barid]\nkeys = [\"{}\"]\nstop = {{ patience = 0.9, enough = 1.0 }}\n\
             [selectors.desk]\ntargets = \"\"\nclass = \"desk\"\ndeadline_ms = 8000\n\
             [selectors.hold]\ntargets = \"\"\nclass = \"desk\"\nexclusive = true\n\
             deadline_ms = 8000\n",
            key_digest(KEY),
        );
        for (number, target) in self.fleet.ports.targets.iter().enumerate() {
            text.push_str(&format!(
                "[targets.{}]\naddress = \"{}\"\ncentre = \"amman\"\nshard = \"s{number}\"\n",
                target.name, target.address,
            ));
        }
        text
    }

    /// Publishes a document that lists the targets.
    pub async fn publish(&self) {
        let files = [FileText { name: "all.toml".to_owned(), text: self.document() }];
        let document = files::parse(&files).expect("the document is valid");
        let options = StoreOptions::new(self.platform.address);
        let clock = Rc::new(RuntimeClock);
        let random = Random::with_seed(3);
        let client = Rc::new(StoreClient::new(options, clock.clone()));
        let store = DocumentStore::new(client, clock, random);
        let author = Authorship { author: "test", note: "" };
        let current = store.current().await.expect("the platform answers");
        store.publish(&current, &document, author).await.expect("the document is accepted");
    }

    pub fn settings(&self) -> String {
        format!(
            "[node]\nname = \"n1\"\ncentre = \"amman\"\nregion = \"jordan\"\n\
             [platform]\naddress = \"{}\"\n[advice]\nvalid = \"1s\"\n",
            self.platform.address,
        )
    }
}

/// Writes settings to a new file.
pub fn settings_file(text: &str) -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("kumquatnotchd-{}-{number}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).expect("settings can be written");
    path
}

pub fn command(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kumquatnotchd"));
    command.arg("--settings").arg(settings);
    command
}

/// A running daemon, which is killed when the value is dropped.
pub struct Daemon {
    pub child: Child,
    pub entry: SocketAddr,
    pub lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon named `n1` and waits until it listens.
    pub async fn start(environment: &Environment, extra: &[&str]) -> Daemon {
        Daemon::start_with(&environment.settings(), extra).await
    }

    /// Starts a daemon named `name` that joins through the peer at `seed`.
    pub async fn start_with_seed(
        environment: &Environment,
        name: &str,
        seed: SocketAddr,
    ) -> Daemon {
        let settings = environment.settings().replace("\"n1\"", &format!("\"{name}\""));
        let settings = format!("{settings}[join]\nseeds = [\"{seed}\"]\n");
        Daemon::start_with(&settings, &[]).await
    }

    async fn start_with(settings: &str, extra: &[&str]) -> Daemon {
        let settings = settings_file(settings);
        let mut command = command(&settings);
        command.args(extra).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().expect("the daemon starts");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (output, shared) = (child.stderr.take().expect("stderr is piped"), lines.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                shared.lock().expect("no reader panics").push(line);
            }
        });
        let entry = wait_until("its address", async || find_address(&lines, "callers at ")).await;
        Daemon { child, entry, lines, settings }
    }

    /// Returns the listen address for peers.
    pub fn peer(&self) -> SocketAddr {
        find_address(&self.lines, "peers at ").expect("one log line has both addresses")
    }

    pub fn client(&self) -> Client {
        Client::new(self.entry, Duration::from_secs(10))
    }

    pub async fn get(&self, path: &str) -> Answer {
        self.client().get(path).await.expect("the daemon answers")
    }

    /// Waits until the daemon serves callers.
    pub async fn wait_until_ready(&self) {
        wait_until("readiness", async || {
            let ready = self.get("/readyz").await.status == 200;
            ready.then_some(())
        })
        .await;
    }

    pub fn send_sigterm(&self) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::TERM).expect("the daemon is running");
    }

    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..1_000 {
            if let Some(status) = self.child.try_wait().expect("waiting succeeds") {
                return status;
            }
            pause(20).await;
        }
        panic!("the daemon does not exit");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn find_address(lines: &Arc<Mutex<Vec<String>>>, label: &str) -> Option<SocketAddr> {
    let lines = lines.lock().expect("no writer panics");
    let line = lines.iter().find(|line| line.contains(label))?;
    let address = line.split(label).nth(1)?.split(',').next()?;
    address.trim().parse().ok()
}

/// Sends a request with the key of a caller.
pub async fn call(client: &Client, path: &str, body: serde_json::Value) -> Answer {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    let body = serde_json::to_vec(&body).expect("JSON can be written");
    client.send("POST", path, &headers, body.into()).await.expect("the daemon answers")
}
