//! Conversion of validated settings to the options of an entry instance.

use {
    crate::daemon::EntryOptions,
    cumincart_config::EntrySettings,
    cumincart_runtime::{
        logging,
        secret_files::{SecretFileError, read_fleet_secret, read_login, read_token},
    },
};

/// Reads the secret files that the settings refer to and opens the logger.
///
/// # Panics
///
/// Never with validated settings, whose addresses can be parsed.
pub fn open(settings: &EntrySettings) -> Result<EntryOptions, SecretFileError> {
    Ok(EntryOptions {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        http_address: settings.http_address.parse().expect("the settings are validated"),
        peer_address: settings.peer_address.parse().expect("the settings are validated"),
        control_addresses: settings.control_addresses.clone(),
        fleet_secret: read_fleet_secret(&settings.fleet_secret_file)?,
        operator_token: settings.operator_token_file.as_deref().map(read_token).transpose()?,
        endpoint_login: read_login(&settings.endpoint_login)?,
        logger: logging::open(settings.log),
    })
}
