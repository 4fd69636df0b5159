//! The list of organisations and their keys.

use {
    super::Names,
    crate::{
        problem::ProblemKind,
        read::{
            Declared, Fields, Notes, SCHEMA_FIELD, Spanned, check_name, near_name, read_array, read_text,
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
struct KnownKey {
    digest: Arc<str>,
    id: Arc<str>,
    organisation: Arc<str>,
}

/// Names and keys that must be unique in the whole list.
#[derive(Debug, Default)]
struct Seen {
    organisations: Declared,
    key_ids: Declared,
    keys: Vec<KnownKey>,
}

/// Reads the list. If `plan_names` is none, because the list of plans can't be read, the plans of organisations are not
/// checked.
pub fn read_organisation_list(
    value: &Value<'_>,
    plan_names: Option<&Names>,
    notes: &mut Notes<'_>,
) -> Option<OrganisationList> {
    let fields = Fields::open(value, "the list of organisations", &[SCHEMA_FIELD, "organisations"], notes)?;
    let elements = read_array(fields.required("organisations", notes)?, "organisations", notes)?;
    let mut seen = Seen::default();
    let mut organisations = Vec::with_capacity(elements.len());
    for element in elements {
        organisations.extend(read_organisation(element, plan_names, &mut seen, notes));
    }
    Some(OrganisationList { organisations })
}

fn read_organisation(
    value: &Value<'_>,
    plan_names: Option<&Names>,
    seen: &mut Seen,
    notes: &mut Notes<'_>,
) -> Option<Organisation> {
    let fields = Fields::open(value, "an organisation", &["name", "plan", "keys"], notes)?;
    let name = fields.required("name", notes).and_then(|value| read_text(value, "name", notes));
    let plan = fields.required("plan", notes).and_then(|value| read_text(value, "plan", notes));
    let owner = name.as_ref().map_or_else(|| Arc::from("?"), |name| Arc::clone(&name.value));
    if let Some(name) = &name
        && check_name(name, "an organisation", notes)
    {
        seen.organisations.check(name, "organisation", notes);
    }
    if let Some(plan) = &plan {
        check_plan(&owner, plan, plan_names, notes);
    }
    let keys = match fields.optional("keys") {
        Some(value) => read_keys(value, &owner, seen, notes),
        None => Vec::new(),
    };
    Some(Organisation {
        name: OrganisationName::from(&*name?.value),
        plan: PlanName::from(&*plan?.value),
        keys,
    })
}

fn check_plan(owner: &str, plan: &Spanned<Arc<str>>, plan_names: Option<&Names>, notes: &mut Notes<'_>) {
    let Some(plan_names) = plan_names else { return };
    if plan_names.contains(&plan.value) {
        return;
    }
    let help = near_name(&plan.value, plan_names.iter().map(|name| &**name), "the plans are");
    let kind =
        ProblemKind::UnknownPlan { organisation: owner.to_owned(), plan: plan.value.to_string(), help };
    notes.add(plan.range, kind);
}

fn read_keys(value: &Value<'_>, owner: &Arc<str>, seen: &mut Seen, notes: &mut Notes<'_>) -> Vec<KeyDigest> {
    let elements = read_array(value, "keys", notes).unwrap_or_default();
    elements.iter().filter_map(|element| read_key(element, owner, seen, notes)).collect()
}

fn read_key(
    value: &Value<'_>,
    owner: &Arc<str>,
    seen: &mut Seen,
    notes: &mut Notes<'_>,
) -> Option<KeyDigest> {
    let fields = Fields::open(value, "a key", &["id", "sha256"], notes)?;
    let id = fields.required("id", notes).and_then(|value| read_text(value, "id", notes));
    let digest = fields.required("sha256", notes).and_then(|value| read_text(value, "sha256", notes));
    if let Some(id) = &id
        && check_name(id, "a key", notes)
    {
        seen.key_ids.check(id, "key", notes);
    }
    let (id, digest) = (id?, digest?);
    if is_digest(&digest.value) {
        check_digest_unique(&id.value, &digest, owner, seen, notes);
    } else {
        notes.add(digest.range, ProblemKind::BadDigest { id: id.value.to_string() });
    }
    Some(KeyDigest { id: KeyId::from(&*id.value), sha256: digest.value })
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn check_digest_unique(
    id: &Arc<str>,
    digest: &Spanned<Arc<str>>,
    owner: &Arc<str>,
    seen: &mut Seen,
    notes: &mut Notes<'_>,
) {
    match seen.keys.binary_search_by(|known| known.digest.cmp(&digest.value)) {
        Ok(index) => {
            let known = &seen.keys[index];
            let kind = ProblemKind::DuplicateKey {
                id: id.to_string(),
                first: known.id.to_string(),
                organisation: known.organisation.to_string(),
            };
            notes.add(digest.range, kind);
        }
        Err(index) => {
            let known = KnownKey {
                digest: Arc::clone(&digest.value),
                id: Arc::clone(id),
                organisation: Arc::clone(owner),
            };
            seen.keys.insert(index, known);
        }
    }
}
