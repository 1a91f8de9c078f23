//! Settings of the log stand-in.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings of a log stand-in.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of records to keep, unlimited when absent.
    pub retain: Option<usize>,
    /// Maximum number of appends per second, unlimited when absent.
    pub appends_per_second: Option<u32>,
    /// Addresses to replace in appended records, with their replacements, as network address translation does.
    pub rewrites: BTreeMap<SocketAddr, SocketAddr>,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            retain: None,
            appends_per_second: None,
            rewrites: BTreeMap::new(),
        }
    }
}

impl LogOptions {
    /// Returns the command-line arguments of a log stand-in that listens on `listen` and applies `rewrites`.
    pub(crate) fn args(
        &self,
        listen: SocketAddr,
        rewrites: impl Iterator<Item = (SocketAddr, SocketAddr)>,
    ) -> Vec<String> {
        let mut args = vec![
            "--until-input-ends".to_owned(),
            "--listen".to_owned(),
            listen.to_string(),
        ];
        for (from, to) in rewrites {
            args.extend(["--rewrite".to_owned(), format!("{from}={to}")]);
        }
        if let Some(retain) = self.retain {
            args.extend(["--retain".to_owned(), retain.to_string()]);
        }
        if let Some(rate) = self.appends_per_second {
            args.extend(["--appends-per-second".to_owned(), rate.to_string()]);
        }
        args
    }
}
