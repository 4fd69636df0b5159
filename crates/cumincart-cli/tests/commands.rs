//! Tests of the commands against a fake control instance.

mod commands {
    mod apply;
    mod errors;
    mod examples;
    mod explain;
    mod fake_control;
    mod files;
    mod service_state;
    mod status;
}
