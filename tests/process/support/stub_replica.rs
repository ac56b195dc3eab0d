//! A replica whose replies the test chooses.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;

use daisyquay::config::KeyHash;
use daisyquay::peer::Handler;
use daisyquay::peer::Keys;

use super::PEER_KEY;

/// Serves `handler` until the test program ends and returns its address.
pub(crate) fn start_stub_replica(handler: impl Handler + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            let keys = Keys {
                peer: KeyHash::of(PEER_KEY),
                operators: Vec::new(),
            };
            daisyquay::peer::serve(
                listener,
                daisyquay::peer::MAX_CONNECTIONS,
                Rc::new(keys),
                Rc::new(handler),
                Rc::default(),
            )
            .await;
        });
    });
    address
}
