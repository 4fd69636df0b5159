//! Settings and the two lists: reading, checking and diagnostics.
