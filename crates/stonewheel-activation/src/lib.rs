//! Scale to zero.
