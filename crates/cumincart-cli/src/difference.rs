//! Compares two versions of the lists.

use {
    cumincart_protocol::lists::{Lists, Organisation, Plan, Route, Service},
    serde::Serialize,
    serde_json::Value,
    std::fmt,
};

/// The kind of an item in the lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A customer organisation.
    Organisation,
    /// A key of an organisation.
    Key,
    /// A service, which is a group of databases.
    Service,
    /// A route of a service.
    Route,
    /// A plan.
    Plan,
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Organisation => "organisation",
            Self::Key => "key",
            Self::Service => "service",
            Self::Route => "route",
            Self::Plan => "plan",
        })
    }
}

/// How an item differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemChange {
    /// The item is only in the edited lists.
    Added,
    /// The item is only in the lists in force.
    Removed,
    /// The item is in both, with different fields.
    Changed(Vec<FieldChange>),
}

/// A field whose value differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The name of the field.
    pub field: String,
    /// The value in the lists in force.
    pub from: Value,
    /// The value in the edited lists.
    pub to: Value,
}

/// A difference of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The name of the item. Keys and routes have the form `owner/name`.
    pub name: String,
    /// How it differs.
    pub change: ItemChange,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        let fields = match &self.change {
            ItemChange::Added => return write!(f, "+ {kind} {name}"),
            ItemChange::Removed => return write!(f, "- {kind} {name}"),
            ItemChange::Changed(fields) => fields,
        };
        let show = |change: &FieldChange| format!("{} {} -> {}", change.field, change.from, change.to);
        let shown: Vec<String> = fields.iter().map(show).collect();
        write!(f, "~ {kind} {name}: {}", shown.join(", "))
    }
}

/// An item of the lists. `fields` excludes the name and nested items.
struct Item {
    kind: ItemKind,
    name: String,
    fields: Value,
}

impl Item {
    fn key(&self) -> (ItemKind, &str) {
        (self.kind, &self.name)
    }
}

/// Returns the differences of the edited lists to the lists in force: first removals and changes, then additions, each
/// sorted by kind and name.
pub fn compare_lists(current: &Lists, edited: &Lists) -> Vec<Difference> {
    let (current, edited) = (items(current), items(edited));
    let removed_or_changed = current.iter().filter_map(|item| compare_item(item, find_item(&edited, item)));
    let is_new = |item: &&Item| find_item(&current, item).is_none();
    let added = edited.iter().filter(is_new).map(|item| difference(item, ItemChange::Added));
    removed_or_changed.chain(added).collect()
}

/// Returns the item with the same kind and name. `items` must be sorted by both.
fn find_item<'a>(items: &'a [Item], wanted: &Item) -> Option<&'a Item> {
    let index = items.binary_search_by(|item| item.key().cmp(&wanted.key())).ok()?;
    Some(&items[index])
}

fn difference(item: &Item, change: ItemChange) -> Difference {
    Difference { kind: item.kind, name: item.name.clone(), change }
}

fn compare_item(current: &Item, edited: Option<&Item>) -> Option<Difference> {
    let Some(edited) = edited else { return Some(difference(current, ItemChange::Removed)) };
    let changes = compare_fields(&current.fields, &edited.fields);
    (!changes.is_empty()).then(|| difference(current, ItemChange::Changed(changes)))
}

fn compare_fields(current: &Value, edited: &Value) -> Vec<FieldChange> {
    let fields = current.as_object().into_iter().flatten();
    let change = |(field, from): (&String, &Value)| {
        let to = edited.get(field).cloned().unwrap_or_default();
        (*from != to).then(|| FieldChange { field: field.clone(), from: from.clone(), to })
    };
    fields.filter_map(change).collect()
}

/// Returns all items of the lists, sorted by kind and name.
fn items(lists: &Lists) -> Vec<Item> {
    let mut items: Vec<Item> = Vec::new();
    for organisation in &lists.organisations.organisations {
        items.extend(organisation_items(organisation));
    }
    for service in &lists.plans.services {
        items.extend(service_items(service));
    }
    items.extend(lists.plans.plans.iter().map(plan_item));
    items.sort_by(|left, right| left.key().cmp(&right.key()));
    items
}

fn item(kind: ItemKind, name: impl Into<String>, fields: &impl Serialize, without: &[&str]) -> Item {
    let mut fields = serde_json::to_value(fields).expect("lists are plain data with string keys");
    if let Some(object) = fields.as_object_mut() {
        object.retain(|field, _| !without.contains(&field.as_str()));
    }
    Item { kind, name: name.into(), fields }
}

fn organisation_items(organisation: &Organisation) -> Vec<Item> {
    let owner = &organisation.name;
    let keys = organisation.keys.iter();
    let keys = keys.map(|key| item(ItemKind::Key, format!("{owner}/{}", key.id), key, &["id"]));
    let whole = item(ItemKind::Organisation, owner.as_str(), organisation, &["name", "keys"]);
    std::iter::once(whole).chain(keys).collect()
}

fn service_items(service: &Service) -> Vec<Item> {
    let owner = &service.name;
    let route = |route: &Route| item(ItemKind::Route, format!("{owner}/{}", route.name), route, &["name"]);
    let whole = item(ItemKind::Service, owner.as_str(), service, &["name", "routes"]);
    std::iter::once(whole).chain(service.routes.iter().map(route)).collect()
}

fn plan_item(plan: &Plan) -> Item {
    item(ItemKind::Plan, plan.name.as_str(), plan, &["name"])
}
