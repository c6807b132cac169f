//! Limit on the total memory of the bodies that a process buffers.
//!
//! A body is collected in one contiguous buffer whose capacity counts against the limit until the
//! last reference to its data is dropped. Keeping the received chunks and joining them at the end
//! would hold the body twice, and the memory of the chunks would be returned to the system late.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A buffer grows by at least its size divided by this.
const GROWTH_DIVISOR: usize = 4;

/// Memory budget for buffered bodies. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    usage: Arc<Usage>,
}

#[derive(Debug)]
struct Usage {
    limit: AtomicUsize,
    used: AtomicUsize,
}

/// The budget has too little memory left for a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted;

impl Default for BufferBudget {
    /// Creates a budget without a limit.
    fn default() -> Self {
        Self {
            usage: Arc::new(Usage {
                limit: AtomicUsize::new(usize::MAX),
                used: AtomicUsize::new(0),
            }),
        }
    }
}

impl BufferBudget {
    /// Changes the limit, in bytes. Existing buffers keep their memory.
    pub fn set_limit(&self, limit: usize) {
        self.usage.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the memory of all buffers, in bytes.
    pub fn used(&self) -> usize {
        self.usage.used.load(Ordering::Relaxed)
    }

    /// Creates an empty buffer, which reserves no memory yet.
    pub fn buffer(&self) -> Buffer {
        Buffer {
            data: Vec::new(),
            reserved: 0,
            usage: self.usage.clone(),
        }
    }
}

impl Usage {
    fn try_reserve(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        if bytes == 0 {
            return Ok(());
        }
        let limit = self.limit.load(Ordering::Relaxed);
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map(|_| ())
            .map_err(|_| BudgetExhausted)
    }
}

/// A body that is being collected.
#[derive(Debug)]
pub struct Buffer {
    data: Vec<u8>,
    /// Bytes of the budget that this buffer has reserved.
    reserved: usize,
    usage: Arc<Usage>,
}

impl Buffer {
    /// Returns the number of bytes collected so far.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether no bytes have been collected.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Reserves memory for a total of `capacity` bytes. Fails if the budget has too little left.
    pub fn reserve(&mut self, capacity: usize) -> Result<(), BudgetExhausted> {
        let additional = capacity.saturating_sub(self.reserved);
        self.usage.try_reserve(additional)?;
        self.grow_by(additional);
        Ok(())
    }

    /// Appends data. If the budget has too little left, fails and leaves the buffer unchanged.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BudgetExhausted> {
        let needed = self.data.len() + data.len();
        if needed > self.reserved {
            // Growth by a fraction amortizes copying. If the budget can't cover it, only the required
            // size is reserved.
            self.reserve(needed.max(self.reserved + self.reserved / GROWTH_DIVISOR))
                .or_else(|BudgetExhausted| self.reserve(needed))?;
        }
        self.data.extend_from_slice(data);
        Ok(())
    }

    /// Appends data that has already been received, even if this exceeds the limit.
    pub fn push_over_limit(&mut self, data: &[u8]) {
        let needed = self.data.len() + data.len();
        let additional = needed.saturating_sub(self.reserved);
        self.usage.used.fetch_add(additional, Ordering::Relaxed);
        self.grow_by(additional);
        self.data.extend_from_slice(data);
    }

    /// Returns the collected data. Dropping the last reference to it releases its memory.
    pub fn freeze(self) -> Bytes {
        match self.data.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }

    fn grow_by(&mut self, additional: usize) {
        self.reserved += additional;
        self.data.reserve_exact(self.reserved - self.data.len());
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.usage.used.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}
