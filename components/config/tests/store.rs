//! What a process holds only ever moves forward, by changes or by a snapshot.

use std::fs;

use chicoryford_config::disk::Disk;
use chicoryford_config::disk::DiskError;
use chicoryford_config::disk::FILE;
use chicoryford_config::store::Absorbed;
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
        assert!(store.push(at(1, revision), change(revision, workspaces)));
    }
    store
}

#[test]
fn can_restart_after_hundreds_of_missed_changes() {
    // Symptom: a restarted process is given hundreds of changes one by one, or none at all.
    // Sequence: it saves at revision 10, is down for 700 changes of 20 templates, starts again.
    // Cause: the parent must send the last change of each template, joined on to revision 10.
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::new(folder.path());
    disk.save(&parent(10, 20).config()).unwrap();
    let parent = parent(710, 20);

    let mut child = Store::new(disk.load().unwrap().unwrap());
    let delta = parent.delta_since(child.at());
    let Delta::Changes { changes, .. } = &delta else { panic!("a snapshot for a short gap") };
    assert_eq!(changes.len(), 20);
    assert_eq!(child.preview(&delta).as_ref(), Some(parent.config().as_ref()));
    assert_eq!(child.absorb(delta), Absorbed::Moved);
    assert_eq!(child.config(), parent.config());
}

#[test]
fn can_catch_up_by_snapshot_when_changes_are_no_longer_kept() {
    let parent = parent(MAX_RECENT_CHANGES as u64 + 20, 5);
    let mut child = Store::default();
    let delta = parent.delta_since(child.at());
    assert!(matches!(delta, Delta::Snapshot(_)));
    assert_eq!(child.absorb(delta), Absorbed::Moved);
    assert_eq!(child.config(), parent.config());
}

#[test]
fn never_goes_back_for_a_parent_that_is_behind() {
    // Symptom: a template that was replaced minutes ago is in force again at one process.
    // Sequence: its parent dies; the next parent was cut off and still stands at an earlier
    // revision, or at a higher revision of an earlier epoch.
    // Cause: the answer of a parent that lies behind must be ignored, snapshot or changes.
    let mut child = Store::default();
    child.push(at(2, 5), change(5, 3));
    let before = child.config();
    for old in [parent(4, 3), parent(9, 3)] {
        assert_eq!(child.absorb(old.delta_since(Position::default())), Absorbed::Nothing);
        assert_eq!(
            child.absorb(Delta::Snapshot(Box::new((*old.config()).clone()))),
            Absorbed::Nothing
        );
        assert!(!child.reset((*old.config()).clone()));
        assert_eq!(child.config(), before);
    }
}

#[test]
fn errors_on_changes_that_do_not_join_on() {
    let mut child = Store::default();
    let delta = parent(9, 3).delta_since(at(1, 4));
    assert_eq!(child.preview(&delta), None);
    assert_eq!(child.absorb(delta), Absorbed::Gap);
    assert_eq!(child.at(), Position::default());
}

#[test]
fn errors_on_a_torn_or_damaged_file_and_keeps_the_last_on_a_failed_save() {
    // Symptom: a process starts with a configuration that was never accepted.
    // Sequence: the VM loses power while the file is written, or the disk flips a bit.
    // Cause: the file's checksum must cover every byte; a save must not touch the last one.
    let folder = tempfile::tempdir().unwrap();
    let disk = Disk::new(folder.path());
    assert!(matches!(disk.load(), Ok(None)));
    let config = parent(5, 3).config();
    disk.save(&config).unwrap();
    let path = folder.path().join(FILE);
    let whole = fs::read(&path).unwrap();
    for place in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[place] ^= 1;
        fs::write(&path, &damaged).unwrap();
        assert!(matches!(disk.load(), Err(DiskError::Damaged(_))), "byte {place}");
        fs::write(&path, &whole[..place]).unwrap();
        assert!(matches!(disk.load(), Err(DiskError::Damaged(_))), "cut at {place}");
    }
    fs::write(&path, &whole).unwrap();
    fs::create_dir(folder.path().join("config.new")).unwrap();
    assert!(matches!(disk.save(&Config::default()), Err(DiskError::Write(..))));
    assert_eq!(disk.load().unwrap().as_ref(), Some(config.as_ref()));
}
