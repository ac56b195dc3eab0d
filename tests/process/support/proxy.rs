//! A TCP proxy that simulates a network partition: it stops forwarding while its connections stay
//! open on both sides.

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

/// A TCP proxy in front of one address.
pub(crate) struct PartitionProxy {
    pub(crate) address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
}

impl PartitionProxy {
    /// Starts a proxy that forwards connections to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let is_partitioned = Arc::new(AtomicBool::new(false));
        let flag = is_partitioned.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let flag = flag.clone();
                thread::spawn(move || {
                    if let Ok(other) = TcpStream::connect(target) {
                        forward_both_ways(&stream, &other, &flag);
                    }
                });
            }
        });
        Self {
            address,
            is_partitioned,
        }
    }

    /// Starts or ends a partition. Bytes that are sent during it arrive after its end.
    pub(crate) fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::SeqCst);
    }
}

fn forward_both_ways(a: &TcpStream, b: &TcpStream, is_partitioned: &Arc<AtomicBool>) {
    let directions = [
        (a.try_clone().unwrap(), b.try_clone().unwrap()),
        (b.try_clone().unwrap(), a.try_clone().unwrap()),
    ];
    for (from, to) in directions {
        let is_partitioned = is_partitioned.clone();
        thread::spawn(move || forward(from, to, &is_partitioned));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_partitioned: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    let _ = to.set_nodelay(true);
    loop {
        let n = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        // Delays bytes instead of dropping them, because TCP retransmits what a real partition
        // drops.
        while is_partitioned.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
