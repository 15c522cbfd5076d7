//! The registry in which services find each other by name.
//!
//! The kernel of a node is this registry: a service is registered under a name
//! when the node is put together, and others look it up by that name and type.
//! Nothing is registered while requests run.

use std::{any::Any, cell::RefCell, rc::Rc};

use crate::{Error, Result, collections::HashMap};

/// Services by name.
#[derive(Clone, Default)]
pub struct Registry {
    services: Rc<RefCell<HashMap<&'static str, Rc<dyn Any>>>>,
}

impl Registry {
    /// Registers `service` under `name`; an earlier one of that name is replaced.
    ///
    /// A trait object is registered as `Rc<dyn Trait>` and found as that type.
    pub fn register<T: 'static>(&self, name: &'static str, service: T) {
        self.services.borrow_mut().insert(name, Rc::new(service));
    }

    /// The service of that name.
    pub fn find<T: Clone + 'static>(&self, name: &'static str) -> Result<T> {
        let service = self.services.borrow().get(name).cloned();
        match service.as_deref().and_then(|service| service.downcast_ref::<T>()) {
            Some(service) => Ok(service.clone()),
            None => Err(Error::ServiceMissing { name: name.to_owned() }),
        }
    }

    /// The names that are registered, sorted.
    pub fn names(&self) -> Vec<&'static str> {
        let mut names: Vec<&'static str> = self.services.borrow().keys().copied().collect();
        names.sort_unstable();
        names
    }
}
