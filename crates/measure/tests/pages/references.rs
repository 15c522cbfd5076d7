//! What a page names that isn't there.

use super::repository::Repository;

/// Extensions by which a word is known as the name of a file.
const FILE_EXTENSIONS: [&str; 5] = [".rs", ".toml", ".md", ".sh", ".txt"];

/// Number of words from which a name can only be that of a test or another function.
const FUNCTION_WORDS: usize = 4;

/// Names that belong to the platform and occur in no source.
const FOREIGN_NAMES: [&str; 1] = ["control_plane"];

/// A part of a page: code between two backticks, or the text before or after it.
struct Segment {
    line: usize,
    is_code: bool,
    text: String,
}

/// Returns what a page names that isn't in the repository, each with its line.
pub fn missing(repository: &Repository, page: &str, text: &str) -> Vec<String> {
    let dir = page.rsplit_once('/').map_or("", |(dir, _)| dir);
    let mut missing = Vec::new();
    let mut note = |line: usize, kind: &str, name: &str| {
        missing.push(format!("{page}:{}: no {kind} {name}", line + 1));
    };
    for (index, line) in text.lines().enumerate() {
        for link in links(line).filter(|link| !is_link_known(repository, dir, link)) {
            note(index, "page", link);
        }
        for file in file_names(line).filter(|file| !repository.has_path(file)) {
            note(index, "file", file);
        }
    }
    let mut is_block = false;
    let mut paragraph = Vec::new();
    for (index, line) in text.lines().chain([""]).enumerate() {
        let is_fence = line.starts_with("```");
        is_block ^= is_fence;
        if is_fence || line.trim().is_empty() {
            missing_in_paragraph(repository, &paragraph, &mut note);
            paragraph.clear();
        } else if is_block {
            missing_in_command(repository, line, &mut |kind, name| note(index, kind, name));
        } else {
            paragraph.push((index, line));
        }
    }
    missing
}

fn missing_in_paragraph(
    repository: &Repository,
    lines: &[(usize, &str)],
    note: &mut impl FnMut(usize, &str, &str),
) {
    let segments = segments(lines);
    missing_in_crate(repository, &segments, note);
    for Segment { line, text, .. } in segments.iter().filter(|segment| segment.is_code) {
        missing_in_span(repository, text, &mut |kind, name| note(*line, kind, name));
    }
}

/// Splits the lines of a paragraph at their backticks; code may go on in the next line.
fn segments(lines: &[(usize, &str)]) -> Vec<Segment> {
    let mut segments: Vec<Segment> = Vec::new();
    for (line, text) in lines {
        for (index, text) in text.split('`').enumerate() {
            match segments.last_mut() {
                Some(last) if index == 0 => last.text = format!("{} {text}", last.text),
                last => {
                    let is_code = last.is_some_and(|last| !last.is_code);
                    segments.push(Segment { line: *line, is_code, text: text.to_owned() });
                }
            }
        }
    }
    segments
}

/// Returns the targets of the links to other pages.
fn links(line: &str) -> impl Iterator<Item = &str> {
    let targets = line.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    let targets = targets.map(|(target, _)| target.split('#').next().unwrap_or_default());
    targets.filter(|target| !target.is_empty() && !target.contains(':'))
}

fn is_link_known(repository: &Repository, dir: &str, link: &str) -> bool {
    let mut parts: Vec<&str> = dir.split('/').filter(|part| !part.is_empty()).collect();
    for part in link.trim_end_matches('/').split('/') {
        match part {
            ".." => drop(parts.pop()),
            part => parts.push(part),
        }
    }
    repository.paths.contains(&parts.join("/"))
}

/// Returns the words that are names of files by their extension.
fn file_names(line: &str) -> impl Iterator<Item = &str> {
    let is_part = |char: char| char.is_alphanumeric() || "_-./".contains(char);
    let words = line.split(move |char| !is_part(char)).map(|word| word.trim_end_matches('.'));
    words.filter(|word| {
        let stem = FILE_EXTENSIONS.iter().find_map(|extension| word.strip_suffix(extension));
        // Links are checked from the directory of their page.
        stem.is_some_and(|stem| !stem.is_empty() && !stem.starts_with(['/', '.']))
    })
}

fn missing_in_span(repository: &Repository, span: &str, note: &mut impl FnMut(&str, &str)) {
    if span.contains(' ') {
        missing_in_command(repository, span, note);
        return;
    }
    let is_name = |char: char| char.is_ascii_alphanumeric() || char == '_';
    if span.chars().all(is_name) && span.contains('_') {
        if is_function(span) && !repository.has_function(span, "") {
            note("test", span);
        } else if !repository.has_word(span) && !FOREIGN_NAMES.contains(&span) {
            note("name", span);
        }
        return;
    }
    if is_path(repository, span) && !repository.has_path(span) {
        note("path", span);
    }
}

/// Whether a name can only be that of a test or another function.
fn is_function(name: &str) -> bool {
    let is_snake = |char: char| char.is_ascii_lowercase() || char.is_ascii_digit() || char == '_';
    let words = name.split('_').filter(|word| !word.is_empty());
    name.chars().all(is_snake)
        && words.count() >= FUNCTION_WORDS
        && !name.starts_with("kumquatnotch")
}

/// Notes tests and their files that aren't in the crate that is named after them, as in
/// `` `one_test_of_two`, `another_test_of_two` [route] ``.
fn missing_in_crate(
    repository: &Repository,
    segments: &[Segment],
    note: &mut impl FnMut(usize, &str, &str),
) {
    let mut named: Vec<&Segment> = Vec::new();
    for segment in segments {
        if segment.is_code {
            named.push(segment);
            continue;
        }
        let tag = segment.text.strip_prefix(" [").and_then(|rest| rest.split_once(']'));
        if let Some((name, _)) = tag
            && let Some(dir) = crate_dir(repository, name)
        {
            let dir = format!("{dir}/");
            let is_there = |name: &str| match name.ends_with(".rs") {
                true => repository.has_path(&format!("{dir}{name}")),
                false => !is_function(name) || repository.has_function(name, &dir),
            };
            for Segment { line, text, .. } in named.iter().filter(|named| !is_there(&named.text)) {
                note(*line, "test", &format!("{text} in {dir}"));
            }
        }
        if segment.text.contains(['|', ';', ']']) {
            named.clear();
        }
    }
}

/// Returns the directory of a crate by the short name that pages use.
fn crate_dir<'a>(repository: &'a Repository, name: &str) -> Option<&'a str> {
    let long = format!("kumquatnotch-{name}");
    repository.package_dir(name).or_else(|| repository.package_dir(&long))
}

/// Whether a word is a path from the root, without a placeholder.
fn is_path(repository: &Repository, word: &str) -> bool {
    let Some((first, _)) = word.split_once('/') else { return false };
    let has_placeholder = word.split('/').any(|part| !part.is_empty() && is_upper(part));
    !has_placeholder && repository.paths.contains(first) && first != "target"
}

fn is_upper(word: &str) -> bool {
    word.chars().all(|char| !char.is_ascii_lowercase())
}

fn missing_in_command(repository: &Repository, line: &str, note: &mut impl FnMut(&str, &str)) {
    let line = line.trim_start_matches("$ ").split(" #").next().unwrap_or_default();
    let words: Vec<&str> = line.split_whitespace().filter(|word| *word != "|").collect();
    let Some((program, arguments)) = words.split_first() else { return };
    if *program == "cargo" {
        missing_in_cargo(repository, arguments, note);
        return;
    }
    if is_path(repository, program) && !repository.has_path(program) {
        note("command", program);
    }
    let built = program.strip_prefix("target/debug/").or(program.strip_prefix("target/release/"));
    let name = built.unwrap_or(program);
    let Some(dir) = repository.program_dir(name) else {
        if built.is_some() || name.starts_with("kumquatnotch") && arguments.len() > 1 {
            note("program", name);
        }
        return;
    };
    for flag in arguments.iter().filter_map(|word| word.strip_prefix("--")) {
        let field = flag.split('=').next().unwrap_or_default().replace('-', "_");
        if !repository.words.contains(&field) {
            note("option", &format!("--{flag} of {dir}"));
        }
    }
}

fn missing_in_cargo(
    repository: &Repository,
    arguments: &[&str],
    note: &mut impl FnMut(&str, &str),
) {
    let mut dir = None;
    for pair in arguments.windows(2) {
        let [option, name] = pair else { continue };
        match *option {
            _ if is_upper(name) => {}
            "-p" | "--package" => {
                dir = repository.package_dir(name);
                if dir.is_none() {
                    note("package", name);
                }
            }
            "--test" => {
                let path = format!("tests/{name}.rs");
                let path = dir.map_or(path.clone(), |dir| format!("{dir}/{path}"));
                if !repository.has_path(&path) {
                    note("test file", &path);
                }
            }
            "--bin" if repository.program_dir(name).is_none() => note("program", name),
            _ => {}
        }
    }
}
