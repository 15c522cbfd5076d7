//! What every command needs: clients, clock and generator.

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

/// How long one call to a node may take beyond what the request itself may.
const CALL_SLACK: Duration = Duration::from_secs(5);

/// What every command needs.
pub struct Context {
    platform: Option<SocketAddr>,
    node: Option<SocketAddr>,
    author: String,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    random: Random,
}

impl Context {
    /// The context of a command line.
    pub fn new(options: &crate::options::Options) -> Context {
        Context {
            platform: options.platform,
            node: options.node,
            author: options.author.clone(),
            clock: Rc::new(RuntimeClock),
            random: Random::from_entropy(),
        }
    }

    /// The store of documents.
    pub fn store(&self) -> Result<DocumentStore> {
        let Some(address) = self.platform else {
            return Err(Error::bad_request("this command needs --platform ADDRESS"));
        };
        let client = Rc::new(StoreClient::new(StoreOptions::new(address), self.clock.clone()));
        Ok(DocumentStore::new(client, self.clock.clone(), self.random.clone()))
    }

    /// Whether a node was named.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// Sends `request` to the node.
    pub async fn call(&self, request: Request, time: Duration) -> Result<Reply> {
        let Some(address) = self.node else {
            return Err(Error::bad_request("this command needs --node ADDRESS"));
        };
        let client = CallerClient::new(address, 1, self.clock.clone(), self.random.clone());
        client.call(request, time + CALL_SLACK).await
    }

    /// Who makes a change, and why.
    pub fn authorship<'a>(&'a self, note: &'a str) -> Authorship<'a> {
        Authorship { author: &self.author, note }
    }
}
