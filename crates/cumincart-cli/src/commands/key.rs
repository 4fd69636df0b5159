//! `cumincart key new`: generates a key for an organisation.

use {
    super::Example,
    crate::{error::CliError, exit, report::Report},
    clap::{Arg, ArgMatches, Command},
    cumincart_protocol::{lists::KeyDigest, name::is_name},
    serde::Serialize,
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

/// The name of the command.
pub const NAME: &str = "key";

const NEW: &str = "new";
const ID: &str = "id";

/// The prefix of every key. It lets secret scanners detect leaked keys.
pub const KEY_PREFIX: &str = "cumincart_";

/// The length of the random part of a key, in bytes.
const KEY_BYTES: usize = 32;

/// The number of digest digits in a generated id.
const GENERATED_ID_DIGITS: usize = 8;

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Generate a key and its entry for the list of organisations",
        arguments: "key new --id trakia-taxi-2027",
        code: exit::SUCCESS,
    },
    Example {
        description: "Generate a key with a generated id, as JSON",
        arguments: "key new --json",
        code: exit::SUCCESS,
    },
];

/// Returns the signature of the command.
pub fn signature() -> Command {
    let new = Command::new(NEW)
        .about("Generate a key, and print it and the entry with its digest for the list of organisations")
        .arg(
            Arg::new(ID)
                .long(ID)
                .value_name("ID")
                .value_parser(parse_id)
                .help("The id of the key [default: derived from its digest]"),
        );
    Command::new(NAME)
        .about("Generate keys for organisations")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(new)
}

fn parse_id(text: &str) -> Result<String, String> {
    if !is_name(text) {
        return Err("an id has 1 to 64 ASCII letters, digits, `-`, `_` and `.`".to_owned());
    }
    Ok(text.to_owned())
}

/// A new key and its entry, as JSON.
#[derive(Serialize)]
struct NewKey {
    key: String,
    entry: KeyDigest,
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let (_, matches) = matches.subcommand().expect("the signature requires `new`");
    let key = format!("{KEY_PREFIX}{}", hex::encode(rand::random::<[u8; KEY_BYTES]>()));
    let sha256: Arc<str> = hex::encode(Sha256::digest(&key)).into();
    let generated_id = || format!("key-{}", &sha256[..GENERATED_ID_DIGITS]);
    let id = matches.get_one(ID).cloned().unwrap_or_else(generated_id);
    let entry = KeyDigest { id: id.into(), sha256 };
    let entry_text = serde_json::to_string(&entry).expect("an entry is plain data");
    let text = format!(
        "key (shown only once; give it to the organisation and keep no copy):\n  {key}\n\
         entry for the organisation's `keys` in the list of organisations:\n  {entry_text}"
    );
    Ok(Report::success(text, &NewKey { key, entry }))
}
