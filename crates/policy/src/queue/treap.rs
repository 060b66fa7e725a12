//! An order statistics tree of waiting requests by deadline, with sums of work.

use std::time::Instant;

use crate::entry::Ticket;

use super::Item;

/// The order of requests: those not deferred first, then by deadline, then by arrival.
pub(super) type Key = (bool, Instant, u64);

/// The index that stands for no node.
const NONE: u32 = u32::MAX;

#[derive(Debug, Clone)]
struct Node {
    key: Key,
    ticket: Ticket,
    work_ms: u64,
    /// The work of the node and its descendants.
    subtree_ms: u64,
    priority: u64,
    left: u32,
    right: u32,
}

/// A treap: a binary search tree by key and a heap by random priority, which keeps it balanced on
/// average.
///
/// The estimate of a wait needs the sum of the work before a key, which a `BTreeSet` cannot give.
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

    /// The entry with the lowest key.
    pub(super) fn first(&self) -> Option<(Key, Ticket)> {
        let mut index = self.root;
        let mut first = None;
        while index != NONE {
            let node = self.node(index);
            first = Some((node.key, node.ticket));
            index = node.left;
        }
        first
    }

    /// The work of all entries before `key`, in milliseconds.
    pub(super) fn work_ms_before(&self, key: Key) -> u64 {
        let mut index = self.root;
        let mut before_ms = 0;
        while index != NONE {
            let node = self.node(index);
            if node.key < key {
                before_ms += self.subtree_ms(node.left) + node.work_ms;
                index = node.right;
            } else {
                index = node.left;
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

    fn node(&self, index: u32) -> &Node {
        &self.nodes[index as usize]
    }

    fn subtree_ms(&self, index: u32) -> u64 {
        if index == NONE { 0 } else { self.node(index).subtree_ms }
    }

    fn allocate(&mut self, node: Node) -> u32 {
        match self.free.pop() {
            Some(index) => {
                self.nodes[index as usize] = node;
                index
            }
            None => {
                self.nodes.push(node);
                (self.nodes.len() - 1) as u32
            }
        }
    }

    fn update(&mut self, index: u32) {
        let node = self.node(index);
        let subtree_ms = self.subtree_ms(node.left) + node.work_ms + self.subtree_ms(node.right);
        self.nodes[index as usize].subtree_ms = subtree_ms;
    }

    /// Splits a tree into the entries before `key` and the others.
    fn split(&mut self, index: u32, key: Key) -> (u32, u32) {
        if index == NONE {
            return (NONE, NONE);
        }
        if self.node(index).key < key {
            let (left, right) = self.split(self.node(index).right, key);
            self.nodes[index as usize].right = left;
            self.update(index);
            (index, right)
        } else {
            let (left, right) = self.split(self.node(index).left, key);
            self.nodes[index as usize].left = right;
            self.update(index);
            (left, index)
        }
    }

    /// Merges two trees, of which `left` has the lower keys.
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

pub(super) fn key(item: &Item) -> Key {
    (item.deferred, item.deadline, item.sequence)
}

/// A pseudo-random priority derived from `value` alone, in the manner of SplitMix64.
fn scramble(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 27).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 31).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 32
}
