//! Fixtures that several areas share.

pub(crate) mod fleet;
