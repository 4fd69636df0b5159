//! From checked settings to what an entry instance is started with.

use {
    crate::daemon::EntryOptions,
    cumincart_config::EntrySettings,
    cumincart_runtime::{
        logging,
        secret_files::{SecretFileError, read_fleet_secret, read_login, read_token},
    },
};

/// Reads the files that the settings name and opens the log.
///
/// # Panics
///
/// Never with checked settings: their addresses parse.
pub fn open(settings: &EntrySettings) -> Result<EntryOptions, SecretFileError> {
    Ok(EntryOptions {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        http_address: settings.http_address.parse().expect("the settings are checked"),
        peer_address: settings.peer_address.parse().expect("the settings are checked"),
        control_addresses: settings.control_addresses.clone(),
        fleet_secret: read_fleet_secret(&settings.fleet_secret_file)?,
        operator_token: settings.operator_token_file.as_deref().map(read_token).transpose()?,
        endpoint_login: read_login(&settings.endpoint_login)?,
        logger: logging::open(settings.log),
    })
}
