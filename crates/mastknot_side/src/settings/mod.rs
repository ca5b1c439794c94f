//! Settings file of `mastknot-side`.

mod side_file;

pub use side_file::SideFile;
