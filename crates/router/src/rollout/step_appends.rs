//! Records of roll-outs that this process has appended.

use std::collections::BTreeMap;
use std::time::Duration;

use cluster::RolloutStep;
use ids::Offset;
use ids::ServiceId;
use tokio::sync::oneshot;

/// Time after which a record that was read back without effect may be appended again.
const REPEAT_DELAY: Duration = Duration::from_secs(2);

/// Kind of a step of a roll-out.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StepKind {
    Ordered,
    Promoted,
    Completed,
    RolledBack,
    Published,
}

/// Records of roll-outs that this process has appended, so that each is appended once.
#[derive(Debug, Default)]
pub(crate) struct StepAppends {
    appends: BTreeMap<(ServiceId, Offset, StepKind), Append>,
}

#[derive(Debug)]
struct Append {
    at: Duration,
    /// Signalled once the record is read back. The record is appended again until then, unless this is dropped.
    read_back: oneshot::Receiver<()>,
}

impl StepKind {
    /// Returns the kind of a step.
    pub(crate) fn of(step: &RolloutStep) -> Self {
        match step {
            RolloutStep::Ordered { .. } => Self::Ordered,
            RolloutStep::Promoted => Self::Promoted,
            RolloutStep::Completed => Self::Completed,
            RolloutStep::RolledBack { .. } => Self::RolledBack,
            RolloutStep::Published { .. } => Self::Published,
        }
    }

    /// Returns the name of the step, for log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Promoted => "promoted",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
            Self::Published => "published",
        }
    }
}

impl StepAppends {
    /// Records that the record of a step is to be appended. Returns the sender that signals that it was read back, or `None`
    /// if it has been appended already.
    pub(crate) fn begin(
        &mut self,
        now: Duration,
        service: &ServiceId,
        position: Offset,
        kind: StepKind,
    ) -> Option<oneshot::Sender<()>> {
        let key = (service.clone(), position, kind);
        if let Some(append) = self.appends.get_mut(&key) {
            let is_pending =
                append.read_back.try_recv() == Err(oneshot::error::TryRecvError::Empty);
            if is_pending || now.saturating_sub(append.at) < REPEAT_DELAY {
                return None;
            }
        }
        let (sender, read_back) = oneshot::channel();
        self.appends.insert(key, Append { at: now, read_back });
        Some(sender)
    }

    /// Stops appending the records of a roll-out that would let its target version take over, after a rollback.
    pub(crate) fn cancel_promotion(&mut self, service: &str, position: Offset) {
        self.appends.retain(|(of, at, kind), _| {
            let is_promotion = matches!(kind, StepKind::Promoted | StepKind::Completed);
            of != service || *at != position || !is_promotion
        });
    }

    /// Stops appending the records of a service for orders before a position.
    pub(crate) fn drop_before(&mut self, service: &str, position: Offset) {
        self.appends
            .retain(|(of, at, _), _| of != service || *at >= position);
    }
}
