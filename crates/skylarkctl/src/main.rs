//! The operator command.

use std::process::ExitCode;
use std::time::Duration;

use records::HttpLog;
use records::Log;

fn main() -> ExitCode {
    let connect = |addresses: Vec<String>, timeout: Duration| -> Box<dyn Log> {
        Box::new(HttpLog::new(addresses, timeout))
    };
    let output = skylarkctl::run(std::env::args_os().skip(1).collect(), &connect);
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    output.exit_code.into()
}
