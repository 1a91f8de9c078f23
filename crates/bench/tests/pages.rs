//! Checks that the committed pages and plots match the saved results.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        let copied = to.join(path.file_name().unwrap());
        if path.is_dir() {
            copy(&path, &copied);
        } else {
            fs::copy(&path, &copied).unwrap();
        }
    }
}

fn assert_same(committed: &Path, written: &Path) {
    for entry in fs::read_dir(written).unwrap() {
        let path = entry.unwrap().path();
        let other = committed.join(path.file_name().unwrap());
        if path.is_dir() {
            assert_same(&other, &path);
        } else {
            let same = fs::read(&path).unwrap() == fs::read(&other).unwrap_or_default();
            assert!(same, "{}: run `skylark-bench pages`", other.display());
        }
    }
}

#[test]
fn pages_and_plots_match_the_saved_results() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("pages");
    let _ = fs::remove_dir_all(&folder);
    copy(&docs(), &folder.join("docs"));
    let output = Command::new(env!("CARGO_BIN_EXE_skylark-bench"))
        .current_dir(&folder)
        .arg("pages")
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_same(&docs(), &folder.join("docs"));
}
