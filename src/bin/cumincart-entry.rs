//! The entry daemon.

fn main() -> miette::Result<()> {
    cumincart_entry::program::run()
}
