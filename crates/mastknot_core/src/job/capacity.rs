use bincode::{Decode, Encode};

/// Processor time, memory and accelerators that a task requires or a target has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Capacity {
    /// Processor capacity, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of whole accelerators.
    pub accelerators: u32,
}

impl Capacity {
    /// Returns whether `task` fits into this capacity.
    pub fn covers(&self, task: &Self) -> bool {
        task.cpu_millis <= self.cpu_millis
            && task.memory_mb <= self.memory_mb
            && task.accelerators <= self.accelerators
    }

    /// Returns how many tasks of this size fit into this capacity; [`u32::MAX`] for a task that
    /// requires nothing.
    pub fn count_of(&self, task: &Self) -> u32 {
        let whole = [self.cpu_millis, self.memory_mb, self.accelerators];
        let each = [task.cpu_millis, task.memory_mb, task.accelerators];
        let counts = whole.into_iter().zip(each).filter(|(_, each)| *each > 0);
        counts
            .map(|(whole, each)| whole / each)
            .min()
            .unwrap_or(u32::MAX)
    }

    /// Returns this capacity less that of `task`, with each part at least zero.
    pub fn without(&self, task: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(task.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(task.memory_mb),
            accelerators: self.accelerators.saturating_sub(task.accelerators),
        }
    }

    /// Returns the sum of both capacities.
    pub fn with(&self, task: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(task.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(task.memory_mb),
            accelerators: self.accelerators.saturating_add(task.accelerators),
        }
    }

    /// Returns the smaller value of each part.
    pub fn smaller_of(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the smallest share of `whole` among the parts, in thousandths. The scarcest part
    /// decides how much work fits in.
    pub fn min_permille_of(&self, whole: &Self) -> u32 {
        let share = |part: u32, whole: u32| match whole {
            0 => None,
            whole => Some((u64::from(part) * 1_000 / u64::from(whole)) as u32),
        };
        let shares = [
            share(self.cpu_millis, whole.cpu_millis),
            share(self.memory_mb, whole.memory_mb),
            share(self.accelerators, whole.accelerators),
        ];
        shares.into_iter().flatten().min().unwrap_or_default()
    }

    /// Returns the largest share of `whole` among the parts, in thousandths.
    pub fn max_permille_of(&self, whole: &Self) -> u32 {
        let share = |part: u32, whole: u32| match whole {
            0 => 0,
            whole => (u64::from(part) * 1_000 / u64::from(whole)) as u32,
        };
        share(self.cpu_millis, whole.cpu_millis)
            .max(share(self.memory_mb, whole.memory_mb))
            .max(share(self.accelerators, whole.accelerators))
    }
}
