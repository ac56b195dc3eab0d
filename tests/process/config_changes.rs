//! A soak test of configuration changes: while replicas are replaced and other faults are injected,
//! each gateway is asked all the time which configuration it uses.
//!
//! `cargo test --test process -- --ignored config_changes_by_hand` runs consecutive seeds; the
//! environment variables `SOAK_FIRST` and `SOAK_SEEDS` set the first seed and their number.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use daisyquay::collections::Name;
use daisyquay::peer::CallError;
use daisyquay::peer::Client;
use daisyquay::peer::OperatorChange;
use daisyquay::peer::OperatorChangeReply;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use daisyquay::state::Document;
use daisyquay::state::command::Change;
use daisyquay::state::command::ChangeOutcome;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::Serves;

use nix::sys::signal::Signal;

use crate::support::Cluster;
use crate::support::ConfigRecord;
use crate::support::Findings;
use crate::support::Link;
use crate::support::PEER_KEY;
use crate::support::Program;
use crate::support::SERVICES;
use crate::support::Upstream;
use crate::support::eventually;
use crate::support::free_address;
use crate::support::inventory;
use crate::support::ok_response;
use crate::support::write;

/// Numbers of replicas and gateways.
const REPLICAS: usize = 3;
const GATEWAYS: usize = 6;

/// Time after which an operator turns to another replica.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two attempts of an operator.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two heartbeats of an upstream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Times for which a process stands still that is out of touch afterwards.
const SUSPENSIONS_MS: std::ops::Range<u64> = 1000..5000;

/// How long a seed runs and how far its faults are apart.
#[derive(Clone, Copy)]
struct Plan {
    /// Number of replicas that are replaced, one after another.
    replacements: usize,
    /// Most other faults after each replacement.
    others: usize,
    /// Time without a new fault after one, in milliseconds.
    quiet_ms: (u64, u64),
    /// Whether a gateway stands still for the time in which all replicas are replaced.
    has_long_suspension: bool,
    /// Threads that use the processor beside.
    load: usize,
}

/// What the threads of one run share.
struct Shared {
    record: ConfigRecord,
    /// Addresses of the replicas that operators and upstreams know of.
    known: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
}

/// A replica behind a proxy.
struct Replica {
    program: Program,
    link: Link,
    listen: SocketAddr,
    /// Value of its flag `--replicas`.
    replicas: Vec<SocketAddr>,
    /// Number of its data folder.
    folder: usize,
}

/// A call of a replica.
enum Call {
    Change(u64, bool),
    Announce(usize, SocketAddr),
}

impl Call {
    fn request(&self) -> Request {
        match *self {
            Self::Change(number, is_large) => {
                let change = Change::Load {
                    inventory: Arc::new(inventory(number, is_large)),
                    document: Document {
                        number,
                        text: format!("document {number}").into(),
                    },
                };
                Request::OnBehalf {
                    who: "ann".into(),
                    request: Box::new(Request::Change(OperatorChange {
                        change_id: format!("load-{number}").into(),
                        expected_revision: None,
                        change,
                        wait_ms: 0,
                    })),
                }
            }
            Self::Announce(service, address) => Request::Announce(Announcement {
                id: SERVICES[service].into(),
                incarnation: 1,
                address,
                data_centre: "dc1".into(),
                serves: Serves::Service(Name::from(SERVICES[service])),
                slots: 64,
                fences_orders: false,
                release: None,
                started_ms: None,
                draining: false,
                cold_ms: 0,
            }),
        }
    }
}

/// Calls a random replica, and the leader that it names. Returns `None` without a clear answer.
async fn try_call(
    client: &Client,
    shared: &Shared,
    rng: &mut fastrand::Rng,
    request: &Request,
) -> Option<Reply> {
    let known = shared.known.lock().unwrap().clone();
    let address = known[rng.usize(..known.len())];
    let reply: Result<Reply, CallError> = client.call(address, request, CALL_TIMEOUT).await;
    let reply = match reply {
        Ok(Reply::NotLeader {
            leader: Some(leader),
        }) => client.call(leader, request, CALL_TIMEOUT).await,
        reply => reply,
    };
    match reply {
        Ok(Reply::NotLeader { .. } | Reply::OutcomeUnknown) | Err(_) => None,
        Ok(reply) => Some(reply),
    }
}

/// Sends a change until it is acknowledged.
async fn submit(client: Client, shared: Arc<Shared>, seed: u64, number: u64, is_large: bool) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let request = Call::Change(number, is_large).request();
    shared.record.sent(number);
    while !shared.stop.load(Ordering::SeqCst) {
        match try_call(&client, &shared, &mut rng, &request).await {
            Some(Reply::Change(OperatorChangeReply {
                outcome: ChangeOutcome::Accepted { .. },
                ..
            })) => {
                shared.record.acked(number);
                return;
            }
            Some(reply) => panic!("document {number}: {reply:?}"),
            None => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Sends changes: single ones, in series, two at a time, small and large, and old ones again.
async fn send_changes(client: Client, shared: Arc<Shared>, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut number = 0;
    while !shared.stop.load(Ordering::SeqCst) {
        let changes = match rng.u8(..10) {
            0 => 12,
            1..4 => 2,
            _ => 1,
        };
        let is_race = changes == 2;
        let mut running = tokio::task::JoinSet::new();
        for _ in 0..changes {
            // Numbers of documents have gaps.
            number += rng.u64(1..4);
            let is_large = rng.u8(..3) == 0;
            let change = submit(
                client.clone(),
                shared.clone(),
                rng.u64(..),
                number,
                is_large,
            );
            running.spawn_local(change);
            if !is_race {
                running.join_next().await.unwrap().unwrap();
            }
        }
        while let Some(change) = running.join_next().await {
            change.unwrap();
        }
        if rng.u8(..6) == 0 && number > 5 {
            let old = Call::Change(number - 5, false).request();
            if shared.record.newest().1 > number - 5 {
                let _ = try_call(&client, &shared, &mut rng, &old).await;
            }
        }
        let pause = match rng.u8(..4) {
            0 => rng.u64(2200..4000),
            _ => rng.u64(50..1500),
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Announces an upstream again and again.
async fn send_heartbeats(
    client: Client,
    shared: Arc<Shared>,
    service: usize,
    address: SocketAddr,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let request = Call::Announce(service, address).request();
    while !shared.stop.load(Ordering::SeqCst) {
        let pause = match try_call(&client, &shared, &mut rng, &request).await {
            Some(Reply::Announce(_)) => HEARTBEAT_INTERVAL,
            _ => RETRY_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Runs the operators and the upstreams' heartbeats until the test stops.
fn run_clients(shared: &Arc<Shared>, upstreams: [SocketAddr; 2], seed: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let client = Client::new(PEER_KEY);
        let mut tasks = tokio::task::JoinSet::new();
        for (service, address) in upstreams.into_iter().enumerate() {
            tasks.spawn_local(send_heartbeats(
                client.clone(),
                shared.clone(),
                service,
                address,
                seed ^ service as u64,
            ));
        }
        tasks.spawn_local(send_changes(client.clone(), shared.clone(), seed));
        while let Some(task) = tasks.join_next().await {
            task.unwrap();
        }
    });
}

/// The programs under test.
struct World {
    cluster: Cluster,
    shared: Arc<Shared>,
    rng: fastrand::Rng,
    replicas: Vec<Replica>,
    /// Replicas that were replaced.
    replaced: Vec<Replica>,
    folders: usize,
    gateways: Vec<(Program, SocketAddr)>,
    began: Instant,
}

impl World {
    fn log(&self, text: &str) {
        println!("{:9.3?} {text}", self.began.elapsed());
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|r| r.link.address).collect()
    }

    fn start_replica(&mut self, listen: SocketAddr, link: Link, known: &[SocketAddr]) -> Replica {
        let folder = self.folders;
        self.folders += 1;
        let program = self
            .cluster
            .start_replica_behind(folder, listen, link.address, known);
        Replica {
            program,
            link,
            listen,
            replicas: known.to_vec(),
            folder,
        }
    }

    fn restart(&self, replica: &mut Replica) {
        replica.program = self.cluster.start_replica_behind(
            replica.folder,
            replica.listen,
            replica.link.address,
            &replica.replicas,
        );
    }

    /// Replaces a replica by one with an empty disk at another address.
    fn replace(&mut self, i: usize) {
        let from = Instant::now();
        let end = self.rng.u8(..4);
        let old = &mut self.replicas[i];
        match end {
            0 => {
                old.program.terminate();
                thread::sleep(Duration::from_millis(self.rng.u64(100..1500)));
                old.program.kill();
            }
            1 => old.program.kill(),
            2 => {
                old.link.cut_power();
                old.program.kill();
            }
            // It has no power, and comes back once it is removed.
            _ => old.program.suspend(),
        }
        self.log(&format!(
            "replace {i}, {}",
            ["terminated", "killed", "without power", "suspended"][usize::from(end)]
        ));
        thread::sleep(Duration::from_millis(self.rng.u64(0..2500)));
        let known = self.addresses();
        let listen = free_address();
        let link = Link::start(free_address(), listen);
        let new = self.start_replica(listen, link, &known);
        self.replaced
            .push(std::mem::replace(&mut self.replicas[i], new));
        self.cluster.replica_addresses = self.addresses();
        *self.shared.known.lock().unwrap() = self.addresses();
        self.shared.record.fault(None, from);
        self.log(&format!("replaced by {}", self.addresses()[i]));
    }

    /// Lets a replaced replica run again that still has its disk.
    fn bring_back(&mut self) {
        let Some(mut old) = self.replaced.pop() else {
            return;
        };
        let from = Instant::now();
        self.log(&format!("{} comes back", old.link.address));
        if old.program.try_exit_code().is_some() {
            old.link.restore_power();
            self.restart(&mut old);
        } else {
            old.program.resume();
        }
        self.shared.record.fault(None, from);
        self.replaced.insert(0, old);
    }

    fn leader(&self) -> Option<usize> {
        // The log of the leader tells; the command line would wait for one.
        let status = self.cluster.show("status");
        let leader: SocketAddr = status["leader"].as_str()?.parse().ok()?;
        self.addresses()
            .iter()
            .position(|&address| address == leader)
    }

    fn restart_gateway(&mut self, i: usize, pause: Duration) {
        self.shared.record.stop_or_start(i);
        let from = Instant::now();
        self.gateways[i].0.kill();
        thread::sleep(pause);
        // The platform writes the settings anew at each start.
        self.cluster.configured_replicas = self.addresses();
        self.gateways[i].0 = self.cluster.start_gateway_at(self.gateways[i].1);
        self.shared.record.stop_or_start(i);
        self.shared.record.fault(Some(i), from);
    }

    /// Injects one random fault and ends it before it returns.
    fn inject_fault(&mut self) {
        let replica = self.rng.usize(..REPLICAS);
        let gateway = self.rng.usize(..GATEWAYS);
        let pause = Duration::from_millis(self.rng.u64(0..1500));
        let suspension = Duration::from_millis(self.rng.u64(SUSPENSIONS_MS));
        let from = Instant::now();
        let kind = self.rng.u8(..12);
        self.log(&format!(
            "fault {kind}: replica {replica}, gateway {gateway}, {pause:?}, {suspension:?}"
        ));
        match kind {
            0 => {
                self.replicas[replica].program.kill();
                thread::sleep(pause);
                let mut replica = self.replicas.remove(replica);
                self.restart(&mut replica);
                self.replicas.push(replica);
                self.shared.record.fault(None, from);
            }
            1 => {
                let leader = self.leader().unwrap_or(replica);
                let from = Instant::now();
                self.replicas[leader].program.suspend();
                thread::sleep(pause);
                self.replicas[leader].program.resume();
                self.shared.record.fault(None, from);
            }
            // A follower that takes connections and never answers: the others stay in touch.
            2 => {
                let leader = self.leader();
                let follower = (0..REPLICAS).find(|&i| Some(i) != leader).unwrap();
                let from = Instant::now();
                self.replicas[follower].program.suspend();
                self.shared.record.fault(None, from);
                thread::sleep(Duration::from_secs(8) + pause);
                let from = Instant::now();
                self.replicas[follower].program.resume();
                self.shared.record.fault(None, from);
            }
            3 => {
                for replica in &self.replicas {
                    replica.link.silence_open();
                }
                self.shared.record.fault(None, from);
            }
            4 => {
                for replica in &self.replicas {
                    replica.link.reset_open();
                }
                self.shared.record.fault(None, from);
            }
            5 => {
                self.replicas[replica].link.set_held(true);
                thread::sleep(suspension);
                self.replicas[replica].link.set_held(false);
                self.shared.record.fault(None, from);
            }
            6 => {
                self.gateways[gateway].0.suspend();
                thread::sleep(suspension);
                self.gateways[gateway].0.resume();
                self.shared.record.fault(Some(gateway), from);
            }
            7 => self.restart_gateway(gateway, pause),
            8 => {
                for i in 0..GATEWAYS / 2 {
                    self.restart_gateway((gateway + i) % GATEWAYS, Duration::ZERO);
                }
            }
            9 => {
                let mut replica = self.replicas.remove(replica);
                replica.program.kill();
                thread::sleep(pause);
                std::fs::remove_dir_all(self.cluster.data_folder(replica.folder)).unwrap();
                self.restart(&mut replica);
                self.replicas.push(replica);
                self.shared.record.fault(None, from);
            }
            10 => {
                for replica in &mut self.replicas {
                    replica.program.kill();
                }
                let mut replicas = std::mem::take(&mut self.replicas);
                for replica in &mut replicas {
                    self.restart(replica);
                }
                self.replicas = replicas;
                self.shared.record.fault(None, from);
            }
            _ => {
                self.bring_back();
                let programs = self.gateways.iter().map(|(program, _)| program);
                let replicas = self.replicas.iter().map(|replica| &replica.program);
                for program in programs.chain(replicas) {
                    program.signal(Signal::SIGHUP);
                }
            }
        }
    }

    fn be_quiet(&mut self, plan: Plan) {
        let (least, most) = plan.quiet_ms;
        thread::sleep(Duration::from_millis(self.rng.u64(least..most)));
    }

    fn run(&mut self, plan: Plan) {
        let suspended = plan.has_long_suspension.then(Instant::now);
        if suspended.is_some() {
            self.gateways[0].0.suspend();
            self.log("gateway 0 stands still");
        }
        for n in 0..plan.replacements {
            self.replace(n % REPLICAS);
            self.be_quiet(plan);
            for _ in 0..self.rng.usize(..=plan.others) {
                self.inject_fault();
                self.be_quiet(plan);
            }
        }
        if let Some(from) = suspended {
            self.gateways[0].0.resume();
            self.shared.record.fault(Some(0), from);
            self.log("gateway 0 goes on");
            self.be_quiet(plan);
        }
    }
}

/// Uses the processor until the test stops, for half of the time.
fn use_processor(shared: &Shared) {
    while !shared.stop.load(Ordering::SeqCst) {
        let until = Instant::now() + Duration::from_millis(20);
        while Instant::now() < until {
            std::hint::spin_loop();
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn run_seed(seed: u64, plan: Plan) -> Findings {
    let upstreams = SERVICES.map(|service| {
        Upstream::start(move |request, out| write(out, &ok_response(request, service)))
    });
    let upstreams = upstreams.each_ref().map(|upstream| upstream.address);
    let cluster = Cluster::start(0, 0);
    println!("seed {seed}: {}", cluster.folder.display());
    let listens: Vec<SocketAddr> = (0..REPLICAS).map(|_| free_address()).collect();
    let links: Vec<Link> = listens
        .iter()
        .map(|&listen| Link::start(free_address(), listen))
        .collect();
    let addresses: Vec<SocketAddr> = links.iter().map(|link| link.address).collect();
    let shared = Arc::new(Shared {
        record: ConfigRecord::default(),
        known: Mutex::new(addresses.clone()),
        stop: AtomicBool::new(false),
    });
    let mut world = World {
        cluster,
        shared: shared.clone(),
        rng: fastrand::Rng::with_seed(seed),
        replicas: Vec::new(),
        replaced: Vec::new(),
        folders: 0,
        gateways: Vec::new(),
        began: Instant::now(),
    };
    world.cluster.replica_addresses = addresses.clone();
    world.cluster.configured_replicas = addresses.clone();
    for (listen, link) in listens.into_iter().zip(links) {
        let replica = world.start_replica(listen, link, &addresses);
        world.replicas.push(replica);
    }
    world.gateways = (0..GATEWAYS)
        .map(|_| world.cluster.start_gateway())
        .collect();
    thread::scope(|scope| {
        let folder = world.cluster.folder.clone();
        let watched = &shared;
        scope.spawn(move || watched.record.watch_machine(&folder, &watched.stop));
        scope.spawn(|| run_clients(&shared, upstreams, seed));
        eventually("a configuration is acknowledged", || {
            (shared.record.newest().1 > 0).then_some(())
        });
        // All have just started.
        shared.record.fault(None, world.began);
        for (i, &(_, address)) in world.gateways.iter().enumerate() {
            let shared = &shared;
            scope.spawn(move || shared.record.ask(i, address, &shared.stop));
        }
        for _ in 0..plan.load {
            scope.spawn(|| use_processor(&shared));
        }
        world.be_quiet(plan);
        world.run(plan);
        world.be_quiet(plan);
        shared.stop.store(true, Ordering::SeqCst);
    });
    let findings = shared.record.check(world.began);
    println!(
        "seed {seed}: {} configurations, {} responses judged, slowest {:?}, {} violations",
        shared.record.newest().0,
        findings.judged,
        findings.slowest,
        findings.violations.len()
    );
    if !findings.violations.is_empty() {
        let folder = world.cluster.folder.clone();
        let kept = folder.with_extension(format!("seed-{seed}"));
        let _ = std::fs::rename(&folder, &kept);
        println!("seed {seed}: logs kept in {}", kept.display());
        for violation in findings.violations.iter().take(10) {
            println!("seed {seed}: {violation}");
        }
    }
    findings
}

/// Guards against gateways in touch that go on routing by an old configuration after a change was
/// acknowledged, while replicas are replaced.
#[test]
fn acknowledged_changes_are_in_force_in_time_while_replicas_are_replaced() {
    let plan = Plan {
        replacements: REPLICAS,
        others: 1,
        quiet_ms: (4500, 6000),
        has_long_suspension: false,
        load: 0,
    };
    let findings = run_seed(1, plan);
    assert!(findings.violations.is_empty(), "{findings:#?}");
    assert!(findings.judged > 0, "nothing was judged");
}

#[test]
#[ignore = "takes minutes; run it by hand"]
fn config_changes_by_hand() {
    let number = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (first, seeds) = (number("SOAK_FIRST", 100), number("SOAK_SEEDS", 50));
    let failed: Vec<(u64, Vec<String>)> = (first..first + seeds)
        .map(|seed| {
            let plan = Plan {
                replacements: REPLICAS + (seed % 3) as usize,
                others: 2,
                quiet_ms: (3800, 6000),
                has_long_suspension: seed % 5 == 0,
                load: (seed % 4) as usize / 2 * 3,
            };
            let mut violations = run_seed(seed, plan).violations;
            violations.truncate(20);
            (seed, violations)
        })
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
