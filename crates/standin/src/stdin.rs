//! Shutdown of a stand-in process.

use std::io;
use std::io::Read;
use std::thread;

/// Blocks until standard input is closed, or forever when `until_input_ends` is false.
///
/// A process whose standard input is a pipe from its parent thus never outlives its parent.
pub fn wait_until_stopped(until_input_ends: bool) {
    if until_input_ends {
        let mut buf = [0; 64];
        let mut input = io::stdin().lock();
        while input.read(&mut buf).is_ok_and(|count| count > 0) {}
        return;
    }
    loop {
        thread::park();
    }
}
