//! The service registry.
//!
//! Services are registered under a name when the node is assembled, and other
//! services look them up by name and type. Nothing is registered while requests
//! run.

use std::{any::Any, cell::RefCell, rc::Rc};

use crate::{Error, Result, collections::HashMap};

/// Services by name.
#[derive(Clone, Default)]
pub struct Registry {
    services: Rc<RefCell<HashMap<&'static str, Rc<dyn Any>>>>,
}

impl Registry {
    /// Registers `service` under `name`, replacing any earlier service of that name.
    ///
    /// A trait object is registered and looked up as `Rc<dyn Trait>`.
    pub fn register<T: 'static>(&self, name: &'static str, service: T) {
        self.services.borrow_mut().insert(name, Rc::new(service));
    }

    /// Returns the service registered under `name` as a `T`.
    ///
    /// Fails with [`Error::ServiceMissing`] if there is none, or if it has another type.
    pub fn find<T: Clone + 'static>(&self, name: &'static str) -> Result<T> {
        let service = self.services.borrow().get(name).cloned();
        match service.as_deref().and_then(|service| service.downcast_ref::<T>()) {
            Some(service) => Ok(service.clone()),
            None => Err(Error::ServiceMissing { name: name.to_owned() }),
        }
    }

    /// Returns the registered names, sorted.
    pub fn names(&self) -> Vec<&'static str> {
        let mut names: Vec<&'static str> = self.services.borrow().keys().copied().collect();
        names.sort_unstable();
        names
    }
}
