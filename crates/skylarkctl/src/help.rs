//! Help text.

/// Text that `--help` prints.
pub(crate) const HELP: &str = "\
Operates a fleet of skylarkrudder processes.

usage: skylarkctl [OPTIONS] COMMAND

commands that read and write the log, and need --log:
  publish plans|workspaces FILE [--base VERSION]
                          replaces the document, if VERSION is still in force; the first needs no VERSION
  show plans|workspaces   prints the document in force and its version
  zone out|in NAME        takes an availability zone out of service, or returns it
  upstream drain|return VM
                          takes the upstream of a VM out of service, or returns it
  key issue WORKSPACE     makes a tenant key, prints it once, and publishes its hash
  key withdraw KEY|--hash HASH
                          ends a tenant key for good
  quarantine list         prints the requests that crashed upstreams
  quarantine clear FINGERPRINT
                          lets a request run again
  declare-lost VM --i-checked process-is-gone
                          gives away the units of a member that nobody else can declare lost

commands that ask a process, and need --daemon:
  status                  members, units, zones, and how far each VM has read the log
  rollouts                versions on trial or rolled out, with their evidence
  owner SERVICE KEY       the unit of a key, and its owner
  explain REQUEST-ID      the decisions that a process took on a request

command that reads the log lines of processes:
  explain REQUEST-ID FILE...
                          the path of a request through all processes, what each knew, and the cause of its outcome

options:
  --log URL               address of the log service; repeat it for further ones
  --daemon ADDRESS        operator address of a process, such as 10.0.0.7:7103
  --timeout-ms N          time to wait for the outcome (default 10000)
  --unknown-is-fine       lets zone and upstream name one that has no member
  --writer NAME           who appends the record (default: the user's name)
  --json                  prints JSON
  --help, --version

exit codes:
  0  done, and read back from the log
  1  refused, or another writer was first; nothing was changed by this command
  2  wrong usage or invalid document; nothing was sent
  3  the outcome cannot be known yet; running the command again is harmless
";
