//! `GET /v1/status` and `GET /v1/lists`: the state as confirmed by a quorum.

use {
    super::refusal::RefusalResponse,
    crate::engine::Engine,
    cumincart_core::control::{EndpointStatus, Status},
    cumincart_http::operator::Operator,
    cumincart_protocol::{
        catalogue::{EndpointEntry, Group},
        operator_api::{
            AnnouncedBody, EndpointBody, GroupBody, InstanceBody, ListsBody, MemberBody, StatusBody,
        },
        replication::{Member, Members},
    },
    rocket::{Route, State, get, routes, serde::json::Json},
};

/// Returns the routes of this module.
pub(crate) fn routes() -> Vec<Route> {
    routes![show_status, show_lists]
}

#[get("/status")]
async fn show_status(
    _operator: Operator,
    engine: &State<Engine>,
) -> Result<Json<StatusBody>, RefusalResponse> {
    let status = engine.status().await?;
    Ok(Json(status_body(&status)))
}

#[get("/lists")]
async fn show_lists(_operator: Operator, engine: &State<Engine>) -> Result<Json<ListsBody>, RefusalResponse> {
    let status = engine.status().await?;
    let catalogue = &status.catalogue;
    Ok(Json(ListsBody { lists_revision: catalogue.lists_revision, lists: catalogue.lists.clone() }))
}

fn status_body(status: &Status) -> StatusBody {
    let catalogue = &status.catalogue;
    StatusBody {
        leader: status.leader.clone(),
        term: status.term,
        revision: catalogue.revision,
        lists_revision: catalogue.lists_revision,
        domains_out: catalogue.domains_out.iter().cloned().collect(),
        instances_out: catalogue.instances_out.iter().cloned().collect(),
        members: member_bodies(&status.members),
        instances: status.instances.iter().map(instance_body).collect(),
        earlier_leases_left_ms: status.earlier_leases_left_ms,
        groups: catalogue.groups.iter().map(|group| group_body(group, &status.endpoints)).collect(),
        usage: status.usage.clone(),
    }
}

/// Returns the members. While an exchange of voters is in progress, those of before it count.
fn member_bodies(members: &Members) -> Vec<MemberBody> {
    let is_changing = !members.outgoing.is_empty();
    let voters = if is_changing { &members.outgoing } else { &members.voters };
    let incoming = members.voters.iter().filter(|_| is_changing);
    let others = members.learners.iter().chain(incoming);
    let others = others.filter(|member| !voters.contains(&member.instance));
    let body = |member: &Member, voter| MemberBody { instance: member.instance.clone(), voter };
    voters.iter().map(|voter| body(voter, true)).chain(others.map(|other| body(other, false))).collect()
}

fn instance_body(status: &cumincart_core::control::InstanceStatus) -> InstanceBody {
    InstanceBody {
        instance: status.instance.clone(),
        incarnation: status.incarnation,
        revision: status.revision,
        lease_left_ms: status.lease_left_ms,
    }
}

fn group_body(group: &Group, announced: &[EndpointStatus]) -> GroupBody {
    GroupBody {
        service: group.service.clone(),
        term: group.term,
        primary: group.primary.clone(),
        writable: group.writable,
        endpoints: group.endpoints.iter().map(|entry| endpoint_body(entry, announced)).collect(),
    }
}

fn endpoint_body(entry: &EndpointEntry, announced: &[EndpointStatus]) -> EndpointBody {
    let last = announced.iter().find(|status| status.announcement.endpoint == entry.name);
    EndpointBody {
        endpoint: entry.name.clone(),
        address: entry.address.clone(),
        domain: entry.domain.clone(),
        leaving: entry.leaving,
        announced: last.map(announced_body),
    }
}

fn announced_body(status: &EndpointStatus) -> AnnouncedBody {
    AnnouncedBody {
        role: status.announcement.role,
        timeline: status.announcement.timeline,
        position: status.announcement.position,
        lag_ms: status.announcement.lag_ms,
        age_ms: status.age_ms,
    }
}
