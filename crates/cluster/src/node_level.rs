//! Transfers of load quanta between members in proportion to their weights.

/// Current level of one member, and the weight that determines its share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NodeLevel {
    /// Whether the member may receive units.
    pub(crate) eligible: bool,
    /// Current load or number of units, in whole quanta.
    pub(crate) level: u64,
    /// Weight of the member among the eligible members.
    pub(crate) weight: u32,
}

/// Difference between the level of one member and its share, in quanta.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Imbalance {
    surplus: u64,
    deficit: u64,
}

/// Returns the quanta that the member at index `sender` transfers, with the index of each receiver.
///
/// Every member computes the same matching from the same levels, so no two senders fill the same
/// deficit, and no more is moved than needed. Surpluses and deficits are matched in the order of
/// the members, so the matching of the others does not change once one member has moved its part.
pub(crate) fn transfers_from(nodes: &[NodeLevel], sender: usize) -> Vec<(usize, u64)> {
    let imbalances = imbalances(nodes);
    let start: u64 = imbalances[..sender]
        .iter()
        .map(|imbalance| imbalance.surplus)
        .sum();
    let end = start + imbalances[sender].surplus;
    let mut transfers = Vec::new();
    let mut offset = 0;
    for (index, imbalance) in imbalances.iter().enumerate() {
        let next = offset + imbalance.deficit;
        let amount = next.min(end).saturating_sub(offset.max(start));
        if amount > 0 {
            transfers.push((index, amount));
        }
        offset = next;
    }
    transfers
}

fn imbalances(nodes: &[NodeLevel]) -> Vec<Imbalance> {
    let total: u64 = nodes.iter().map(|node| node.level).sum();
    let weights: u64 = eligible(nodes).map(|node| u64::from(node.weight)).sum();
    if weights == 0 {
        return vec![Imbalance::default(); nodes.len()];
    }
    let bounds: Vec<(u64, u64)> = nodes
        .iter()
        .map(|node| share_bounds(node, total, weights))
        .collect();
    let mut imbalances: Vec<Imbalance> = nodes
        .iter()
        .zip(&bounds)
        .map(|(node, (low, high))| Imbalance {
            surplus: node.level.saturating_sub(*high),
            deficit: low.saturating_sub(node.level),
        })
        .collect();
    balance_totals(nodes, &bounds, &mut imbalances);
    imbalances
}

fn eligible(nodes: &[NodeLevel]) -> impl Iterator<Item = &NodeLevel> {
    nodes.iter().filter(|node| node.eligible)
}

/// Returns the share of a member rounded down and rounded up.
fn share_bounds(node: &NodeLevel, total: u64, weights: u64) -> (u64, u64) {
    if !node.eligible {
        return (0, 0);
    }
    let scaled = total * u64::from(node.weight);
    (scaled / weights, scaled.div_ceil(weights))
}

/// Makes the total surplus and the total deficit equal.
///
/// Raises deficits or surpluses by one quantum where the member stays within the bounds of its share.
fn balance_totals(nodes: &[NodeLevel], bounds: &[(u64, u64)], imbalances: &mut [Imbalance]) {
    let surplus: u64 = imbalances.iter().map(|imbalance| imbalance.surplus).sum();
    let deficit: u64 = imbalances.iter().map(|imbalance| imbalance.deficit).sum();
    let mut extra_deficit = surplus.saturating_sub(deficit);
    let mut extra_surplus = deficit.saturating_sub(surplus);
    for ((node, (low, high)), imbalance) in nodes.iter().zip(bounds).zip(imbalances) {
        if extra_deficit > 0 && node.level + imbalance.deficit < *high {
            imbalance.deficit += 1;
            extra_deficit -= 1;
        }
        if extra_surplus > 0 && node.level - imbalance.surplus > *low {
            imbalance.surplus += 1;
            extra_surplus -= 1;
        }
    }
}
