//! Secrets in files that the settings refer to.

use {
    crate::{
        endpoint::EndpointLogin,
        link::{LinkError, handshake::FleetSecret},
    },
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    zeroize::Zeroizing,
};

/// An error of a secret file.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SecretFileError {
    /// The file can't be read.
    #[error("can't read the secret file {path}: {source}")]
    #[diagnostic(
        code(cumincart::secret_file::unreadable),
        help("check the path in the settings and the file's permissions")
    )]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is empty or not UTF-8 text.
    #[error("the secret file {path} is empty or not UTF-8 text")]
    #[diagnostic(code(cumincart::secret_file::text), help("write only the secret into the file"))]
    NotText {
        /// The file.
        path: PathBuf,
    },
    /// The fleet secret is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    FleetSecret(#[from] LinkError),
}

/// Reads the fleet secret.
pub fn read_fleet_secret(path: &Path) -> Result<FleetSecret, SecretFileError> {
    Ok(FleetSecret::new(read(path)?.as_bytes())?)
}

/// Reads a token or a password: the text of the file without surrounding white space.
pub fn read_token(path: &Path) -> Result<Arc<str>, SecretFileError> {
    let text = read(path)?;
    match text.trim() {
        "" => Err(SecretFileError::NotText { path: path.to_owned() }),
        token => Ok(token.into()),
    }
}

/// Returns the credentials from the settings, with the password read from its file.
pub fn read_login(settings: &cumincart_config::EndpointLogin) -> Result<EndpointLogin, SecretFileError> {
    Ok(EndpointLogin {
        user: settings.user.clone(),
        password: settings.password_file.as_deref().map(read_token).transpose()?,
        database: settings.database.clone(),
        connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
    })
}

fn read(path: &Path) -> Result<Zeroizing<String>, SecretFileError> {
    let bytes = std::fs::read(path)
        .map_err(|source| SecretFileError::Unreadable { path: path.to_owned(), source })?;
    String::from_utf8(bytes)
        .map(Zeroizing::new)
        .map_err(|_| SecretFileError::NotText { path: path.to_owned() })
}
