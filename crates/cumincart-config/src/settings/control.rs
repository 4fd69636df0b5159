//! Settings of a control instance.

use {
    super::common::{
        EndpointLogin, LogSettings, check_addresses, read_log, read_login, read_name, read_path,
    },
    crate::{
        problem::ProblemKind,
        read::{
            AddressUse, DeclaredNames, Diagnostics, Fields, SCHEMA_FIELD, Spanned, read_address, read_array,
        },
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

/// The greatest number of control instances.
pub const CONTROL_INSTANCES_MAX: usize = 8;

/// The settings of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct ControlSettings {
    /// Its name.
    pub instance: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The address of its HTTP server for operators and endpoints, as `ip:port`. Port 0 selects a free port.
    pub http_address: Arc<str>,
    /// The address at which other instances reach it, as `ip:port`.
    pub peer_address: Arc<str>,
    /// The folder of its persistent state.
    pub data_folder: PathBuf,
    /// The file with the secret that all instances of the fleet share.
    pub fleet_secret_file: PathBuf,
    /// The file with the token that operators authenticate with.
    pub operator_token_file: PathBuf,
    /// The initial members of a new group of control instances, including this one.
    #[schemars(length(min = 1, max = 8))]
    pub members: Vec<MemberAddress>,
    /// The login for connections to endpoints, which are needed to promote them.
    pub endpoint_login: EndpointLogin,
    /// The log settings.
    #[schemars(default)]
    pub log: LogSettings,
}

/// A control instance and its peer address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct MemberAddress {
    /// Its name.
    pub instance: InstanceName,
    /// Its peer address, as `ip:port`.
    pub peer_address: Arc<str>,
}

const KNOWN_FIELDS: [&str; 11] = [
    SCHEMA_FIELD,
    "instance",
    "domain",
    "http_address",
    "peer_address",
    "data_folder",
    "fleet_secret_file",
    "operator_token_file",
    "members",
    "endpoint_login",
    "log",
];

/// A member during validation.
#[derive(Debug)]
struct ParsedMember {
    instance: Spanned<Arc<str>>,
    peer_address: Spanned<Arc<str>>,
}

/// Reads the settings of a control instance.
pub fn read_control(
    value: &Value<'_>,
    folder: &Path,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<ControlSettings> {
    let fields = Fields::read(value, "the settings of a control instance", &KNOWN_FIELDS, diagnostics)?;
    let instance = read_name(&fields, "instance", "an instance", diagnostics);
    let domain = read_name(&fields, "domain", "a failure domain", diagnostics);
    let http = fields
        .required("http_address", diagnostics)
        .and_then(|value| read_address(value, "http_address", AddressUse::Listen, diagnostics));
    let peer = fields
        .required("peer_address", diagnostics)
        .and_then(|value| read_address(value, "peer_address", AddressUse::Advertise, diagnostics));
    let data_folder = read_path(&fields, "data_folder", folder, diagnostics);
    let fleet_secret_file = read_path(&fields, "fleet_secret_file", folder, diagnostics);
    let operator_token_file = read_path(&fields, "operator_token_file", folder, diagnostics);
    let members_value = fields.required("members", diagnostics);
    let members = members_value.and_then(|value| read_members(value, diagnostics));
    let endpoint_login = read_login(&fields, folder, diagnostics);
    let log = read_log(&fields, diagnostics);
    check_addresses(&http.iter().chain(&peer).collect::<Vec<_>>(), diagnostics);
    if let (Some(value), Some(members), Some(instance), Some(peer)) =
        (members_value, &members, &instance, &peer)
    {
        check_own_entry(value, members, &instance.value, &peer.value, diagnostics);
    }
    Some(ControlSettings {
        instance: InstanceName::from(&*instance?.value),
        domain: DomainName::from(&*domain?.value),
        http_address: http?.value,
        peer_address: peer?.value,
        data_folder: data_folder?,
        fleet_secret_file: fleet_secret_file?,
        operator_token_file: operator_token_file?,
        members: members?.into_iter().map(member_address).collect(),
        endpoint_login: endpoint_login?,
        log,
    })
}

fn member_address(member: ParsedMember) -> MemberAddress {
    MemberAddress {
        instance: InstanceName::from(&*member.instance.value),
        peer_address: member.peer_address.value,
    }
}

fn read_members(value: &Value<'_>, diagnostics: &mut Diagnostics<'_>) -> Option<Vec<ParsedMember>> {
    let elements = read_array(value, "members", diagnostics)?;
    if !(1..=CONTROL_INSTANCES_MAX).contains(&elements.len()) {
        let kind = ProblemKind::OutOfRange {
            subject: "`members`".to_owned(),
            expected: format!("a list of 1 to {CONTROL_INSTANCES_MAX} control instances"),
            found: format!("a list of {}", elements.len()),
            help: "with 5 instances, at least one in each failure domain, the group tolerates the loss of two",
        };
        diagnostics.add(value.range(), kind);
    }
    let members: Vec<_> = elements.iter().filter_map(|element| read_member(element, diagnostics)).collect();
    let mut declared = DeclaredNames::default();
    for member in &members {
        declared.insert_unique(&member.instance, "control instance", diagnostics);
    }
    check_addresses(&members.iter().map(|member| &member.peer_address).collect::<Vec<_>>(), diagnostics);
    (members.len() == elements.len()).then_some(members)
}

fn read_member(value: &Value<'_>, diagnostics: &mut Diagnostics<'_>) -> Option<ParsedMember> {
    let fields = Fields::read(value, "a member", &["instance", "peer_address"], diagnostics)?;
    let instance = read_name(&fields, "instance", "an instance", diagnostics);
    let peer_address = fields
        .required("peer_address", diagnostics)
        .and_then(|value| read_address(value, "peer_address", AddressUse::Advertise, diagnostics));
    Some(ParsedMember { instance: instance?, peer_address: peer_address? })
}

fn check_own_entry(
    value: &Value<'_>,
    members: &[ParsedMember],
    instance: &Arc<str>,
    address: &Arc<str>,
    diagnostics: &mut Diagnostics<'_>,
) {
    let is_own =
        |member: &ParsedMember| member.instance.value == *instance && member.peer_address.value == *address;
    if members.iter().any(is_own) {
        return;
    }
    let kind = ProblemKind::NotAMember { instance: instance.to_string(), address: address.to_string() };
    diagnostics.add(value.range(), kind);
}
