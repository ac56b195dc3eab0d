//! Pattern: fleets in which everyone telling everyone takes more than the requests do.

use std::collections::HashSet;
use std::net::SocketAddr;

use daisyquay::policy::spread::DIRECT_LIMIT;
use daisyquay::policy::spread::Pass;
use daisyquay::policy::spread::Peer;
use daisyquay::policy::spread::Routes;
use daisyquay::policy::spread::routes;

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

    fn routes(&self, (address, data_centre): &(SocketAddr, String), turn: usize) -> Routes {
        let others = self.all.iter().filter(|(at, _)| at != address);
        let peers: Vec<Peer> = others
            .map(|(at, data_centre)| Peer {
                address: *at,
                data_centre: data_centre.as_str().into(),
                heard: self.heard && !self.dead.contains(at),
            })
            .collect();
        routes(*address, data_centre, &peers, turn)
    }

    /// Tells something and returns who heard it, and how many datagrams that took.
    fn tell(&self, from: &(SocketAddr, String), turn: usize) -> (HashSet<SocketAddr>, usize) {
        let (mut heard, mut sent) = (HashSet::new(), 0);
        let first = self.routes(from, turn);
        let mut open = first.own.clone();
        if first.is_head {
            open.extend(first.here.iter().map(|&at| (at, Pass::Nowhere)));
            open.extend(first.far.iter().map(|&at| (at, Pass::Here)));
        }
        while let Some((to, pass)) = open.pop() {
            sent += 1;
            if self.dead.contains(&to) {
                continue;
            }
            heard.insert(to);
            let at = self.all.iter().find(|(at, _)| *at == to).unwrap();
            let next = self.routes(at, turn);
            if pass != Pass::Nowhere {
                open.extend(next.here.iter().map(|&at| (at, Pass::Nowhere)));
            }
            if pass == Pass::Everywhere {
                open.extend(next.far.iter().map(|&at| (at, Pass::Here)));
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
                let (heard, _) = fleet.tell(from, usize::from(lost));
                assert_eq!(heard.len(), fleet.alive() - 1, "{n} gateways, {lost} dead");
            }
            let next = fleet.all[rng.usize(..fleet.all.len())].0;
            fleet.dead.insert(next);
        }
    }
}

/// Right after a start nobody has been heard: every gateway acts as a head.
#[test]
fn everyone_is_heard_before_anyone_was() {
    let mut fleet = Fleet::new(88, 4);
    fleet.heard = false;
    for from in &fleet.all {
        assert_eq!(fleet.tell(from, 0).0.len(), 87);
    }
}

#[test]
fn a_telling_to_many_takes_one_datagram_for_each_of_them_and_few_more() {
    let fleet = Fleet::new(88, 4);
    for from in &fleet.all {
        let (_, sent) = fleet.tell(from, 0);
        assert!(sent <= 90, "{sent}");
        // Those for members are shared by all that is told within one pause.
        let own = fleet.routes(from, 0).own.len();
        assert!(own <= 1, "{own}");
    }
}

#[test]
fn few_gateways_tell_each_other_directly() {
    let fleet = Fleet::new(u16::try_from(DIRECT_LIMIT).unwrap() + 1, 3);
    for from in &fleet.all {
        let routes = fleet.routes(from, 0);
        assert_eq!(routes.own.len(), DIRECT_LIMIT);
        assert!(routes.own.iter().all(|(_, pass)| *pass == Pass::Nowhere));
    }
}
