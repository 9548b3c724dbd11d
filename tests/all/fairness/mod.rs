//! Fair shares of workspaces across nodes.

mod fleet;

mod failure;
mod input;
mod load;
