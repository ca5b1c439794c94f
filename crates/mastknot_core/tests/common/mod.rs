//! The cores of entry and side with what surrounds them in tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod entry;
pub mod side;
