//! catkinmast: a rollout service for reinforcement learning.
//!
//! The binaries in `src/bin` are thin; what they do lives in the crates under `crates/`. See
//! `README.md` for a first run and `docs/` for the design.
