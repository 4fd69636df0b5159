//! Settings of an entry instance.

use {
    super::common::{
        EndpointLogin, LogSettings, check_addresses, read_log, read_login, read_name, read_optional_path,
        read_path,
    },
    crate::{
        problem::ProblemKind,
        read::{AddressUse, Diagnostics, Fields, SCHEMA_FIELD, Spanned, read_address, read_array},
    },
    cumincart_protocol::name::{DomainName, InstanceName},
    jsonc_parser::{ast::Value, common::Ranged},
    schemars::JsonSchema,
    serde::Serialize,
    std::{
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// The settings of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct EntrySettings {
    /// Its name.
    pub instance: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address of its HTTP server for callers and the platform, as `ip:port`. Port 0 selects a free port.
    pub http_address: Arc<str>,
    /// The address at which other instances reach it, as `ip:port`.
    pub peer_address: Arc<str>,
    /// The peer addresses of the control instances, each as `ip:port`.
    pub control_addresses: Vec<Arc<str>>,
    /// The file with the secret that all instances of the fleet share.
    pub fleet_secret_file: PathBuf,
    /// The file with the token that operators authenticate with. Without it, requests for the dump are refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operator_token_file: Option<PathBuf>,
    /// The login for connections to endpoints.
    pub endpoint_login: EndpointLogin,
    /// The log settings.
    #[schemars(default)]
    pub log: LogSettings,
}

const KNOWN_FIELDS: [&str; 10] = [
    SCHEMA_FIELD,
    "instance",
    "domain",
    "http_address",
    "peer_address",
    "control_addresses",
    "fleet_secret_file",
    "operator_token_file",
    "endpoint_login",
    "log",
];

/// Reads the settings of an entry instance.
pub fn read_entry(
    value: &Value<'_>,
    folder: &Path,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<EntrySettings> {
    let fields = Fields::read(value, "the settings of an entry instance", &KNOWN_FIELDS, diagnostics)?;
    let instance = read_name(&fields, "instance", "an instance", diagnostics);
    let domain = read_name(&fields, "domain", "a failure domain", diagnostics);
    let http = fields
        .required("http_address", diagnostics)
        .and_then(|value| read_address(value, "http_address", AddressUse::Listen, diagnostics));
    let peer = fields
        .required("peer_address", diagnostics)
        .and_then(|value| read_address(value, "peer_address", AddressUse::Advertise, diagnostics));
    let controls = fields
        .required("control_addresses", diagnostics)
        .and_then(|value| read_control_addresses(value, diagnostics));
    let fleet_secret_file = read_path(&fields, "fleet_secret_file", folder, diagnostics);
    let operator_token_file = read_optional_path(&fields, "operator_token_file", folder, diagnostics);
    let endpoint_login = read_login(&fields, folder, diagnostics);
    let log = read_log(&fields, diagnostics);
    let all: Vec<_> = http.iter().chain(&peer).chain(controls.iter().flatten()).collect();
    check_addresses(&all, diagnostics);
    Some(EntrySettings {
        instance: InstanceName::from(&*instance?.value),
        domain: DomainName::from(&*domain?.value),
        http_address: http?.value,
        peer_address: peer?.value,
        control_addresses: controls?.into_iter().map(|address| address.value).collect(),
        fleet_secret_file: fleet_secret_file?,
        operator_token_file,
        endpoint_login: endpoint_login?,
        log,
    })
}

fn read_control_addresses(
    value: &Value<'_>,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Vec<Spanned<Arc<str>>>> {
    let elements = read_array(value, "control_addresses", diagnostics)?;
    if elements.is_empty() {
        let kind = ProblemKind::OutOfRange {
            subject: "`control_addresses`".to_owned(),
            expected: "a list of at least one address".to_owned(),
            found: "empty".to_owned(),
            help: "list the `peer_address` of every control instance",
        };
        diagnostics.add(value.range(), kind);
    }
    let read = |element| read_address(element, "control_addresses", AddressUse::Advertise, diagnostics);
    Some(elements.iter().filter_map(read).collect())
}
