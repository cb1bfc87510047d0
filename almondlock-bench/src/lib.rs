//! (being written)
