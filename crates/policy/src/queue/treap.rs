//! Waiting requests in the order of their deadlines, with sums of work.

use std::time::Instant;

use crate::entry::Ticket;

use super::Item;

/// The place of a request: whether it is deferred, then its deadline, then its arrival.
pub(super) type Key = (bool, Instant, u64);

/// The index of a node that does not exist.
const NONE: u32 = u32::MAX;

#[derive(Debug, Clone)]
struct Node {
    key: Key,
    ticket: Ticket,
    work_ms: u64,
    /// The work of the node and of all below it.
    subtree_ms: u64,
    priority: u64,
    left: u32,
    right: u32,
}

/// A treap: a search tree by key that is a heap by priority, and so balanced on average.
///
/// A `BTreeSet` gives no sum of all entries before a key, which the estimate of a wait needs.
#[derive(Debug, Clone)]
pub(super) struct Treap {
    nodes: Vec<Node>,
    free: Vec<u32>,
    root: u32,
}

impl Default for Treap {
    fn default() -> Self {
        Self { nodes: Vec::new(), free: Vec::new(), root: NONE }
    }
}

impl Treap {
    pub(super) fn len(&self) -> usize {
        self.nodes.len() - self.free.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.root == NONE
    }

    /// The work of all entries, in milliseconds.
    pub(super) fn work_ms(&self) -> u64 {
        self.subtree_ms(self.root)
    }

    /// The first entry.
    pub(super) fn first(&self) -> Option<(Key, Ticket)> {
        let mut at = self.root;
        let mut first = None;
        while at != NONE {
            let node = self.node(at);
            first = Some((node.key, node.ticket));
            at = node.left;
        }
        first
    }

    /// The work of all entries before `key`, in milliseconds.
    pub(super) fn work_ms_before(&self, key: Key) -> u64 {
        let mut at = self.root;
        let mut before_ms = 0;
        while at != NONE {
            let node = self.node(at);
            if node.key < key {
                before_ms += self.subtree_ms(node.left) + node.work_ms;
                at = node.right;
            } else {
                at = node.left;
            }
        }
        before_ms
    }

    pub(super) fn insert(&mut self, item: &Item) {
        let node = Node {
            key: key(item),
            ticket: item.ticket,
            work_ms: item.work_ms,
            subtree_ms: item.work_ms,
            priority: scramble(item.sequence),
            left: NONE,
            right: NONE,
        };
        let (left, right) = self.split(self.root, node.key);
        let middle = self.allocate(node);
        let left = self.merge(left, middle);
        self.root = self.merge(left, right);
    }

    pub(super) fn remove(&mut self, item: &Item) {
        let key = key(item);
        let (left, rest) = self.split(self.root, key);
        let (found, right) = self.split(rest, (key.0, key.1, key.2 + 1));
        self.root = self.merge(left, right);
        if found != NONE {
            self.free.push(found);
        }
        if self.root == NONE {
            self.nodes.clear();
            self.free.clear();
        }
    }

    fn node(&self, at: u32) -> &Node {
        &self.nodes[at as usize]
    }

    fn subtree_ms(&self, at: u32) -> u64 {
        if at == NONE { 0 } else { self.node(at).subtree_ms }
    }

    fn allocate(&mut self, node: Node) -> u32 {
        match self.free.pop() {
            Some(at) => {
                self.nodes[at as usize] = node;
                at
            }
            None => {
                self.nodes.push(node);
                (self.nodes.len() - 1) as u32
            }
        }
    }

    fn update(&mut self, at: u32) {
        let node = self.node(at);
        let subtree_ms = self.subtree_ms(node.left) + node.work_ms + self.subtree_ms(node.right);
        self.nodes[at as usize].subtree_ms = subtree_ms;
    }

    /// Splits a tree into the entries before `key` and all others.
    fn split(&mut self, at: u32, key: Key) -> (u32, u32) {
        if at == NONE {
            return (NONE, NONE);
        }
        if self.node(at).key < key {
            let (left, right) = self.split(self.node(at).right, key);
            self.nodes[at as usize].right = left;
            self.update(at);
            (at, right)
        } else {
            let (left, right) = self.split(self.node(at).left, key);
            self.nodes[at as usize].left = right;
            self.update(at);
            (left, at)
        }
    }

    /// Joins two trees of which the first has the earlier entries.
    fn merge(&mut self, left: u32, right: u32) -> u32 {
        if left == NONE {
            return right;
        }
        if right == NONE {
            return left;
        }
        if self.node(left).priority > self.node(right).priority {
            let joined = self.merge(self.node(left).right, right);
            self.nodes[left as usize].right = joined;
            self.update(left);
            left
        } else {
            let joined = self.merge(left, self.node(right).left);
            self.nodes[right as usize].left = joined;
            self.update(right);
            right
        }
    }
}

/// The place of an item.
pub(super) fn key(item: &Item) -> Key {
    (item.deferred, item.deadline, item.sequence)
}

/// A number that looks random and depends on `value` alone.
fn scramble(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 27).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 31).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 32
}
