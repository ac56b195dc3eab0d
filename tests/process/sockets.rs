//! TCP options by which connections survive a silence and end with their peer.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use daisyquay::http_client::UpstreamStream;
use daisyquay::peer::Caller;
use daisyquay::peer::Client;
use daisyquay::peer::Handler;
use daisyquay::peer::Reply;
use daisyquay::peer::Request;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use crate::support::PEER_KEY;
use crate::support::start_stub_replica;

/// Time for which a sound peer may be silent, a lossy link included.
const SILENCE: Duration = Duration::from_millis(1500);

/// Time within which a dead peer must be noticed while data is in flight, beside the retransmission
/// timeouts of the operating system.
const DEAD_AFTER: Duration = Duration::from_millis(2500);

/// Keep-alive probes that a lossy link may lose in a row.
const LOST_PROBES: u32 = 4;

async fn connect() -> (UpstreamStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (accepted, _) = listener.accept().await.unwrap();
    (UpstreamStream::new(stream.unwrap()), accepted)
}

fn user_timeout(stream: &UpstreamStream) -> Option<Duration> {
    SockRef::from(stream).tcp_user_timeout().unwrap()
}

/// Checks that the user timeout leaves room for lost probes.
fn assert_survives_lost_probes(stream: &UpstreamStream) {
    let socket = SockRef::from(stream);
    assert!(socket.keepalive().unwrap());
    let time = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    match user_timeout(stream) {
        Some(timeout) => assert!(timeout >= time + LOST_PROBES * interval, "{timeout:?}"),
        None => assert!(socket.tcp_keepalive_retries().unwrap() > LOST_PROBES),
    }
}

fn assert_notices_a_dead_peer(stream: &UpstreamStream) {
    let timeout = user_timeout(stream).unwrap();
    assert!((SILENCE..=DEAD_AFTER).contains(&timeout), "{timeout:?}");
}

/// Waits for a response for that long; nothing comes.
async fn wait_in_vain(stream: &mut UpstreamStream, time: Duration) {
    let mut buf = [0; 16];
    let read = tokio::time::timeout(time, stream.read(&mut buf)).await;
    assert!(read.is_err(), "{read:?}");
}

/// Guards against ending a sound connection after one lost keep-alive probe while a request waits
/// for its response or the connection is idle: a user timeout decides when probes give up.
#[tokio::test]
async fn user_timeout_is_short_only_while_sent_data_may_be_unacknowledged() {
    let (mut stream, mut upstream) = connect().await;
    assert_survives_lost_probes(&stream);
    for request in 0..2 {
        stream.write_all(b"request").await.unwrap();
        stream.flush().await.unwrap();
        assert_notices_a_dead_peer(&stream);
        // The operating system ends the connection before this time if nothing is acknowledged, and
        // probes it only after that.
        let socket = SockRef::from(&stream);
        let first_loss =
            socket.tcp_keepalive_time().unwrap() + socket.tcp_keepalive_interval().unwrap();
        wait_in_vain(&mut stream, first_loss - Duration::from_millis(500)).await;
        assert_survives_lost_probes(&stream);
        upstream.write_all(b"response").await.unwrap();
        let mut buf = [0; 16];
        assert_eq!(stream.read(&mut buf).await.unwrap(), 8, "request {request}");
        assert_survives_lost_probes(&stream);
    }
}

/// Guards against probes that end a connection on which data has just been acknowledged: its user
/// timeout is still short.
#[tokio::test]
async fn no_probe_is_lost_while_the_user_timeout_is_short() {
    let (mut stream, _upstream) = connect().await;
    stream.write_all(b"request").await.unwrap();
    wait_in_vain(&mut stream, Duration::from_millis(500)).await;
    assert_notices_a_dead_peer(&stream);
    let time = SockRef::from(&stream).tcp_keepalive_time().unwrap();
    assert!(time >= DEAD_AFTER, "{time:?}");
}

/// Guards against ending the connection of an upstream that reads a large request late.
#[tokio::test]
async fn user_timeout_is_off_while_a_large_request_may_not_fit() {
    let (mut stream, mut upstream) = connect().await;
    stream.write_all(&[b'x'; 1 << 20]).await.unwrap();
    assert_eq!(user_timeout(&stream), None);
    upstream.write_all(b"early").await.unwrap();
    let mut buf = [0; 16];
    assert_eq!(stream.read(&mut buf).await.unwrap(), 5);
    assert_notices_a_dead_peer(&stream);
}

struct Done;

impl Handler for Done {
    fn call(&self, _: Caller, _: Request) -> Pin<Box<dyn Future<Output = Reply>>> {
        Box::pin(async { Reply::Done })
    }
}

/// Returns the timers of the connections to a local port, by end: of the accepting one and of the
/// connecting one. See `proc_net_tcp.txt` of the Linux kernel.
fn timers(port: u16) -> (Vec<u8>, Vec<u8>) {
    const ESTABLISHED: &str = "01";
    let (mut accepted, mut connected) = (Vec::new(), Vec::new());
    for line in std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .skip(1)
    {
        let fields: Vec<_> = line.split_whitespace().collect();
        let port_of = |address: &str| u16::from_str_radix(address.rsplit(':').next().unwrap(), 16);
        let timer = fields[5].split(':').next().unwrap();
        let timer = u8::from_str_radix(timer, 16).unwrap();
        if fields[3] != ESTABLISHED {
            continue;
        }
        if port_of(fields[1]) == Ok(port) {
            accepted.push(timer);
        } else if port_of(fields[2]) == Ok(port) {
            connected.push(timer);
        }
    }
    (accepted, connected)
}

/// Guards against connections between processes that stay open for ever after the VM of their peer
/// has lost power, and add up to the limit of the listener.
#[tokio::test]
async fn both_ends_of_a_connection_between_processes_probe_their_peer() {
    /// The operating system's timer for keep-alive probes.
    const KEEP_ALIVE_TIMER: u8 = 2;
    let address = start_stub_replica(Done);
    let client = Client::new(PEER_KEY);
    let observed = async {
        let limit = Duration::from_secs(5);
        let reply = client.call(address, &Request::BootstrapStatus, limit).await;
        assert!(matches!(reply, Ok(Reply::Done)), "{reply:?}");
        // Data that is not acknowledged yet has a timer of its own.
        tokio::time::sleep(Duration::from_millis(300)).await;
        timers(address.port())
    };
    let (accepted, connected) = LocalSet::new().run_until(observed).await;
    assert_eq!(accepted, [KEEP_ALIVE_TIMER]);
    assert_eq!(connected, [KEEP_ALIVE_TIMER]);
}
