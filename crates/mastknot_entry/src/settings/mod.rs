//! Settings file of `mastknot-entry`.

mod entry_file;

pub use entry_file::EntryFile;
