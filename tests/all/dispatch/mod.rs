//! Dispatch decisions between callers and targets, without a network.

mod batch;
mod copies;
mod freshness;
mod load;
mod lookahead;
mod rollout;
mod routes;
mod shares;
mod stream;
mod targets;
mod wait_queue;
