//! Prints the capacity calculation of docs/CAPACITY.md.

use std::{fs, io, path::PathBuf};

use argh::FromArgs;
use kumquatnotch::core::member::NodeRecord;
use measure::{
    capacity::{Derived, Inputs},
    capacity_rows::table,
};

/// Calculate the table of docs/CAPACITY.md from measured figures.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Args {
    /// the file with the size to reach and the measured figures
    #[argh(option, default = "PathBuf::from(\"docs/capacity.toml\")")]
    inputs: PathBuf,
}

/// Prints the table, the derived figures and the fitted lines.
pub fn run(args: &Args) -> io::Result<()> {
    let text = fs::read_to_string(&args.inputs)?;
    let inputs = Inputs::parse(&text).map_err(io::Error::other)?;
    println!("{}", table(&inputs));
    println!("{:#?}", Derived::new(&inputs));
    for (name, series) in &inputs.series {
        let Some((base, slope)) = series.fit() else {
            continue;
        };
        println!("{name}: {base:.4} + {slope:.6} {} ({:?})", series.unit, series.law);
    }
    println!("a node's record takes {} bytes", size_of::<NodeRecord>());
    Ok(())
}
