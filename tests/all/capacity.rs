//! Compares the figures on the capacity page with the output of the capacity benchmark.

use std::path::Path;
use std::process::Command;

/// The architecture whose table the page is compared with: hash tables have different sizes.
const ARCHITECTURE: &str = if cfg!(target_arch = "aarch64") { "arm64" } else { "x86-64" };

/// Guards against outdated figures on the capacity page: a change to a message or a table makes a
/// node use more memory or bandwidth, and the page is not updated with it.
#[test]
fn the_capacity_page_matches_the_counted_figures() {
    // Arrange
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/capacity-node.md");
    let page = std::fs::read_to_string(page).expect("docs/capacity-node.md can be read");
    let begin = format!("<!-- counted on {ARCHITECTURE}: begin -->\n");
    let end = format!("<!-- counted on {ARCHITECTURE}: end -->");
    let shown = page.split_once(&begin).and_then(|(_, rest)| rest.split_once(&end));
    let (shown, _) = shown.expect("the page has both markers of the table");

    // Act
    let output = Command::new(env!("CARGO_BIN_EXE_catkinmast-bench"))
        .args(["capacity", "--counted"])
        .output()
        .expect("catkinmast-bench runs");

    // Assert
    let counted = String::from_utf8(output.stdout).expect("the output is UTF-8");
    assert_eq!(
        shown, counted,
        "copy the table of `catkinmast-bench capacity --counted` to docs/capacity-node.md"
    );
}
