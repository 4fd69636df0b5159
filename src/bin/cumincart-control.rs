//! The control daemon.

fn main() -> miette::Result<()> {
    cumincart_control::program::run()
}
