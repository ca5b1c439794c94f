use bincode::{Decode, Encode};

/// What a task takes, or a target has: processor, memory, accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu_millis: u32,
    /// Megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Capacity {
    /// Whether `task` fits into this.
    pub fn covers(&self, task: &Self) -> bool {
        task.cpu_millis <= self.cpu_millis
            && task.memory_mb <= self.memory_mb
            && task.accelerators <= self.accelerators
    }

    /// How many tasks of this room fit into this.
    pub fn count_of(&self, task: &Self) -> u32 {
        let whole = [self.cpu_millis, self.memory_mb, self.accelerators];
        let each = [task.cpu_millis, task.memory_mb, task.accelerators];
        let counts = whole.into_iter().zip(each).filter(|(_, each)| *each > 0);
        counts
            .map(|(whole, each)| whole / each)
            .min()
            .unwrap_or(u32::MAX)
    }

    /// What is left without `task`, nothing below zero.
    pub fn without(&self, task: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(task.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(task.memory_mb),
            accelerators: self.accelerators.saturating_sub(task.accelerators),
        }
    }

    /// Both together.
    pub fn with(&self, task: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(task.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(task.memory_mb),
            accelerators: self.accelerators.saturating_add(task.accelerators),
        }
    }

    /// The smaller one of each part.
    pub fn smaller_of(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The smallest share of `whole` that this is, in thousandths: what there is least of decides how much fits in.
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

    /// The largest share of `whole` that this takes, in thousandths.
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
