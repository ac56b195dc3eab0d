//! A TCP proxy in front of one VM that simulates faults of its connections: silence, resets, a
//! partition and a VM that has no power.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Connections that the kernel accepts for a VM without power; it drops the first packet of others.
const BACKLOG: i32 = 1;

/// Time between two checks whether a fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A proxy in front of one address.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    is_dead: AtomicBool,
    is_held: AtomicBool,
    open: Mutex<Vec<Arc<Connection>>>,
}

struct Connection {
    is_silent: AtomicBool,
    client: TcpStream,
    server: TcpStream,
}

impl Link {
    /// Starts a proxy at `address` that forwards connections to `target`.
    pub(crate) fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.bind(&address.into()).unwrap();
        // Nobody is turned away while the VM has power.
        socket.listen(128).unwrap();
        let listener: TcpListener = socket.into();
        let state = Arc::new(State::default());
        let shared = state.clone();
        thread::spawn(move || accept(&listener, target, &shared));
        Self { address, state }
    }

    /// Silences the open connections for good, without a reset; new ones work.
    pub(crate) fn silence_open(&self) {
        for connection in self.state.open.lock().unwrap().iter() {
            connection.is_silent.store(true, Ordering::SeqCst);
        }
    }

    /// Closes the open connections; new ones work.
    pub(crate) fn reset_open(&self) {
        for connection in self.state.open.lock().unwrap().iter() {
            let _ = connection.client.shutdown(Shutdown::Both);
            let _ = connection.server.shutdown(Shutdown::Both);
        }
    }

    /// Starts or ends a partition. Bytes that are sent during it arrive after its end.
    pub(crate) fn set_held(&self, is_held: bool) {
        self.state.is_held.store(is_held, Ordering::SeqCst);
    }

    /// Takes the VM's power away: open connections fall silent, and new ones get no answer.
    pub(crate) fn cut_power(&self) {
        self.state.is_dead.store(true, Ordering::SeqCst);
        self.silence_open();
        // Takes the listener's thread out of its wait.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    /// Gives the VM its power back.
    pub(crate) fn restore_power(&self) {
        self.state.is_dead.store(false, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    let socket = socket2::SockRef::from(listener);
    loop {
        let Ok((client, _)) = listener.accept() else {
            return;
        };
        if state.is_dead.load(Ordering::SeqCst) {
            let _ = socket.listen(BACKLOG);
            while state.is_dead.load(Ordering::SeqCst) {
                thread::sleep(POLL_INTERVAL);
            }
            let _ = socket.listen(128);
            continue;
        }
        let Ok(server) = TcpStream::connect(target) else {
            continue;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let connection = Arc::new(Connection {
            is_silent: AtomicBool::new(false),
            client,
            server,
        });
        state.open.lock().unwrap().push(connection.clone());
        for is_reply in [false, true] {
            let (connection, state) = (connection.clone(), state.clone());
            thread::spawn(move || forward(&connection, is_reply, &state));
        }
    }
}

fn forward(connection: &Arc<Connection>, is_reply: bool, state: &State) {
    let (mut from, mut to) = match is_reply {
        false => (&connection.client, &connection.server),
        true => (&connection.server, &connection.client),
    };
    let mut buf = [0; 16 * 1024];
    let is_silent = || connection.is_silent.load(Ordering::SeqCst);
    loop {
        let n = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        while state.is_held.load(Ordering::SeqCst) && !is_silent() {
            thread::sleep(POLL_INTERVAL);
        }
        if !is_silent() && to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    // A silent connection stays open on the other side.
    if !is_silent() {
        let _ = to.shutdown(Shutdown::Both);
        let mut open = state.open.lock().unwrap();
        open.retain(|other| !Arc::ptr_eq(other, connection));
    }
}
