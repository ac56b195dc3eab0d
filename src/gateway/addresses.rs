//! The gateways to which callers should connect.

use std::net::SocketAddr;

use super::Gateway;
use super::Server;
use crate::policy::regions;
use crate::policy::regions::CallerLocation;
use crate::policy::regions::PermittedRegions;

impl Server {
    /// Returns the gateways to which a caller of `host` should connect: those in its data centre, or
    /// all if it has none. If all routes of the host name regions, they are in one of these, as long
    /// as it has a gateway.
    pub fn addresses(&self, host: &str, caller: CallerLocation<'_>) -> Vec<SocketAddr> {
        self.gateway.addresses(host, caller)
    }
}

impl Gateway {
    fn addresses(&self, host: &str, caller: CallerLocation<'_>) -> Vec<SocketAddr> {
        let routing = self.routing();
        let gateways: Vec<(&str, SocketAddr)> = routing
            .entries
            .iter()
            .filter(|info| !(self.is_draining() && info.address == self.info.address))
            .map(|info| (&*info.data_centre, info.address))
            .collect();
        let routes = routing.host_routes(host).unwrap_or_default();
        let permitted = PermittedRegions::of_host(routes.iter().map(|route| &**route));
        let mut addresses =
            regions::gateways_for_caller(&gateways, caller, &permitted, &self.cfg.regions);
        if addresses.is_empty() {
            // An address that is about to stop is better for a caller than none.
            addresses.push(self.info.address);
        }
        addresses
    }
}
