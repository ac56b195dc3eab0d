//! Fleets in which a full mesh of load updates would take more processor time than the requests.

use std::collections::HashSet;
use std::net::SocketAddr;

use daisyquay::policy::fanout;
use daisyquay::policy::fanout::FULL_MESH_PEER_LIMIT;
use daisyquay::policy::fanout::Fanout;
use daisyquay::policy::fanout::Forward;
use daisyquay::policy::fanout::Peer;

/// A fleet of gateways, some of which have crashed. All live gateways see the same peers as live.
struct Fleet {
    gateways: Vec<(SocketAddr, String)>,
    crashed: HashSet<SocketAddr>,
    /// Whether any update has been received yet.
    has_received: bool,
}

impl Fleet {
    fn new(n: u16, data_centres: u16) -> Self {
        let gateway = |i: u16| {
            let at = format!("10.{}.0.{}:7340", i % data_centres, 1 + i / data_centres);
            (at.parse().unwrap(), format!("dc-{}", i % data_centres))
        };
        Self {
            gateways: (0..n).map(gateway).collect(),
            crashed: HashSet::new(),
            has_received: true,
        }
    }

    fn fanout(&self, (address, data_centre): &(SocketAddr, String), round: usize) -> Fanout {
        let others = self.gateways.iter().filter(|(at, _)| at != address);
        let peers: Vec<Peer> = others
            .map(|(at, data_centre)| Peer {
                address: *at,
                data_centre: data_centre.as_str().into(),
                is_live: self.has_received && !self.crashed.contains(at),
            })
            .collect();
        fanout::compute(*address, data_centre, &peers, round)
    }

    /// Publishes an update; returns the gateways that receive it and the number of datagrams.
    fn publish(&self, from: &(SocketAddr, String), round: usize) -> (HashSet<SocketAddr>, usize) {
        let (mut received, mut sent) = (HashSet::new(), 0);
        let first = self.fanout(from, round);
        let mut pending = first.direct.clone();
        if first.is_hub() {
            pending.extend(first.local_members.iter().map(|&at| (at, Forward::Nowhere)));
            pending.extend(
                first
                    .remote_relays
                    .iter()
                    .map(|&at| (at, Forward::DataCentre)),
            );
        }
        while let Some((to, forward)) = pending.pop() {
            sent += 1;
            if self.crashed.contains(&to) {
                continue;
            }
            received.insert(to);
            let at = self.gateways.iter().find(|(at, _)| *at == to).unwrap();
            let next = self.fanout(at, round);
            if forward != Forward::Nowhere {
                pending.extend(next.local_members.iter().map(|&at| (at, Forward::Nowhere)));
            }
            if forward == Forward::Everywhere {
                pending.extend(
                    next.remote_relays
                        .iter()
                        .map(|&at| (at, Forward::DataCentre)),
                );
            }
        }
        received.remove(&from.0);
        (received, sent)
    }

    fn live_count(&self) -> usize {
        self.gateways.len() - self.crashed.len()
    }
}

#[test]
fn every_live_gateway_receives_every_update_despite_crashes() {
    let mut rng = fastrand::Rng::with_seed(3);
    for n in [2, 10, 17, 18, 40, 88] {
        let mut fleet = Fleet::new(n, 4);
        for crashed in 0..n / 2 {
            let live = fleet
                .gateways
                .iter()
                .filter(|(at, _)| !fleet.crashed.contains(at));
            let live: Vec<_> = live.collect();
            for _ in 0..3 {
                let from = live[rng.usize(..live.len())];
                let (received, _) = fleet.publish(from, usize::from(crashed));
                assert_eq!(
                    received.len(),
                    fleet.live_count() - 1,
                    "some of {n} gateways, {crashed} crashed, missed the update"
                );
            }
            let next = fleet.gateways[rng.usize(..fleet.gateways.len())].0;
            fleet.crashed.insert(next);
        }
    }
}

/// Right after a start no gateway has received an update, so each of them acts as a hub.
#[test]
fn every_gateway_receives_every_update_right_after_a_start() {
    let mut fleet = Fleet::new(88, 4);
    fleet.has_received = false;
    for from in &fleet.gateways {
        assert_eq!(fleet.publish(from, 0).0.len(), 87);
    }
}

#[test]
fn an_update_takes_little_more_than_one_datagram_per_gateway() {
    let fleet = Fleet::new(88, 4);
    for from in &fleet.gateways {
        let (_, sent) = fleet.publish(from, 0);
        assert!(sent <= 90, "an update took {sent} datagrams");
        // The datagrams to the members of a data centre are shared by all updates of one interval.
        let direct = fleet.fanout(from, 0).direct.len();
        assert!(direct <= 1, "a gateway sends {direct} datagrams itself");
    }
}

#[test]
fn a_small_fleet_is_a_full_mesh() {
    let fleet = Fleet::new(u16::try_from(FULL_MESH_PEER_LIMIT).unwrap() + 1, 3);
    for from in &fleet.gateways {
        let fanout = fleet.fanout(from, 0);
        assert_eq!(fanout.direct.len(), FULL_MESH_PEER_LIMIT);
        assert!(
            fanout
                .direct
                .iter()
                .all(|(_, forward)| *forward == Forward::Nowhere)
        );
    }
}
