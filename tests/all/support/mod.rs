//! Test fixtures shared by several modules.

pub(crate) mod fleet;
