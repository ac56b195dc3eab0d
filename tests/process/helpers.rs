//! The helpers of these tests.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::support::free_address;
use crate::support::run;

/// Guards against a port that is reported as free and still has a listener: a process that another test
/// is starting has a copy of it until it runs its program.
#[test]
fn free_address_can_be_listened_on_while_processes_are_started() {
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::SeqCst) {
                    run(&mut Command::new("true"));
                }
            });
        }
        let in_use = (0..2_000).filter(|_| TcpListener::bind(free_address()).is_err());
        let in_use = in_use.count();
        is_done.store(true, Ordering::SeqCst);
        assert_eq!(in_use, 0);
    });
}
