//! How far away each data centre is.
//!
//! Which replica is near must be known before the first connection to it: a node
//! that has only ever asked those beside it would take one of another region for
//! as near as any. So what was measured to one replica of a data centre holds for
//! the others, and before that a guess by its place.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use kumquatnotch_core::{
    collections::HashMap,
    ids::{DataCentre, Region},
};

/// The guess for the way there and back within the data centre.
const SAME_CENTRE: Duration = Duration::from_millis(1);

/// The guess for another data centre of the region.
const SAME_REGION: Duration = Duration::from_millis(3);

/// The guess for another region, which the first measurement corrects.
const OTHER_REGION: Duration = Duration::from_millis(30);

/// The way to one data centre and back.
#[derive(Debug)]
pub struct Distance {
    is_far: Cell<bool>,
    guess: Cell<Duration>,
    measured: Cell<Option<Duration>>,
}

impl Distance {
    /// Whether it leads to another region.
    pub fn is_far(&self) -> bool {
        self.is_far.get()
    }

    /// The way there and back.
    pub fn round_trip(&self) -> Duration {
        self.measured.get().unwrap_or(self.guess.get())
    }

    /// Notes how long a way took; the shortest is nearest to the truth.
    pub fn note(&self, took: Duration) {
        let known = self.measured.get().unwrap_or(Duration::MAX);
        self.measured.set(Some(known.min(took)));
    }
}

/// The ways to the data centres.
#[derive(Debug, Default)]
pub struct Distances {
    home: RefCell<Option<(DataCentre, Region)>>,
    regions: RefCell<HashMap<DataCentre, Region>>,
    distances: RefCell<HashMap<DataCentre, Rc<Distance>>>,
}

impl Distances {
    /// The ways from a place.
    pub fn from(centre: DataCentre, region: Region) -> Distances {
        Distances { home: RefCell::new(Some((centre, region))), ..Default::default() }
    }

    /// Sets in which region each data centre lies.
    pub fn set_regions(&self, regions: HashMap<DataCentre, Region>) {
        *self.regions.borrow_mut() = regions;
        for (centre, distance) in self.distances.borrow().iter() {
            let guess = self.guess(centre);
            distance.guess.set(guess);
            distance.is_far.set(guess >= OTHER_REGION);
        }
    }

    /// In which region each data centre lies.
    pub fn regions(&self) -> std::cell::Ref<'_, HashMap<DataCentre, Region>> {
        self.regions.borrow()
    }

    /// The way to a data centre.
    pub fn to(&self, centre: &DataCentre) -> Rc<Distance> {
        if let Some(distance) = self.distances.borrow().get(centre) {
            return distance.clone();
        }
        let guess = self.guess(centre);
        let distance = Rc::new(Distance {
            is_far: Cell::new(guess >= OTHER_REGION),
            guess: Cell::new(guess),
            measured: Cell::new(None),
        });
        self.distances.borrow_mut().insert(centre.clone(), distance.clone());
        distance
    }

    /// The longest of the ways that were measured.
    pub fn max_round_trip(&self) -> Duration {
        let distances = self.distances.borrow();
        distances.values().filter_map(|distance| distance.measured.get()).max().unwrap_or_default()
    }

    fn guess(&self, centre: &DataCentre) -> Duration {
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
