//! The configuration of a process advances by changes or snapshots and never regresses.

use std::fs;

use chicoryford_config::config_file::ConfigFile;
use chicoryford_config::config_file::ConfigFileError;
use chicoryford_config::config_file::FILE_NAME;
use chicoryford_config::store::DeltaResult;
use chicoryford_config::store::Store;
use chicoryford_state::recent::MAX_RECENT_CHANGES;
use chicoryford_types::Change;
use chicoryford_types::Config;
use chicoryford_types::Delta;
use chicoryford_types::Epoch;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_types::Template;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;

fn at(epoch: u64, revision: u64) -> Position {
    Position { epoch: Epoch(epoch), revision: Revision(revision) }
}

fn change(revision: u64, workspaces: u64) -> Change {
    let workspace = Workspace(format!("w{}", revision % workspaces));
    let template = Template { workspace, weight: revision as u32, ..Template::default() };
    Change::Template(Box::new(Versioned { version: revision, template }))
}

fn parent(changes: u64, workspaces: u64) -> Store {
    let mut store = Store::default();
    for revision in 1..=changes {
        assert!(store.apply(at(1, revision), change(revision, workspaces)));
    }
    store
}

#[test]
fn can_restart_after_hundreds_of_missed_changes() {
    // Guards against a restarted process that receives hundreds of changes one by one, or none. It
    // saves at revision 10, is down for 700 changes of 20 templates, and restarts. The parent must
    // send the last change of each template, as a delta from revision 10.
    let folder = tempfile::tempdir().unwrap();
    let file = ConfigFile::new(folder.path());
    file.save(&parent(10, 20).config()).unwrap();
    let parent = parent(710, 20);

    let mut child = Store::new(file.load().unwrap().unwrap());
    let delta = parent.delta_since(child.at());
    let Delta::Changes { changes, .. } = &delta else { panic!("a snapshot for a short gap") };
    assert_eq!(changes.len(), 20);
    assert_eq!(child.preview(&delta).as_ref(), Some(parent.config().as_ref()));
    assert_eq!(child.apply_delta(delta), DeltaResult::Advanced);
    assert_eq!(child.config(), parent.config());
}

#[test]
fn can_catch_up_by_snapshot_when_the_changes_are_no_longer_stored() {
    let parent = parent(MAX_RECENT_CHANGES as u64 + 20, 5);
    let mut child = Store::default();
    let delta = parent.delta_since(child.at());
    assert!(matches!(delta, Delta::Snapshot(_)));
    assert_eq!(child.apply_delta(delta), DeltaResult::Advanced);
    assert_eq!(child.config(), parent.config());
}

#[test]
fn never_regresses_for_a_parent_that_is_behind() {
    // Guards against a template that was replaced minutes ago and is in force again at one process.
    // Its parent dies, and the next parent was partitioned and is still at an earlier revision, or
    // at a higher revision of an earlier epoch. The reply of a parent that is behind must be
    // ignored, whether it contains a snapshot or changes.
    let mut child = Store::default();
    child.apply(at(2, 5), change(5, 3));
    let before = child.config();
    for old in [parent(4, 3), parent(9, 3)] {
        assert_eq!(child.apply_delta(old.delta_since(Position::default())), DeltaResult::Unchanged);
        assert_eq!(
            child.apply_delta(Delta::Snapshot(Box::new((*old.config()).clone()))),
            DeltaResult::Unchanged
        );
        assert!(!child.replace((*old.config()).clone()));
        assert_eq!(child.config(), before);
    }
}

#[test]
fn fails_on_changes_that_do_not_follow_the_current_position() {
    let mut child = Store::default();
    let delta = parent(9, 3).delta_since(at(1, 4));
    assert_eq!(child.preview(&delta), None);
    assert_eq!(child.apply_delta(delta), DeltaResult::Gap);
    assert_eq!(child.at(), Position::default());
}

#[test]
fn fails_on_an_incomplete_or_damaged_file_and_keeps_the_previous_file_on_a_failed_save() {
    // Guards against a process that starts with a configuration that was never accepted. The VM
    // loses power while the file is written, or the disk flips a bit. The checksum must cover every
    // byte of the file, and a failed save must not change the previous file.
    let folder = tempfile::tempdir().unwrap();
    let file = ConfigFile::new(folder.path());
    assert!(matches!(file.load(), Ok(None)));
    let config = parent(5, 3).config();
    file.save(&config).unwrap();
    let path = folder.path().join(FILE_NAME);
    let original = fs::read(&path).unwrap();
    for offset in 0..original.len() {
        let mut damaged = original.clone();
        damaged[offset] ^= 1;
        fs::write(&path, &damaged).unwrap();
        assert!(matches!(file.load(), Err(ConfigFileError::Damaged(_))), "byte {offset}");
        fs::write(&path, &original[..offset]).unwrap();
        assert!(matches!(file.load(), Err(ConfigFileError::Damaged(_))), "cut at {offset}");
    }
    fs::write(&path, &original).unwrap();
    fs::create_dir(folder.path().join("config.new")).unwrap();
    assert!(matches!(file.save(&Config::default()), Err(ConfigFileError::Write(..))));
    assert_eq!(file.load().unwrap().as_ref(), Some(config.as_ref()));
}
