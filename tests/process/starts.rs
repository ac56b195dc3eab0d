//! Processes that start while others hold their ports.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::support::PEER_KEY;
use crate::support::Program;
use crate::support::eventually;
use crate::support::free_address;

/// Time for which another process holds a port.
const HELD_TIME: Duration = Duration::from_secs(1);

/// Address of another machine.
const ELSEWHERE: &str = "192.0.2.1:7400";

fn log_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("daisyquay-starts-{}-{name}", std::process::id()))
}

/// Starts a program whose state replicas are not there.
fn start(path: &str, log: &Path, addresses: [(&str, &str); 2]) -> Program {
    let mut args = vec![
        ("--vm", "vm"),
        ("--data-centre", "dc1"),
        ("--state", "127.0.0.1:1"),
        ("--peer-key", PEER_KEY),
    ];
    args.extend(addresses);
    let args: Vec<String> = args
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value.to_owned()])
        .collect();
    Program::start(path, &args, log)
}

fn start_entry(log: &Path, listen: &str, admin: &str) -> Program {
    let addresses = [("--listen", listen), ("--admin-listen", admin)];
    start(env!("CARGO_BIN_EXE_daisyquay-entry"), log, addresses)
}

fn start_gateway(log: &Path, listen: &str, loads: &str) -> Program {
    let addresses = [("--listen", listen), ("--loads-listen", loads)];
    start(env!("CARGO_BIN_EXE_daisyquay-gateway"), log, addresses)
}

/// Checks that a process ends by itself and logs a reason that contains all of `texts`.
fn check_failed_start(mut program: Program, log: &Path, texts: &[&str]) {
    let code = eventually("the process has ended", || program.try_exit_code());
    assert_eq!(code, Some(1));
    let text = std::fs::read_to_string(log).unwrap();
    std::fs::remove_file(log).unwrap();
    let mut lines = text.lines();
    let failed = lines.find(|line| line.contains("event=process_failed"));
    let failed = failed.unwrap_or_default();
    for part in texts {
        assert!(failed.contains(part), "{part}: {text}");
    }
}

/// Guards against an entry that ends because its predecessor, or a connection of another process, has
/// one of its ports for a moment, and against callers that wait in the backlog of an entry that waits.
#[test]
fn entry_waits_for_each_of_its_ports() {
    for (held, flag) in [(0, "--listen"), (1, "--admin-listen")] {
        let addresses = [free_address(), free_address()];
        let [listen, admin] = addresses.map(|address| address.to_string());
        let log = log_path(&format!("waits{held}"));
        let holder = TcpListener::bind(addresses[held]).unwrap();
        let mut entry = start_entry(&log, &listen, &admin);
        thread::sleep(HELD_TIME);
        assert_eq!(entry.try_exit_code(), None, "{flag}");
        let other: SocketAddr = addresses[1 - held];
        assert!(TcpStream::connect(other).is_err(), "beside {flag}");
        let text = std::fs::read_to_string(&log).unwrap();
        let waits = |line: &str| line.contains("event=socket_in_use") && line.contains(flag);
        assert!(text.lines().any(waits), "{flag}: {text}");
        drop(holder);
        for address in addresses {
            eventually("the port is served", || TcpStream::connect(address).ok());
        }
        std::fs::remove_file(&log).unwrap();
    }
}

/// Guards against an entry that ends because the kernel gave its port to an outgoing connection.
#[test]
fn entry_waits_for_a_port_that_an_outgoing_connection_has() {
    let peer = TcpListener::bind(free_address()).unwrap();
    let address = free_address();
    let outgoing = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    outgoing.bind(&address.into()).unwrap();
    outgoing
        .connect(&peer.local_addr().unwrap().into())
        .unwrap();
    let (accepted, _) = peer.accept().unwrap();
    // A reset keeps the port of neither end.
    outgoing.set_linger(Some(Duration::ZERO)).unwrap();
    let log = log_path("outgoing");
    let admin = free_address();
    let mut entry = start_entry(&log, &address.to_string(), &admin.to_string());
    thread::sleep(HELD_TIME);
    assert_eq!(entry.try_exit_code(), None);
    assert!(TcpStream::connect(admin).is_err());
    drop((outgoing, accepted));
    for address in [address, admin] {
        eventually("the port is served", || TcpStream::connect(address).ok());
    }
    std::fs::remove_file(&log).unwrap();
}

/// Guards against an entry that ends, or serves one port alone, because another process listens on an
/// address that the entry has bound and doesn't listen on yet.
#[test]
fn entry_waits_for_a_port_on_which_another_process_listens_first() {
    let [listen, admin] = [free_address(), free_address()];
    let log = log_path("first");
    let admin_holder = TcpListener::bind(admin).unwrap();
    let mut entry = start_entry(&log, &listen.to_string(), &admin.to_string());
    let waits_for = |flag: &str| {
        eventually("the entry waits", || {
            let text = std::fs::read_to_string(&log).unwrap();
            let waits = |line: &str| line.contains("event=socket_in_use") && line.contains(flag);
            text.lines().any(waits).then_some(())
        });
    };
    waits_for("--admin-listen");
    let listen_holder = TcpListener::bind(listen).unwrap();
    drop(admin_holder);
    waits_for("setting=--listen");
    assert!(TcpStream::connect(admin).is_err());
    drop(listen_holder);
    for address in [listen, admin] {
        eventually("the port is served", || TcpStream::connect(address).ok());
    }
    assert_eq!(entry.try_exit_code(), None);
    std::fs::remove_file(&log).unwrap();
}

/// Guards against an entry that waits for a port and takes no notice of a stop.
#[test]
fn entry_that_is_asked_to_stop_while_it_waits_for_a_port_ends_with_success() {
    let holder = TcpListener::bind(free_address()).unwrap();
    let held = holder.local_addr().unwrap().to_string();
    let log = log_path("stops");
    let mut entry = start_entry(&log, &held, "127.0.0.1:0");
    thread::sleep(HELD_TIME);
    entry.terminate();
    let code = eventually("the entry has ended", || entry.try_exit_code());
    assert_eq!(code, Some(0));
    std::fs::remove_file(&log).unwrap();
}

/// Guards against a process that waits for an address which it can never get, and against a message
/// that names another flag.
#[test]
fn process_that_can_not_have_its_address_ends_and_names_the_flag() {
    let log = log_path("elsewhere");
    let entry = start_entry(&log, "127.0.0.1:0", ELSEWHERE);
    check_failed_start(entry, &log, &["--admin-listen", ELSEWHERE]);
    let gateway = start_gateway(&log, "127.0.0.1:0", ELSEWHERE);
    check_failed_start(gateway, &log, &["--loads-listen", ELSEWHERE]);
}

/// Guards against a process that waits for itself.
#[test]
fn process_with_the_same_address_for_two_flags_ends_and_names_both() {
    let log = log_path("twice");
    let address = free_address().to_string();
    let entry = start_entry(&log, &address, &address);
    check_failed_start(entry, &log, &["--listen", "--admin-listen", &address]);
    let gateway = start_gateway(&log, &address, &address);
    check_failed_start(gateway, &log, &["--listen", "--loads-listen", &address]);
}
