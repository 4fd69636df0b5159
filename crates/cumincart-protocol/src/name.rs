//! Names that operators and the platform assign.
//!
//! Each name is a shared immutable string, so that cloning it only increments a reference count.

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// The longest name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Returns whether a text is a valid name: 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
pub fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=NAME_MAX_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// The name of an instance of the system: an entry instance or a control instance.
    InstanceName
}
name_type! {
    /// The name of a failure domain.
    DomainName
}
name_type! {
    /// The name of an organisation.
    OrganisationName
}
name_type! {
    /// The name of a plan.
    PlanName
}
name_type! {
    /// The name of a service: one database group.
    ServiceName
}
name_type! {
    /// The name of a route of a service.
    RouteName
}
name_type! {
    /// The name of an endpoint: one database of a group.
    EndpointName
}
name_type! {
    /// The identifier of a key. The key itself is never stored.
    KeyId
}
