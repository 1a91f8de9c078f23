//! Problems of processes over time.

use std::collections::BTreeMap;

use ids::VmId;
use telemetry::Dependency;
use telemetry::ProcessEvent;

use crate::explain::log_line::LogLine;

/// Membership decisions after which a process does not serve, each with the decision that ends the condition.
const MEMBERSHIP_PROBLEMS: [(&str, &str); 3] = [
    ("lease_ended", "lease_held"),
    ("left", "joined"),
    ("uninformed", "informed"),
];

/// Current problems of each process. Lines must be recorded in order of time.
#[derive(Debug, Default)]
pub(crate) struct ProcessProblems {
    vms: BTreeMap<VmId, VmProblems>,
}

#[derive(Debug, Default)]
struct VmProblems {
    /// Time at which each condition of [`MEMBERSHIP_PROBLEMS`] began.
    by_membership: BTreeMap<&'static str, u64>,
    /// Time since which operator declarations are invalid, and the problem.
    invalid_declarations: Option<(u64, String)>,
    /// Time at which each dependency was lost, and the problem that was observed.
    lost_dependencies: BTreeMap<(Dependency, String), (u64, String)>,
    /// Roll-outs that are being carried out, by service, with the time since which each is in its state.
    rollouts: BTreeMap<String, (u64, String)>,
    stopping_since: Option<u64>,
    /// Time since which the upstream states the rate of requests that it accepts, and the rate per second.
    upstream_limit: Option<(u64, f64)>,
}

impl ProcessProblems {
    /// Updates the problems of a process from a line.
    pub(crate) fn record_line(&mut self, line: &LogLine) {
        match line {
            LogLine::Event(line) => {
                let vm = self.vms.entry(line.vm.clone()).or_default();
                vm.record_event(line.time_unix_ms, &line.event);
            }
            LogLine::Membership(line) => {
                let vm = self.vms.entry(line.vm.clone()).or_default();
                vm.record_membership(line.time_unix_ms, &line.decision);
            }
            LogLine::Request(_) => {}
        }
    }

    /// Describes the problems of a VM's process and their durations at the time `now`, in milliseconds.
    pub(crate) fn describe(&self, vm: &str, now: u64) -> Vec<String> {
        let Some(vm) = self.vms.get(vm) else {
            return Vec::new();
        };
        let since = |at: u64| now.saturating_sub(at);
        let mut problems = Vec::new();
        for ((dependency, name), (at, problem)) in &vm.lost_dependencies {
            let what = dependency.as_str();
            let name = if name.is_empty() { "" } else { name };
            let for_ms = since(*at);
            problems.push(format!("{what} {name} lost for {for_ms} ms ({problem})"));
        }
        for (what, at) in &vm.by_membership {
            problems.push(format!("{what} for {} ms", since(*at)));
        }
        if let Some((at, problem)) = &vm.invalid_declarations {
            let for_ms = since(*at);
            problems.push(format!("declarations invalid for {for_ms} ms ({problem})"));
        }
        for (at, what) in vm.rollouts.values() {
            problems.push(format!("roll-out of {what} for {} ms", since(*at)));
        }
        if let Some(at) = vm.stopping_since {
            problems.push(format!("stopping for {} ms", since(at)));
        }
        if let Some((at, rate)) = vm.upstream_limit {
            let for_ms = since(at);
            problems.push(format!(
                "its upstream accepts {rate} requests/s for {for_ms} ms"
            ));
        }
        problems
    }
}

impl VmProblems {
    fn record_event(&mut self, at: u64, event: &ProcessEvent) {
        match event {
            ProcessEvent::DeclarationsAccepted => self.invalid_declarations = None,
            ProcessEvent::DeclarationsInvalid { problem } => {
                self.invalid_declarations = Some((at, problem.clone()));
            }
            ProcessEvent::DependencyLost {
                dependency,
                name,
                problem,
            } => {
                let key = (*dependency, name.clone());
                self.lost_dependencies.insert(key, (at, problem.clone()));
            }
            ProcessEvent::DependencyRegained {
                dependency, name, ..
            } => {
                self.lost_dependencies.remove(&(*dependency, name.clone()));
            }
            ProcessEvent::RolloutChanged {
                service,
                target_version,
                state,
                ..
            } => {
                let what = format!("{service} to {target_version} is {state}");
                match state.as_str() {
                    "trial" | "promoting" => self.rollouts.insert(service.clone(), (at, what)),
                    _ => self.rollouts.remove(service),
                };
            }
            ProcessEvent::Started { .. } => *self = Self::default(),
            ProcessEvent::Stopping => self.stopping_since = Some(at),
            ProcessEvent::UpstreamLimited {
                requests_per_second,
                ..
            } => self.upstream_limit = Some((at, *requests_per_second)),
            ProcessEvent::UpstreamUnlimited { .. } => self.upstream_limit = None,
            ProcessEvent::LinesDropped { .. }
            | ProcessEvent::RolloutDecided { .. }
            | ProcessEvent::RolloutOrderRefused { .. }
            | ProcessEvent::SettingsRead { .. }
            | ProcessEvent::SettingsRefused { .. }
            | ProcessEvent::Stopped { .. }
            | ProcessEvent::UpstreamLeaving { .. }
            | ProcessEvent::UpstreamLimitInvalid { .. } => {}
        }
    }

    fn record_membership(&mut self, at: u64, decision: &str) {
        for (begin, end) in MEMBERSHIP_PROBLEMS {
            if decision == begin {
                self.by_membership.entry(begin).or_insert(at);
            } else if decision == end {
                self.by_membership.remove(begin);
            }
        }
    }
}
