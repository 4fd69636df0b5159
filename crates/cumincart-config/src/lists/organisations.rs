//! The list of organisations and their keys.

use {
    super::Names,
    crate::{
        problem::ProblemKind,
        read::{
            DeclaredNames, Diagnostics, Fields, SCHEMA_FIELD, Spanned, check_name, read_array, read_text,
            suggest_name,
        },
    },
    cumincart_protocol::{
        lists::{KeyDigest, Organisation, OrganisationList},
        name::{KeyId, OrganisationName, PlanName},
    },
    jsonc_parser::ast::Value,
    std::sync::Arc,
};

/// The length of a key's digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// A key that has been read. Used to find keys with the same digest.
#[derive(Debug)]
struct DeclaredKey {
    digest: Arc<str>,
    id: Arc<str>,
    organisation: Arc<str>,
}

/// Names and keys that must be unique in the whole list.
#[derive(Debug, Default)]
struct Declarations {
    organisations: DeclaredNames,
    key_ids: DeclaredNames,
    keys: Vec<DeclaredKey>,
}

/// Reads the list. If `plan_names` is none, because the list of plans can't be read, the plans of organisations are not
/// checked.
pub fn read_organisation_list(
    value: &Value<'_>,
    plan_names: Option<&Names>,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<OrganisationList> {
    let fields =
        Fields::read(value, "the list of organisations", &[SCHEMA_FIELD, "organisations"], diagnostics)?;
    let elements = read_array(fields.required("organisations", diagnostics)?, "organisations", diagnostics)?;
    let mut declarations = Declarations::default();
    let mut organisations = Vec::with_capacity(elements.len());
    for element in elements {
        organisations.extend(read_organisation(element, plan_names, &mut declarations, diagnostics));
    }
    Some(OrganisationList { organisations })
}

fn read_organisation(
    value: &Value<'_>,
    plan_names: Option<&Names>,
    declarations: &mut Declarations,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<Organisation> {
    let fields = Fields::read(value, "an organisation", &["name", "plan", "keys"], diagnostics)?;
    let name = fields.required("name", diagnostics).and_then(|value| read_text(value, "name", diagnostics));
    let plan = fields.required("plan", diagnostics).and_then(|value| read_text(value, "plan", diagnostics));
    let organisation = name.as_ref().map_or_else(|| Arc::from("?"), |name| Arc::clone(&name.value));
    if let Some(name) = &name
        && check_name(name, "an organisation", diagnostics)
    {
        declarations.organisations.insert_unique(name, "organisation", diagnostics);
    }
    if let Some(plan) = &plan {
        check_plan(&organisation, plan, plan_names, diagnostics);
    }
    let keys = match fields.optional("keys") {
        Some(value) => read_keys(value, &organisation, declarations, diagnostics),
        None => Vec::new(),
    };
    Some(Organisation {
        name: OrganisationName::from(&*name?.value),
        plan: PlanName::from(&*plan?.value),
        keys,
    })
}

fn check_plan(
    organisation: &str,
    plan: &Spanned<Arc<str>>,
    plan_names: Option<&Names>,
    diagnostics: &mut Diagnostics<'_>,
) {
    let Some(plan_names) = plan_names else { return };
    if plan_names.contains(&plan.value) {
        return;
    }
    let help = suggest_name(&plan.value, plan_names.iter().map(|name| &**name), "the plans are");
    let kind = ProblemKind::UnknownPlan {
        organisation: organisation.to_owned(),
        plan: plan.value.to_string(),
        help,
    };
    diagnostics.add(plan.range, kind);
}

fn read_keys(
    value: &Value<'_>,
    organisation: &Arc<str>,
    declarations: &mut Declarations,
    diagnostics: &mut Diagnostics<'_>,
) -> Vec<KeyDigest> {
    let elements = read_array(value, "keys", diagnostics).unwrap_or_default();
    elements.iter().filter_map(|element| read_key(element, organisation, declarations, diagnostics)).collect()
}

fn read_key(
    value: &Value<'_>,
    organisation: &Arc<str>,
    declarations: &mut Declarations,
    diagnostics: &mut Diagnostics<'_>,
) -> Option<KeyDigest> {
    let fields = Fields::read(value, "a key", &["id", "sha256"], diagnostics)?;
    let id = fields.required("id", diagnostics).and_then(|value| read_text(value, "id", diagnostics));
    let digest =
        fields.required("sha256", diagnostics).and_then(|value| read_text(value, "sha256", diagnostics));
    if let Some(id) = &id
        && check_name(id, "a key", diagnostics)
    {
        declarations.key_ids.insert_unique(id, "key", diagnostics);
    }
    let (id, digest) = (id?, digest?);
    if is_digest(&digest.value) {
        check_digest_unique(&id.value, &digest, organisation, declarations, diagnostics);
    } else {
        diagnostics.add(digest.range, ProblemKind::BadDigest { id: id.value.to_string() });
    }
    Some(KeyDigest { id: KeyId::from(&*id.value), sha256: digest.value })
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn check_digest_unique(
    id: &Arc<str>,
    digest: &Spanned<Arc<str>>,
    organisation: &Arc<str>,
    declarations: &mut Declarations,
    diagnostics: &mut Diagnostics<'_>,
) {
    match declarations.keys.binary_search_by(|known| known.digest.cmp(&digest.value)) {
        Ok(index) => {
            let known = &declarations.keys[index];
            let kind = ProblemKind::DuplicateKey {
                id: id.to_string(),
                first: known.id.to_string(),
                organisation: known.organisation.to_string(),
            };
            diagnostics.add(digest.range, kind);
        }
        Err(index) => {
            let known = DeclaredKey {
                digest: Arc::clone(&digest.value),
                id: Arc::clone(id),
                organisation: Arc::clone(organisation),
            };
            declarations.keys.insert(index, known);
        }
    }
}
