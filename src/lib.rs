//! catkinmast: a rollout service for reinforcement learning.
//!
//! The binaries in `src/bin` are thin wrappers over the crates under `crates/`. See `README.md` for
//! a first run and `docs/` for the design.
