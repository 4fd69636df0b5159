//! Configurations by version: the configuration with the highest version is the current one. The log stores
//! each configuration as a patch to the one before it.

use {
    super::Core,
    cumincart_protocol::{
        catalogue::Catalogue,
        change::{Action, Change, Configuration, ConfigurationContent, VersionedDocument},
        heartbeat::CatalogueChange,
        lists::Lists,
        patch::{ListsPatch, TextPatch},
        replication::Command,
    },
    std::sync::Arc,
};

/// A configuration as of a log record, committed or not.
#[derive(Debug, Clone)]
struct FullConfiguration {
    version: u64,
    lists: Arc<Lists>,
    document: Arc<str>,
}

/// Reduces an operator's configuration to a patch against the newest configuration in the log.
pub(super) fn reduce_to_patch(core: &Core, change: Change) -> Change {
    let Action::Replace(Configuration { version, content: ConfigurationContent::Whole { lists, document } }) =
        &change.action
    else {
        return change;
    };
    let Some(newest) = newest_in_log(core) else { return change };
    let content = if newest.version >= *version {
        ConfigurationContent::Outdated
    } else {
        let lists_patch = ListsPatch::between(&newest.lists, lists);
        let document = TextPatch::between(&newest.document, document);
        ConfigurationContent::Patch { base: newest.version, lists: Arc::new(lists_patch), document }
    };
    let action = Action::Replace(Configuration { version: *version, content });
    Change { action, ..change }
}

/// Applies a configuration if its version is higher than the current one; otherwise nothing changes.
pub(super) fn apply_configuration(
    catalogue: &mut Catalogue,
    document: &mut Option<VersionedDocument>,
    configuration: &Configuration,
) -> CatalogueChange {
    let current = document.as_ref().map(|current| FullConfiguration {
        version: current.version,
        lists: Arc::clone(&catalogue.lists),
        document: Arc::clone(&current.document),
    });
    let Some(next) = next_configuration(current.as_ref(), configuration) else {
        return CatalogueChange::Nothing;
    };
    catalogue.lists_revision = catalogue.lists_revision.next();
    catalogue.lists = Arc::clone(&next.lists);
    *document = Some(VersionedDocument { version: next.version, document: next.document });
    match &configuration.content {
        ConfigurationContent::Patch { lists, .. } => {
            CatalogueChange::ListsPatch(catalogue.lists_revision, Arc::clone(lists))
        }
        _ => CatalogueChange::Lists(catalogue.lists_revision, next.lists),
    }
}

/// Returns the configuration that results from a change; `None` if the change has no effect.
fn next_configuration(
    current: Option<&FullConfiguration>,
    configuration: &Configuration,
) -> Option<FullConfiguration> {
    let version = configuration.version;
    if current.is_some_and(|current| current.version >= version) {
        return None;
    }
    match &configuration.content {
        ConfigurationContent::Outdated => None,
        ConfigurationContent::Whole { lists, document } => {
            Some(FullConfiguration { version, lists: Arc::clone(lists), document: Arc::clone(document) })
        }
        ConfigurationContent::Patch { base, lists, document } => {
            let current = current.filter(|current| current.version == *base)?;
            let document = document.apply(&current.document)?;
            Some(FullConfiguration { version, lists: Arc::new(lists.apply(&current.lists)), document })
        }
    }
}

/// Returns the newest configuration in the log, committed or not.
fn newest_in_log(core: &Core) -> Option<FullConfiguration> {
    let mut newest = core.document.as_ref().map(|document| FullConfiguration {
        version: document.version,
        lists: Arc::clone(&core.catalogue.lists),
        document: Arc::clone(&document.document),
    });
    for record in core.log.after(core.log.applied, usize::MAX) {
        if let Command::Operator(Change { action: Action::Replace(configuration), .. }) = &record.command
            && let Some(next) = next_configuration(newest.as_ref(), configuration)
        {
            newest = Some(next);
        }
    }
    newest
}
