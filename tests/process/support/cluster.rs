//! The state replicas, entries, gateways and stand-ins of one test.

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
use super::program::block_spawning;
use super::run;

/// The sample inventory.
pub(crate) const INVENTORY: &str = include_str!("../../../examples/inventory.toml");

/// Header with the key of the first organisation of the sample inventory.
pub(crate) const AUTH_HEADER: (&str, &str) = ("authorization", "Bearer dev-maple-key");

/// Key of the processes of a cluster.
pub(crate) const PEER_KEY: &str = "test-peer-key";
const OPERATORS: [&str; 2] = ["ann", "bob"];

/// Clusters that run concurrently; the limit keeps a busy machine usable.
const MAX_RUNNING_CLUSTERS: u32 = 3;

/// Number of running clusters, and the signal that one has ended.
static RUNNING_CLUSTERS: (Mutex<u32>, Condvar) = (Mutex::new(0), Condvar::new());
/// Number of the next cluster, for the name of its folder.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// A cluster. Dropping it kills its replicas and entries and, unless the test failed, deletes its
/// folder.
pub(crate) struct Cluster {
    pub(crate) replicas: Vec<Program>,
    pub(crate) entries: Vec<Program>,
    /// Replica addresses that entries and gateways started from now on get; a test may put proxies
    /// there.
    pub(crate) configured_replicas: Vec<SocketAddr>,
    /// Addresses on which the replicas listen.
    pub(crate) replica_addresses: Vec<SocketAddr>,
    pub(crate) entry_addresses: Vec<SocketAddr>,
    /// Additional flags of entries that are started from now on.
    pub(crate) entry_flags: Vec<String>,
    /// Additional flags of gateways that are started from now on.
    pub(crate) gateway_flags: Vec<String>,
    /// Folder for logs and the replicas' data folders.
    pub(crate) folder: PathBuf,
    standin_count: u32,
}

/// Ports that [`free_address`] has returned, so that it returns none twice.
static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address with a port that the kernel reports as free.
///
/// The IP address derives from the process id, so that only this process uses it. Outgoing
/// connections start from 127.0.0.1, so they can't take the port before the program listens on it.
pub(crate) fn free_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    loop {
        // A process that is being started would keep the listener open.
        let _guard = block_spawning();
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if USED_PORTS.lock().unwrap().insert(address.port()) {
            return address;
        }
    }
}

fn comma_separated(addresses: &[SocketAddr]) -> String {
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
    /// Starts replicas and entries without an inventory. Waits while [`MAX_RUNNING_CLUSTERS`] run.
    pub(crate) fn start(replicas: usize, entries: usize) -> Self {
        let (count, cluster_ended) = &RUNNING_CLUSTERS;
        let mut running = count.lock().unwrap();
        while *running >= MAX_RUNNING_CLUSTERS {
            running = cluster_ended.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("daisyquay-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let replica_addresses: Vec<SocketAddr> = (0..replicas).map(|_| free_address()).collect();
        let mut cluster = Self {
            replicas: Vec::new(),
            entries: Vec::new(),
            configured_replicas: replica_addresses.clone(),
            replica_addresses,
            entry_addresses: Vec::new(),
            entry_flags: Vec::new(),
            gateway_flags: Vec::new(),
            folder,
            standin_count: 0,
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

    /// Starts a cluster and waits until the sample inventory is in force.
    pub(crate) fn start_with_inventory(replicas: usize, entries: usize) -> Self {
        let cluster = Self::start(replicas, entries);
        cluster.apply(INVENTORY, &["--change-id", "first"]);
        cluster
    }

    /// Starts replica `i` on its data folder.
    pub(crate) fn start_replica(&self, i: usize) -> Program {
        self.start_replica_among(i, &self.replica_addresses)
    }

    /// Starts replica `i` with `replicas` in its flag `--replicas`.
    pub(crate) fn start_replica_among(&self, i: usize, replicas: &[SocketAddr]) -> Program {
        let address = self.replica_addresses[i];
        self.start_replica_behind(i, address, address, replicas)
    }

    /// Starts replica `i` on its data folder, which listens on `listen` and is reached at
    /// `advertised`.
    pub(crate) fn start_replica_behind(
        &self,
        i: usize,
        listen: SocketAddr,
        advertised: SocketAddr,
        replicas: &[SocketAddr],
    ) -> Program {
        let operators: Vec<String> = OPERATORS
            .iter()
            .map(|name| format!("{name}={:x}", Sha256::digest(format!("key-of-{name}"))))
            .collect();
        let args = flags(&[
            ("listen", listen.to_string()),
            ("advertise", advertised.to_string()),
            ("admin-listen", "127.0.0.1:0".to_owned()),
            ("replicas", comma_separated(replicas)),
            ("data", self.data_folder(i).display().to_string()),
            ("peer-key", PEER_KEY.to_owned()),
            ("operators", operators.join(",")),
            ("snapshot-every", "500".to_owned()),
        ]);
        let log = self.folder.join(format!("state-{i}.log"));
        Program::start(env!("CARGO_BIN_EXE_daisyquay-state"), &args, &log)
    }

    /// Returns the data folder of replica `i`.
    pub(crate) fn data_folder(&self, i: usize) -> PathBuf {
        self.folder.join(format!("data-{i}"))
    }

    /// Starts an entry that connects to `self.configured_replicas` and returns its index.
    pub(crate) fn add_entry(&mut self, data_centre: &str) -> usize {
        let i = self.entries.len();
        let address = free_address();
        let mut args = flags(&[
            ("listen", address.to_string()),
            ("admin-listen", "127.0.0.1:0".to_owned()),
            ("vm", format!("entry-{i}")),
            ("data-centre", data_centre.to_owned()),
            ("state", comma_separated(&self.configured_replicas)),
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

    /// Starts a gateway that connects to `self.configured_replicas`.
    pub(crate) fn start_gateway(&self) -> (Program, SocketAddr) {
        let address = free_address();
        (self.start_gateway_at(address), address)
    }

    /// Starts a gateway that listens on `address`.
    pub(crate) fn start_gateway_at(&self, address: SocketAddr) -> Program {
        self.start_gateway_with(address, &[])
    }

    /// Starts a gateway that listens on `address`, with further flags.
    pub(crate) fn start_gateway_with(&self, address: SocketAddr, extra_args: &[&str]) -> Program {
        let mut args = flags(&[
            ("listen", address.to_string()),
            ("loads-listen", free_address().to_string()),
            ("vm", "gateway".to_owned()),
            ("data-centre", "dc1".to_owned()),
            ("state", comma_separated(&self.configured_replicas)),
            ("peer-key", PEER_KEY.to_owned()),
            ("stop-limit", "8".to_owned()),
        ]);
        args.extend(extra_args.iter().copied().map(str::to_owned));
        args.extend(self.gateway_flags.clone());
        let log = self.folder.join(format!("gateway-{}.log", address.port()));
        let path = env!("CARGO_BIN_EXE_daisyquay-gateway");
        Program::start(path, &args, &log)
    }

    /// Starts a replica with an empty data folder at an address that the others don't know.
    pub(crate) fn start_replacement(&mut self) -> Program {
        let known_replicas = self.replica_addresses.clone();
        self.replica_addresses.push(free_address());
        let i = self.replica_addresses.len() - 1;
        self.start_replica_among(i, &known_replicas)
    }

    /// Replaces replica `i` by one at another address, with an empty data folder, and waits until it
    /// votes in the place of the old one.
    pub(crate) fn replace_replica(&mut self, i: usize) {
        let (old, new) = (self.replica_addresses[i], free_address());
        self.replica_addresses[i] = new;
        self.replicas[i].kill();
        std::fs::remove_dir_all(self.data_folder(i)).unwrap();
        self.replicas[i] = self.start_replica(i);
        eventually("the replica is replaced", || {
            let status = self.show("status");
            let members = status["members"].as_array()?;
            let is_voter = |address: SocketAddr| {
                let mut members = members.iter();
                members.any(|m| m[0] == address.to_string() && m[2] == "voter")
            };
            (is_voter(new) && !is_voter(old)).then_some(())
        });
    }

    /// Starts a stand-in that announces itself, and waits until all entries know it.
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
        // Entries learn of the upstream with their next renewal.
        std::thread::sleep(std::time::Duration::from_secs(1));
        (program, address)
    }

    /// Starts a stand-in without waiting for its announcement.
    pub(crate) fn start_standin(&mut self, id: &str, serves: &[&str]) -> (Program, SocketAddr) {
        self.standin_count += 1;
        let address = free_address();
        let mut args = flags(&[
            ("listen", address.to_string()),
            ("entries", comma_separated(&self.entry_addresses)),
            ("upstream-key", "dev-upstream-key".to_owned()),
            ("id", id.to_owned()),
        ]);
        args.extend(serves.iter().map(ToString::to_string));
        let log = self
            .folder
            .join(format!("standin-{}.log", self.standin_count));
        let path = env!("CARGO_BIN_EXE_daisyquay-standin");
        (Program::start(path, &args, &log), address)
    }

    /// Runs the operators' command line with the key of the first operator.
    pub(crate) fn run_cli(&self, args: &[&str]) -> Output {
        self.run_cli_as(OPERATORS[0], args)
    }

    /// Runs the operators' command line with the key of the operator `who`.
    pub(crate) fn run_cli_as(&self, who: &str, args: &[&str]) -> Output {
        run(Command::new(env!("CARGO_BIN_EXE_daisyquay"))
            .args(["--state", &comma_separated(&self.replica_addresses)])
            .args(["--operator-key", &format!("key-of-{who}")])
            .args(args))
    }

    /// Applies an inventory and waits until it is in force.
    pub(crate) fn apply(&self, inventory: &str, extra_args: &[&str]) {
        let path = self.folder.join("inventory.toml");
        std::fs::write(&path, inventory).unwrap();
        let path = path.display().to_string();
        let mut args = vec!["apply", &path, "--wait", "30"];
        args.extend(extra_args);
        let output = self.run_cli(&args);
        assert!(
            output.status.success(),
            "{}{}",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Returns a report of `daisyquay show` as JSON, or `null` if the command fails.
    pub(crate) fn show(&self, report: &str) -> Value {
        let output = self.run_cli(&["--json", "show", report]);
        serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
    }

    /// Waits for a leader and returns its index.
    pub(crate) fn leader(&self) -> usize {
        eventually("there is a leader", || {
            let status = self.show("status");
            let leader = status["leader"].as_str()?.parse().ok()?;
            self.replica_addresses
                .iter()
                .position(|&address| address == leader)
        })
    }

    /// Returns the number of requests that are billed to an organisation, over all targets.
    pub(crate) fn billed_requests(&self, organisation: &str) -> u64 {
        let bill = eventually("`show bill` returns the bill", || {
            let bill = self.show("bill");
            bill.is_array().then_some(bill)
        });
        let rows = bill.as_array().unwrap();
        rows.iter()
            .filter(|row| row["organisation"] == organisation)
            .map(|row| row["requests"].as_u64().unwrap())
            .sum()
    }

    /// Waits until there are no open claims.
    pub(crate) fn wait_until_settled(&self) {
        eventually("all claims are settled", || {
            (self.show("status")["open_claims"] == 0).then_some(())
        });
    }

    /// Sends a chat request to entry `i`, with the key of the first organisation.
    pub(crate) fn chat(&self, i: usize, headers: &[(&str, &str)], body: &str) -> Option<Response> {
        let mut all = vec![AUTH_HEADER];
        all.extend(headers);
        post(self.entry_addresses[i], "/v1/chat/completions", &all, body)
    }

    /// Replaces a stand-in's faults; `faults` is the JSON for `POST /faults`.
    pub(crate) fn set_faults(&self, standin: SocketAddr, faults: &str) {
        let reply = post(standin, "/faults", &[], faults).unwrap();
        assert_eq!(reply.status, 204, "{}", reply.body);
    }

    /// Returns the request counts of a stand-in, as `GET /seen` reports them.
    pub(crate) fn request_counts(&self, standin: SocketAddr) -> Value {
        get(standin, "/seen", &[]).unwrap().json()
    }

    /// Returns the sum of a stand-in's request counts under one key of `GET /seen`.
    pub(crate) fn total_requests(&self, standin: SocketAddr, key: &str) -> u64 {
        let counts = self.request_counts(standin);
        let counters = counts[key].as_object().unwrap();
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
        let (count, cluster_ended) = &RUNNING_CLUSTERS;
        *count.lock().unwrap() -= 1;
        cluster_ended.notify_one();
    }
}
