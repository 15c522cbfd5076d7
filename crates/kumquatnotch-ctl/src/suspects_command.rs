//! Lists the requests that crash replicas, and lifts their refusal.

use kumquatnotch::{
    core::{
        Error, Result, Store, codec,
        store::{StoreItem, StoreWrite},
    },
    policy::crashes::{CrashRecord, MAX_TRIALS},
};
use kumquatnotch_platform::wire::CRASHES_PREFIX;
use kumquatnotch_route::crash_records;

use crate::{context::Context, options::SuspectsArgs};

pub async fn suspects(context: &Context, args: &SuspectsArgs) -> Result<u8> {
    let store = context.store_client()?;
    match &args.lift {
        Some(id) => lift(&store, id).await,
        None => list(&store).await,
    }
}

async fn list(store: &dyn Store) -> Result<u8> {
    let scan = store.scan(CRASHES_PREFIX).await?;
    println!("request           crashes trials age s state    target");
    for item in &scan.items {
        println!("{}", line(item)?);
    }
    Ok(0)
}

fn line(item: &StoreItem) -> Result<String> {
    let record: CrashRecord = codec::decode(&item.value)?;
    let now_s = crash_records::unix_seconds();
    let state = match &record {
        record if record.is_expired(now_s) => "expired",
        record if !record.needs_trial() => "free",
        record if record.trials >= MAX_TRIALS => "refused",
        _ => "on trial",
    };
    let id = item.key.trim_start_matches(CRASHES_PREFIX);
    let (crashes, trials) = (record.crashes.len(), record.trials);
    let age_s = now_s.saturating_sub(record.created_s);
    Ok(format!("{id:<16} {crashes:>8} {trials:>6} {age_s:>5} {state:<8} {}", record.target))
}

/// Deletes the record of a request; all nodes let it in again once they have heard of that.
async fn lift(store: &dyn Store, id: &str) -> Result<u8> {
    let fingerprint = crash_records::parse_fingerprint(id).ok_or_else(|| {
        Error::bad_request("expected the id of a request, as `suspects` lists it")
    })?;
    let key = crash_records::record_key(CRASHES_PREFIX, fingerprint);
    if store.read(&key).await?.is_none() {
        return Err(Error::bad_request(format!("no request {id} is recorded")));
    }
    store.write(&StoreWrite::delete(&key)).await?;
    println!("{id} is no longer refused");
    Ok(0)
}
