//! Updates of the configuration that are too large for a grant, which a gateway fetches from the
//! replicas in turn.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use daisyquay::peer::Caller;
use daisyquay::peer::ConfigUpdate;
use daisyquay::peer::ConfigView;
use daisyquay::peer::DirectoryUpdate;
use daisyquay::peer::Grant;
use daisyquay::peer::Handler;
use daisyquay::peer::Renewal;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use daisyquay::upstream::Directory;

use crate::support::APPLY_LIMIT;
use crate::support::CONTACT_TIME;
use crate::support::Cluster;
use crate::support::Link;
use crate::support::Probe;
use crate::support::eventually;
use crate::support::free_address;
use crate::support::get;
use crate::support::inventory;
use crate::support::start_stub_replica;

/// Gateways, which begin their fetches at random replicas.
const GATEWAYS: usize = 8;

/// What the replicas have in common.
#[derive(Default)]
struct Log {
    /// Revision of the configuration; 0 for none.
    revision: AtomicU64,
    /// Whether followers lag behind, so that gateways ask all of them.
    are_behind: AtomicBool,
    replicas: Mutex<Vec<SocketAddr>>,
    /// Updates by the revisions from which and to which they lead.
    updates: Mutex<BTreeMap<(u64, u64), ConfigUpdate>>,
}

impl Log {
    fn update(&self, held: u64) -> Option<ConfigUpdate> {
        let revision = self.revision.load(Ordering::SeqCst);
        if held >= revision {
            return None;
        }
        let mut updates = self.updates.lock().unwrap();
        let update = updates.entry((held, revision)).or_insert_with(|| {
            let view = |revision| ConfigView {
                revision,
                inventory: Arc::new(inventory(revision, true)),
                ..ConfigView::default()
            };
            let base = match held {
                0 => ConfigView::default(),
                held => view(held),
            };
            ConfigUpdate::between(&base, &view(revision))
        });
        Some(update.clone())
    }

    fn grant(&self, renewal: &Renewal) -> Grant {
        let held = renewal.directory_index;
        Grant {
            term: 1,
            wants_info: false,
            revision: self.revision.load(Ordering::SeqCst),
            config: self
                .update(renewal.revision)
                .filter(|update| update.size() <= renewal.max_config_bytes as usize),
            directory: DirectoryUpdate::after(&Directory::default(), held, held),
            loads: Vec::new(),
            loads_version: 0,
            entries: Some(Vec::new()),
            entries_version: 1,
            is_unlisted: false,
            quality: Vec::new(),
            quality_version: 0,
            slots: Vec::new(),
            replicas: Some(self.replicas.lock().unwrap().clone()),
            replicas_digest: 1,
            suspects: Vec::new(),
            partial_entries: None,
        }
    }
}

/// A replica that sends updates; the leader grants renewals as well.
struct Replica {
    log: Arc<Log>,
    is_leader: bool,
}

impl Handler for Replica {
    fn call(&self, _: Caller, request: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        let log = &self.log;
        let reply = match request {
            Request::Renew(renewal) if self.is_leader => {
                Reply::Grant(Box::new(log.grant(&renewal)))
            }
            Request::ConfigUpdate { .. } if log.are_behind.load(Ordering::SeqCst) => {
                Reply::ConfigUpdate(None)
            }
            Request::ConfigUpdate { held } => Reply::ConfigUpdate(log.update(held)),
            _ => Reply::NotLeader {
                leader: log.replicas.lock().unwrap().first().copied(),
            },
        };
        Box::pin(async move { reply })
    }
}

fn status(gateway: SocketAddr, probe: Probe) -> Option<u16> {
    let (path, headers) = probe.request();
    let headers: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .chain([("daisyquay-attempt", "probe")])
        .collect();
    get(gateway, &path, &headers).map(|response| response.status)
}

/// Runs gateways with this number of replicas and two more in their settings that have no power.
/// Silences connections from position `silent` on for good, waits, and returns the times from a large
/// change until each gateway obeys it.
fn times_to_a_large_change(replicas: usize, silent: usize, wait: Duration) -> Vec<Duration> {
    let log = Arc::new(Log::default());
    log.are_behind.store(true, Ordering::SeqCst);
    log.revision.store(1, Ordering::SeqCst);
    let links: Vec<Link> = (0..replicas)
        .map(|i| {
            let replica = Replica {
                log: log.clone(),
                is_leader: i == 0,
            };
            Link::start(free_address(), start_stub_replica(replica))
        })
        .collect();
    let addresses: Vec<SocketAddr> = links.iter().map(|link| link.address).collect();
    log.replicas.lock().unwrap().extend(&addresses);
    let mut cluster = Cluster::start(0, 0);
    let dead = [(); 2].map(|()| Link::start(free_address(), free_address()));
    cluster.configured_replicas = addresses;
    for link in &dead {
        link.cut_power();
        cluster.configured_replicas.push(link.address);
    }
    let gateways: Vec<_> = (0..GATEWAYS).map(|_| cluster.start_gateway()).collect();
    // Each gateway asks all replicas between a few renewals.
    thread::sleep(Duration::from_secs(4));
    log.are_behind.store(false, Ordering::SeqCst);
    for (_, gateway) in &gateways {
        eventually("the gateway has the first configuration", || {
            (status(*gateway, Probe::Added(2)) == Some(404)).then_some(())
        });
    }
    for link in &links[silent..] {
        link.silence_open();
    }
    thread::sleep(wait);
    log.revision.store(2, Ordering::SeqCst);
    assert!(log.update(1).is_some());
    let acked_at = Instant::now();
    let mut times = [None; GATEWAYS];
    eventually("all gateways obey the change", || {
        for (time, (_, gateway)) in times.iter_mut().zip(&gateways) {
            let elapsed = acked_at.elapsed();
            if time.is_none() && status(*gateway, Probe::Added(1)) == Some(404) {
                *time = Some(elapsed);
            }
        }
        times.iter().copied().collect::<Option<Vec<Duration>>>()
    })
}

/// Guards against fetches that wait for one replica after another whose idle connections have
/// fallen silent, while a gateway that is in touch goes on routing by the old configuration.
#[test]
fn large_change_is_in_force_in_time_although_idle_connections_have_fallen_silent() {
    for replicas in [3, 5] {
        // The gateways use only the connections to the leader all the time.
        let wait = CONTACT_TIME + Duration::from_secs(1);
        let times = times_to_a_large_change(replicas, 1, wait);
        println!("{replicas} replicas: {times:?}");
        let is_in_time = times.iter().all(|&time| time <= APPLY_LIMIT);
        assert!(is_in_time, "{replicas} replicas: {times:?}");
    }
}

/// Guards against a search for the leader that takes the time of a call for each replica whose
/// connection has fallen silent, and then calls replicas that are gone.
#[test]
fn change_is_in_force_in_time_although_all_connections_have_fallen_silent() {
    for replicas in [3, 5] {
        let times = times_to_a_large_change(replicas, 0, Duration::ZERO);
        println!("{replicas} replicas: {times:?}");
        let is_in_time = times.iter().all(|&time| time <= CONTACT_TIME);
        assert!(is_in_time, "{replicas} replicas: {times:?}");
    }
}
