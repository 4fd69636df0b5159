//! Which endpoints may hold a commit that was acknowledged, and which answers permit a promotion that loses none.
//!
//! With synchronous replicas, a commit is acknowledged once the primary and so many replicas hold it. A promotion is safe
//! if the endpoints that have answered since the fence include one of every such set: the former primary, or all its
//! replicas but fewer than hold each commit. See `docs/design/promotions.md`.

use {
    super::{Core, Effect, announcements::Announcements, departures, failover, replicate},
    cumincart_protocol::{
        announcement::Announcement,
        catalogue::{Catalogue, CommitHolders, EndpointEntry, Group},
        lists::Lists,
        name::{EndpointName, ServiceName},
        number::Timeline,
        replication::Command,
        sorted::{Keyed, SortedVec},
        time::Instant,
    },
};

/// A group whose setting asks for more copies of a commit, or for none, than its commits so far are known to have.
#[derive(Debug)]
pub struct PendingSetting {
    service: ServiceName,
    replicas: u32,
    watermark: departures::Watermark,
}

impl Keyed for PendingSetting {
    type Key = ServiceName;

    fn key(&self) -> &ServiceName {
        &self.service
    }
}

/// Returns the number of synchronous replicas that the lists set for a service; `None` if they don't name it.
fn setting_in(lists: &Lists, service: &ServiceName) -> Option<u32> {
    lists.interactive.services.get(service).map(|limits| limits.synchronous_replicas)
}

/// Updates the commit holders of all groups after a record was applied. `before` are the lists before it.
///
/// A lower number takes effect at once, since commits may have that few copies from now on. A higher one, and none at all,
/// take effect with [`Command::SetCommitReplicas`], once the commits so far are on enough endpoints. Where operators set
/// none at all while the group has no primary, they consent to lose what only missing endpoints hold.
pub fn update(catalogue: &mut Catalogue, before: &Lists) {
    let lists = &catalogue.lists;
    for group in catalogue.groups.iter_mut() {
        let Some(setting) = setting_in(lists, &group.service) else { continue };
        let holders = &mut group.commit_holders;
        let is_lowered = setting == 0 && setting_in(before, &group.service) != Some(0);
        match (setting, holders.replicas) {
            (0, 0) => continue,
            (0, _) if !group.writable && is_lowered => *holders = CommitHolders::default(),
            (0, _) => {}
            (_, 0) => holders.replicas = setting,
            (_, replicas) => holders.replicas = replicas.min(setting),
        }
        if holders.replicas > 0 && group.writable && holders.primary != group.primary {
            holders.primary.clone_from(&group.primary);
        }
    }
}

/// Sets the number of copies that each commit of a group has, as a record of the leader says. A record that the lists have
/// overtaken is ignored.
pub fn apply_setting(catalogue: &mut Catalogue, service: &ServiceName, replicas: u32) {
    if setting_in(&catalogue.lists, service) != Some(replicas) {
        return;
    }
    let Some(group) = catalogue.groups.get_mut(service) else { return };
    group.commit_holders.replicas = replicas;
    if replicas == 0 {
        group.commit_holders = CommitHolders::default();
    }
}

/// Proposes the settings that may take effect, because the commits so far are on enough endpoints.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    if !failover::is_established_leader(core) {
        return;
    }
    let catalogue = core.catalogue.clone();
    let is_pending = |group: &&Group| {
        group.writable
            && group.commit_holders.replicas > 0
            && setting_in(&catalogue.lists, &group.service)
                .is_some_and(|setting| setting != group.commit_holders.replicas)
    };
    let pending: Vec<&Group> = catalogue.groups.iter().filter(is_pending).collect();
    core.pending_settings.retain(|known| pending.iter().any(|group| group.service == known.service));
    for group in pending {
        let replicas = setting_in(&catalogue.lists, &group.service).unwrap_or_default();
        let open = || PendingSetting {
            service: group.service.clone(),
            replicas,
            watermark: departures::Watermark::begin(now),
        };
        let known = core.pending_settings.get_or_insert_with(&group.service, open);
        if known.replicas != replicas {
            *known = open();
        }
        known.watermark.observe(&core.announcements, group);
        let others =
            group.endpoints.iter().filter(|entry| Some(&entry.name) != group.primary.as_ref()).count();
        // Without synchronous replicas, any endpoint may be promoted.
        let needed = if replicas == 0 { others } else { replicas as usize };
        let copies = known.watermark.copies(&core.announcements, group, |_| true);
        if copies < needed {
            continue;
        }
        let service = group.service.clone();
        core.pending_settings.remove(&service);
        failover::log(out, &service, &format!("each commit is on {replicas} replicas from now on"));
        replicate::propose(core, now, Command::SetCommitReplicas { service, replicas }, out);
    }
}

/// Returns whether the endpoints that have answered since the fence hold every commit that was acknowledged. `joining` are
/// endpoints that are not in the group yet.
pub fn permit_promotion(
    group: &Group,
    announcements: &Announcements,
    answers: &[&Announcement],
    joining: usize,
    last_timeline: Timeline,
) -> bool {
    let holders = &group.commit_holders;
    let whole: Vec<&Announcement> =
        answers.iter().copied().filter(|answer| announcements.is_whole(answer)).collect();
    let is_former = |endpoint: &EndpointName| Some(endpoint) == holders.primary.as_ref();
    // On a later timeline it may have been rolled back to what another endpoint had.
    if whole.iter().any(|answer| is_former(&answer.endpoint) && answer.timeline == last_timeline) {
        return true;
    }
    let has_answered = |entry: &EndpointEntry| whole.iter().any(|answer| answer.endpoint == entry.name);
    // The log of an endpoint that has ended is transferred to the next one at its address.
    let is_covered = |entry: &EndpointEntry| {
        let mut others = group.endpoints.iter().filter(|other| other.name != entry.name);
        entry.leaving && others.any(|other| other.address == entry.address && has_answered(other))
    };
    let is_missing =
        |entry: &&EndpointEntry| !is_former(&entry.name) && !has_answered(entry) && !is_covered(entry);
    let missing = group.endpoints.iter().filter(is_missing).count() + joining;
    let replicas = holders.replicas as usize;
    // Any endpoint may be the primary that acknowledged the commits, if none is recorded.
    if holders.primary.is_some() { missing < replicas } else { missing <= replicas }
}

/// The settings that have not taken effect.
pub type PendingSettings = SortedVec<PendingSetting>;
