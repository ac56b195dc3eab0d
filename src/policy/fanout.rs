//! To whom a gateway sends and forwards the gateways' updates.
//!
//! Load pattern that this answers: fleets in which full mesh takes more processor time than the
//! requests do. Few gateways send to all others. Many send to the hub of their data centre, which
//! forwards to its members and to one gateway in each other data centre; that one forwards to its own
//! members. No hub is elected: it is the first gateway that is heard, so two may act as hubs for a
//! while, which costs datagrams and loses none.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;

/// Other gateways up to which each sends to all: with more, a gateway receives over 50 datagrams for
/// each request that it serves.
pub const FULL_MESH_PEER_LIMIT: usize = 16;

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it receives updates.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether something came from it lately.
    pub is_live: bool,
}

/// How far a gateway forwards what it receives.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Forward {
    /// Nowhere.
    Nowhere,
    /// To the gateways of its data centre.
    DataCentre,
    /// To those, and to one gateway in each other data centre.
    Everywhere,
}

/// Whom one gateway sends to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fanout {
    /// Other gateways.
    pub peer_count: usize,
    /// Who gets the gateway's own updates directly.
    pub direct: Vec<(SocketAddr, Forward)>,
    /// Other gateways of its data centre; empty in a mesh.
    pub local_members: Vec<SocketAddr>,
    /// One gateway in each other data centre; empty in a mesh.
    pub remote_relays: Vec<SocketAddr>,
}

impl Fanout {
    /// Whether hubs forward updates.
    pub fn has_hubs(&self) -> bool {
        self.peer_count > FULL_MESH_PEER_LIMIT
    }

    /// Whether the gateway forwards its own updates as it does those with [`Forward::Everywhere`].
    pub fn is_hub(&self) -> bool {
        self.has_hubs() && self.direct.is_empty()
    }
}

/// The fan-out of the gateway at `address` in `data_centre`. `turn` grows from call to call: where no
/// gateway of another data centre is heard, its gateways are tried in turn.
pub fn compute(address: SocketAddr, data_centre: &str, peers: &[Peer], turn: usize) -> Fanout {
    let mut fanout = Fanout {
        peer_count: peers.len(),
        ..Fanout::default()
    };
    if !fanout.has_hubs() {
        let own = peers.iter().map(|peer| (peer.address, Forward::Nowhere));
        fanout.direct = own.collect();
        return fanout;
    }
    let mut peers: Vec<&Peer> = peers.iter().collect();
    peers.sort_unstable_by(|a, b| (&a.data_centre, a.address).cmp(&(&b.data_centre, b.address)));
    for group in peers.chunk_by(|a, b| a.data_centre == b.data_centre) {
        let heard = group.iter().find(|peer| peer.is_live);
        if *group[0].data_centre == *data_centre {
            fanout.local_members = group.iter().map(|peer| peer.address).collect();
            let hub = heard.filter(|peer| peer.address < address);
            fanout.direct = hub
                .map(|hub| (hub.address, Forward::Everywhere))
                .into_iter()
                .collect();
        } else {
            let one = heard.unwrap_or(&group[turn % group.len()]);
            fanout.remote_relays.push(one.address);
        }
    }
    fanout
}
