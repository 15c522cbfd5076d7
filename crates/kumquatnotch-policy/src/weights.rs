//! Weighted distribution of requests among services.
//!
//! Each request goes to the service that is furthest behind its share, so that the shares hold over
//! any few dozen requests and not only on average.

use std::cell::RefCell;

use kumquatnotch_core::{
    collections::HashMap,
    ids::{RouteName, ServiceName},
};

/// A service with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub name: ServiceName,
    /// Weight, relative to the other services.
    pub weight: f64,
}

/// Deficit of each service of each route against its share.
#[derive(Debug, Default)]
pub struct Weights {
    deficits: RefCell<HashMap<(RouteName, ServiceName), f64>>,
}

impl Weights {
    /// Selects the service for the next request of a route; `None` if no weight is positive.
    pub fn pick<'a>(
        &self,
        route: &RouteName,
        services: &'a [WeightedService],
    ) -> Option<&'a ServiceName> {
        let total: f64 = services.iter().map(|service| service.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        let mut deficits = self.deficits.borrow_mut();
        let mut best: Option<(f64, &ServiceName)> = None;
        for service in services.iter().filter(|service| service.weight > 0.0) {
            let key = (route.clone(), service.name.clone());
            let deficit = deficits.entry(key).or_default();
            *deficit += service.weight / total;
            if best.is_none_or(|(most, _)| *deficit > most) {
                best = Some((*deficit, &service.name));
            }
        }
        let (_, name) = best?;
        if let Some(deficit) = deficits.get_mut(&(route.clone(), name.clone())) {
            *deficit -= 1.0;
        }
        Some(name)
    }
}
