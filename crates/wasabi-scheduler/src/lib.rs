//! The pool owner: one pure state machine that decides which request runs where.

pub mod pool;
