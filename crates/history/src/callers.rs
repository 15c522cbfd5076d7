//! Concurrent callers. Each caller requests advice on which address to use, follows it
//! for the period of its validity, and records its requests and their outcomes.

use std::{
    collections::BTreeMap,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{join, join_all};
use kumquatnotch_core::{
    answer::Answer,
    front::{EntryAdvice, TicketGrant},
    ids::TenantName,
    random::Random,
};
use serde::Deserialize;
use serde_json::{Value, json};
use standins::{data::OWNERS, http::Client, now_us};

use crate::{
    cluster::Node,
    layout::{self, CENTRES, CRASH_MARKER, DEADLINE_MS, HOLD_SELECTOR, SEARCH_SELECTOR},
    record::{Attempt, Failure, Outcome, Request},
    run_context::RunContext,
};

/// Time for which a caller waits for a response: the deadline of the request and a margin.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Timeout of a request for advice.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of attempts for a request, and the delay between them.
const MAX_ATTEMPTS: usize = 6;
const RETRY_DELAY_MS: u64 = 150;

/// Shares of requests that are not plain searches.
const EXCLUSIVE_SHARE: f64 = 0.2;
const POISON_SHARE: f64 = 0.002;
const DUPLICATE_SHARE: f64 = 0.1;

/// Number of searches in a burst.
const BURST_SIZE: usize = 12;

/// Upper limit of the random think time between two requests, in milliseconds.
const MAX_THINK_TIME_MS: usize = 40;

/// Error codes after which the request is sent again under the same ticket.
const STILL_RUNNING: u16 = 3002;
const ISSUER_UNREACHABLE: u16 = 3003;

/// Codes of refusals after which the next advised address is used.
const LEAVING: u16 = 2003;
const NOT_READY: u16 = 2004;

/// A simulated caller of one tenant.
pub struct Caller {
    run: Rc<RunContext>,
    random: Random,
    tenant: TenantName,
    bearer: String,
    centre: &'static str,
    advice: Vec<SocketAddr>,
    valid_until: Instant,
    clients: BTreeMap<SocketAddr, Rc<Client>>,
}

/// A request ready to be sent, once or repeatedly.
#[derive(Clone)]
struct PreparedRequest {
    nonce: u64,
    path: &'static str,
    body: Value,
    request: Request,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Failure,
}

#[derive(Deserialize)]
struct DoneBody {
    done: Value,
}

impl Caller {
    /// Creates caller `number`, which determines its tenant and data centre.
    pub fn new(run: &Rc<RunContext>, number: usize) -> Caller {
        let tenant = OWNERS[number % OWNERS.len()];
        Caller {
            run: run.clone(),
            random: run.generator(),
            tenant: TenantName::from(tenant),
            bearer: format!("Bearer {}", layout::tenant_key(tenant)),
            centre: CENTRES[number % CENTRES.len()].0,
            advice: Vec::new(),
            valid_until: Instant::now(),
            clients: BTreeMap::new(),
        }
    }

    /// Sends requests until the run is over.
    pub async fn run_until_over(mut self) {
        while !self.run.over.get() {
            let share = self.random.fraction();
            if share < EXCLUSIVE_SHARE {
                self.send_exclusive().await;
            } else if share < EXCLUSIVE_SHARE + POISON_SHARE {
                self.send_poison().await;
            } else {
                let search = self.prepare_search("rooms");
                self.send(&search).await;
            }
            self.run.sleep_ms(self.random.below(MAX_THINK_TIME_MS) as u64).await;
        }
    }

    /// Sends many concurrent searches to one node, each on its own connection.
    pub async fn burst(self, entry: SocketAddr) {
        let clients = (0..BURST_SIZE).map(|_| Client::new(entry, RESPONSE_TIMEOUT));
        let clients: Vec<(Client, PreparedRequest)> =
            clients.map(|client| (client, self.prepare_search("burst"))).collect();
        join_all(clients.iter().map(|(client, search)| self.send_via(client, search))).await;
    }

    fn prepare_search(&self, words: &str) -> PreparedRequest {
        let nonce = self.random.number();
        let limit = 1 + self.random.below(20) as u32;
        let query = json!({ "nonce": nonce, "words": words });
        let body = json!({
            "selector": SEARCH_SELECTOR,
            "query": query,
            "limit": limit,
            "deadline_ms": DEADLINE_MS,
        });
        PreparedRequest { nonce, path: "/v1/search", body, request: Request::Search { limit } }
    }

    /// Sends a request that crashes every target running it, and repeats it like a caller
    /// that retries.
    async fn send_poison(&mut self) {
        self.run.record_fault("poison request", "");
        let poison = self.prepare_search(CRASH_MARKER);
        for _ in 0..MAX_ATTEMPTS {
            self.send(&poison).await;
            self.run.sleep_ms(RETRY_DELAY_MS).await;
        }
    }

    /// Sends a non-idempotent request, and repeats it under the same ticket until its outcome
    /// is known or the attempts are used up.
    async fn send_exclusive(&mut self) {
        let Some(ticket) = self.request_ticket().await else {
            return;
        };
        let nonce = self.random.number();
        let key = format!("room-{}", self.random.below(50));
        let body = json!({
            "ticket": ticket,
            "selector": HOLD_SELECTOR,
            "key": key,
            "request": { "nonce": nonce, "key": key },
            "deadline_ms": DEADLINE_MS,
        });
        let request = Request::Exclusive { ticket, key };
        let hold = PreparedRequest { nonce, path: "/v1/exclusive", body, request };
        if self.random.chance(DUPLICATE_SHARE) {
            self.send_twice(&hold).await;
        }
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.send(&hold).await;
            if is_settled(&outcome) {
                return;
            }
            self.run.sleep_ms(RETRY_DELAY_MS).await;
        }
    }

    async fn request_ticket(&mut self) -> Option<String> {
        let client = self.client().await?;
        let headers = [("authorization", self.bearer.as_str())];
        let answer = client.send("POST", "/v1/tickets", &headers, Default::default()).await;
        match answer {
            Ok(answer) if answer.status == 200 => {
                answer.json::<TicketGrant>().ok().map(|t| t.ticket)
            }
            Ok(_) => None,
            Err(_) => {
                self.advice.clear();
                None
            }
        }
    }

    /// Sends the same request to two nodes concurrently, like a caller that retries before its
    /// timeout.
    async fn send_twice(&mut self, prepared: &PreparedRequest) {
        self.run.record_fault("twin request", "");
        let Some(first) = self.client().await else {
            return;
        };
        let Some(other) = self.random.pick(&self.advice).copied() else {
            return;
        };
        let other = self.client_for(other);
        join(self.send_via(&first, prepared), self.send_via(&other, prepared)).await;
    }

    async fn send(&mut self, prepared: &PreparedRequest) -> Outcome {
        let Some(client) = self.client().await else {
            return Outcome::NotConnected;
        };
        let outcome = self.send_via(&client, prepared).await;
        match &outcome {
            Outcome::NotConnected | Outcome::Broken | Outcome::TimedOut => self.advice.clear(),
            // The advised node does not serve requests; the next advised node may.
            Outcome::Failed(failure) if matches!(failure.code, LEAVING | NOT_READY) => {
                self.advice.remove(0);
            }
            _ => {}
        }
        outcome
    }

    async fn send_via(&self, client: &Client, prepared: &PreparedRequest) -> Outcome {
        let Some(node) = self.run.cluster.node_at(client.address()) else {
            return Outcome::NotConnected;
        };
        let (life, kept, sent_us) = (node.instance(), client.is_open(), now_us());
        let headers = [("authorization", self.bearer.as_str())];
        let body = prepared.body.to_string().into();
        let answer = client.send("POST", prepared.path, &headers, body).await;
        let outcome = match answer {
            Ok(answer) => parse_reply(&answer, &prepared.request),
            Err(error) if error.kind() == ErrorKind::NotConnected => Outcome::NotConnected,
            Err(error) if error.kind() == ErrorKind::TimedOut => Outcome::TimedOut,
            Err(_) => Outcome::Broken,
        };
        let attempt = Attempt {
            nonce: prepared.nonce,
            tenant: self.tenant.clone(),
            life,
            kept,
            sent_us,
            ended_us: now_us(),
            request: prepared.request.clone(),
            outcome: outcome.clone(),
        };
        self.run.history.borrow_mut().attempts.push(attempt);
        outcome
    }

    /// Returns the client of the advised address; requests new advice if there is none or it has
    /// expired.
    async fn client(&mut self) -> Option<Rc<Client>> {
        if self.advice.is_empty() || Instant::now() >= self.valid_until {
            self.refresh_advice().await;
        }
        let address = self.advice.first().copied()?;
        Some(self.client_for(address))
    }

    fn client_for(&mut self, address: SocketAddr) -> Rc<Client> {
        let new = || Rc::new(Client::new(address, RESPONSE_TIMEOUT));
        self.clients.entry(address).or_insert_with(new).clone()
    }

    /// Requests advice from the nodes in random order until one of them gives an address.
    async fn refresh_advice(&mut self) {
        self.advice.clear();
        let mut entries: Vec<SocketAddr> =
            self.run.cluster.nodes.iter().map(|node: &Node| node.entry).collect();
        self.random.shuffle(&mut entries);
        for entry in entries {
            let path = format!("/v1/entry?near={}", self.centre);
            let answer = Client::new(entry, ADVICE_TIMEOUT).get(&path).await;
            let Ok(advice) = answer.and_then(|answer| answer.json::<EntryAdvice>()) else {
                continue;
            };
            if !advice.addresses.is_empty() {
                self.advice = advice.addresses;
                self.valid_until = Instant::now() + Duration::from_millis(advice.valid_ms);
                return;
            }
        }
        self.run.sleep_ms(RETRY_DELAY_MS).await;
    }
}

/// Whether the outcome is final, so that a retry under the same ticket would not change it.
fn is_settled(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answer(_) | Outcome::Done(_) | Outcome::Unreadable(_) => true,
        Outcome::NotConnected | Outcome::Broken | Outcome::TimedOut => false,
        Outcome::Failed(failure) => {
            !failure.not_run && !matches!(failure.code, STILL_RUNNING | ISSUER_UNREACHABLE)
        }
    }
}

fn parse_reply(answer: &standins::http::Answer, request: &Request) -> Outcome {
    if answer.status != 200 {
        return match answer.json::<ErrorBody>() {
            Ok(body) => Outcome::Failed(body.error),
            Err(error) => Outcome::Unreadable(format!("status {}: {error}", answer.status)),
        };
    }
    let outcome = match request {
        Request::Search { .. } => {
            answer.json::<Answer>().map(|answer| Outcome::Answer(Box::new(answer)))
        }
        Request::Exclusive { .. } => answer.json::<DoneBody>().map(|body| Outcome::Done(body.done)),
    };
    outcome.unwrap_or_else(|error| Outcome::Unreadable(error.to_string()))
}
