//! The capacity page stands on counted figures; here they are counted again.

use std::path::Path;
use std::process::Command;

/// Marks the beginning of the counted table on the page.
const BEGIN: &str = "<!-- counted: begin -->\n";
/// Marks its end.
const END: &str = "<!-- counted: end -->";

/// Symptom: the page promises what the code no longer does.
/// Sequence: a change of a message or a table makes a node need more; nobody counts again.
/// Cause: figures on a page do not follow the code.
#[test]
fn the_page_shows_what_the_command_counts() {
    // Arrange
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/CAPACITY.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let shown = page.split_once(BEGIN).and_then(|(_, rest)| rest.split_once(END));
    let (shown, _) = shown.expect("the marks of the table");

    // Act
    let output = Command::new(env!("CARGO_BIN_EXE_catkinmast-bench"))
        .args(["capacity", "--counted"])
        .output()
        .expect("the command runs");

    // Assert
    let counted = String::from_utf8(output.stdout).expect("text");
    assert_eq!(shown, counted, "copy the command's table onto the page");
}
