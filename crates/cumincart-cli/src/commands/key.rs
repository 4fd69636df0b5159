//! `cumincart key new`: makes a key for an organisation.

use {
    super::Example,
    crate::{error::CliError, exit, report::Report},
    clap::{Arg, ArgMatches, Command},
    cumincart_protocol::{lists::KeyDigest, name::is_name},
    serde::Serialize,
    sha2::{Digest, Sha256},
    std::sync::Arc,
};

/// The command's name.
pub const NAME: &str = "key";

const NEW: &str = "new";
const ID: &str = "id";

/// The beginning of every key, by which scanners for leaked secrets can find one.
pub const KEY_PREFIX: &str = "cumincart_";

/// The length of a key's random part, in bytes.
const KEY_BYTES: usize = 32;

/// How many digits of the digest stand in an id that the command makes up.
const ID_DIGITS: usize = 8;

/// Examples of its use.
pub const EXAMPLES: &[Example] = &[
    Example {
        description: "Make a key, and the entry for the list of organisations",
        arguments: "key new --id trakia-taxi-2027",
        code: exit::SUCCESS,
    },
    Example {
        description: "The same with a made-up id, as JSON",
        arguments: "key new --json",
        code: exit::SUCCESS,
    },
];

/// The command's signature.
pub fn signature() -> Command {
    let new = Command::new(NEW)
        .about("Print a new key once, and the entry with its digest for the list of organisations")
        .arg(Arg::new(ID).long(ID).value_name("ID").value_parser(parse_id).help("The key's id"));
    Command::new(NAME)
        .about("Make keys for organisations")
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

/// A new key, for programs.
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
    let made_up = || format!("key-{}", &sha256[..ID_DIGITS]);
    let id = matches.get_one(ID).cloned().unwrap_or_else(made_up);
    let entry = KeyDigest { id: id.into(), sha256 };
    let entry_text = serde_json::to_string(&entry).expect("an entry is plain data");
    let text = format!(
        "key (shown this once; give it to the organisation, keep no copy):\n  {key}\n\
         entry for the organisation's `keys` in the list of organisations:\n  {entry_text}"
    );
    Ok(Report::success(text, &NewKey { key, entry }))
}
