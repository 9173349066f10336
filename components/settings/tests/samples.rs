//! The sample settings and templates of the distribution are valid.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use chicoryford_settings::load;
use chicoryford_settings::load_templates;

const FOLDERS: [&str; 3] = ["zadruga", "dela-cruz", "embedded"];

fn yaml_files(folder: &str) -> Vec<PathBuf> {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(folder);
    let entries = fs::read_dir(deploy).unwrap().map(|entry| entry.unwrap().path());
    entries.filter(|path| path.extension().is_some_and(|e| e == "yaml")).collect()
}

#[test]
fn every_sample_is_valid() {
    for file in FOLDERS.into_iter().flat_map(yaml_files) {
        match file.file_stem().and_then(|stem| stem.to_str()) {
            Some("client") => {}
            Some("templates") => assert!(!load_templates(&file).unwrap().is_empty()),
            _ => {
                let settings = load(&file).unwrap();
                assert!(settings.keys.exists(), "{}", settings.keys.display());
                assert!(settings.token.exists(), "{}", settings.token.display());
            }
        }
    }
}

#[test]
fn node_names_are_unique() {
    for folder in ["zadruga", "dela-cruz"] {
        let is_node = |f: &PathBuf| !f.ends_with("client.yaml") && !f.ends_with("templates.yaml");
        let nodes = yaml_files(folder).into_iter().filter(is_node).map(|f| load(&f).unwrap().node);
        let mut nodes: Vec<_> = nodes.collect();
        let count = nodes.len();
        nodes.sort();
        nodes.dedup();
        assert_eq!(nodes.len(), count);
    }
}
