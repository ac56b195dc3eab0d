//! State replicas, entries and stand-ins of one test.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use super::Program;
use super::Response;
use super::eventually;
use super::get;
use super::post;

/// The sample inventory.
pub(crate) const INVENTORY: &str = include_str!("../../../examples/inventory.toml");

/// Key of the sample inventory's first organisation, as a header.
pub(crate) const AUTH_HEADER: (&str, &str) = ("authorization", "Bearer dev-lagon-key");

const PEER_KEY: &str = "test-peer-key";
const OPERATORS: [&str; 2] = ["ann", "bob"];

/// Clusters that run at once, so that a busy machine stays usable.
const AT_ONCE: u32 = 2;

static RUNNING: (Mutex<u32>, Condvar) = (Mutex::new(0), Condvar::new());
static NAMES: AtomicU32 = AtomicU32::new(0);

/// A cluster; everything in it ends with it.
pub(crate) struct Cluster {
    pub(crate) replicas: Vec<Program>,
    pub(crate) entries: Vec<Program>,
    pub(crate) configured_replicas: Vec<SocketAddr>,
    pub(crate) replica_addresses: Vec<SocketAddr>,
    pub(crate) entry_addresses: Vec<SocketAddr>,
    /// Further flags of entries that are started from now on.
    pub(crate) entry_flags: Vec<String>,
    pub(crate) folder: PathBuf,
    standins: u32,
}

/// Ports that were given out, so that none is given twice.
static PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address that the kernel says is free. It is on a loopback address of this process alone:
/// outgoing connections, which start from 127.0.0.1, can't take its port meanwhile.
fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    loop {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if PORTS.lock().unwrap().insert(address.port()) {
            return address;
        }
    }
}

fn list(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}

fn flags(pairs: &[(&str, String)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(name, value)| [format!("--{name}"), value.clone()])
        .collect()
}

impl Cluster {
    /// Starts replicas and entries; no inventory is loaded yet.
    pub(crate) fn start(replicas: usize, entries: usize) -> Self {
        let (count, freed) = &RUNNING;
        let mut running = count.lock().unwrap();
        while *running >= AT_ONCE {
            running = freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        let name = NAMES.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("daisyquay-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let replica_addresses: Vec<SocketAddr> = (0..replicas).map(|_| free_address()).collect();
        let mut cluster = Self {
            replicas: Vec::new(),
            entries: Vec::new(),
            configured_replicas: replica_addresses.clone(),
            replica_addresses,
            entry_addresses: Vec::new(),
            entry_flags: Vec::new(),
            folder,
            standins: 0,
        };
        for i in 0..replicas {
            let program = cluster.start_replica(i);
            cluster.replicas.push(program);
        }
        for i in 0..entries {
            cluster.add_entry(&format!("dc{}", i % 3 + 1));
        }
        cluster
    }

    /// Starts a cluster with the sample inventory in force.
    pub(crate) fn start_with_inventory(replicas: usize, entries: usize) -> Self {
        let cluster = Self::start(replicas, entries);
        cluster.apply(INVENTORY, &["--change-id", "first"]);
        cluster
    }

    /// Starts replica `i` on its own folder.
    pub(crate) fn start_replica(&self, i: usize) -> Program {
        self.start_replica_among(i, &self.replica_addresses)
    }

    fn start_replica_among(&self, i: usize, replicas: &[SocketAddr]) -> Program {
        let operators: Vec<String> = OPERATORS
            .iter()
            .map(|name| format!("{name}={:x}", Sha256::digest(format!("key-of-{name}"))))
            .collect();
        let args = flags(&[
            ("listen", self.replica_addresses[i].to_string()),
            ("admin-listen", "127.0.0.1:0".to_owned()),
            ("replicas", list(replicas)),
            ("data", self.data_folder(i).display().to_string()),
            ("peer-key", PEER_KEY.to_owned()),
            ("operators", operators.join(",")),
            ("snapshot-every", "500".to_owned()),
        ]);
        let log = self.folder.join(format!("state-{i}.log"));
        Program::start(env!("CARGO_BIN_EXE_daisyquay-state"), &args, &log)
    }

    /// Data folder of replica `i`.
    pub(crate) fn data_folder(&self, i: usize) -> PathBuf {
        self.folder.join(format!("data-{i}"))
    }

    /// Starts one more entry, which reaches the state at `self.configured_replicas`.
    pub(crate) fn add_entry(&mut self, data_centre: &str) -> usize {
        let i = self.entries.len();
        let address = free_address();
        let mut args = flags(&[
            ("listen", address.to_string()),
            ("admin-listen", "127.0.0.1:0".to_owned()),
            ("vm", format!("entry-{i}")),
            ("data-centre", data_centre.to_owned()),
            ("state", list(&self.configured_replicas)),
            ("peer-key", PEER_KEY.to_owned()),
            ("address-valid", "0.5".to_owned()),
        ]);
        args.extend(self.entry_flags.clone());
        let log = self.folder.join(format!("entry-{i}.log"));
        let program = Program::start(env!("CARGO_BIN_EXE_daisyquay-entry"), &args, &log);
        self.entries.push(program);
        self.entry_addresses.push(address);
        i
    }

    /// Starts a gateway that reaches the state at `self.configured_replicas`.
    pub(crate) fn start_gateway(&self) -> (Program, SocketAddr) {
        let address = free_address();
        (self.start_gateway_at(address), address)
    }

    /// Starts a gateway at that address.
    pub(crate) fn start_gateway_at(&self, address: SocketAddr) -> Program {
        let args = flags(&[
            ("listen", address.to_string()),
            ("loads-listen", free_address().to_string()),
            ("vm", "gateway".to_owned()),
            ("data-centre", "dc1".to_owned()),
            ("state", list(&self.configured_replicas)),
            ("peer-key", PEER_KEY.to_owned()),
            ("stop-limit", "8".to_owned()),
        ]);
        let log = self.folder.join(format!("gateway-{}.log", address.port()));
        let path = env!("CARGO_BIN_EXE_daisyquay-gateway");
        Program::start(path, &args, &log)
    }

    /// Starts a replica at an address that the others have not heard of, on an empty folder.
    pub(crate) fn start_replacement(&mut self) -> Program {
        let former = self.replica_addresses.clone();
        self.replica_addresses.push(free_address());
        let i = self.replica_addresses.len() - 1;
        self.start_replica_among(i, &former)
    }

    /// Starts a stand-in that announces itself to all entries, and waits until it is known.
    pub(crate) fn start_announced_standin(
        &mut self,
        id: &str,
        serves: &[&str],
    ) -> (Program, SocketAddr) {
        let (program, address) = self.start_standin(id, serves);
        eventually("the stand-in is announced", || {
            let upstreams = self.show("upstreams");
            let rows = upstreams.as_array()?;
            rows.iter()
                .any(|row| row["address"] == address.to_string())
                .then_some(())
        });
        // Every entry has it one renewal later.
        std::thread::sleep(std::time::Duration::from_secs(1));
        (program, address)
    }

    /// Starts a stand-in without waiting.
    pub(crate) fn start_standin(&mut self, id: &str, serves: &[&str]) -> (Program, SocketAddr) {
        self.standins += 1;
        let address = free_address();
        let mut args = flags(&[
            ("listen", address.to_string()),
            ("entries", list(&self.entry_addresses)),
            ("upstream-key", "dev-upstream-key".to_owned()),
            ("id", id.to_owned()),
        ]);
        args.extend(serves.iter().map(ToString::to_string));
        let log = self.folder.join(format!("standin-{}.log", self.standins));
        let path = env!("CARGO_BIN_EXE_daisyquay-standin");
        (Program::start(path, &args, &log), address)
    }

    /// Runs the operators' command line as the first operator.
    pub(crate) fn run_cli(&self, args: &[&str]) -> Output {
        self.run_cli_as(OPERATORS[0], args)
    }

    /// Runs the operators' command line.
    pub(crate) fn run_cli_as(&self, who: &str, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_daisyquay"))
            .args(["--state", &list(&self.replica_addresses)])
            .args(["--operator-key", &format!("key-of-{who}")])
            .args(args)
            .output()
            .unwrap()
    }

    /// Loads an inventory and waits until it is in force.
    pub(crate) fn apply(&self, inventory: &str, more: &[&str]) {
        let path = self.folder.join("inventory.toml");
        std::fs::write(&path, inventory).unwrap();
        let path = path.display().to_string();
        let mut args = vec!["apply", &path, "--wait", "30"];
        args.extend(more);
        let output = self.run_cli(&args);
        assert!(
            output.status.success(),
            "{}{}",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// A report as JSON; `null` where nobody answers.
    pub(crate) fn show(&self, what: &str) -> Value {
        let output = self.run_cli(&["--json", "show", what]);
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }

    /// Index of the leading replica.
    pub(crate) fn leader(&self) -> usize {
        eventually("there is a leader", || {
            let status = self.show("status");
            let leader = status["leader"].as_str()?.parse().ok()?;
            self.replica_addresses
                .iter()
                .position(|&address| address == leader)
        })
    }

    /// Requests billed to an organisation, over all targets.
    pub(crate) fn billed_requests(&self, organisation: &str) -> u64 {
        let bill = eventually("the bill can be read", || {
            let bill = self.show("bill");
            bill.is_array().then_some(bill)
        });
        let rows = bill.as_array().unwrap();
        rows.iter()
            .filter(|row| row["organisation"] == organisation)
            .map(|row| row["requests"].as_u64().unwrap())
            .sum()
    }

    /// Waits until no claim is open.
    pub(crate) fn wait_until_settled(&self) {
        eventually("all claims are settled", || {
            (self.show("status")["open_claims"] == 0).then_some(())
        });
    }

    /// Sends a chat request to entry `i`.
    pub(crate) fn chat(&self, i: usize, headers: &[(&str, &str)], body: &str) -> Option<Response> {
        let mut all = vec![AUTH_HEADER];
        all.extend(headers);
        post(self.entry_addresses[i], "/v1/chat/completions", &all, body)
    }

    /// Switches a stand-in's faults.
    pub(crate) fn set_faults(&self, standin: SocketAddr, faults: &str) {
        let reply = post(standin, "/faults", &[], faults).unwrap();
        assert_eq!(reply.status, 204, "{}", reply.body);
    }

    /// What a stand-in has seen.
    pub(crate) fn request_counts(&self, standin: SocketAddr) -> Value {
        get(standin, "/seen", &[]).unwrap().json()
    }

    /// Sum of a stand-in's counters of one kind.
    pub(crate) fn total_requests(&self, standin: SocketAddr, kind: &str) -> u64 {
        let seen = self.request_counts(standin);
        let counters = seen[kind].as_object().unwrap();
        counters.values().map(|n| n.as_u64().unwrap()).sum()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.entries.clear();
        self.replicas.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        let (count, freed) = &RUNNING;
        *count.lock().unwrap() -= 1;
        freed.notify_one();
    }
}
