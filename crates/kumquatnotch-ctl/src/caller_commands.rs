//! Commands that send requests to a node as a caller.

use std::{fs, io::Read, path::Path, time::Duration};

use kumquatnotch::{
    core::{
        Error, Result,
        front::{ExclusiveBody, TicketGrant, key_digest as digest_of},
        query::SearchRequest,
    },
    net::message::{JSON, Reply, Request},
};
use serde::Serialize;

use crate::{
    context::Context,
    options::{EntryArgs, ExclusiveArgs, SearchArgs},
};

pub fn key_digest() -> Result<u8> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).map_err(Error::bad_request)?;
    println!("{}", digest_of(key.trim()));
    Ok(0)
}

pub async fn entry(context: &Context, args: &EntryArgs) -> Result<u8> {
    let mut request = Request::get("/v1/entry");
    if let Some(near) = &args.near {
        request = request.with_param("near", near);
    }
    print(&context.call(request, Duration::ZERO).await?)
}

pub async fn search(context: &Context, args: &SearchArgs) -> Result<u8> {
    let body = SearchRequest {
        selector: args.selector.as_str().into(),
        query: read_json(&args.query)?,
        limit: args.limit,
        deadline_ms: Some(args.deadline_ms),
    };
    let request = post("/v1/search", &body, &args.key_file)?;
    print(&context.call(request, Duration::from_millis(args.deadline_ms)).await?)
}

pub async fn exclusive(context: &Context, args: &ExclusiveArgs) -> Result<u8> {
    let ticket = match &args.ticket {
        Some(ticket) => ticket.clone(),
        None => issue_ticket(context, &args.key_file).await?,
    };
    // The ticket is printed before the request is sent, so that the outcome can be
    // queried with it if the request fails or the reply is lost.
    eprintln!("ticket {ticket}");
    let body = ExclusiveBody {
        ticket,
        selector: args.selector.as_str().into(),
        key: args.key.clone(),
        request: read_json(&args.request)?,
        deadline_ms: Some(args.deadline_ms),
    };
    let request = post("/v1/exclusive", &body, &args.key_file)?;
    print(&context.call(request, Duration::from_millis(args.deadline_ms)).await?)
}

async fn issue_ticket(context: &Context, key_file: &Path) -> Result<String> {
    let request = post("/v1/tickets", &serde_json::Value::Null, key_file)?;
    let reply = context.call(request, Duration::ZERO).await?;
    let grant: Result<TicketGrant, _> = serde_json::from_slice(&reply.body);
    match grant {
        Ok(grant) => Ok(grant.ticket),
        Err(_) => Err(Error::bad_request(String::from_utf8_lossy(&reply.body))),
    }
}

fn post<T: Serialize>(path: &str, body: &T, key_file: &Path) -> Result<Request> {
    let key = fs::read_to_string(key_file)
        .map_err(|error| Error::bad_request(format!("{}: {error}", key_file.display())))?;
    let body = serde_json::to_vec(body).map_err(Error::internal)?;
    let request = Request::post(path, JSON, body);
    Ok(request.with("authorization", format!("Bearer {}", key.trim())))
}

fn read_json(text: &str) -> Result<serde_json::Value> {
    serde_json::from_str(text).map_err(Error::bad_request)
}

fn print(reply: &Reply) -> Result<u8> {
    let value: serde_json::Value = serde_json::from_slice(&reply.body).map_err(Error::protocol)?;
    println!("{value:#}");
    Ok(u8::from(!reply.status.is_success()))
}
