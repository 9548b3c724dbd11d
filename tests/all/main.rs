//! Integration tests, a module for each area.
//!
//! `processes` starts the shipped binaries and the stand-ins' binary, and proves the promises of
//! the brief under kills, freezes, cuts and outages. `scenarios` runs scripts against the pure
//! aggregates in virtual time. The other modules test one area each.

mod support;

mod access;
mod bad_input;
mod capacity;
mod dispatch;
mod lease_retake;
mod membership;
mod platform_parsers;
mod policy;
mod processes;
mod quarantine;
mod rollout_faults;
mod routing;
mod scaling;
mod scenarios;
mod site;
mod trail;
mod usage;
