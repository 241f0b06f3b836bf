//! Entry VMs that communicate over real sockets: messages between peers, commands of operators, and
//! a start while the platform is unavailable.

use guavapass::{
    control::{OperatorAnswer, OperatorRequest, VmStatus},
    driver::EntryVm,
    ids::Revision,
    ports::{MemberState, VmMember},
    settings::{
        CallerSettings, EntrySettings, ListenerSettings, LogSettings, PlatformSettings, Secret,
        ShutdownSettings,
    },
    stand_in::PlatformStandIn,
};
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::{Duration, Instant},
};

const OPERATORS: &str = "a secret of the operators";
const PEERS: &str = "a secret of the entry VMs";
const LIMIT: Duration = Duration::from_secs(30);

struct SocketCluster {
    platform: PlatformStandIn,
    vms: Vec<EntryVm>,
    runtime: tokio::runtime::Runtime,
    folder: PathBuf,
}

impl Drop for SocketCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl SocketCluster {
    fn start(name: &str, vms: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("guavapass-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("secret"), OPERATORS).unwrap();
        let document = include_str!("support/document.json");
        std::fs::write(folder.join("document.json"), document).unwrap();
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let platform = PlatformStandIn::start();
        let mut cluster = Self { platform, vms: Vec::new(), runtime, folder };
        for index in 0..vms {
            cluster.add_vm(&format!("vm-{index}"), PEERS, Vec::new());
        }
        cluster
    }

    fn add_vm(&mut self, name: &str, secret: &str, seeds: Vec<VmMember>) {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let listener = || ListenerSettings { listen: any, secret_files: Vec::new() };
        let settings = EntrySettings {
            vm: name.parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            callers: CallerSettings::at(any),
            operators: listener(),
            peers: listener(),
            platform: PlatformSettings { address: self.platform.address() },
            seeds,
            log: LogSettings::default(),
            metrics: None,
            shutdown: ShutdownSettings::default(),
        };
        let secrets = |text: &str| vec![Secret::new(text.as_bytes()).unwrap()];
        let vm = EntryVm::start(&settings, secrets(OPERATORS), secrets(secret)).unwrap();
        self.platform.members().add_entry_vm(member(name, vm.peers));
        self.vms.push(vm);
    }

    fn status(&self, vm: usize) -> VmStatus {
        let answer = self.runtime.block_on(self.vms[vm].handle().ask(OperatorRequest::Status));
        match answer {
            OperatorAnswer::Status(status) => *status,
            answer => panic!("expected a status, got {answer:?}"),
        }
    }

    fn wait(&self, vm: usize, what: &str, holds: impl Fn(&VmStatus) -> bool) {
        let start = Instant::now();
        loop {
            let status = self.status(vm);
            if holds(&status) {
                return;
            }
            assert!(start.elapsed() < LIMIT, "timed out waiting for {what}: {status}");
            std::thread::yield_now();
        }
    }

    fn run(&self, vm: usize, words: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_guavapass"))
            .current_dir(&self.folder)
            .args(words)
            .args(["--vm", &self.vms[vm].operators.to_string(), "--secret-file", "secret"])
            .output()
            .unwrap()
    }
}

fn member(name: &str, address: SocketAddr) -> VmMember {
    let data_centre = "norte".parse().unwrap();
    VmMember { id: name.parse().unwrap(), address, data_centre, state: MemberState::Live }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn publish_reaches_all_vms() {
    let cluster = SocketCluster::start("publish", 3);
    for vm in 0..3 {
        cluster.wait(vm, "peers in reach", |status| {
            status.peers.iter().filter(|peer| peer.heard_age.is_some()).count() == 2
        });
    }
    let output = cluster.run(1, &["publish", "document.json", "--wait-everywhere"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("at every live entry VM"), "{}", text(&output.stdout));
    for vm in 0..3 {
        assert_eq!(cluster.status(vm).revision, Revision(1));
    }
    let output = cluster.run(0, &["preset", "absent"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("There is no preset absent"), "{}", text(&output.stderr));
    let output = cluster.run(0, &["preset", "peak", "--base", "0"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("but 1 is in force"), "{}", text(&output.stderr));
    let output = cluster.run(2, &["status"]);
    assert!(text(&output.stdout).contains("revision 1, preset ordinary"), "{output:?}");
}

#[test]
fn start_without_platform_takes_peers_configuration() {
    let mut cluster = SocketCluster::start("seeds", 2);
    let output = cluster.run(0, &["publish", "document.json"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    cluster.platform.members().add_backend_server(guavapass::ports::ServerMember {
        id: "listed-last".parse().unwrap(),
        address: cluster.vms[0].peers,
        data_centre: "norte".parse().unwrap(),
        pool: "unordered".parse().unwrap(),
        state: MemberState::Live,
    });
    cluster
        .wait(0, "the backend server on the membership list", |status| !status.servers.is_empty());
    cluster.platform.host().crash();
    let seed = member("vm-replaced-since", cluster.vms[0].peers);
    cluster.add_vm("vm-late", PEERS, vec![seed]);
    cluster.wait(2, "the configuration of a peer", |status| status.revision == Revision(1));
    cluster.wait(2, "the membership list of a peer", |status| {
        status.peers.iter().any(|peer| peer.vm.as_str() == "vm-1")
    });
    assert!(cluster.status(2).ready);
}

#[test]
fn vm_with_other_secret_is_not_heard() {
    let mut cluster = SocketCluster::start("stranger", 2);
    cluster.add_vm("vm-stranger", "another secret of strangers", Vec::new());
    cluster.wait(0, "vm-stranger to be out of reach", |status| {
        let stranger = status.peers.iter().find(|peer| peer.vm.as_str() == "vm-stranger");
        stranger.is_some_and(|peer| !peer.in_reach && peer.heard_age.is_none())
    });
    assert!(cluster.status(0).peers.iter().any(|peer| peer.in_reach));
}
