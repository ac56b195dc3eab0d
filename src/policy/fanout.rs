//! Decides to which gateways a gateway sends its load updates, and to which it forwards others'.
//!
//! Handles fleets in which a full mesh of updates takes more processor time than the requests. A
//! small fleet is a full mesh. In a large one, a gateway sends to the hub of its data centre. The
//! hub forwards to the gateways of its data centre and to one relay in each other data centre,
//! which forwards to the gateways there. No hub is elected: it is the live gateway with the lowest
//! address, so two may act as hubs for a while, which costs datagrams and loses no update.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::collections::Name;

/// Most peers of a full mesh. With more, a gateway would receive over 50 datagrams for each request
/// that it serves.
pub const FULL_MESH_PEER_LIMIT: usize = 16;

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address at which it receives updates.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// Whether a datagram from it arrived recently.
    pub is_live: bool,
}

/// How far the receiver of an update forwards it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Forward {
    /// To no other gateway.
    Nowhere,
    /// To the gateways of the receiver's data centre.
    DataCentre,
    /// To those, and to one relay in each other data centre.
    Everywhere,
}

/// Receivers of a gateway's datagrams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fanout {
    /// Number of other gateways.
    pub peer_count: usize,
    /// Receivers of the gateway's own updates, and how far they forward them.
    pub direct: Vec<(SocketAddr, Forward)>,
    /// Other gateways of its data centre, to forward to; empty in a full mesh.
    pub local_members: Vec<SocketAddr>,
    /// One gateway in each other data centre, to forward to; empty in a full mesh.
    pub remote_relays: Vec<SocketAddr>,
}

impl Fanout {
    /// Returns whether the fleet is too large for a full mesh, so that hubs forward updates.
    pub fn has_hubs(&self) -> bool {
        self.peer_count > FULL_MESH_PEER_LIMIT
    }

    /// Returns whether the gateway is a hub, which forwards its own updates as if it had received
    /// them with [`Forward::Everywhere`].
    pub fn is_hub(&self) -> bool {
        self.has_hubs() && self.direct.is_empty()
    }
}

/// Returns the fan-out of the gateway at `address` in `data_centre`.
///
/// `round` increases with each call: if no gateway of another data centre is live, its gateways
/// serve as relay in turn.
pub fn compute(address: SocketAddr, data_centre: &str, peers: &[Peer], round: usize) -> Fanout {
    let mut fanout = Fanout {
        peer_count: peers.len(),
        ..Fanout::default()
    };
    if !fanout.has_hubs() {
        let direct = peers.iter().map(|peer| (peer.address, Forward::Nowhere));
        fanout.direct = direct.collect();
        return fanout;
    }
    let mut peers: Vec<&Peer> = peers.iter().collect();
    peers.sort_unstable_by(|a, b| (&a.data_centre, a.address).cmp(&(&b.data_centre, b.address)));
    for group in peers.chunk_by(|a, b| a.data_centre == b.data_centre) {
        let first_live = group.iter().find(|peer| peer.is_live);
        if *group[0].data_centre == *data_centre {
            fanout.local_members = group.iter().map(|peer| peer.address).collect();
            let hub = first_live.filter(|peer| peer.address < address);
            fanout.direct = hub
                .map(|hub| (hub.address, Forward::Everywhere))
                .into_iter()
                .collect();
        } else {
            let relay = first_live.unwrap_or(&group[round % group.len()]);
            fanout.remote_relays.push(relay.address);
        }
    }
    fanout
}
