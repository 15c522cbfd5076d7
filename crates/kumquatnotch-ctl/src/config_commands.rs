//! Commands that read or change the operators' document.

use std::time::Duration;

use kumquatnotch::{
    config::{
        diff::{self, to_text},
        document_store::{Current, DocumentStore, copy_drains, set_drain},
        files,
    },
    core::{
        Error, Result,
        document::Document,
        ids::{ConfigVersion, TargetName},
    },
};
use serde::Serialize;

use crate::{
    context::Context,
    options::{
        ApplyArgs, Base, CheckArgs, CollectArgs, DiffArgs, DrainArgs, RollbackArgs, ShowArgs,
    },
    status_command::wait_for_version,
};

pub fn check(args: &CheckArgs) -> Result<u8> {
    let document = files::load(&args.files)?;
    for selector in empty_selectors(&document) {
        println!("warning: selector {selector} matches no target");
    }
    let Document { targets, rules, .. } = &document;
    println!(
        "ok: {} targets, {} selectors, {} tenants",
        targets.len(),
        rules.selectors.len(),
        rules.tenants.len(),
    );
    Ok(0)
}

pub async fn diff(context: &Context, args: &DiffArgs) -> Result<u8> {
    let base = context.store()?.current().await?;
    let document = load_with_drains(args.files.as_path(), &base)?;
    println!("against version {}", version_of(&base));
    println!("{}", to_text(&diff::diff(&base.document, &document)));
    Ok(0)
}

pub async fn apply(context: &Context, args: &ApplyArgs) -> Result<u8> {
    let store = context.store()?;
    let base = store.current().await?;
    // Files based on an older version would silently revert later changes of other
    // operators, so they are refused with a list of these changes.
    if let Base::Version(version) = args.base
        && version != version_of(&base)
    {
        return Err(stale_base_error(&store, &base, version).await);
    }
    let document = load_with_drains(&args.files, &base)?;
    let changes = diff::diff(&base.document, &document);
    if changes.is_empty() && base.head.is_some() {
        println!("nothing to change; version {} is in force", version_of(&base));
        return Ok(0);
    }
    println!("{}", to_text(&changes));
    for selector in empty_selectors(&document) {
        println!("warning: selector {selector} matches no target");
    }
    let version = store.publish(&base, &document, context.authorship(&args.note)).await?;
    report_accepted(context, version, args.wait).await
}

pub async fn show(context: &Context, args: &ShowArgs) -> Result<u8> {
    let store = context.store()?;
    let current = store.current().await?;
    let document = match args.version.map(ConfigVersion) {
        Some(version) if version != version_of(&current) => {
            load_past_version(&store, &current, version).await?
        }
        _ => current.document,
    };
    println!("# version {}", document.version);
    println!("{}", to_toml(&document)?);
    Ok(0)
}

pub async fn history(context: &Context) -> Result<u8> {
    let Some((head, _)) = context.store()?.head().await? else {
        println!("no version has been published yet");
        return Ok(0);
    };
    println!("{} in force, by {}: {}", head.version, head.author, head.note);
    for past in &head.history {
        println!("{} kept, manifest {}", past.version, past.manifest);
    }
    Ok(0)
}

pub async fn roll_back(context: &Context, args: &RollbackArgs) -> Result<u8> {
    let store = context.store()?;
    let base = store.current().await?;
    let note = match args.note.as_str() {
        "" => format!("back to version {}", args.version),
        note => note.to_owned(),
    };
    let version = ConfigVersion(args.version);
    let version = store.roll_back(&base, version, context.authorship(&note)).await?;
    report_accepted(context, version, args.wait).await
}

pub async fn drain(context: &Context, args: &DrainArgs) -> Result<u8> {
    let target = TargetName::from(args.target.as_str());
    let change = |document: &mut Document| set_drain(document, &target, !args.undo);
    let note = match (args.note.as_str(), args.undo) {
        ("", false) => format!("drain {target}"),
        ("", true) => format!("end the drain of {target}"),
        (note, _) => note.to_owned(),
    };
    let version = context.store()?.amend(change, context.authorship(&note)).await?;
    report_accepted(context, version, args.wait).await
}

pub async fn collect(context: &Context, args: &CollectArgs) -> Result<u8> {
    let count = context.store()?.collect(Duration::from_secs(args.grace)).await?;
    println!("deleted {count} values");
    Ok(0)
}

/// Prints the accepted version, and waits for up to `wait` seconds until it is in force.
///
/// Does not wait if no node was given or `wait` is zero.
async fn report_accepted(context: &Context, version: ConfigVersion, wait: u64) -> Result<u8> {
    println!("accepted as version {version}");
    if wait == 0 || !context.has_node() {
        return Ok(0);
    }
    wait_for_version(context, version, Duration::from_secs(wait)).await
}

fn load_with_drains(path: &std::path::Path, base: &Current) -> Result<Document> {
    let mut document = files::load(path)?;
    copy_drains(&mut document, &base.document);
    Ok(document)
}

async fn stale_base_error(store: &DocumentStore, now: &Current, base: ConfigVersion) -> Error {
    let version = version_of(now).0;
    let detail = match load_past_version(store, now, base).await {
        Ok(before) => to_text(&diff::diff(&before, &now.document)),
        Err(_) => format!("version {base} is no longer kept"),
    };
    Error::Conflict { version, detail }
}

async fn load_past_version(
    store: &DocumentStore,
    current: &Current,
    version: ConfigVersion,
) -> Result<Document> {
    let past = current.head.iter().flat_map(|head| &head.history);
    match past.into_iter().find(|past| past.version == version) {
        Some(past) => store.load(version, past.manifest).await,
        None => Err(Error::VersionUnknown { version: version.0 }),
    }
}

fn version_of(current: &Current) -> ConfigVersion {
    current.head.as_ref().map_or(ConfigVersion(0), |head| head.version)
}

fn empty_selectors(document: &Document) -> Vec<&str> {
    let selectors = document.rules.selectors.iter();
    let empty = selectors.filter(|(_, selector)| document.select(selector).next().is_none());
    empty.map(|(name, _)| name.as_str()).collect()
}

fn to_toml(document: &Document) -> Result<String> {
    #[derive(Serialize)]
    struct Body<'a, T: Serialize, R: Serialize, S: Serialize, N: Serialize> {
        regions: &'a R,
        tenants: &'a N,
        selectors: &'a S,
        targets: &'a T,
    }
    let Document { targets, rules, .. } = document;
    let body = Body {
        regions: &rules.regions,
        tenants: &rules.tenants,
        selectors: &rules.selectors,
        targets,
    };
    toml::to_string_pretty(&body).map_err(Error::internal)
}
