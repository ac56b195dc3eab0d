//! Binds all sockets of a process before one of them is served.
//!
//! A predecessor, or an outgoing connection that was given the port, may hold an address for a while.
//! The process waits for it then. It listens on none of its sockets before all are bound: callers would
//! wait in the backlog of a process that doesn't accept, instead of turning to another one.

use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::log::event;
use crate::wait_notice::WaitNotice;

/// Interval between attempts to get an address that is in use.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Length of a listener's queue of connections that have not been accepted, as in the standard library.
const BACKLOG: u32 = 128;

/// Transport protocol of a socket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// TCP; the socket accepts connections.
    Tcp,
    /// UDP.
    Udp,
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Tcp => "tcp",
            Self::Udp => "udp",
        })
    }
}

/// An address to listen on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The flag that sets the address, for messages.
    pub setting: &'static str,
    /// Transport protocol.
    pub protocol: Protocol,
    /// The address; a port of 0 is any free one.
    pub address: SocketAddr,
}

impl Endpoint {
    /// An address to accept TCP connections on.
    pub fn tcp(setting: &'static str, address: SocketAddr) -> Self {
        Self {
            setting,
            protocol: Protocol::Tcp,
            address,
        }
    }

    /// An address to receive UDP datagrams on.
    pub fn udp(setting: &'static str, address: SocketAddr) -> Self {
        Self {
            setting,
            protocol: Protocol::Udp,
            address,
        }
    }

    /// Returns whether two sockets of one process can't have these addresses at the same time.
    fn conflicts_with(&self, other: &Self) -> bool {
        let [ip, other_ip] = [self, other].map(|endpoint| endpoint.address.ip().to_canonical());
        self.protocol == other.protocol
            && self.address.port() == other.address.port()
            && self.address.port() != 0
            && (ip == other_ip || covers(ip, other_ip) || covers(other_ip, ip))
    }
}

/// Returns whether a socket on the wildcard address `ip` also receives what is sent to `other`.
fn covers(ip: IpAddr, other: IpAddr) -> bool {
    // A socket on the IPv6 wildcard receives IPv4 as well.
    ip.is_unspecified() && (ip.is_ipv6() || other.is_ipv4())
}

/// Why a process can't listen.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operating system refuses an address, and not because it is in use.
    #[snafu(display("can't listen on {address}: {source}; choose another with {setting}"))]
    Refused {
        /// The address.
        address: SocketAddr,
        /// The flag that sets it.
        setting: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Two settings of the process exclude each other.
    #[snafu(display(
        "can't listen on {address} for {setting} and on {other_address} for {other_setting} at the \
         same time; choose another port for one of them"
    ))]
    Conflict {
        /// The first address.
        address: SocketAddr,
        /// The flag that sets it.
        setting: &'static str,
        /// The second address.
        other_address: SocketAddr,
        /// The flag that sets it.
        other_setting: &'static str,
    },
}

/// Returns an error if two of the endpoints exclude each other, so that waiting would not help.
fn check_conflicts(endpoints: &[Endpoint]) -> Result<(), Error> {
    for (i, endpoint) in endpoints.iter().enumerate() {
        let mut others = endpoints[i + 1..].iter();
        if let Some(other) = others.find(|other| endpoint.conflicts_with(other)) {
            return ConflictSnafu {
                address: endpoint.address,
                setting: endpoint.setting,
                other_address: other.address,
                other_setting: other.setting,
            }
            .fail();
        }
    }
    Ok(())
}

/// An open socket of the process.
#[derive(Debug)]
enum Socket {
    Bound(TcpSocket),
    Listening(TcpListener),
    Udp(UdpSocket),
}

impl Socket {
    async fn bind(endpoint: &Endpoint) -> io::Result<Self> {
        let address = endpoint.address;
        if endpoint.protocol == Protocol::Udp {
            return UdpSocket::bind(address).await.map(Self::Udp);
        }
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        // Connections of a predecessor may still be in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self::Bound(socket))
    }

    fn listen(self) -> io::Result<Self> {
        match self {
            Self::Bound(socket) => Ok(Self::Listening(socket.listen(BACKLOG)?)),
            other => Ok(other),
        }
    }
}

/// An endpoint and its socket, once it has one.
#[derive(Debug)]
struct Slot {
    endpoint: Endpoint,
    socket: Option<Socket>,
    wait: WaitNotice,
}

impl Slot {
    /// Takes the result of an attempt to bind or listen. An address that is in use is not an error:
    /// the slot stays empty.
    fn set(&mut self, result: io::Result<Socket>, now: Duration) -> Result<(), Error> {
        match result {
            Ok(socket) => self.socket = Some(socket),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => self.log_wait(now),
            Err(source) => {
                return Err(Error::Refused {
                    address: self.endpoint.address,
                    setting: self.endpoint.setting,
                    source,
                });
            }
        }
        Ok(())
    }

    fn log_wait(&mut self, now: Duration) {
        if self.wait.is_due(now) {
            event!(
                Warn,
                "socket_in_use",
                setting = self.endpoint.setting,
                address = self.endpoint.address,
                protocol = self.endpoint.protocol
            );
        }
    }

    /// Logs the end of a wait, if there was one.
    fn log_end_of_wait(&mut self) {
        if self.socket.is_some() && self.wait.end() {
            event!(
                Info,
                "socket_free",
                setting = self.endpoint.setting,
                address = self.endpoint.address,
                protocol = self.endpoint.protocol
            );
        }
    }
}

/// Bound sockets on which the process doesn't listen yet.
pub(crate) struct BoundSockets<'a> {
    slots: Vec<Slot>,
    clock: &'a dyn Clock,
}

impl<'a> BoundSockets<'a> {
    /// Binds a socket for each endpoint; waits for those that are in use.
    ///
    /// # Errors
    ///
    /// An address can't be had, or two endpoints exclude each other.
    pub(crate) async fn bind(endpoints: &[Endpoint], clock: &'a dyn Clock) -> Result<Self, Error> {
        check_conflicts(endpoints)?;
        let slots = endpoints.iter().map(|&endpoint| Slot {
            endpoint,
            socket: None,
            wait: WaitNotice::default(),
        });
        let mut bound = Self {
            slots: slots.collect(),
            clock,
        };
        bound.bind_rest().await?;
        Ok(bound)
    }

    async fn bind_rest(&mut self) -> Result<(), Error> {
        loop {
            for slot in self.slots.iter_mut().filter(|slot| slot.socket.is_none()) {
                let result = Socket::bind(&slot.endpoint).await;
                slot.set(result, self.clock.now())?;
            }
            let is_complete = self.slots.iter().all(|slot| slot.socket.is_some());
            if !is_complete {
                // A bound UDP socket queues datagrams, which would be outdated when they are read.
                self.close(|socket| matches!(socket, Socket::Udp(_)));
            }
            for slot in &mut self.slots {
                slot.log_end_of_wait();
            }
            if is_complete {
                return Ok(());
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Listens on all sockets; waits if another process has come before.
    ///
    /// # Errors
    ///
    /// An address can't be had.
    pub(crate) async fn listen(mut self) -> Result<Sockets, Error> {
        while !self.try_listen()? {
            tokio::time::sleep(RETRY_INTERVAL).await;
            self.bind_rest().await?;
        }
        let sockets: Vec<Socket> = self
            .slots
            .into_iter()
            .filter_map(|slot| slot.socket)
            .collect();
        Ok(Sockets(sockets.into_iter()))
    }

    /// Listens on all sockets or on none. Two processes that have set `SO_REUSEADDR` can bind the same
    /// address until one of them listens.
    fn try_listen(&mut self) -> Result<bool, Error> {
        for slot in &mut self.slots {
            let Some(socket) = slot.socket.take() else {
                continue;
            };
            slot.set(socket.listen(), self.clock.now())?;
            if slot.socket.is_none() {
                self.close(|socket| !matches!(socket, Socket::Bound(_)));
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn close(&mut self, is_closed: impl Fn(&Socket) -> bool) {
        for slot in &mut self.slots {
            slot.socket = slot.socket.take().filter(|socket| !is_closed(socket));
        }
    }
}

/// The sockets of a process that listens on all of them, in the order of its endpoints.
#[derive(Debug)]
pub struct Sockets(std::vec::IntoIter<Socket>);

impl Sockets {
    /// Opens a socket for each endpoint; waits for those that are in use.
    ///
    /// # Errors
    ///
    /// An address can't be had, or two endpoints exclude each other.
    pub async fn open(endpoints: &[Endpoint], clock: &dyn Clock) -> Result<Self, Error> {
        BoundSockets::bind(endpoints, clock).await?.listen().await
    }

    /// Returns the next socket.
    ///
    /// # Panics
    ///
    /// The next endpoint is none for TCP.
    pub fn next_tcp(&mut self) -> TcpListener {
        match self.0.next() {
            Some(Socket::Listening(listener)) => listener,
            other => panic!("the next socket is no TCP listener: {other:?}"),
        }
    }

    /// Returns the next socket.
    ///
    /// # Panics
    ///
    /// The next endpoint is none for UDP.
    pub(crate) fn next_udp(&mut self) -> UdpSocket {
        match self.0.next() {
            Some(Socket::Udp(socket)) => socket,
            other => panic!("the next socket is no UDP socket: {other:?}"),
        }
    }
}
