//! Tests that the documentation is complete: every page is listed, every link has a target, and the
//! tables of duties and log events match the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::fixture::Node;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

/// Lists the Markdown files at the root and in docs/.
fn pages() -> Vec<PathBuf> {
    let folders = [root(), root().join("docs")];
    let files = folders.iter().flat_map(|folder| fs::read_dir(folder).unwrap());
    let paths = files.map(|file| file.unwrap().path());
    paths.filter(|path| path.extension().is_some_and(|e| e == "md")).collect()
}

/// Returns the targets of a page's links to files.
fn links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    let files = targets.map(|(target, _)| target.split('#').next().unwrap_or_default());
    files.filter(|target| !target.is_empty() && !target.contains("://")).collect()
}

#[test]
fn links_lead_to_files() {
    for page in pages() {
        let text = fs::read_to_string(&page).unwrap();
        for link in links(&text) {
            let target = page.parent().unwrap().join(link);
            assert!(target.exists(), "{}: no target of {link}", page.display());
        }
    }
}

#[test]
fn every_page_is_listed() {
    let index = fs::read_to_string(root().join("docs/README.md")).unwrap();
    let listed: BTreeSet<&str> = links(&index).into_iter().collect();
    for page in pages().iter().filter(|page| page.parent().unwrap().ends_with("docs")) {
        let name = page.file_name().unwrap().to_str().unwrap();
        assert!(name == "README.md" || listed.contains(name), "{name} is not in docs/README.md");
    }
}

#[test]
fn the_architecture_lists_the_duties_of_the_daemon() {
    let text = fs::read_to_string(root().join("docs/ARCHITECTURE.md")).unwrap();
    let table = text.split("### Duties").nth(1).unwrap().split("###").next().unwrap();
    let names = table.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let listed: BTreeSet<String> = names.map(str::to_owned).collect();
    let node = Node::start("{}");
    let output = node.client(&["dump", "all", "--output", "json"]);
    let dump: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let duties = dump["process"]["duties"].as_array().unwrap().iter();
    let running: BTreeSet<String> = duties.map(|d| d.as_str().unwrap().to_owned()).collect();
    assert_eq!(listed, running);
}

/// Adds the log events in a source file, or in the sources of a folder, to `found`.
fn events(path: &Path, found: &mut BTreeSet<String>) {
    if path.is_dir() {
        let files = fs::read_dir(path).unwrap();
        files.for_each(|file| events(&file.unwrap().path(), found));
    } else if path.extension().is_some_and(|e| e == "rs") {
        let text = fs::read_to_string(path).unwrap();
        let names = text.split("event = \"").skip(1).filter_map(|rest| rest.split('"').next());
        found.extend(names.map(str::to_owned));
    }
}

#[test]
fn each_log_line_of_a_fleet_is_listed() {
    let text = fs::read_to_string(root().join("docs/LOGS.md")).unwrap();
    let names = text.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let listed: BTreeSet<String> = names.map(str::to_owned).collect();
    let mut found = BTreeSet::new();
    for crate_name in ["agreement", "depot", "fleet", "http", "node", "storage"] {
        events(&root().join("components").join(crate_name).join("src"), &mut found);
    }
    // Of the kernel, a fleet uses the detector of stalls.
    events(&root().join("components/kernel/src/stall.rs"), &mut found);
    found.insert("ended_by_fault".to_owned());
    assert_eq!(found, listed);
}
