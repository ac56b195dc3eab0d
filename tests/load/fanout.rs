//! Pattern: fleets in which full mesh takes more than the requests do.

use std::collections::HashSet;
use std::net::SocketAddr;

use daisyquay::policy::fanout::FULL_MESH_PEER_LIMIT;
use daisyquay::policy::fanout::Fanout;
use daisyquay::policy::fanout::Forward;
use daisyquay::policy::fanout::Peer;
use daisyquay::policy::fanout::compute;

/// A fleet of gateways, some of them dead, all of which think alike of who was heard.
struct Fleet {
    all: Vec<(SocketAddr, String)>,
    dead: HashSet<SocketAddr>,
    heard: bool,
}

impl Fleet {
    fn new(n: u16, data_centres: u16) -> Self {
        let gateway = |i: u16| {
            let at = format!("10.{}.0.{}:7340", i % data_centres, 1 + i / data_centres);
            (at.parse().unwrap(), format!("dc-{}", i % data_centres))
        };
        Self {
            all: (0..n).map(gateway).collect(),
            dead: HashSet::new(),
            heard: true,
        }
    }

    fn fanout(&self, (address, data_centre): &(SocketAddr, String), turn: usize) -> Fanout {
        let others = self.all.iter().filter(|(at, _)| at != address);
        let peers: Vec<Peer> = others
            .map(|(at, data_centre)| Peer {
                address: *at,
                data_centre: data_centre.as_str().into(),
                is_live: self.heard && !self.dead.contains(at),
            })
            .collect();
        compute(*address, data_centre, &peers, turn)
    }

    /// Publishes an update and returns who heard it, and how many datagrams that took.
    fn publish(&self, from: &(SocketAddr, String), turn: usize) -> (HashSet<SocketAddr>, usize) {
        let (mut heard, mut sent) = (HashSet::new(), 0);
        let first = self.fanout(from, turn);
        let mut open = first.direct.clone();
        if first.is_hub() {
            open.extend(first.local_members.iter().map(|&at| (at, Forward::Nowhere)));
            open.extend(
                first
                    .remote_relays
                    .iter()
                    .map(|&at| (at, Forward::DataCentre)),
            );
        }
        while let Some((to, forward)) = open.pop() {
            sent += 1;
            if self.dead.contains(&to) {
                continue;
            }
            heard.insert(to);
            let at = self.all.iter().find(|(at, _)| *at == to).unwrap();
            let next = self.fanout(at, turn);
            if forward != Forward::Nowhere {
                open.extend(next.local_members.iter().map(|&at| (at, Forward::Nowhere)));
            }
            if forward == Forward::Everywhere {
                open.extend(
                    next.remote_relays
                        .iter()
                        .map(|&at| (at, Forward::DataCentre)),
                );
            }
        }
        heard.remove(&from.0);
        (heard, sent)
    }

    fn alive(&self) -> usize {
        self.all.len() - self.dead.len()
    }
}

#[test]
fn everyone_alive_hears_everyone_whoever_is_dead() {
    let mut rng = fastrand::Rng::with_seed(3);
    for n in [2, 10, 17, 18, 40, 88] {
        let mut fleet = Fleet::new(n, 4);
        for lost in 0..n / 2 {
            let alive = fleet.all.iter().filter(|(at, _)| !fleet.dead.contains(at));
            let alive: Vec<_> = alive.collect();
            for _ in 0..3 {
                let from = alive[rng.usize(..alive.len())];
                let (heard, _) = fleet.publish(from, usize::from(lost));
                assert_eq!(heard.len(), fleet.alive() - 1, "{n} gateways, {lost} dead");
            }
            let next = fleet.all[rng.usize(..fleet.all.len())].0;
            fleet.dead.insert(next);
        }
    }
}

/// Right after a start nobody has been heard: every gateway acts as a hub.
#[test]
fn everyone_is_heard_before_anyone_was() {
    let mut fleet = Fleet::new(88, 4);
    fleet.heard = false;
    for from in &fleet.all {
        assert_eq!(fleet.publish(from, 0).0.len(), 87);
    }
}

#[test]
fn an_update_to_many_takes_one_datagram_for_each_of_them_and_few_more() {
    let fleet = Fleet::new(88, 4);
    for from in &fleet.all {
        let (_, sent) = fleet.publish(from, 0);
        assert!(sent <= 90, "{sent}");
        // Those for members are shared by all updates of one interval.
        let own = fleet.fanout(from, 0).direct.len();
        assert!(own <= 1, "{own}");
    }
}

#[test]
fn few_gateways_send_to_each_other_directly() {
    let fleet = Fleet::new(u16::try_from(FULL_MESH_PEER_LIMIT).unwrap() + 1, 3);
    for from in &fleet.all {
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
