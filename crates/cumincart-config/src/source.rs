//! A source text with the name that diagnostics show for it.

use {
    crate::problem::ConfigError,
    miette::NamedSource,
    std::{fs, path::Path, sync::Arc},
};

/// The longest settings file or list that is accepted, in bytes.
pub const SOURCE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// A settings file or a list, as text.
#[derive(Debug, Clone)]
pub struct Source {
    /// The name that diagnostics show; usually the path.
    pub name: Arc<str>,
    /// The whole text.
    pub text: Arc<str>,
}

impl Source {
    /// Creates a source from a name and a text.
    pub fn new(name: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        Self { name: name.into(), text: text.into() }
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns `ConfigError::Unreadable` if the file can't be read, is longer than [`SOURCE_MAX_BYTES`] or is not
    /// UTF-8.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let name = path.display().to_string();
        let unreadable = |reason: String| ConfigError::Unreadable { name: name.clone(), reason };
        let bytes = fs::read(path).map_err(|error| unreadable(error.to_string()))?;
        if bytes.len() > SOURCE_MAX_BYTES {
            return Err(unreadable(format!("the file is longer than {SOURCE_MAX_BYTES} bytes")));
        }
        let text =
            String::from_utf8(bytes).map_err(|_| unreadable("the file is not UTF-8 text".to_owned()))?;
        Ok(Self::new(name, text))
    }

    /// Returns the source in the form that miette diagnostics need.
    pub(crate) fn named(&self) -> NamedSource<Arc<str>> {
        NamedSource::new(&*self.name, Arc::clone(&self.text))
    }
}
