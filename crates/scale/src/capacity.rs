//! The verb `capacity`: generates the tables of the capacity page from the slopes file and the size file,
//! which holds the size to design for.
//!
//! `size.rs` reads the size file, `figures.rs` computes the figures, `tables.rs` formats them as tables, and
//! `page.rs` inserts the tables between the page's markers. `lab.rs` computes the slope that is measured in
//! the emulator. Nothing between the markers is written by hand, and CI checks that the page is up to date.

mod figures;
mod format;
mod lab;
mod page;
mod size;
mod tables;

use crate::error::Error;
use crate::slopes::SlopeFile;
use bpaf::Bpaf;
use std::path::{Path, PathBuf};

/// The options of `capacity`.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The root of the repository; paths in the size file are relative to it
    #[bpaf(argument("DIR"), fallback(PathBuf::from(".")))]
    pub root: PathBuf,
    /// The slopes file; a missing one counts as empty (default: docs/capacity/slopes.json under the root)
    #[bpaf(argument("FILE"))]
    pub slopes: Option<PathBuf>,
    /// The size file: the size to design for, and the figures (default: docs/capacity/size.toml under the
    /// root)
    #[bpaf(argument("FILE"))]
    pub size: Option<PathBuf>,
    /// The page whose tables are generated (default: docs/CAPACITY.md under the root)
    #[bpaf(argument("FILE"))]
    pub page: Option<PathBuf>,
    /// First update the slopes file from this folder, which `scalebarrow-lab sweep
    /// experiments/capacity-down.toml --out DIR` wrote
    #[bpaf(argument("DIR"))]
    pub lab: Option<PathBuf>,
    /// Write nothing; exit with 1 and print a diff if the page is not up to date
    pub check: bool,
}

impl Options {
    /// Options with every file in its default place under `root`.
    pub fn under(root: &Path, check: bool) -> Options {
        Options { root: root.to_owned(), slopes: None, size: None, page: None, lab: None, check }
    }

    /// The file that was given, or the default under the root.
    fn file(&self, given: &Option<PathBuf>, default: &str) -> PathBuf {
        given.clone().unwrap_or_else(|| self.root.join(default))
    }
}

/// Updates the tables of the page, or checks that they are up to date.
pub fn run(options: &Options) -> Result<(), Error> {
    let path = options.file(&options.page, "docs/CAPACITY.md");
    let slopes = load_slopes(options)?;
    let size = size::Size::read(&options.file(&options.size, "docs/capacity/size.toml"), &options.root)?;
    let figures = figures::Figures::compute(&size, &slopes)?;
    let page_error = |reason: String| Error::Input(format!("{}: {reason}", path.display()));
    let old_page = std::fs::read_to_string(&path).map_err(|e| page_error(e.to_string()))?;
    let new_page =
        page::fill(&old_page, &tables::all_tables(&size, &figures, &slopes)).map_err(page_error)?;
    if old_page == new_page {
        return Ok(());
    }
    if options.check {
        let diff = similar::TextDiff::from_lines(&old_page, &new_page);
        let diff = diff.unified_diff().header("the page", "generated").to_string();
        return Err(Error::Failed(format!(
            "{} is not up to date with the slopes and size files:\n{diff}",
            path.display()
        )));
    }
    std::fs::write(&path, new_page)?;
    Ok(())
}

/// Reads the slopes file, after updating it with the slope from the emulator if `--lab` is given.
fn load_slopes(options: &Options) -> Result<SlopeFile, Error> {
    let path = options.file(&options.slopes, "docs/capacity/slopes.json");
    let mut slopes = SlopeFile::read(&path)?;
    if let Some(folder) = &options.lab {
        if options.check {
            return Err(Error::Input(
                "--check cannot be combined with --lab, which writes the slopes file".into(),
            ));
        }
        slopes.insert(lab::slope(&options.root, folder, crate::verbs::slope::current_commit())?);
        slopes.write(&path)?;
    }
    Ok(slopes)
}
