//! Integration tests, with one module for each area.
//!
//! `processes` runs the shipped binaries and the stand-in binary under kills, freezes, network cuts
//! and outages. `site` runs nodes with an in-process store and workers. `scenarios` runs scripts
//! against the pure types in virtual time. Each of the other modules tests one area.

mod support;

mod access;
mod admission;
mod bad_input;
mod capacity;
mod dispatch;
mod fairness;
mod feed;
mod health;
mod hedge;
mod lease_retake;
mod membership;
mod places;
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
mod verdicts;
