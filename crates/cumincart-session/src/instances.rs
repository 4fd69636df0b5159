//! Links to other entry instances.

use {
    crate::engine::Engine,
    cumincart_protocol::{heartbeat::InstanceEntry, sorted::SortedVec},
    cumincart_runtime::link::client::PeerLink,
    std::sync::Arc,
};

/// A link to another entry instance.
#[derive(Debug)]
pub(crate) struct InstanceLink {
    address: Arc<str>,
    link: PeerLink,
}

impl Engine {
    /// Returns the link to another entry instance, opening it if there is none.
    pub(crate) fn link(&self, address: &Arc<str>) -> PeerLink {
        let mut links = self.links();
        match links.binary_search_by(|known| known.address.cmp(address)) {
            Ok(index) => links[index].link.clone(),
            Err(index) => {
                let link = PeerLink::spawn(address.clone(), self.name().clone(), self.fleet_secret().clone());
                links.insert(index, InstanceLink { address: address.clone(), link: link.clone() });
                link
            }
        }
    }

    /// Closes the links to instances that are not listed, since they hold no lease. Opens links to the instances of the
    /// own failure domain, which hold its tokens; others are opened when a request is relayed to them. Links between all
    /// instances would cost more than the requests on them: their number grows with the square of the fleet.
    pub(crate) fn update_instance_links(&self, instances: &SortedVec<InstanceEntry>) {
        {
            let mut links = self.links();
            let is_listed =
                |link: &InstanceLink| instances.iter().any(|instance| instance.peer_address == link.address);
            links.retain(is_listed);
        }
        let domain = &self.locality().domain;
        let is_near = |instance: &&InstanceEntry| instance.domain == *domain && instance.name != *self.name();
        for instance in instances.iter().filter(is_near) {
            self.link(&instance.peer_address);
        }
    }
}
