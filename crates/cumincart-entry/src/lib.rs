//! The entry daemon: callers' and the platform's interface.
