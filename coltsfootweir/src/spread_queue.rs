//! Queue of changes that are piggybacked on messages a bounded number of times.

use std::collections::BTreeMap;

/// Hashes of changes to send, each with the number of times it was sent.
#[derive(Clone, Debug)]
pub(crate) struct SpreadQueue {
    sends: BTreeMap<u64, u32>,
    salt: u64,
}

impl SpreadQueue {
    /// Creates an empty queue; `salt` differs between members, so that they send in different orders.
    pub(crate) fn new(salt: u64) -> SpreadQueue {
        SpreadQueue {
            sends: BTreeMap::new(),
            salt,
        }
    }

    /// Adds a change, or resets its number of sends.
    pub(crate) fn push(&mut self, key: u64) {
        self.sends.insert(key, 0);
    }

    /// Returns the number of changes that are still to be sent.
    pub(crate) fn len(&self) -> usize {
        self.sends.len()
    }

    /// Counts a change as sent because another member sent it; drops it at `limit` sends.
    pub(crate) fn count_duplicate(&mut self, key: u64, limit: u32) {
        let Some(sends) = self.sends.get_mut(&key) else {
            return;
        };
        *sends += 1;
        if *sends >= limit {
            self.sends.remove(&key);
        }
    }

    /// Returns up to `count` changes, those with the fewest sends first, and counts them as sent. A
    /// change that was sent `limit` times is dropped.
    pub(crate) fn take(&mut self, count: usize, limit: u32) -> Vec<u64> {
        if count == 0 {
            return Vec::new();
        }
        let mut order: Vec<(u32, u64)> = Vec::with_capacity(self.sends.len());
        for (key, sends) in &self.sends {
            order.push((*sends, key ^ self.salt));
        }
        if order.len() > count {
            order.select_nth_unstable(count - 1);
            order.truncate(count);
        }
        let mut taken = Vec::with_capacity(order.len());
        for (sends, salted) in order {
            let key = salted ^ self.salt;
            if sends + 1 >= limit {
                self.sends.remove(&key);
            } else {
                self.sends.insert(key, sends + 1);
            }
            taken.push(key);
        }
        taken
    }
}

/// Queues of one kind of change: within the region and over the link to other regions.
#[derive(Clone, Debug)]
pub(crate) struct SpreadQueues {
    pub(crate) local: SpreadQueue,
    pub(crate) remote: SpreadQueue,
}

impl SpreadQueues {
    /// Creates empty queues.
    pub(crate) fn new(salt: u64) -> SpreadQueues {
        SpreadQueues {
            local: SpreadQueue::new(salt),
            remote: SpreadQueue::new(salt),
        }
    }

    /// Adds a change; it is also sent over the link if `crosses`.
    pub(crate) fn push(&mut self, key: u64, crosses: bool) {
        self.local.push(key);
        if crosses {
            self.remote.push(key);
        }
    }
}

/// Returns the number of times a change is sent: `factor` per doubling of `members`.
pub(crate) fn send_limit(factor: u32, members: usize) -> u32 {
    factor * (usize::BITS - members.leading_zeros()).max(1)
}
