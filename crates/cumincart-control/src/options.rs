//! Conversion of validated settings to the options of a control instance.

use {
    crate::daemon::{ControlOptions, MemberAddress},
    cumincart_config::ControlSettings,
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
pub fn open(settings: &ControlSettings) -> Result<ControlOptions, SecretFileError> {
    Ok(ControlOptions {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        http_address: settings.http_address.parse().expect("the settings are validated"),
        peer_address: settings.peer_address.parse().expect("the settings are validated"),
        data_folder: settings.data_folder.clone(),
        members: settings
            .members
            .iter()
            .map(|member| MemberAddress {
                instance: member.instance.clone(),
                peer_address: member.peer_address.clone(),
            })
            .collect(),
        fleet_secret: read_fleet_secret(&settings.fleet_secret_file)?,
        operator_token: read_token(&settings.operator_token_file)?,
        endpoint_login: read_login(&settings.endpoint_login)?,
        logger: logging::open(settings.log),
    })
}
