//! Segment tree that finds the interval end with the largest excess.

/// Segment tree over a fixed number of positions. The sum at an inserted position is its initial value plus the number
/// of positions inserted up to and including it.
#[derive(Debug)]
pub(crate) struct ExcessTree {
    nodes: Vec<Node>,
    leaf_count: usize,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    /// Count that applies to all leaves below the node.
    added: f64,
    /// Largest sum below the node.
    largest: f64,
    /// Position of the largest sum.
    position: usize,
}

impl ExcessTree {
    pub(crate) fn new(positions: usize) -> Self {
        let leaf_count = positions.next_power_of_two();
        let empty = Node {
            added: 0.0,
            largest: f64::NEG_INFINITY,
            position: 0,
        };
        Self {
            nodes: vec![empty; 2 * leaf_count],
            leaf_count,
        }
    }

    /// Inserts a position with its initial value, and adds 1 to the sums at this and all later positions.
    pub(crate) fn insert(&mut self, position: usize, value: f64) {
        let leaf = self.leaf_count + position;
        self.nodes[leaf].largest = self.nodes[leaf].added + value;
        self.nodes[leaf].position = position;
        self.add(leaf);
        self.update_ancestors(leaf);
        let mut node = leaf;
        while node > 1 {
            if node.is_multiple_of(2) {
                self.add(node + 1);
                self.update_ancestors(node + 1);
            }
            node /= 2;
        }
    }

    /// Returns the inserted position with the largest sum, and that sum.
    pub(crate) fn largest(&self) -> (usize, f64) {
        (self.nodes[1].position, self.nodes[1].largest)
    }

    fn add(&mut self, node: usize) {
        self.nodes[node].added += 1.0;
        self.nodes[node].largest += 1.0;
    }

    fn update_ancestors(&mut self, node: usize) {
        let mut parent = node / 2;
        while parent > 0 {
            let (left, right) = (self.nodes[2 * parent], self.nodes[2 * parent + 1]);
            let larger = if left.largest >= right.largest {
                left
            } else {
                right
            };
            self.nodes[parent].largest = larger.largest + self.nodes[parent].added;
            self.nodes[parent].position = larger.position;
            parent /= 2;
        }
    }
}
