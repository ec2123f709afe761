//! Pools: those that this entry owns, and the grants that it holds for its callers.

pub(crate) mod acquire;
pub(crate) mod breakers;
pub(crate) mod budget;
pub(crate) mod holder;
pub(crate) mod notes;
pub(crate) mod owner;
pub(crate) mod ownership;
mod rates;
pub(crate) mod release;
pub(crate) mod shards;
pub(crate) mod standby;
