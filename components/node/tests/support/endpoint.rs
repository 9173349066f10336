//! A ready endpoint of a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;

/// Creates a ready endpoint.
pub fn endpoint(service: &str, id: &str, address: SocketAddr, slots: u32) -> Endpoint {
    let said = Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: service.to_owned(),
        address,
        data_centre: "z".to_owned(),
        slots,
        draining: false,
        models: BTreeMap::new(),
        sequence: 1,
    };
    Endpoint { announcement: said, status: EndpointStatus::Ready }
}
