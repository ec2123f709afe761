//! Pools: the ones that this entry owns, and the grants that it holds for its callers.

pub(crate) mod acquire;
pub(crate) mod approach;
pub(crate) mod budget;
pub(crate) mod follow;
pub(crate) mod holder;
pub(crate) mod owner;
pub(crate) mod release;
pub(crate) mod standby;
