//! To whom a gateway passes on what gateways tell each other.
//!
//! Load pattern that this answers: fleets in which everyone telling everyone takes more processor time
//! than the requests do. Few gateways tell each other directly. Many tell the head of their data
//! centre, which tells its members and one gateway in each other data centre; that one tells its
//! own members. Nobody is appointed: the head is the first gateway that is heard, so two may act as
//! heads for a while, which costs datagrams and loses none.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;

/// Other gateways up to which each tells all: with more, a gateway hears over 50 datagrams for each
/// request that it serves.
pub const DIRECT_LIMIT: usize = 16;

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether something came from it lately.
    pub heard: bool,
}

/// What a gateway that hears something does with it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Pass {
    /// It keeps it.
    Nowhere,
    /// It tells the gateways of its data centre.
    Here,
    /// It tells those, and one gateway in each other data centre.
    Everywhere,
}

/// Whom one gateway tells.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Routes {
    /// Other gateways.
    pub peers: usize,
    /// Whether heads pass things on.
    pub by_heads: bool,
    /// Who gets what the gateway has to tell itself.
    pub own: Vec<(SocketAddr, Pass)>,
    /// Whether it passes its own on as it does what comes with [`Pass::Everywhere`].
    pub is_head: bool,
    /// Gateways of its data centre.
    pub here: Vec<SocketAddr>,
    /// One gateway in each other data centre.
    pub far: Vec<SocketAddr>,
}

/// The routes of the gateway at `address` in `data_centre`. `turn` grows from call to call: where no
/// gateway of another data centre is heard, it is tried in turn who passes things on.
pub fn routes(address: SocketAddr, data_centre: &str, peers: &[Peer], turn: usize) -> Routes {
    let mut peers: Vec<&Peer> = peers.iter().collect();
    if peers.len() <= DIRECT_LIMIT {
        let own = peers.iter().map(|peer| (peer.address, Pass::Nowhere));
        return Routes {
            peers: peers.len(),
            own: own.collect(),
            ..Routes::default()
        };
    }
    peers.sort_unstable_by(|a, b| (&a.data_centre, a.address).cmp(&(&b.data_centre, b.address)));
    let mut routes = Routes {
        peers: peers.len(),
        by_heads: true,
        ..Routes::default()
    };
    let mut head = None;
    for group in peers.chunk_by(|a, b| a.data_centre == b.data_centre) {
        let heard = group.iter().find(|peer| peer.heard);
        if *group[0].data_centre == *data_centre {
            routes.here = group.iter().map(|peer| peer.address).collect();
            head = heard.filter(|peer| peer.address < address);
        } else {
            let one = heard.unwrap_or(&group[turn % group.len()]);
            routes.far.push(one.address);
        }
    }
    match head {
        Some(head) => routes.own.push((head.address, Pass::Everywhere)),
        None => routes.is_head = true,
    }
    routes
}
