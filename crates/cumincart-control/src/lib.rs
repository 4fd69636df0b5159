//! The control daemon: the operators' interface and the endpoints' announcements.
