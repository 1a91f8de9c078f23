//! The log of a simulation, which can be restored from a backup.

use ids::Generation;
use ids::Offset;
use ids::first_offset;
use ids::generation_of;

/// Records by generation and position.
pub(crate) struct SimulatedLog {
    generations: Vec<Vec<String>>,
}

impl SimulatedLog {
    pub(crate) fn new(first_record: String) -> Self {
        Self {
            generations: vec![vec![first_record]],
        }
    }

    pub(crate) fn append(&mut self, generation: Generation, record: String) {
        self.generations[generation as usize].push(record);
    }

    /// Returns the latest generation.
    pub(crate) fn current(&self) -> Generation {
        self.generations.len() as Generation - 1
    }

    /// Returns the latest generation after that of `offset` that has records, or the latest one if none has any.
    pub(crate) fn generation_after(&self, offset: Offset) -> Generation {
        let mut later = (generation_of(offset) + 1..=self.current()).rev();
        let written = later.find(|generation| !self.records(*generation).is_empty());
        written.unwrap_or(self.current())
    }

    /// Returns the offset of the next record of a generation.
    pub(crate) fn next_offset(&self, generation: Generation) -> Offset {
        first_offset(generation) + self.records(generation).len() as Offset
    }

    /// Returns the records from an offset to the end of its generation.
    pub(crate) fn read(&self, from: Offset) -> Vec<(Offset, String)> {
        let generation = generation_of(from);
        let skipped = (from - first_offset(generation)) as usize;
        let records = self.records(generation).iter().skip(skipped).cloned();
        (from..).zip(records).collect()
    }

    pub(crate) fn records(&self, generation: Generation) -> &[String] {
        &self.generations[generation as usize]
    }

    /// Drops the newest `lost` records, and begins a generation.
    pub(crate) fn restore(&mut self, mut lost: usize) {
        for records in self.generations.iter_mut().rev() {
            let dropped = lost.min(records.len());
            records.truncate(records.len() - dropped);
            lost -= dropped;
        }
        self.generations.push(Vec::new());
    }
}
