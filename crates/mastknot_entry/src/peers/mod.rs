//! Links of an entry to sides and peers.

mod dialing;
mod listening;
mod serving;

pub(crate) use dialing::keep_dialing;
pub(crate) use listening::listen;
pub(crate) use serving::Hello;
