//! The context shared by all commands: clients, clock and random number generator.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use kumquatnotch::{
    config::document_store::{Authorship, DocumentStore},
    core::{Clock, Error, Result, clock::RuntimeClock, random::Random},
    net::{
        CallerClient,
        message::{Reply, Request},
    },
};
use kumquatnotch_platform::store_client::{StoreClient, StoreOptions};

/// Additional timeout of a call to a node, beyond the deadline of the request itself.
const CALL_SLACK: Duration = Duration::from_secs(5);

/// The context shared by all commands.
pub struct Context {
    platform: Option<SocketAddr>,
    node: Option<SocketAddr>,
    author: String,
    /// The clock of the commands.
    pub clock: Rc<dyn Clock>,
    random: Random,
}

impl Context {
    /// Creates the context from the command line.
    pub fn new(options: &crate::options::Options) -> Context {
        Context {
            platform: options.platform,
            node: options.node,
            author: options.author.clone(),
            clock: Rc::new(RuntimeClock),
            random: Random::from_entropy(),
        }
    }

    /// Returns a client of the platform's store at the address given by `--platform`.
    pub fn store_client(&self) -> Result<StoreClient> {
        let Some(address) = self.platform else {
            return Err(Error::bad_request("this command needs --platform ADDRESS"));
        };
        Ok(StoreClient::new(StoreOptions::new(address), self.clock.clone()))
    }

    /// Returns the document store at the address given by `--platform`.
    pub fn store(&self) -> Result<DocumentStore> {
        let client = Rc::new(self.store_client()?);
        Ok(DocumentStore::new(client, self.clock.clone(), self.random.clone()))
    }

    /// Returns whether `--node` was given.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// Sends `request`, which may take `time`, to the node given by `--node`.
    pub async fn call(&self, request: Request, time: Duration) -> Result<Reply> {
        let Some(address) = self.node else {
            return Err(Error::bad_request("this command needs --node ADDRESS"));
        };
        let client = CallerClient::new(address, 1, self.clock.clone(), self.random.clone());
        client.call(request, time + CALL_SLACK).await
    }

    /// Returns the authorship of a change that is made for the reason `note`.
    pub fn authorship<'a>(&'a self, note: &'a str) -> Authorship<'a> {
        Authorship { author: &self.author, note }
    }
}
