//! Round-trip times to data centres.
//!
//! The nearest replica must be known before the first connection to it. Otherwise a node that has
//! only used replicas nearby would treat one in another region as equally near. The round trip
//! measured to one replica of a data centre is therefore used for the others, and before that an
//! estimate based on its location.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{DataCentre, Region},
};

/// Estimated round trip within the data centre.
const SAME_CENTRE: Duration = Duration::from_millis(1);

/// Estimated round trip to another data centre of the region.
const SAME_REGION: Duration = Duration::from_millis(3);

/// Estimated round trip to another region, which the first measurement corrects.
const OTHER_REGION: Duration = Duration::from_millis(30);

/// Distance to one data centre.
#[derive(Debug)]
pub struct Distance {
    is_far: Cell<bool>,
    estimate: Cell<Duration>,
    measured: Cell<Option<Duration>>,
}

impl Distance {
    /// Whether it is in another region.
    pub fn is_far(&self) -> bool {
        self.is_far.get()
    }

    /// Round trip to the data centre.
    pub fn round_trip(&self) -> Duration {
        self.measured.get().unwrap_or(self.estimate.get())
    }

    /// Records a measured round trip. The minimum is kept, as it is closest to the network delay.
    pub fn note(&self, took: Duration) {
        let known = self.measured.get().unwrap_or(Duration::MAX);
        self.measured.set(Some(known.min(took)));
    }
}

/// Distances to the data centres.
#[derive(Debug, Default)]
pub struct Distances {
    home: RefCell<Option<(DataCentre, Region)>>,
    regions: RefCell<HashMap<DataCentre, Region>>,
    distances: RefCell<HashMap<DataCentre, Rc<Distance>>>,
}

impl Distances {
    /// Creates the distances from a location.
    pub fn from(centre: DataCentre, region: Region) -> Distances {
        Distances { home: RefCell::new(Some((centre, region))), ..Default::default() }
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&self, regions: HashMap<DataCentre, Region>) {
        *self.regions.borrow_mut() = regions;
        for (centre, distance) in self.distances.borrow().iter() {
            let estimate = self.estimate(centre);
            distance.estimate.set(estimate);
            distance.is_far.set(estimate >= OTHER_REGION);
        }
    }

    /// Region of each data centre.
    pub fn regions(&self) -> std::cell::Ref<'_, HashMap<DataCentre, Region>> {
        self.regions.borrow()
    }

    /// Distance to a data centre.
    pub fn to(&self, centre: &DataCentre) -> Rc<Distance> {
        if let Some(distance) = self.distances.borrow().get(centre) {
            return distance.clone();
        }
        let estimate = self.estimate(centre);
        let distance = Rc::new(Distance {
            is_far: Cell::new(estimate >= OTHER_REGION),
            estimate: Cell::new(estimate),
            measured: Cell::new(None),
        });
        self.distances.borrow_mut().insert(centre.clone(), distance.clone());
        distance
    }

    /// Longest measured round trip.
    pub fn max_round_trip(&self) -> Duration {
        let distances = self.distances.borrow();
        distances.values().filter_map(|distance| distance.measured.get()).max().unwrap_or_default()
    }

    fn estimate(&self, centre: &DataCentre) -> Duration {
        let home = self.home.borrow();
        let Some((home, home_region)) = home.as_ref() else {
            return SAME_REGION;
        };
        if home == centre {
            return SAME_CENTRE;
        }
        match self.regions.borrow().get(centre) {
            Some(region) if region == home_region => SAME_REGION,
            _ => OTHER_REGION,
        }
    }
}
