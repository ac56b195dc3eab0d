//! A relay that a test can cut: silently, so that neither side sees the connection end.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A relay in front of one address.
pub(crate) struct PartitionProxy {
    pub(crate) address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl PartitionProxy {
    /// Relays to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let silent = Arc::new(AtomicBool::new(false));
        let flag = silent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let flag = flag.clone();
                thread::spawn(move || {
                    if let Ok(other) = TcpStream::connect(target) {
                        relay(&stream, &other, &flag);
                    }
                });
            }
        });
        Self { address, silent }
    }

    /// Swallows all bytes from now on, or relays them again.
    pub(crate) fn set_partitioned(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

fn relay(a: &TcpStream, b: &TcpStream, silent: &Arc<AtomicBool>) {
    let ways = [
        (a.try_clone().unwrap(), b.try_clone().unwrap()),
        (b.try_clone().unwrap(), a.try_clone().unwrap()),
    ];
    for (from, to) in ways {
        let silent = silent.clone();
        thread::spawn(move || pipe(from, to, &silent));
    }
}

fn pipe(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    let _ = to.set_nodelay(true);
    loop {
        let n = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        // Bytes wait through a cut, as packets that are sent again do.
        while silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
