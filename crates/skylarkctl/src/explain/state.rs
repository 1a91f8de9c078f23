//! What was amiss with a process at a time.

use std::collections::BTreeMap;

use ids::VmId;
use telemetry::Dependency;
use telemetry::ProcessEvent;

use crate::explain::log_line::LogLine;

/// Decisions about membership after which a process does not serve, and those that end that.
const AMISS: [(&str, &str); 3] = [
    ("lease_ended", "lease_held"),
    ("left", "joined"),
    ("uninformed", "informed"),
];

/// What is amiss with each process, by lines in order of time.
#[derive(Debug, Default)]
pub(crate) struct State {
    vms: BTreeMap<VmId, Vm>,
}

#[derive(Debug, Default)]
struct Vm {
    amiss: BTreeMap<&'static str, u64>,
    lost: BTreeMap<(Dependency, String), (u64, String)>,
    stopping: Option<u64>,
}

impl State {
    /// Takes in a line.
    pub(crate) fn read(&mut self, line: &LogLine) {
        match line {
            LogLine::Event(line) => {
                let vm = self.vms.entry(line.vm.clone()).or_default();
                vm.read_event(line.time_unix_ms, &line.event);
            }
            LogLine::Membership(line) => {
                let vm = self.vms.entry(line.vm.clone()).or_default();
                vm.read_membership(line.time_unix_ms, &line.decision);
            }
            LogLine::Request(_) => {}
        }
    }

    /// Returns what is amiss with a process at a time.
    pub(crate) fn of(&self, vm: &str, now: u64) -> Vec<String> {
        let Some(vm) = self.vms.get(vm) else {
            return Vec::new();
        };
        let since = |at: u64| now.saturating_sub(at);
        let mut found = Vec::new();
        for ((dependency, name), (at, problem)) in &vm.lost {
            let what = dependency.as_str();
            let name = if name.is_empty() { "" } else { name };
            let for_ms = since(*at);
            found.push(format!("{what} {name} lost for {for_ms} ms ({problem})"));
        }
        for (what, at) in &vm.amiss {
            found.push(format!("{what} for {} ms", since(*at)));
        }
        if let Some(at) = vm.stopping {
            found.push(format!("stopping for {} ms", since(at)));
        }
        found
    }
}

impl Vm {
    fn read_event(&mut self, at: u64, event: &ProcessEvent) {
        match event {
            ProcessEvent::DependencyLost {
                dependency,
                name,
                problem,
            } => {
                let key = (*dependency, name.clone());
                self.lost.insert(key, (at, problem.clone()));
            }
            ProcessEvent::DependencyRegained {
                dependency, name, ..
            } => {
                self.lost.remove(&(*dependency, name.clone()));
            }
            ProcessEvent::Started { .. } => *self = Self::default(),
            ProcessEvent::Stopping => self.stopping = Some(at),
            ProcessEvent::LinesDropped { .. }
            | ProcessEvent::SettingsRead { .. }
            | ProcessEvent::SettingsRefused { .. }
            | ProcessEvent::Stopped { .. } => {}
        }
    }

    fn read_membership(&mut self, at: u64, decision: &str) {
        for (begin, end) in AMISS {
            if decision == begin {
                self.amiss.entry(begin).or_insert(at);
            } else if decision == end {
                self.amiss.remove(begin);
            }
        }
    }
}
