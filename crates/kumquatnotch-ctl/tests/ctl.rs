//! Tests of the command line against a stand-in for the platform.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use kumquatnotch::{
    core::codec,
    policy::crashes::{Crash, CrashRecord},
};
use standin_store::{StoreServer, faults::StoreFaultChange};

/// Interval at which the thread of the platform checks whether to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A platform that runs in a thread, and a folder for documents.
struct Fixture {
    address: SocketAddr,
    folder: PathBuf,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Fixture {
    fn start(name: &str, change: StoreFaultChange) -> Fixture {
        Fixture::start_with(name, change, |_| {})
    }

    /// Starts a platform whose store is filled by `fill`.
    fn start_with(
        name: &str,
        change: StoreFaultChange,
        fill: impl FnOnce(&StoreServer) + Send + 'static,
    ) -> Fixture {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = mpsc::channel();
        let stop_flag = stop.clone();
        let thread = thread::spawn(move || {
            standins::block_on(async move {
                let platform = StoreServer::start(0).unwrap();
                platform.apply(&change);
                fill(&platform);
                sender.send(platform.address).unwrap();
                while !stop_flag.load(Ordering::Relaxed) {
                    monoio::time::sleep(STOP_POLL_INTERVAL).await;
                }
            });
        });
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        Fixture { address: receiver.recv().unwrap(), folder, stop, thread: Some(thread) }
    }

    fn document(&self, targets: usize) -> String {
        let path = self.folder.join(format!("{targets}.toml"));
        let mut text = "[regions]\namman = \"jordan\"\n".to_owned();
        for index in 0..targets {
            text += &format!(
                "[targets.t{index}]\naddress = \"127.0.0.1:{}\"\ncentre = \"amman\"\nshard = \"s\"\n",
                9_000 + index,
            );
        }
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_kumquatnotch-ctl"))
            .args(["--platform", &self.address.to_string(), "--author", "huda"])
            .args(args)
            .output()
            .unwrap()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn text(output: &Output) -> String {
    let Output { stdout, stderr, .. } = output;
    String::from_utf8_lossy(stdout).into_owned() + &String::from_utf8_lossy(stderr)
}

#[test]
fn document_is_applied_shown_and_rolled_back() {
    let fixture = Fixture::start("rollback", StoreFaultChange::default());
    let (one, two) = (fixture.document(1), fixture.document(2));

    let first = fixture.run(&["apply", &one, "--base", "0"]);
    let second = fixture.run(&["apply", &two, "--base", "1"]);
    let rolled_back = fixture.run(&["rollback", "1"]);
    let shown = fixture.run(&["show"]);

    assert!(text(&first).contains("accepted as version 1"), "{}", text(&first));
    assert!(text(&second).contains("+ targets.t1"), "{}", text(&second));
    assert!(text(&rolled_back).contains("accepted as version 3"), "{}", text(&rolled_back));
    assert!(text(&shown).contains("[targets.t0]"), "{}", text(&shown));
    assert!(!text(&shown).contains("[targets.t1]"), "{}", text(&shown));
}

/// Two operators start from version 1. One applies files with a new target, and
/// the other then applies files without it. If these were accepted, the second
/// operator would unintentionally remove the target of the first.
#[test]
fn files_based_on_an_older_version_are_refused() {
    let fixture = Fixture::start("older", StoreFaultChange::default());
    let (one, two, three) = (fixture.document(1), fixture.document(2), fixture.document(3));
    fixture.run(&["apply", &one, "--base", "0"]);

    let first = fixture.run(&["apply", &three, "--base", "1"]);
    let second = fixture.run(&["apply", &two, "--base", "1"]);

    assert_eq!(first.status.code(), Some(0), "{}", text(&first));
    assert_eq!(second.status.code(), Some(3), "{}", text(&second));
    assert!(text(&second).contains("+ targets.t2"), "{}", text(&second));
}

/// The platform stores all five values, the head last, but every reply is lost.
/// The operator must see "accepted", and the history must contain the change
/// only once.
#[test]
fn a_lost_reply_is_resolved() {
    let change = StoreFaultChange { lose_replies: Some(5), ..StoreFaultChange::default() };
    let fixture = Fixture::start("lost", change);
    let one = fixture.document(1);

    let applied = fixture.run(&["apply", &one, "--base", "0"]);
    let history = fixture.run(&["history"]);

    assert!(text(&applied).contains("accepted as version 1"), "{}", text(&applied));
    assert_eq!(text(&history).lines().count(), 1, "{}", text(&history));
}

#[test]
fn a_faulty_document_is_refused_with_every_fault() {
    let fixture = Fixture::start("faulty", StoreFaultChange::default());
    let path = fixture.folder.join("faulty.toml");
    let text_of = "[targets.t0]\naddress = \"here\"\ncentre = \"amman\"\nshard = 7\n";
    fs::write(&path, text_of).unwrap();

    let output = fixture.run(&["check", &path.display().to_string()]);

    assert_eq!(output.status.code(), Some(1));
    let text = text(&output);
    assert!(text.contains("faulty.toml:2: targets.t0.address"), "{text}");
    assert!(text.contains("faulty.toml:4: targets.t0.shard"), "{text}");
}

/// Guards against a refusal that operators can neither see nor lift.
#[test]
fn refused_request_is_listed_and_lifted() {
    let fixture = Fixture::start_with("suspects", StoreFaultChange::default(), |platform| {
        let crashes = (0..3).map(|incarnation| Crash { incarnation, service: 1 }).collect();
        let created_s = kumquatnotch_route::crash_records::unix_seconds();
        let record = CrashRecord { crashes, trials: 2, ..CrashRecord::new("/all/x?y", created_s) };
        let value = codec::encode(&record).unwrap();
        platform.state.put("kumquatnotch/suspects/00000000000000ab", &value, 0);
    });

    let listed = text(&fixture.run(&["suspects"]));
    let unknown = fixture.run(&["suspects", "--lift", "cd"]);
    let lifted = fixture.run(&["suspects", "--lift", "00000000000000ab"]);
    let after = text(&fixture.run(&["suspects"]));

    assert!(listed.contains("00000000000000ab") && listed.contains("refused"), "{listed}");
    assert!(listed.contains("/all/x?y"), "{listed}");
    assert_eq!((unknown.status.code(), lifted.status.code()), (Some(1), Some(0)));
    assert!(!after.contains("00000000000000ab"), "{after}");
}

#[test]
fn help_names_every_command() {
    let fixture = Fixture::start("help", StoreFaultChange::default());

    let help = text(&fixture.run(&["--help"]));

    for command in ["apply", "diff", "status", "rollback", "drain", "check", "history", "suspects"]
    {
        assert!(help.contains(command), "{help}");
    }
}
